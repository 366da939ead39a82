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

// fakeRegistry is a discovery service with one list. A call that asks for changes after the list's version waits for a change.
type fakeRegistry struct {
	address string

	mu        sync.Mutex // guards the fields below
	list      discovery.List
	isDown    bool          // calls are answered 503
	malformed string        // sent in place of the list, if not empty
	calls     []string      // query of each call
	changed   chan struct{} // closed and replaced by each change
}

// newFakeRegistry starts a registry that runs until the test ends.
func newFakeRegistry(t *testing.T, endpoints ...discovery.Endpoint) *fakeRegistry {
	t.Helper()
	f := &fakeRegistry{list: discovery.List{IsFull: true, Endpoints: endpoints}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = listener.Addr().String()
	server := &http.Server{Handler: f}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return f
}

// ServeHTTP answers a call for the list.
func (f *fakeRegistry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.awaitChange(r) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(f.list) // which must not be applied
	case f.malformed != "":
		io.WriteString(w, f.malformed)
	case r.FormValue("after") == fmt.Sprint(f.list.Version):
		json.NewEncoder(w).Encode(discovery.List{Version: f.list.Version, Endpoints: []discovery.Endpoint{}})
	default:
		json.NewEncoder(w).Encode(f.list)
	}
}

// awaitChange records a call. If the call asks for changes after the list's version, it waits for one. It returns false if the
// caller disconnects first.
func (f *fakeRegistry) awaitChange(r *http.Request) bool {
	f.mu.Lock()
	f.calls = append(f.calls, r.URL.RawQuery)
	changed := f.changed
	isCurrent := r.FormValue("after") == fmt.Sprint(f.list.Version)
	waits := isCurrent && r.FormValue("wait_ms") != "0" && !f.isDown && f.malformed == ""
	f.mu.Unlock()
	if !waits {
		return true
	}
	select {
	case <-changed:
		return true
	case <-r.Context().Done():
		return false
	}
}

// change calls alter with f.mu held, and ends the wait of the waiting calls.
func (f *fakeRegistry) change(alter func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	alter()
	close(f.changed)
	f.changed = make(chan struct{})
}

// callCount returns how many calls the registry has received.
func (f *fakeRegistry) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// readyEndpoint returns the list's entry for a ready endpoint.
func readyEndpoint(name, address string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: address, Zone: "a", MachineType: "m1", Health: "Ready", Weight: 1}
}
