package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// A client that sends no complete valid request gets an error or is disconnected in time. A client that has sent a valid request
// and waits longer than that for its response is not disconnected.
func TestIncompleteRequestsAreEnded(t *testing.T) {
	t.Parallel()
	respond := make(chan struct{})
	e := endpointtest.NewServer(t, func(e *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		<-respond
		io.WriteString(conn, endpointtest.OKResponse)
	})
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	pending := make(chan clientResponse, 1)
	go func() { pending <- s.send(s.request("pay", "x", time.Minute)) }()
	s.await("the request in flight", func() bool { n, _ := e.Counts(); return n == 1 })

	head := "POST /pay HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 900\r\n"
	for name, sent := range map[string]string{
		"nothing":          "",
		"half a head":      head,
		"half a body":      head + "Idempotency-Key: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"an unknown class": strings.Replace(head, ": pay", ": gift", 1) + "Content-Length: 0\r\n\r\n",
		"no key":           head + "Content-Length: 1\r\n\r\nx",
		"a broken chunk":   head + "Idempotency-Key: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"noise":            "\x16\x03\x01\x02\x00\r\n\r\n",
	} {
		conn := s.dial()
		io.WriteString(conn, sent)
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if got, err := io.ReadAll(conn); err != nil || len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
			t.Errorf("%s: read %q, %v; want an error response or nothing, and the end", name, got, err)
		}
	}
	close(respond)
	if got := <-pending; got.statusCode != http.StatusOK {
		t.Errorf("the request in flight: %+v", got)
	}
	if n, _ := e.Counts(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want the valid one alone", n)
	}
}

// A request inside the body of another is not served, however the body's length is given.
func TestRequestInsideABodyIsNotServed(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	head := "POST /pay HTTP/1.1\r\nHost: x\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 9000\r\nIdempotency-Key: 1\r\n"
	inner := head + "X-Correlation-Id: inner\r\nContent-Length: 0\r\n\r\n"
	outer := head + "X-Correlation-Id: outer\r\n"
	inChunk := "0\r\n\r\n" + inner
	length := "Content-Length: " + strconv.Itoa(len(inChunk)) + "\r\n"
	for name, c := range map[string]struct{ sent, statusCode string }{
		"length and chunks": {outer + length + "Transfer-Encoding: chunked\r\n\r\n" + inChunk, "400"},
		"chunks and length": {outer + "Transfer-Encoding: chunked\r\n" + length + "\r\n" + inChunk, "400"},
		"chunks alone":      {outer + "Transfer-Encoding: chunked\r\n\r\n" + inChunk, "200"},
		"chunks in HTTP/1.0": {strings.Replace(outer, "1.1", "1.0", 1) +
			"Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + inner, "505"},
		"two lengths":       {outer + length + "Content-Length: 0\r\n\r\n" + inChunk, "400"},
		"an unknown coding": {outer + length + "Transfer-Encoding: xchunked\r\n\r\n" + inChunk, "501"},
		"a malformed head":  {outer + "X-Time-Left-Ms : 5\r\n" + length + "\r\n" + inChunk, "400"},
	} {
		conn := s.dial()
		io.WriteString(conn, c.sent)
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		// The connection may end with a reset, since it may be closed with unread input.
		got, _ := io.ReadAll(conn)
		if !strings.HasPrefix(string(got), "HTTP/1.1 "+c.statusCode) && !strings.HasPrefix(string(got), "HTTP/1.0 "+c.statusCode) ||
			strings.Count(string(got), "HTTP/1.") != 1 {
			t.Errorf("%s: read %q, want one response %s and the end", name, got, c.statusCode)
		}
	}
	requests, _ := e.Counts()
	for i := range requests {
		if id := e.Request(i).Header.Get(requestIDHeader); id != "outer" {
			t.Errorf("the endpoint got the request %q", id)
		}
	}
	if requests != 1 {
		t.Errorf("%d requests reached the endpoint, want the one with chunks alone", requests)
	}
}

// Only a GET or HEAD of the exact path is a readiness check. Guards against peers that send no request of the application and get a 200
// that no endpoint made.
func TestOnlyReadinessChecksAreAnsweredWithoutAnEndpoint(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", "127.0.0.1:1"))
	for request, want := range map[string]string{
		"GET /health/ready":          "200",
		"HEAD /health/ready":         "200",
		"GET /health/ready?x":        "200",
		"GET http://x/health/ready":  "200",
		"POST /health/ready":         "400",
		"OPTIONS /health/ready":      "400",
		"GET /health%2Fready":        "400",
		"GET /health/ready/":         "400",
		"CONNECT /health/ready":      "400",
		"PROPFIND /health/ready?x=1": "400",
	} {
		conn := s.dial()
		io.WriteString(conn, request+" HTTP/1.1\r\nHost: x\r\n\r\n")
		conn.SetReadDeadline(time.Now().Add(clientIdleTimeout / 2))
		if text, err := io.ReadAll(conn); err != nil || statusCodes(string(text)) != want {
			t.Errorf("%s: %q, %v; want %s and the end", request, text, err, want)
		}
	}
}

// The sidecar closes the connection of a readiness check after its response.
func TestReadinessCheckEndsItsConnection(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", "127.0.0.1:1"))
	conn := s.dial()
	io.WriteString(conn, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	conn.SetReadDeadline(time.Now().Add(clientIdleTimeout / 2))
	if got, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200") {
		t.Errorf("read %q, %v; want 200 and the end", got, err)
	}
}
