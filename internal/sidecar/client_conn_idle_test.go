package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// A request may arrive on an idle connection after it was selected for closing or eviction and before it is closed. Guards against
// closing the connection while a handler serves that request, whose client would get no response.
func TestIdleCloseSparesARequestInFlight(t *testing.T) {
	for name, closeSelected := range map[string]func(*clientConn){
		"idle check": func(conn *clientConn) { conn.closeIdle() },
		"eviction":   func(conn *clientConn) { conn.evict() },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			e := endpointtest.NewServer(t, endpointtest.HoldPath("/pay", release))
			s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
			s.await("no connection", func() bool { return s.server.clients.count() == 0 })
			client := s.connect()
			client.roundTrip()
			selected := s.awaitIdleConn()
			s.request("pay", "x", time.Minute).Write(client.conn)
			s.await("the request at the endpoint", func() bool { n, _ := e.Counts(); return n == 2 })
			closeSelected(selected)
			close(release)
			response, err := http.ReadResponse(client.in, nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("the request in flight: %v, %v; want 200", response, err)
			}
		})
	}
}

// Requests begin on many idle connections while these are being closed, as in a drain or a shutdown. Guards against a request that
// was read and forwarded but gets no response. A request that was never read is sent again by its client.
func TestClosingIdleConnectionsLosesNoReadRequest(t *testing.T) {
	const connections, rounds = 60, 20
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.await("no connection", func() bool { return s.server.clients.count() == 0 })
	served := 0
	for range rounds {
		clients := make([]*clientConnection, connections)
		for i := range clients {
			clients[i] = s.connect()
			clients[i].roundTrip()
		}
		served += connections
		s.await("all to be idle", func() bool { return s.server.clients.counts().idle == connections })
		var wait sync.WaitGroup
		var mu sync.Mutex
		for _, client := range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				s.request("read", "", time.Minute).Write(client.conn)
				if response, err := http.ReadResponse(client.in, nil); err == nil && response.StatusCode == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
				client.conn.Close()
			}()
		}
		for s.server.clients.counts().idle > 0 {
			s.server.clients.closeIdle(0)
		}
		wait.Wait()
		s.await("all to end", func() bool { return s.server.clients.count() == 0 })
	}
	if n, _ := e.Counts(); n != served {
		t.Errorf("%d requests reached the endpoint, %d got its response", n, served)
	}
}
