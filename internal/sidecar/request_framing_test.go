package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// requestFraming finds the same heads in whatever pieces the input arrives.
func TestRequestHeadsAreFoundHoweverInputIsCut(t *testing.T) {
	plain := "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	body := "POST /b HTTP/1.1\r\nContent-Length: 40\r\n\r\n" + "POST / HTTP/1.1\r\nTransfer-Encoding: x\r\n\r\n"[:40]
	chunked := "POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
	long := "GET /" + strings.Repeat("d", 300) + " HTTP/1.1\r\nX: " + strings.Repeat("content-length: 3", 30) + "\r\n\r\n"
	for _, c := range []struct {
		sent                       string
		headsRead, conflictingHead int
	}{
		{plain + plain, 2, 0},
		{body + plain + body, 3, 0},
		{long + plain, 2, 0},
		{chunked + "0\r\n\r\n" + plain, 1, 0}, // input after a chunked request's head is ignored
		{"POST /c HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1, 1},
		{body + plain + "POST /c HTTP/1.1\nTRANSFER-ENCODING:chunked\nContent-length:0\n\n0\r\n\r\n", 3, 3},
		{"POST /c HTTP/1.1\r\nContent-Length: 4x\r\nTransfer-Encoding: chunked\r\n\r\n", 0, 0},
		{"POST /c HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n" + plain, 0, 0},
	} {
		for size := 1; size <= len(c.sent); size++ {
			f := newRequestFraming()
			for remaining := c.sent; len(remaining) > 0; {
				remaining = remaining[f.observe([]byte(remaining[:min(size, len(remaining))])):]
			}
			if f.isInHead && !f.isDone {
				t.Fatalf("%.60q in pieces of %d: a head is reported as incomplete at the end", c.sent, size)
			}
			conflictingHead := 0 // it can only be the last one, after which the framing is done
			if f.head.hasTransferCoding && f.head.contentLength != unknownContentLength {
				conflictingHead = f.headsRead
			}
			if f.headsRead != c.headsRead || conflictingHead != c.conflictingHead {
				t.Fatalf("%.60q in pieces of %d: %d heads, conflict in %d; want %d and %d",
					c.sent, size, f.headsRead, conflictingHead, c.headsRead, c.conflictingHead)
			}
		}
	}
}

// A client may send its next request as soon as it has the response, before net/http reports the connection as idle. The part of
// that request that was read must keep the connection open.
func TestRequestMayStartBeforeTheLastIsDone(t *testing.T) {
	clientEnd, serverEnd := socketPair(t)
	clients := newClientConns(1)
	conn, err := newClientConn(serverEnd, clients)
	if err != nil {
		t.Fatal(err)
	}
	read := func(text string) {
		t.Helper()
		go io.WriteString(clientEnd, text)
		if _, err := io.ReadFull(conn, make([]byte, len(text))); err != nil {
			t.Fatal(err)
		}
	}
	read("GET /a HTTP/1.1\r\n\r\n")
	if !conn.hasRequestInProgress() {
		t.Error("a complete head that no handler has taken is not reported as in progress")
	}
	conn.takeRequest()
	if conn.hasRequestInProgress() {
		t.Error("a request that was taken is reported as in progress")
	}
	read("GET /b")
	clients.connState(conn, http.StateNew)
	clients.connState(conn, http.StateIdle) // reported after the next request was begun
	clients.closeIdle(0)
	if clients.count() != 1 || conn.isClosing {
		t.Error("the connection was closed after part of a head was read")
	}
}

// socketPair returns both ends of a TCP connection over loopback, which are closed when the test ends.
func socketPair(t *testing.T) (clientEnd, serverEnd net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if clientEnd, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clientEnd.Close() })
	if serverEnd, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { serverEnd.Close() })
	return clientEnd, serverEnd
}
