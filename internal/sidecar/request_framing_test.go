package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// However what a client sends is cut, each head is found, and the one that contradicts itself.
func TestRequestHeadsAreFoundHoweverInputIsCut(t *testing.T) {
	plain := "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	body := "POST /b HTTP/1.1\r\nContent-Length: 40\r\n\r\n" + "POST / HTTP/1.1\r\nTransfer-Encoding: x\r\n\r\n"[:40]
	chunked := "POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
	long := "GET /" + strings.Repeat("d", 300) + " HTTP/1.1\r\nX: " + strings.Repeat("content-length: 3", 30) + "\r\n\r\n"
	for _, c := range []struct {
		sends           string
		heads, conflict int
	}{
		{plain + plain, 2, 0},
		{body + plain + body, 3, 0},
		{long + plain, 2, 0},
		{chunked + "0\r\n\r\n" + plain, 1, 0}, // nothing is looked at beyond it
		{"POST /c HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1, 1},
		{body + plain + "POST /c HTTP/1.1\nTRANSFER-ENCODING:chunked\nContent-length:0\n\n0\r\n\r\n", 3, 3},
		{"POST /c HTTP/1.1\r\nContent-Length: 4x\r\nTransfer-Encoding: chunked\r\n\r\n", 0, 0},
		{"POST /c HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n" + plain, 0, 0},
	} {
		for size := 1; size <= len(c.sends); size++ {
			f := newRequestFraming()
			for rest := c.sends; len(rest) > 0; {
				n := min(size, len(rest))
				f.observe([]byte(rest[:n]))
				rest = rest[n:]
			}
			if f.isInHead && !f.isDone {
				t.Fatalf("%.60q in pieces of %d: a head is said to be on its way at the end", c.sends, size)
			}
			if f.headsRead != c.heads || f.conflictingHead != c.conflict {
				t.Fatalf("%.60q in pieces of %d: %d heads, conflict in %d; want %d and %d",
					c.sends, size, f.headsRead, f.conflictingHead, c.heads, c.conflict)
			}
		}
	}
}

// A client may begin its next request as soon as it has its answer, before the server counts the connection as at rest.
func TestRequestMayStartBeforeTheLastIsDone(t *testing.T) {
	near, far := socketPair(t)
	clients := newClients(1)
	conn, err := newClientConn(far, clients)
	if err != nil {
		t.Fatal(err)
	}
	read := func(text string) {
		t.Helper()
		go io.WriteString(near, text)
		if _, err := io.ReadFull(conn, make([]byte, len(text))); err != nil {
			t.Fatal(err)
		}
	}
	read("GET /a HTTP/1.1\r\n\r\n")
	if !conn.hasRequestInProgress() {
		t.Error("a whole head that nobody took is not seen")
	}
	conn.takeRequest()
	if conn.hasRequestInProgress() {
		t.Error("a request that was taken counts as on its way")
	}
	read("GET /b")
	clients.note(conn, http.StateNew)
	clients.note(conn, http.StateIdle) // only now
	clients.closeIdle(0)
	if clients.open() != 1 || conn.isClosing {
		t.Error("the connection was closed under half a head")
	}
}

// socketPair returns both ends of a connection over loopback.
func socketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}
