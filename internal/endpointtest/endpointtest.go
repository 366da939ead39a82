// Package endpointtest has endpoints for tests: TCP servers whose responses are given by the test byte for byte, so that they
// may be malformed or incomplete.
package endpointtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Timeout is how long a test waits for an expected event before it fails.
const Timeout = 20 * time.Second

// Complete HTTP responses.
const (
	OKResponse       = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	ErrorResponse    = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	RejectedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// Handler serves one connection. The connection is closed after it has returned.
type Handler = func(s *Server, conn net.Conn, in *bufio.Reader)

// Server is an endpoint that records its requests.
type Server struct {
	Address string // host:port

	mu       sync.Mutex // guards the fields below
	conns    int        // accepted
	requests []*http.Request
}

// NewServer starts an endpoint that accepts connections until the test ends.
func NewServer(t *testing.T, serve Handler) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go func() {
				defer conn.Close()
				serve(s, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// ReadRequest reads a whole request and records it. It returns nil if the connection ended or the request is malformed.
func (s *Server) ReadRequest(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	return r
}

// Counts returns the number of recorded requests and of accepted connections.
func (s *Server) Counts() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.conns
}

// Request returns the recorded request with index i, counted from 0.
func (s *Server) Request(i int) *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[i]
}

// Always returns a handler that writes the same response to every request.
func Always(response string) Handler { return FirstThen(response, response) }

// FirstThen returns a handler that writes one response to the first request of the endpoint, counted over all connections, and
// another response to all later requests.
func FirstThen(first, rest string) Handler {
	return func(s *Server, conn net.Conn, in *bufio.Reader) {
		for s.ReadRequest(in) != nil {
			if n, _ := s.Counts(); n == 1 {
				io.WriteString(conn, first)
			} else {
				io.WriteString(conn, rest)
			}
		}
	}
}

// HoldPath returns a handler that writes OKResponse to every request. Requests whose path begins with prefix get it only after
// release is closed.
func HoldPath(prefix string, release <-chan struct{}) Handler {
	return func(s *Server, conn net.Conn, in *bufio.Reader) {
		for r := s.ReadRequest(in); r != nil; r = s.ReadRequest(in) {
			if strings.HasPrefix(r.RequestURI, prefix) {
				<-release
			}
			io.WriteString(conn, OKResponse)
		}
	}
}

// Silent is a handler that reads requests and never responds.
func Silent(s *Server, conn net.Conn, in *bufio.Reader) {
	for s.ReadRequest(in) != nil {
	}
}

// ReadOne returns a handler that reads one request without recording it and reports whether its body was complete.
func ReadOne(isComplete chan<- bool) Handler {
	return func(s *Server, conn net.Conn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			isComplete <- err == nil
		}
	}
}

// ClosedAddress returns an address that refuses connections. Its port is bound by a socket that does not listen, so that no
// other socket can get the port before the test ends.
func ClosedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		t.Cleanup(func() { syscall.Close(fd) })
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// WaitFor waits until isTrue returns true. It fails the test and stops it if that takes longer than Timeout.
func WaitFor(t *testing.T, what string, isTrue func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !isTrue(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for: %s", Timeout, what)
		}
	}
}
