package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// Silent connections, however many, are evicted to make room for the application's connections, which stay open.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	application := s.dial() // idle between its requests
	in := bufio.NewReader(application)
	use := func() {
		t.Helper()
		s.request("read", "", 3*time.Second).Write(application)
		application.SetReadDeadline(time.Now().Add(testTimeout))
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if io.Copy(io.Discard, response.Body); response.StatusCode != http.StatusOK {
			t.Errorf("on the idle connection: %d", response.StatusCode)
		}
	}
	use()
	for range 2 * s.server.clients.maxConns {
		s.dial()
	}
	s.await("all to be accepted", func() bool {
		return s.server.clients.counts().accepted > 2*s.server.clients.maxConns
	})
	if n := s.server.clients.count(); n > s.server.clients.maxConns {
		t.Errorf("%d connections are open, %d at most", n, s.server.clients.maxConns)
	}
	if got := s.send(s.request("read", "", 3*time.Second)); got.statusCode != http.StatusOK {
		t.Errorf("on a new connection: %+v", got)
	}
	use()
}

// If no connection may be evicted, the sidecar rejects a request on a connection beyond the limit and closes that connection.
func TestClientConnectionsAreLimited(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.server.clients.mu.Lock()
	s.server.clients.minIdle = time.Hour
	s.server.clients.mu.Unlock()
	var connections []net.Conn
	for range s.server.clients.maxConns {
		conn := s.dial()
		connections = append(connections, conn)
		s.request("read", "", time.Minute).Write(conn)
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("within the limit: %v, %v", response, err)
		}
	}
	got := s.send(s.request("read", "", 3*time.Second))
	if got.statusCode != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("beyond the limit: %+v", got)
	}
	for _, conn := range connections {
		conn.Close()
	}
	s.await("the connections to end", func() bool { return s.server.clients.count() == 0 })
	if got := s.send(s.request("read", "", 3*time.Second)); got.statusCode != http.StatusOK {
		t.Errorf("below the limit again: %+v", got)
	}
}
