package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/bodybuffer"
	"bramblestand/internal/endpointtest"
	"bramblestand/internal/socket"
	"bramblestand/internal/upstream"
)

// awaitOnlyConn waits until there is exactly one connection, and returns the sidecar's end of it.
func (s *testSidecar) awaitOnlyConn() *clientConn {
	s.t.Helper()
	var found *clientConn
	s.await("one connection", func() bool {
		s.server.clients.mu.Lock()
		defer s.server.clients.mu.Unlock()
		for conn := range s.server.clients.conns {
			found = conn
		}
		return len(s.server.clients.conns) == 1
	})
	return found
}

// awaitIdleConn waits until the only connection is idle, and returns it.
func (s *testSidecar) awaitIdleConn() *clientConn {
	s.t.Helper()
	conn := s.awaitOnlyConn()
	s.await("the connection to be idle", func() bool { return s.server.clients.counts().idle == 1 })
	return conn
}

// A response that ends its connection reaches a client that has sent more than the sidecar reads as requests. Guards against a close
// with unread input, for which the system resets the connection, so that the response is lost.
func TestResponseReachesAClientThatSentMore(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	head := "POST /pay HTTP/1.1\r\nHost: x\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 9000\r\nIdempotency-Key: 1\r\n"
	for name, c := range map[string]struct{ sent, code string }{
		"readiness":               {"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", "200"},
		"a bad request":           {head + "Content-Length: 0\r\n\r\n", "400"},
		"a malformed head":        {"GET\r\n\r\n", "400"},
		"an unknown coding":       {head + "Transfer-Encoding: x\r\n\r\n", "501"},
		"a head too large":        {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*upstream.MaxHeaderBytes) + "\r\n\r\n", "431"},
		"chunks, which end it":    {head + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "200"},
		"a rejection amid a body": {head + "X-Correlation-Id: 1\r\nContent-Length: 99999999\r\n\r\n", "413"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
			s.await("no connection", func() bool { return s.server.clients.count() == 0 })
			client := s.connect()
			io.WriteString(client.conn, c.sent+strings.Repeat("z", 64<<10))
			s.awaitOnlyConn()
			s.await("the connection's end", func() bool { return s.server.clients.count() == 0 })
			got, err := io.ReadAll(client.in)
			if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 "+c.code) {
				t.Errorf("read %.40q, %v; want a response %s and a clean end", got, err, c.code)
			}
		})
	}
}

// A request that arrives between the check of an idle connection and its close is never read: its client sees the end of the
// connection, and sends the request again elsewhere.
func TestRequestAfterTheIdleCheckIsNeverRead(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.await("no connection", func() bool { return s.server.clients.count() == 0 })
	client := s.connect()
	client.roundTrip()
	conn := s.awaitIdleConn()
	conn.closeIf(func() bool {
		if conn.hasRequestInProgressLocked() || !socket.IsQuiet(conn.Conn) {
			t.Error("the connection is not idle")
		}
		s.request("read", "", time.Minute).Write(client.conn)
		s.await("the request in the socket's buffer", func() bool { return !socket.IsQuiet(conn.Conn) })
		return true
	})
	if got, err := io.ReadAll(client.in); err != nil || len(got) > 0 {
		t.Errorf("the client read %q, %v; want the end", got, err)
	}
	s.request("read", "", time.Minute).Write(client.conn)
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("after the close %d bytes are read (%v)", n, err)
	}
	client.conn.Close()
	s.await("the connection's end", func() bool { return s.server.clients.count() == 0 })
	s.onLoop(func() {
		if s.loop.lastRequestID != 1 {
			t.Errorf("%d requests were taken, want 1", s.loop.lastRequestID)
		}
	})
	if n, _ := e.Counts(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", n)
	}
}

// An idle connection is not closed if part of a request was read before the check, even a single byte.
func TestIdleCloseSparesARequestInProgress(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.await("no connection", func() bool { return s.server.clients.count() == 0 })
	client := s.connect()
	for n := range 4 {
		client.roundTrip()
		conn := s.awaitIdleConn()
		var head bytes.Buffer
		s.request("read", "", time.Minute).Write(&head)
		first := head.Next(n + 1)
		client.conn.Write(first)
		conn.closeIdle() // whether they were read by now or not
		s.await("the first bytes to be read", conn.hasRequestInProgress)
		conn.closeIdle()
		client.conn.Write(head.Bytes())
		if got, err := http.ReadResponse(client.in, nil); err != nil || got.StatusCode != 200 {
			t.Fatalf("a request of which %d bytes had come: %v, %v", n+1, got, err)
		} else {
			io.Copy(io.Discard, got.Body)
		}
	}
}

// Input that arrives after a connection is closed is never read as a request, even during a shutdown.
func TestNothingIsReadAfterTheClose(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.await("no connection", func() bool { return s.server.clients.count() == 0 })
	s.server.acceptDuration = 0
	client := s.connect()
	client.roundTrip()
	s.awaitIdleConn()
	s.stop()
	if got, err := io.ReadAll(client.in); err != nil || len(got) > 0 {
		t.Fatalf("the client read %q, %v; want the end", got, err)
	}
	for range 3 { // a client that goes on sending
		s.request("read", "", time.Minute).Write(client.conn)
	}
	client.conn.Close()
	s.expectCleanEnd()
	if n, _ := e.Counts(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", n)
	}
}

// A close returns even if input or the client's disconnect arrives at the same time. Guards against a deadlock: the socket's close
// waits for a read in progress, so the read must not wait for the close.
func TestCloseDuringARead(t *testing.T) {
	clients := newClientConns(1)
	for i := range 300 {
		clientEnd, serverEnd := socketPair(t)
		conn, err := newClientConn(serverEnd, clients)
		if err != nil {
			t.Fatal(err)
		}
		clients.connState(conn, http.StateNew)
		read, closed := make(chan struct{}), make(chan struct{})
		go func() {
			for {
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					close(read)
					return
				}
			}
		}()
		go func() {
			if i%2 == 0 {
				conn.Close()
			} else {
				conn.closeAtOnceIf(func() bool { return true })
			}
			close(closed)
		}()
		clientEnd.Write([]byte("zz"))
		clientEnd.(*net.TCPConn).SetLinger(i % 3 * -1) // 0, for every third connection, resets it on close
		clientEnd.Close()
		for what, done := range map[string]chan struct{}{"read": read, "close": closed} {
			select {
			case <-done:
			case <-time.After(testTimeout):
				t.Fatalf("%d: the %s does not return", i, what)
			}
		}
		await(t, "the connection's end", func() bool { return clients.count() == 0 })
	}
}

// Connections that are closed and being drained are evicted before all others.
func TestDrainingConnectionsAreEvictedFirst(t *testing.T) {
	clients := newClientConns(3)
	var conns []*clientConn
	for i := range 3 {
		_, serverEnd := socketPair(t)
		conn, err := newClientConn(serverEnd, clients)
		if err != nil {
			t.Fatal(err)
		}
		clients.connState(conn, http.StateNew)
		if i > 0 { // the last of these is closed below, and its client does not close its side
			clients.markValidRequest(conn)
			clients.connState(conn, http.StateActive)
		}
		conns = append(conns, conn)
	}
	conns[2].Close()
	clients.connState(conns[2], http.StateClosed)
	if n := clients.count(); n != 3 {
		t.Fatalf("%d connections are open, want the draining one among them", n)
	}
	clients.evictOne()
	clients.mu.Lock()
	defer clients.mu.Unlock()
	if clients.conns[conns[2]] != nil || len(clients.conns) != 2 {
		t.Error("the draining connection was not the one that was evicted")
	}
}

// Misbehaving clients are disconnected within 3 s: those that send without end, and those that send two bytes of a request and
// stop. Others are served meanwhile.
func TestMisbehavingClientsAreDisconnected(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	var ended [3]chan error
	for i, sends := range []string{"no request\r\n\r\n", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n", ""} {
		client, done := s.connect(), make(chan error, 1)
		ended[i] = done
		if sends == "" {
			client.roundTrip()
			io.WriteString(client.conn, "GE")
			go func() {
				_, err := io.ReadAll(client.in)
				done <- err
			}()
			continue
		}
		io.WriteString(client.conn, sends)
		go func() {
			junk, sent := bytes.Repeat([]byte("z"), 64<<10), 0
			for {
				n, err := client.conn.Write(junk)
				if sent += n; err != nil {
					done <- nil // the sidecar disconnected the client
					return
				}
				// The bound is the input that is discarded in maxDrainTime, and twice as much for the system's buffers.
				if maxDiscarded := int(maxDrainTime/discardInterval) * bodybuffer.Size; sent > 3*maxDiscarded {
					done <- fmt.Errorf("%d bytes were read of it", sent)
					return
				}
			}
		}()
	}
	for i, done := range ended {
		for over := false; !over; {
			select {
			case err := <-done:
				if over = true; err != nil {
					t.Errorf("misbehaving client %d: %v", i, err)
				}
			case <-time.After(testTimeout):
				t.Fatalf("misbehaving client %d is not disconnected", i)
			default:
				if got := s.send(s.request("read", "", 3*time.Second)); got.statusCode != http.StatusOK {
					t.Fatalf("a request meanwhile: %+v", got)
				}
			}
		}
	}
	s.await("their connections to be gone", func() bool { return s.server.clients.count() == 0 })
}

// With few descriptors, other clients are served during a flood of misbehaving connections of every kind.
func TestConnectionFloodLeavesRoomForClients(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	stop := make(chan struct{})
	defer close(stop)
	for i := range 8 {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
				if err != nil {
					continue
				}
				fmt.Fprint(conn, [...]string{"", "GET / HTTP/1.1\r\n", "z\r\n\r\n" + strings.Repeat("z", 9000), "GET / HTTP/1.1\r\nHost: x\r\n\r\n"}[(n+i)%4])
				if n%2 == 0 {
					conn.(*net.TCPConn).SetLinger(0)
				} else {
					defer conn.Close() // stays open until the goroutine ends
				}
				if n%2 == 0 {
					conn.Close()
				}
				if n > 60 {
					return
				}
			}
		}()
	}
	for range 50 {
		if got := s.send(s.request("read", "", 3*time.Second)); got.statusCode != http.StatusOK {
			t.Fatalf("a request: %+v", got)
		}
		if n := s.server.clients.count(); n > s.server.clients.maxConns {
			t.Fatalf("%d connections are held, %d at most", n, s.server.clients.maxConns)
		}
	}
}
