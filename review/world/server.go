package world

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// receiveBuffer is the receive buffer of each connection, in bytes.
const receiveBuffer = 64 << 10

// slots is how many requests a pin server works on at once; further ones wait.
const slots = 4

// PinServer is a stand-in for a pin server. It reads a request to its last byte, works on it for a while, and answers with a body
// that names the request and the server. Each case may replace what it writes.
type PinServer struct {
	Host   Host
	Work   func() time.Duration // time that one request takes
	Answer func(c *ServerConn, id string) (keep bool)
	// Known reports whether a client has sent this id.
	Known func(id string) bool
	// Hangs reports whether the process hangs: it neither reads nor writes meanwhile. Nil if it never hangs.
	Hangs func() bool

	record   *Record
	listener net.Listener
	busy     chan struct{}
	held     atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// ServerConn is a connection from a sidecar.
type ServerConn struct {
	net.Conn
	Server *PinServer
}

// StartPinServer starts a server that works with the defaults until its fields are changed, which has to happen before traffic.
func StartPinServer(record *Record, index int, zone string, pod int) (*PinServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &PinServer{record: record, listener: listener, busy: make(chan struct{}, slots), conns: map[net.Conn]bool{}}
	s.Host = Host{Name: fmt.Sprintf("s-%08x", 0x5be20000+index), Address: listener.Addr().String(), Zone: zone, Kind: "std-4",
		Pod: pod, Health: "Ready", Share: 1}
	s.Answer = func(c *ServerConn, id string) bool { return c.WriteAnswer(s.Body(id)) }
	s.Work = func() time.Duration { return 100 * time.Millisecond }
	s.Known = func(string) bool { return true }
	return s, nil
}

// Serve accepts connections until Close.
func (s *PinServer) Serve() {
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(&ServerConn{Conn: conn, Server: s})
		}
	}()
}

// Close closes the address and all connections.
func (s *PinServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// Body returns the body that this server makes for a request.
func (s *PinServer) Body(id string) string { return "saved " + id + " at " + s.Host.Name + "\n" }

// awaitEndOfHang waits as long as the process hangs.
func (s *PinServer) awaitEndOfHang() {
	for s.Hangs != nil && s.Hangs() {
		time.Sleep(2 * time.Millisecond)
	}
}

// hangingReader reads from a connection, but not while the server hangs.
type hangingReader struct{ *ServerConn }

func (r hangingReader) Read(p []byte) (int, error) {
	r.Server.awaitEndOfHang()
	return r.Conn.Read(p)
}

// serve answers the requests of one connection, one after the other.
func (s *PinServer) serve(c *ServerConn) {
	defer func() {
		c.Conn.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(hangingReader{c})
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !s.handle(c, request) || request.Close {
			return
		}
	}
}

// handle answers one request, and reports whether the connection stays open.
func (s *PinServer) handle(c *ServerConn, request *http.Request) bool {
	s.awaitEndOfHang()
	held := s.held.Load()
	id := request.Header.Get("X-Correlation-Id")
	switch {
	case request.URL.Path == "/stats":
		return c.WriteAnswer(fmt.Sprintf("busy_reqs=%d,failed_ps=0,svc_ms=100,pending=%d", held, max(0, held-slots)))
	case request.URL.Path == "/health/live":
		return c.WriteAnswer("")
	case id == "":
		return c.writeStatus("404 Not Found")
	case !s.Known(id):
		s.record.Add("unknown   %s at %s", id, s.Host.Name)
		return c.writeStatus("400 Bad Request")
	}
	s.held.Add(1)
	s.busy <- struct{}{}
	s.record.Add("ran       %s at %s, left %s ms", id, s.Host.Name, request.Header.Get("X-Time-Left-Ms"))
	time.Sleep(s.Work())
	<-s.busy
	s.held.Add(-1)
	s.awaitEndOfHang()
	return s.Answer(c, id)
}

// WriteAnswer writes a whole answer with a length.
func (c *ServerConn) WriteAnswer(body string) bool {
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

func (c *ServerConn) writeStatus(status string) bool {
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
	return err == nil
}
