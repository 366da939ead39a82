package lib2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// PinServer is a stand-in for a pin server. It answers probes by itself, and passes each other request to Handle once the last byte
// has arrived.
type PinServer struct {
	Address string
	// Handle writes the answer. It returns false if the connection is to be closed.
	Handle func(conn net.Conn, request *http.Request, body []byte) bool

	Record   *Record // of the requests that run; may be nil
	InFlight atomic.Int64
}

// StartPinServer starts a pin server whose requests are recorded.
func (c *Case) StartPinServer(handle func(conn net.Conn, request *http.Request, body []byte) bool) *PinServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	s := &PinServer{Address: l.Addr().String(), Handle: handle, Record: c.Record}
	go s.Serve(l)
	return s
}

// Serve accepts connections until the listener is closed.
func (s *PinServer) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.ServeConn(conn)
	}
}

// ServeConn answers the requests of a connection.
func (s *PinServer) ServeConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		switch {
		case request.URL.Path == "/stats":
			text := fmt.Sprintf("busy_reqs=%d,failed_ps=0,svc_ms=100,pending=0", s.InFlight.Load())
			io.WriteString(conn, OK(text))
			continue
		case request.URL.Path == "/health/live":
			io.WriteString(conn, OK(""))
			continue
		case request.Header.Get("X-Correlation-Id") == "":
			io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if s.Record != nil {
			s.Record.Printf("%s runs at %s", request.Header.Get("X-Correlation-Id"), conn.LocalAddr())
		}
		s.InFlight.Add(1)
		keep := s.Handle(conn, request, body)
		s.InFlight.Add(-1)
		if !keep {
			return
		}
	}
}

// OK returns the bytes of an answer with this body.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Reset closes a connection with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
