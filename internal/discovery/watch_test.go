package discovery_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
)

// A delta with a lower version than the known list means that discovery has restarted. The watch discards it and requests the
// full list at once.
func TestOlderVersionMakesTheWatchRequestTheFullList(t *testing.T) {
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
			io.WriteString(w, "{\n \"seq\": 3,\n \"whole\": false,\n \"hosts\": []\n}\n") // discovery may send indented JSON
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	knownVersion, kinds := uint64(41), make(chan balancer.UpdateKind, 8)
	watch := &discovery.Watch{
		Client: discovery.NewClient(strings.TrimPrefix(server.URL, "http://"), discovery.Options{}),
		After:  &knownVersion,
		Notify: func(kind balancer.UpdateKind, list discovery.List) {
			if kind == balancer.UpdateFull && (list.Version != 3 || len(list.Endpoints) != 1) {
				t.Errorf("full list %+v, want version 3 with 1 endpoint", list)
			}
			kinds <- kind
		},
		Log: slog.New(slog.DiscardHandler),
	}
	go watch.Run(ctx)
	select {
	case kind := <-kinds:
		if kind != balancer.UpdateFull {
			t.Errorf("first notification is %v, want UpdateFull", kind)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no notification")
	}
	mu.Lock()
	defer mu.Unlock()
	if len(calls) < 2 || calls[0] != "after=41&wait_ms=0" || calls[1] != "" {
		t.Errorf("calls %q, want the call after version 41 and then one for the full list", calls)
	}
}

// roundTripper is an http.RoundTripper that responds to calls without a connection.
type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// failingTransport fails each call and records its time.
type failingTransport struct{ calls []time.Time }

func (f *failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	f.calls = append(f.calls, time.Now())
	return nil, errors.New("unreachable")
}

// After a failure the watch ends or, if Resubscribes is set because the balancer never polls, calls again after half a second.
func TestWatchResubscribesOnlyIfConfigured(t *testing.T) {
	const pause = 500 * time.Millisecond
	for name, c := range map[string]struct {
		resubscribes bool
		calls        int
	}{"ends": {false, 1}, "goes on": {true, 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			transport, failures := &failingTransport{}, 0
			watch := &discovery.Watch{
				Client: discovery.NewClient("discovery:1", discovery.Options{Transport: transport}),
				Notify: func(kind balancer.UpdateKind, _ discovery.List) {
					if kind != balancer.UpdateFailed {
						t.Errorf("notified of %v, want UpdateFailed", kind)
					}
					if failures++; failures == 3 {
						cancel()
					}
				},
				Resubscribes: c.resubscribes,
				Log:          slog.New(slog.DiscardHandler),
			}
			watch.Run(ctx)
			if len(transport.calls) != c.calls || failures != c.calls {
				t.Fatalf("%d calls and %d failures, want %d", len(transport.calls), failures, c.calls)
			}
			for i := 1; i < c.calls; i++ {
				if waited := transport.calls[i].Sub(transport.calls[i-1]); waited < pause {
					t.Errorf("call %d was made %v after the previous one, want at least %v", i, waited, pause)
				}
			}
		})
	}
}

// A pause of a watch ends when its context ends, and no call is made after that.
func TestWatchEndsWithItsContext(t *testing.T) {
	for name, respond := range map[string]func() (*http.Response, error){
		"between calls": func() (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"seq":1,"whole":true,"hosts":[]}`))}, nil
		},
		"after a failure": func() (*http.Response, error) { return nil, errors.New("unreachable") },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			calls, notifications := 0, 0
			watch := &discovery.Watch{
				Client: discovery.NewClient("discovery:1", discovery.Options{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
					calls++
					return respond()
				})}),
				Notify: func(balancer.UpdateKind, discovery.List) {
					notifications++
					cancel()
				},
				Resubscribes: true,
				Log:          slog.New(slog.DiscardHandler),
			}
			watch.Run(ctx)
			if calls != 1 || notifications != 1 {
				t.Errorf("%d calls and %d notifications, want one each", calls, notifications)
			}
		})
	}
}
