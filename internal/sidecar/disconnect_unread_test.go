package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramblestand/internal/discovery"
	"bramblestand/internal/endpointtest"
)

// Clients leave while their attempts are dialled, and nobody has read their connections' ends when the dials come up, as
// on a machine where the readers wait for their turn: nothing is sent on for them all the same.
func TestNothingIsForwardedAlthoughTheDisconnectIsUnread(t *testing.T) {
	const clients = 20
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			t.Parallel()
			name := fmt.Sprint("unread-", reset, "-")
			var sent atomic.Int64
			e := endpointtest.NewServer(t, func(e *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if strings.HasPrefix(r.Header.Get("X-Correlation-Id"), name) {
						sent.Add(1)
					}
					io.WriteString(conn, endpointtest.OKResponse)
				}
			})
			var hosts []discovery.Endpoint
			for i := range clients {
				hosts = append(hosts, readyEndpoint(fmt.Sprint("s-", i), e.Address))
			}
			w := &testSidecar{t: t, registry: newFakeRegistry(t, hosts...)}
			cfg := newTestConfig(t, w.registry.address, func(map[string]any) {}, hosts...)
			w.launch(cfg)
			w.await("the list", func() bool { return w.loop.hasEndpoints.Load() })
			hold := make(chan struct{})
			letGo := sync.OnceFunc(func() { close(hold) })
			defer letGo()
			var dials atomic.Int64
			w.loop.upstream.Dialer.Control = func(string, string, syscall.RawConn) error {
				dials.Add(1)
				<-hold
				return nil
			}
			var conns []net.Conn
			for i := range clients {
				conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conns = append(conns, conn)
				r := w.request("pay", "", time.Minute)
				r.Header.Set("X-Correlation-Id", fmt.Sprint(name, i))
				r.Write(conn)
			}
			w.await("all requests to wait", func() bool { return countAwaitingResponse(w.server.clients) >= clients && dials.Load() >= clients })
			all := w.server.clients.filter(func(*clientConnState) bool { return true })
			for _, conn := range all {
				conn.mu.Lock() // its reader gets no further
			}
			free := sync.OnceFunc(func() {
				for _, conn := range all {
					conn.mu.Unlock()
				}
			})
			defer free()
			for _, conn := range conns {
				disconnect(conn, reset)
			}
			letGo()
			w.await("the ledger to be empty", func() bool {
				n := 0
				w.onLoop(func() { n = len(w.loop.requests) })
				return n == 0 && len(w.loop.events) == 0
			})
			if n := sent.Load(); n > 0 {
				t.Errorf("%d of %d requests were sent on", n, clients)
			}
		})
	}
}
