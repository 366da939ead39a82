package sidecar

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// These tests guard against input that net/http and requestFraming read as different requests: connections that are never closed
// or evicted, and requests from inside a body that are forwarded (issue 52, review/6).

const (
	// stepHead is the head of a valid request without its id and its end.
	stepHead = "POST /pay HTTP/1.1\r\nHost: x\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 9000\r\nIdempotency-Key: 1\r\n"
	// innerRequest is a valid request that is only sent inside the body of another.
	innerRequest = stepHead + "X-Correlation-Id: inner\r\nContent-Length: 0\r\n\r\n"
	// chunkedInner is a chunked body of no bytes with innerRequest after its end.
	chunkedInner = "0\r\n\r\n" + innerRequest
)

// hiddenRequest returns a request with both a length and chunks, whose body has innerRequest if it is read by its length.
func hiddenRequest() string {
	return stepHead + "X-Correlation-Id: outer\r\nContent-Length: " + strconv.Itoa(len(chunkedInner)) +
		"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedInner
}

// A request inside a body is not forwarded, whatever was sent before on the connection or the body's length is written like, and
// the connection ends in time.
func TestParsersThatPartForwardNoHiddenRequest(t *testing.T) {
	valid := stepHead + "X-Correlation-Id: outer\r\nContent-Length: 1\r\n\r\nx"
	padded := func(value string) string { return strings.Repeat(" ", 2*maxHeaderLineKept) + value }
	length := strconv.Itoa(len(innerRequest))
	ambiguous := func(lines string) string {
		return stepHead + "X-Correlation-Id: outer\r\n" + lines + "\r\n" + innerRequest
	}
	for name, c := range map[string]struct {
		sent     string
		statuses string // of the responses
	}{
		"general options":              {"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n" + hiddenRequest(), "400"},
		"general options with a body":  {"OPTIONS * HTTP/1.1\r\nHost: x\r\nContent-Length: " + length + "\r\n\r\n" + innerRequest, "400"},
		"an empty line":                {valid + "\r\n" + hiddenRequest(), "200 400"},
		"two empty lines":              {valid + "\r\n\r\n" + hiddenRequest(), "200 400"},
		"an empty line before all":     {"\r\n" + hiddenRequest(), "400"},
		"many empty lines":             {valid + strings.Repeat("\n", 9) + hiddenRequest(), "200 400"},
		"pipelined":                    {valid + valid + hiddenRequest(), "200 200 400"},
		"a padded length":              {ambiguous("Content-Length:" + padded(length) + "\r\n"), "400"},
		"a length with zeros":          {ambiguous("Content-Length: " + strings.Repeat("0", 2*maxHeaderLineKept) + length + "\r\n"), "400"},
		"a folded length":              {ambiguous("Content-Length:\r\n " + length + "\r\n"), "400"},
		"a folded coding and a length": {stepHead + "X-Correlation-Id: outer\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n" + chunkedInner, "400"},
		"a malformed length":           {ambiguous("Content-Length: +" + length + "\r\n"), "400"},
		"a preface of HTTP/2":          {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + hiddenRequest(), "400"},
		"an expectation":               {ambiguous("Expect: x\r\n"), "417"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
			s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
			conn := s.dial()
			io.WriteString(conn, c.sent)
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			text, _ := io.ReadAll(conn) // it may end with a reset, since the connection may be closed with unread input
			if got := statusCodes(string(text)); got != c.statuses {
				t.Errorf("responses %q, want %q and the end: %q", got, c.statuses, text)
			}
			s.await("the connection's end", func() bool { return s.server.clients.count() == 0 })
			requests, _ := e.Counts()
			for i := range requests {
				if id := e.Request(i).Header.Get(requestIDHeader); id != "outer" {
					t.Errorf("the endpoint got the request %q", id)
				}
			}
			if want := strings.Count(c.statuses, "200"); requests != want {
				t.Errorf("%d requests reached the endpoint, want %d", requests, want)
			}
		})
	}
}

// statusCodes returns the status codes of the responses in text, separated by spaces.
func statusCodes(text string) string {
	var codes []string
	for _, part := range strings.Split(text, "HTTP/1.1 ")[1:] {
		codes = append(codes, part[:3])
	}
	return strings.Join(codes, " ")
}

// A request with a chunked body that is rejected before its body is read ends its connection, too. Guards against input after such
// a request, in which requestFraming finds no heads.
func TestChunkedRequestBeyondTheLimitEndsItsConnection(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	s.await("no connection", func() bool { return s.server.clients.count() == 0 })
	s.server.clients.setMaxConns(0)
	conn := s.dial()
	io.WriteString(conn, stepHead+"X-Correlation-Id: outer\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hiddenRequest())
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	text, _ := io.ReadAll(conn)
	if got := statusCodes(string(text)); got != "503" {
		t.Errorf("responses %q, want one rejection and the end: %q", got, text)
	}
}

// "OPTIONS *" is no operators' call, and gets an error. Guards against a call that net/http answers without the handler.
func TestGeneralOptionsAreNoAdminCall(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", "127.0.0.1:1"))
	s.openAdmin()
	conn, err := net.Dial("tcp", s.adminAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if text, err := io.ReadAll(conn); err != nil || statusCodes(string(text)) != "400" {
		t.Errorf("read %q, %v; want 400 and the end", text, err)
	}
}

// A connection on which only empty lines have followed a request is idle. Guards against connections that are never closed.
func TestIdleCloseOfAConnectionWithEmptyLines(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	for _, emptyLines := range []string{"\n", "\r\n", "\r\n\r"} {
		s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
		s.await("no connection", func() bool { return s.server.clients.count() == 0 })
		client := s.connect()
		s.request("pay", "x", time.Minute).Write(client.conn)
		if _, err := http.ReadResponse(client.in, nil); err != nil {
			t.Fatal(err)
		}
		conn := s.awaitIdleConn()
		io.WriteString(client.conn, emptyLines)
		s.await("the empty lines to be read", func() bool {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return conn.framing.blankBytes == len(emptyLines)
		})
		s.server.clients.closeIdle(0)
		s.await("the connection's end", func() bool { return s.server.clients.count() == 0 })
	}
}

// A read ends with the head or the body that it is in. Guards against a request whose handler compares itself with a later head.
func TestReadEndsWithTheHeadOrBody(t *testing.T) {
	conn := newRegisteredConn(t)
	get, post, body := "GET /a HTTP/1.1\r\n\r\n", "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\n", "abc"
	io.WriteString(conn.clientEnd, get+post+body+get)
	buffer := make([]byte, httpReadBuffer)
	for _, want := range []string{get, post, body, get} {
		var part string
		for len(part) < len(want) { // the input may arrive in pieces
			n, err := conn.Read(buffer)
			if err != nil {
				t.Fatal(err)
			}
			part += string(buffer[:n])
		}
		if part != want {
			t.Fatalf("read %q, want %q", part, want)
		}
	}
}

// If net/http has answered a request without its handler, its connection is closed and counted.
func TestConnectionOutOfStepIsClosed(t *testing.T) {
	conn := newRegisteredConn(t)
	conn.receive("OPTIONS * HTTP/1.1\r\n\r\n")
	conn.answerUntaken()
	if !conn.readsAreOver() || conn.clients.counts().outOfStep != 1 {
		t.Errorf("closing %v, %d connections counted as out of step; want the connection closed and 1",
			conn.readsAreOver(), conn.clients.counts().outOfStep)
	}
}
