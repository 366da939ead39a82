package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"bramblestand/internal/discovery"
)

// fakeRegistry is a discovery service with one list.
type fakeRegistry struct {
	address string

	mu        sync.Mutex
	list      discovery.List
	isDown    bool
	malformed string // an answer to give in place of the list
	calls     []string
	changed   chan struct{} // closed and replaced with every change
}

func newFakeRegistry(t *testing.T, hosts ...discovery.Endpoint) *fakeRegistry {
	t.Helper()
	d := &fakeRegistry{list: discovery.List{IsFull: true, Endpoints: hosts}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: d}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *fakeRegistry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, r.URL.RawQuery)
	after, wait, news := r.FormValue("after"), r.FormValue("wait_ms"), d.changed
	waits := after == fmt.Sprint(d.list.Version) && wait != "0" && !d.isDown && d.malformed == ""
	d.mu.Unlock()
	if waits {
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.isDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(d.list) // which must not be believed
	case d.malformed != "":
		io.WriteString(w, d.malformed)
	case after == fmt.Sprint(d.list.Version):
		json.NewEncoder(w).Encode(discovery.List{Version: d.list.Version, Endpoints: []discovery.Endpoint{}})
	default:
		json.NewEncoder(w).Encode(d.list)
	}
}

// change alters the service and wakes the calls that wait.
func (d *fakeRegistry) change(alter func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	alter()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeRegistry) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// readyEndpoint is discovery's entry for an endpoint.
func readyEndpoint(name, address string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: address, Zone: "a", MachineType: "m1", Health: "Ready", Weight: 1}
}
