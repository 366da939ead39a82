package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// After SIGTERM requests in flight are served, new connections are accepted for some time, idle connections are then closed, and
// the sidecar ends without an error.
func TestShutdownServesWhatWasAccepted(t *testing.T) {
	respond := make(chan struct{})
	e := endpointtest.NewServer(t, endpointtest.HoldPath("/pay", respond))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.server.acceptDuration = 3 * time.Second // long enough to connect on a busy machine
	idle := s.dial()
	s.request("read", "", time.Minute).Write(idle)
	in := bufio.NewReader(idle)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)

	pending := make(chan clientResponse)
	go func() { pending <- s.send(s.request("pay", "x", time.Minute)) }()
	s.await("the request in flight", func() bool { n, _ := e.Counts(); return n == 2 })
	s.stop()
	// New connections are still served, one request each.
	conn := s.dial()
	s.request("read", "", time.Minute).Write(conn)
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if late, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || late.StatusCode != http.StatusOK || !late.Close {
		t.Errorf("a request after SIGTERM: %v, %v; want 200 and Connection: close", late, err)
	}
	s.awaitEndOfAccepting()
	idle.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	close(respond)
	if got := <-pending; got.statusCode != http.StatusOK || got.body != "done" {
		t.Errorf("the request in flight: %+v", got)
	}
	s.expectCleanEnd()
}

// A request that becomes complete only after accepting has ended gets a 503 rather than a closed connection. It is not forwarded,
// because the process may be killed before an endpoint responds.
func TestRequestCompletedDuringShutdownIsRejected(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	s.server.acceptDuration = 0
	client := s.connect()
	client.roundTrip()
	s.await("the connection to be idle", func() bool { return s.server.clients.counts().idle == 1 })
	var header strings.Builder
	s.request("read", "", time.Minute).Write(&header)
	io.WriteString(client.conn, header.String()[:10])
	s.await("the start of the header to be read", func() bool {
		s.server.clients.mu.Lock()
		defer s.server.clients.mu.Unlock()
		for conn := range s.server.clients.conns {
			return conn.hasRequestInProgress()
		}
		return false
	})
	s.stop()
	s.awaitEndOfAccepting()
	time.Sleep(10 * shutdownCheckInterval) // time in which a faulty idle check would close the connection
	io.WriteString(client.conn, header.String()[10:])
	if got, err := http.ReadResponse(client.in, nil); err != nil || got.StatusCode != http.StatusServiceUnavailable ||
		!got.Close || got.Header.Get("Retry-After") == "" {
		t.Errorf("a request that was incomplete: %v, %v; want 503, Retry-After and the end", got, err)
	}
}

// Idle clients that keep their side of a closed connection open do not delay the end of the process. Guards against a process that
// many such clients keep running until it is killed.
func TestIdleClientsDoNotDelayTheEnd(t *testing.T) {
	const maxDelay = time.Second
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.server.acceptDuration = 0
	for range 20 {
		s.dial()                // never used
		s.connect().roundTrip() // used once
	}
	time.Sleep(minFirstByteWait) // after which an unused connection counts as idle
	s.await("all to be idle", func() bool { counts := s.server.clients.counts(); return counts.idle == 20 && counts.unused == 20 })
	start := time.Now()
	s.stop()
	s.expectCleanEnd()
	if took := time.Since(start); took > maxDelay {
		t.Errorf("the process ended after %v, want %v at most", took, maxDelay)
	}
}

// lateListener returns an accepted connection from Accept only some time after the listener was closed.
type lateListener struct {
	net.Listener
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *lateListener) Close() error {
	defer l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		<-l.closed
		time.Sleep(20 * shutdownCheckInterval)
	}
	return conn, err
}

// A request on a connection that was accepted just before the end of accepting gets a response, which by then is a rejection. Guards
// against a process that ends between the accept and the registration of the connection.
func TestShutdownAwaitsTheLastAccept(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.server.acceptDuration = 0
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.server.serve(ctx, &lateListener{Listener: inner, closed: make(chan struct{})}) }()
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s.request("read", "", time.Minute).Write(conn)
	time.Sleep(20 * time.Millisecond) // time for the connection to be accepted
	stop()
	conn.SetDeadline(time.Now().Add(testTimeout))
	if got, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || got.StatusCode != http.StatusServiceUnavailable ||
		got.Header.Get("Retry-After") == "" {
		t.Errorf("the last connection: %v, %v; want 503 and Retry-After", got, err)
	}
	conn.Close()
	if err := <-ended; err != nil {
		t.Errorf("the end of serving: %v", err)
	}
}
