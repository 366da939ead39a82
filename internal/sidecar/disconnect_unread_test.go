package sidecar

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// Clients disconnect while connections for their attempts are dialled. When the dials succeed, no goroutine has read the end of the
// clients' connections, as on a machine too busy to run the readers. Nothing must be forwarded for these clients.
func TestNothingIsForwardedAlthoughTheDisconnectIsUnread(t *testing.T) {
	const clients = 20
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			t.Parallel()
			prefix := fmt.Sprint("unread-", reset, "-")
			address, forwarded := newForwardCounter(t, prefix)
			endpoints := repeatEndpoint(clients, address)
			w := &testSidecar{t: t, registry: newFakeRegistry(t, endpoints...)}
			w.launch(newTestConfig(t, w.registry.address, func(map[string]any) {}, endpoints...))
			w.await("the list", func() bool { return w.loop.hasEndpoints.Load() })
			dialCount, release := w.holdDials()
			defer release()
			var conns []net.Conn
			for i := range clients {
				conn := w.dial()
				conns = append(conns, conn)
				r := w.request("pay", "", time.Minute)
				r.Header.Set(requestIDHeader, fmt.Sprint(prefix, i))
				r.Write(conn)
			}
			w.await("all requests to wait", func() bool {
				return countAwaitingResponse(w.server.clients) >= clients && dialCount() >= clients
			})
			unlock := lockReads(w.server.clients)
			defer unlock()
			for _, conn := range conns {
				disconnect(conn, reset)
			}
			release()
			w.awaitNoRequests()
			if n := forwarded.Load(); n > 0 {
				t.Errorf("%d of %d requests were forwarded", n, clients)
			}
		})
	}
}

// lockReads blocks the readers of all connections until unlock is called.
func lockReads(clients *clientConns) (unlock func()) {
	conns := clients.filter(func(*clientConnState) bool { return true })
	for _, conn := range conns {
		conn.mu.Lock()
	}
	return sync.OnceFunc(func() {
		for _, conn := range conns {
			conn.mu.Unlock()
		}
	})
}
