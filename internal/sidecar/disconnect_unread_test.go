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
			s := &testSidecar{t: t, registry: newFakeRegistry(t, endpoints...)}
			s.launch(newTestConfig(t, s.registry.address, func(map[string]any) {}, endpoints...))
			s.await("the list", func() bool { return s.loop.hasEndpoints.Load() })
			dialCount, release := s.holdDials()
			defer release()
			var conns []net.Conn
			for i := range clients {
				conn := s.dial()
				conns = append(conns, conn)
				r := s.request("pay", "", time.Minute)
				r.Header.Set(requestIDHeader, fmt.Sprint(prefix, i))
				r.Write(conn)
			}
			s.await("all requests to wait", func() bool {
				return countAwaitingResponse(s.server.clients) >= clients && dialCount() >= clients
			})
			unlock := lockReads(s.server.clients)
			defer unlock()
			for _, conn := range conns {
				disconnect(conn, reset)
			}
			release()
			s.awaitNoRequests()
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
