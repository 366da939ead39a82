package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// A process beside another takes all clients that there can be: soon they all come to it.
func TestNewProcessAdmitsAllClients(t *testing.T) {
	w := start(t, nil, ready("s-1", newEndpoint(t, always(served)).address))
	w.server.clients.mu.Lock()
	w.server.clients.rest = 0 // what is at rest may be closed at once where room is short
	w.server.clients.mu.Unlock()
	w.server.splitLimits(true)
	var clients []*clientConnection
	for range w.loop.cfg.Limits.Sockets / clientsPart {
		clients = append(clients, w.connect())
	}
	for _, k := range clients {
		if got := k.roundTrip(); got.StatusCode != http.StatusOK || got.Close {
			t.Fatalf("a client of %d: %d, close %v", len(clients), got.StatusCode, got.Close)
		}
	}
}

// All new connections come to the later of two processes, as long as both listen, and to the one that is left.
func TestNewConnectionsGoToTheNewestProcess(t *testing.T) {
	cfg := &Config{Listen: "127.0.0.1:0", Ops: "127.0.0.1:0"}
	earlier, err := listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer earlier.Close()
	cfg.Listen = earlier.Addr().String()
	later, err := listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer later.Close()
	if err := steer(later.(*net.TCPListener)); err != nil {
		t.Fatal(err)
	}
	const many = 50
	take := func(from net.Listener) {
		t.Helper()
		for range many {
			conn, err := net.Dial("tcp", cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
		}
		from.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
		for i := range many {
			conn, err := from.Accept()
			if err != nil {
				t.Fatalf("%d of %d new connections came: %v", i, many, err)
			}
			conn.Close()
		}
	}
	take(later)
	earlier.Close()
	take(later)
	next, err := listen(cfg) // the following upgrade
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if err := steer(next.(*net.TCPListener)); err != nil {
		t.Fatal(err)
	}
	take(next)
	next.Close() // which is given up
	take(later)
}
