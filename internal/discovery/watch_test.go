package discovery_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
)

// Discovery that is back with a smaller version has begun anew: its changes say nothing of the list that is held, and
// the whole is asked for at once.
func TestDiscoveryBegunAnew(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls = append(calls, r.URL.RawQuery)
		mu.Unlock()
		switch r.FormValue("after") {
		case "":
			io.WriteString(w, `{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"Ready"}]}`)
		case "3":
			if r.FormValue("wait_ms") != "0" {
				<-r.Context().Done()
			}
			fallthrough
		default:
			io.WriteString(w, "{\n \"seq\": 3,\n \"whole\": false,\n \"hosts\": []\n}\n") // indented, as it may come
		}
	}))
	defer server.CloseClientConnections()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	held, kinds := uint64(41), make(chan balancer.UpdateKind, 8)
	go discovery.NewClient(strings.TrimPrefix(server.URL, "http://")).Watch(ctx, &held, func(kind balancer.UpdateKind, list discovery.List) {
		if kind == balancer.UpdateFull && (list.Version != 3 || len(list.Endpoints) != 1) {
			t.Errorf("the list %+v", list)
		}
		kinds <- kind
	})
	select {
	case kind := <-kinds:
		if kind != balancer.UpdateFull {
			t.Errorf("told %v first, want the whole list", kind)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no list is told")
	}
	mu.Lock()
	defer mu.Unlock()
	if len(calls) < 2 || calls[0] != "after=41&wait_ms=0" || calls[1] != "" {
		t.Errorf("calls %q, want one for the whole list next", calls)
	}
}
