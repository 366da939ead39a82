package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"bramblestand/internal/config"
	"bramblestand/internal/endpointtest"
)

// While two processes run, the new one admits as many clients as its limit allows, because all clients will soon connect to it.
func TestNewProcessAdmitsAllClients(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	s.server.clients.mu.Lock()
	s.server.clients.minIdle = 0 // idle connections may be closed at once to make room
	s.server.clients.mu.Unlock()
	s.server.splitLimits(true)
	var clients []*clientConnection
	for range s.loop.cfg.Limits.Sockets / clientsDescriptorDivisor {
		clients = append(clients, s.connect())
	}
	for _, client := range clients {
		if got := client.roundTrip(); got.StatusCode != http.StatusOK || got.Close {
			t.Fatalf("one of %d clients: %d, close %v", len(clients), got.StatusCode, got.Close)
		}
	}
}

// All new connections go to the newer of two listeners while both are open. After one is closed, they go to the other.
func TestNewConnectionsGoToTheNewestProcess(t *testing.T) {
	cfg := &config.Config{ListenAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"}
	earlier, err := listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { earlier.Close() })
	cfg.ListenAddress = earlier.Addr().String()
	later, err := listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { later.Close() })
	if err := preferSocket(later.(*net.TCPListener)); err != nil {
		t.Fatal(err)
	}
	const connectionCount = 50
	acceptAll := func(from net.Listener) {
		t.Helper()
		for range connectionCount {
			conn, err := net.Dial("tcp", cfg.ListenAddress)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
		}
		from.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
		for i := range connectionCount {
			conn, err := from.Accept()
			if err != nil {
				t.Fatalf("%d of %d new connections came: %v", i, connectionCount, err)
			}
			conn.Close()
		}
	}
	acceptAll(later)
	earlier.Close()
	acceptAll(later)
	next, err := listen(cfg) // the next upgrade
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { next.Close() })
	if err := preferSocket(next.(*net.TCPListener)); err != nil {
		t.Fatal(err)
	}
	acceptAll(next)
	next.Close() // the upgrade is aborted
	acceptAll(later)
}
