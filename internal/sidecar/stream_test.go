package sidecar

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
)

// pattern is a body of so many bytes that no other place of it looks like.
type pattern struct{ at, end int64 }

func (p *pattern) Read(b []byte) (int, error) {
	if p.at >= p.end {
		return 0, io.EOF
	}
	b = b[:min(int64(len(b)), p.end-p.at)]
	for i := range b {
		at := p.at + int64(i)
		b[i] = byte(at ^ at>>8*31 ^ at>>16*17)
	}
	p.at += int64(len(b))
	return len(b), nil
}

// sum is a body's digest and length.
func sum(t *testing.T, r io.Reader) string {
	t.Helper()
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%x of %d bytes, %v", h.Sum(nil)[:4], n, err)
}

// slowly reads in small pieces with a rest now and again, so that whoever writes is held back.
type slowly struct {
	io.Reader
	reads int
}

func (s *slowly) Read(p []byte) (int, error) {
	if s.reads++; s.reads%64 == 0 {
		time.Sleep(time.Millisecond)
	}
	return s.Reader.Read(p[:min(len(p), 8<<10)])
}

const long = 8 << 20

// liveHeap is the memory of objects that the last collection found in use, in bytes. Garbage that waits for the next
// one is not in it: how much that is depends on how busy the machine is.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Many long answers at once go to slow readers byte for byte, in memory that does not depend on their lengths.
func TestLongResponsesUseLittleMemory(t *testing.T) {
	// Together 384 MB, of which a twelfth is allowed: what is allocated while a collection runs counts as in use,
	// and on a busy machine one runs long.
	const many, each, allowed = 12, 4 * long, 32 << 20
	var hosts []discovery.Endpoint
	for i := range many {
		e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
			for e.next(in) != nil {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", each)
				io.CopyBuffer(struct{ io.Writer }{conn}, &pattern{end: each}, make([]byte, 16<<10))
			}
		})
		hosts = append(hosts, ready(fmt.Sprint("s-", i), e.address))
	}
	w := start(t, nil, hosts...)
	want := sum(t, &pattern{end: each})
	runtime.GC()
	before := liveHeap()
	results := make(chan string, many)
	for range many {
		go func() {
			r := w.request("read", "", time.Minute)
			r.Close = true
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				results <- err.Error()
				return
			}
			defer response.Body.Close()
			results <- sum(t, &slowly{Reader: response.Body})
		}()
	}
	var most uint64
	for got := 0; got < many; {
		select {
		case result := <-results:
			got++
			if result != want {
				t.Errorf("a client read %s, want %s", result, want)
			}
		case <-time.After(5 * time.Millisecond):
			most = max(most, liveHeap())
		}
	}
	if grown := int64(most) - int64(before); grown > allowed {
		t.Errorf("%d MB of heap for %d answers of %d MB", grown>>20, many, each>>20)
	}
}

// Request bodies of every framing arrive byte for byte, and count as sent with their last byte.
func TestLongRequestBodiesArriveByteForByte(t *testing.T) {
	sums := make(chan string, 1)
	e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			sums <- sum(t, &slowly{Reader: r.Body})
			io.WriteString(conn, served)
		}
	})
	w := start(t, nil, ready("s-1", e.address))
	for name, c := range map[string]struct {
		length int64
		alter  func(r *http.Request)
	}{
		"with a length":   {long, func(r *http.Request) { r.ContentLength = long }},
		"in chunks":       {long, func(r *http.Request) { r.ContentLength = -1 }},
		"just kept whole": {maxBufferedBody, func(r *http.Request) { r.ContentLength = -1 }},
		"a byte beyond":   {maxBufferedBody + 1, func(r *http.Request) { r.ContentLength = -1 }},
		"with a trailer": {long, func(r *http.Request) {
			r.ContentLength, r.Trailer = -1, http.Header{"X-Sum": {"1"}}
		}},
		"when told to go on": {long, func(r *http.Request) {
			r.ContentLength = long
			r.Header.Set("Expect", "100-continue")
		}},
	} {
		r := w.request("pay", "", time.Minute)
		r.Body = io.NopCloser(&pattern{end: c.length})
		c.alter(r)
		if got := w.send(r); got.code != http.StatusOK || got.body != "done" {
			t.Errorf("%s: %+v", name, got)
		}
		if got, want := <-sums, sum(t, &pattern{end: c.length}); got != want {
			t.Errorf("%s: the endpoint got %s, want %s", name, got, want)
		}
	}
	w.until("all to be freed", func() bool {
		open, idle := w.loop.up.connections()
		var left int
		w.do(func() { left = len(w.loop.requests) })
		return open == idle && left == 0
	})
}

// The first bytes of an answer that does not end at once are not held back, and ends of every kind are told right.
func TestResponsesOfUnknownLengthAreForwardedAtOnce(t *testing.T) {
	const size = 3 * maxBufferedBody
	for name, head := range map[string]string{
		"in chunks":     "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until a close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		goOn := make(chan struct{})
		e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
			if e.next(in) == nil {
				return
			}
			io.WriteString(conn, head)
			body, end := io.Writer(conn), ""
			if name == "in chunks" {
				body, end = httputil.NewChunkedWriter(conn), "0\r\nX-Sum: 1\r\n\r\n"
			}
			data, _ := io.ReadAll(&pattern{end: size})
			body.Write(data[:10])
			if name == "in chunks" {
				io.WriteString(conn, "00") // the beginning of the next one's head
			}
			<-goOn
			for _, b := range data[10:1000] {
				body.Write([]byte{b})
			}
			body.Write(data[1000:])
			io.WriteString(conn, end)
		})
		w := start(t, nil, ready("s-1", e.address))
		response, err := http.DefaultClient.Do(w.request("read", "", time.Minute))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		var first [10]byte
		if _, err := io.ReadFull(response.Body, first[:]); err != nil {
			t.Errorf("%s: the first bytes: %v", name, err)
		}
		close(goOn)
		if got, want := sum(t, io.MultiReader(bytes.NewReader(first[:]), response.Body)), sum(t, &pattern{end: size}); got != want {
			t.Errorf("%s: the client got %s, want %s", name, got, want)
		}
		response.Body.Close()
		w.until("its outcome", func() bool { return len(w.spy.statuses()) == 1 })
		if got := w.spy.statuses()[0]; got != balancer.OK {
			t.Errorf("%s: the attempt counts as %v", name, got)
		}
	}
}

// A pin server that breaks off amid an answer: the client can tell, nothing is sent again, and it counts as a failure.
func TestBrokenResponseIsAFailure(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", long),
		"in chunks":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", long),
	} {
		e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
			e.next(in)
			io.WriteString(conn, head)
			io.CopyN(conn, &pattern{end: long}, 2*maxBufferedBody)
		})
		w := start(t, nil, ready("s-1", e.address))
		response, err := http.DefaultClient.Do(w.request("read", "", time.Minute))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if n, err := io.Copy(io.Discard, response.Body); err == nil || n > 2*maxBufferedBody {
			t.Errorf("%s: the client read %d bytes and %v, want an answer that is not whole", name, n, err)
		}
		response.Body.Close()
		w.until("its outcome", func() bool { return len(w.spy.statuses()) == 1 })
		if n, _ := e.seen(); n != 1 || w.spy.statuses()[0] != balancer.Reset {
			t.Errorf("%s: %d requests, outcomes %v; want one, reset", name, n, w.spy.statuses())
		}
	}
}

// A client that leaves amid an answer ends the attempt, which is no failure of the endpoint.
func TestClientDisconnectDuringAResponseIsNoFailure(t *testing.T) {
	ended := make(chan struct{})
	e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		e.next(in)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", int64(1)<<40)
		io.Copy(struct{ io.Writer }{conn}, &pattern{end: 1 << 40})
		close(ended)
	})
	w := start(t, nil, ready("s-1", e.address))
	response, err := http.DefaultClient.Do(w.request("read", "", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	io.CopyN(io.Discard, response.Body, 4*maxBufferedBody)
	response.Body.Close()
	<-ended
	w.until("its outcome", func() bool { return len(w.spy.statuses()) == 1 })
	if got := w.spy.statuses()[0]; got != balancer.Cancelled {
		t.Errorf("the attempt counts as %v, want cancelled", got)
	}
	w.until("all to be freed", func() bool { open, _ := w.loop.up.connections(); return open == 0 })
}

// A client that breaks off, or stops, amid a body: no endpoint gets a whole request, and none is blamed.
func TestClientDisconnectDuringABodyIsNoFailure(t *testing.T) {
	t.Parallel()
	whole := make(chan bool, 2)
	e := newEndpoint(t, readsWhole(whole))
	w := start(t, nil, ready("s-1", e.address))
	for name, stops := range map[string]bool{"breaks off": false, "stops": true} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 900\r\n"+
			"Idempotency-Key: 1\r\nContent-Length: %d\r\n\r\n", long)
		io.CopyN(conn, &pattern{end: long}, 2*maxBufferedBody)
		if stops {
			conn.SetReadDeadline(time.Now().Add(patience))
			if got, _ := io.ReadAll(conn); !bytes.HasPrefix(got, []byte("HTTP/1.1 408")) {
				t.Errorf("%s: answered %q, want 408", name, got)
			}
		} else {
			conn.Close()
		}
		if <-whole {
			t.Errorf("%s: the endpoint got a whole request", name)
		}
	}
	w.until("both outcomes", func() bool { return len(w.spy.statuses()) == 2 })
	for _, got := range w.spy.statuses() {
		if got != balancer.Cancelled {
			t.Errorf("an attempt counts as %v, want cancelled", got)
		}
	}
	w.until("all to be freed", func() bool {
		open, _ := w.loop.up.connections()
		return open == 0 && w.server.clients.count() == 0
	})
}

// While nothing of a long body is gone it can be sent elsewhere; afterwards it is refused, as it never ran.
func TestLongBodyIsSentOnce(t *testing.T) {
	sums := make(chan string, 1)
	good := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			sums <- sum(t, r.Body)
			io.WriteString(conn, served)
		}
	})
	dead := closedAddress(t)
	w := start(t, nil, ready("s-1", dead), ready("s-2", good.address))
	want := sum(t, &pattern{end: long})
	for range 6 {
		r := w.request("pay", "", time.Minute)
		r.Body, r.ContentLength = io.NopCloser(&pattern{end: long}), long
		if got := w.send(r); got.code != http.StatusOK {
			t.Fatalf("with an endpoint that refuses connections: %+v", got)
		}
		if got := <-sums; got != want {
			t.Errorf("the endpoint got %s, want %s", got, want)
		}
	}
	var tries atomic.Int32
	cuts := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			tries.Add(1)
			io.CopyN(io.Discard, r.Body, 4*maxBufferedBody)
		}
	})
	w = start(t, nil, ready("s-1", cuts.address))
	r := w.request("pay", "", time.Minute)
	r.Body, r.ContentLength = io.NopCloser(&pattern{end: long}), long
	if got := w.send(r); got.err == nil && got.code != http.StatusServiceUnavailable { // or the client finds its connection ended
		t.Errorf("cut amid a body: %+v, want 503", got)
	}
	w.until("its outcome", func() bool { return len(w.spy.statuses()) == 1 })
	if got := w.spy.statuses()[0]; got != balancer.ConnectFailed || tries.Load() != 1 {
		t.Errorf("the attempt counts as %v, %d tries; want a failed connect and one", got, tries.Load())
	}
}

// A body that is too long is refused by its length alone; one that turns out so in chunks is cut off.
func TestTooLongBodyIsRejected(t *testing.T) {
	whole := make(chan bool, 1)
	e := newEndpoint(t, readsWhole(whole))
	w := start(t, nil, ready("s-1", e.address))
	for name, framing := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", maxRequestBody+1),
		"in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", maxRequestBody+1),
	} {
		k := w.connect()
		io.WriteString(k.conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\n"+
			"X-Time-Left-Ms: 900\r\nIdempotency-Key: 1\r\n"+framing)
		if name == "in chunks" {
			go io.Copy(struct{ io.Writer }{k.conn}, &pattern{end: maxRequestBody + 1})
		}
		got, err := http.ReadResponse(k.in, nil)
		if err != nil || got.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: %v, %v; want 413", name, got, err)
		}
	}
	if <-whole {
		t.Error("the endpoint got a whole request")
	}
}

func TestPaceBoundsTheWaitForAClient(t *testing.T) {
	for _, c := range []struct {
		p    pace
		want time.Duration
	}{
		{pace{}, paceGrace},
		{pace{bytes: minPace}, paceGrace + time.Second},
		{pace{bytes: minPace, spent: 3 * time.Second}, paceGrace - 2*time.Second},
		{pace{bytes: 100 * minPace}, maxClientStall},
		{pace{bytes: 100 * minPace, spent: 103 * time.Second}, paceGrace - 3*time.Second},
	} {
		if got := c.p.remaining(); got != c.want {
			t.Errorf("%+v allows %v, want %v", c.p, got, c.want)
		}
	}
}

// SIGTERM amid a long answer: the answer goes on to its end, however long after the classes' deadlines.
func TestTerminationDuringALongResponse(t *testing.T) {
	goOn := make(chan struct{})
	e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		for e.next(in) != nil {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", long)
			body := &pattern{end: long}
			io.CopyN(conn, body, maxBufferedBody)
			<-goOn
			io.Copy(conn, body)
		}
	})
	const giveUp = 200 * time.Millisecond
	w := start(t, func(settings map[string]any) {
		for _, c := range settings["classes"].([]any) {
			c.(map[string]any)["give-up"], c.(map[string]any)["target"] = giveUp.Microseconds(), giveUp.Microseconds()
		}
	}, ready("s-1", e.address))
	w.server.acceptFor = 0
	response, err := http.DefaultClient.Do(w.request("read", "", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	w.stop()
	select {
	case err := <-w.ended:
		t.Fatalf("the sidecar ended amid an answer: %v", err)
	case <-time.After(3 * giveUp):
	}
	close(goOn)
	if got, want := sum(t, response.Body), sum(t, &pattern{end: long}); got != want {
		t.Errorf("the client got %s, want %s", got, want)
	}
	w.endedWell()
}

// A long request that is refused at once: the client gets the answer though it first writes all of its body.
func TestRejectionDuringABody(t *testing.T) {
	w := start(t, nil, ready("s-1", closedAddress(t)))
	for name, framing := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", long),
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n",
	} {
		k := w.connect()
		io.WriteString(k.conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\n"+
			"X-Time-Left-Ms: 9000\r\nIdempotency-Key: 1\r\n"+framing)
		body := io.Writer(struct{ io.Writer }{k.conn})
		if name == "in chunks" {
			body = httputil.NewChunkedWriter(k.conn)
		}
		io.CopyN(body, &pattern{end: long}, 2*maxBufferedBody)
		w.until("the request to be ended", func() bool { var n int; w.do(func() { n = len(w.loop.requests) }); return n == 0 })
		if _, err := io.Copy(body, &pattern{at: 2 * maxBufferedBody, end: long}); err != nil {
			t.Errorf("%s: writing the body: %v", name, err)
		}
		if name == "in chunks" {
			io.WriteString(k.conn, "0\r\n\r\n")
		}
		if got, err := http.ReadResponse(k.in, nil); err != nil || got.StatusCode != http.StatusServiceUnavailable || !got.Close {
			t.Errorf("%s: %v, %v; want 503 and the end", name, got, err)
		}
	}
}

// SIGTERM amid a request's body, short or long: the client hears that it may try elsewhere, and no endpoint got it whole.
func TestTerminationDuringABody(t *testing.T) {
	for name, length := range map[string]int{"kept": maxBufferedBody, "passed on": long} {
		e := newEndpoint(t, always(served))
		w := start(t, nil, ready("s-1", e.address))
		w.server.acceptFor = 0
		k := w.connect()
		fmt.Fprintf(k.conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Service-Class: pay\r\n"+
			"X-Time-Left-Ms: 9000\r\nIdempotency-Key: 1\r\nContent-Length: %d\r\n\r\n", length)
		io.CopyN(k.conn, &pattern{end: long}, maxBufferedBody/2)
		w.until("the body to be waited for", func() bool {
			w.server.incoming.mu.Lock()
			defer w.server.incoming.mu.Unlock()
			return len(w.server.incoming.incomplete) == 1
		})
		w.stop()
		got, err := http.ReadResponse(k.in, nil)
		if err != nil || got.StatusCode != http.StatusServiceUnavailable || !got.Close || got.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v, %v; want 503, a time to come back and the end", name, got, err)
		}
		if n, _ := e.seen(); n != 0 {
			t.Errorf("%s: the endpoint got the request", name)
		}
		k.conn.Close()
		select {
		case <-w.ended:
		case <-time.After(patience):
			t.Errorf("%s: the sidecar does not end", name)
		}
	}
}

// Where memory is short a request is refused before anything is sent of it, and taken again once there is room.
func TestBodyBeyondMemoryIsRejected(t *testing.T) {
	goOn := make(chan struct{})
	e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		for e.next(in) != nil {
			<-goOn
			io.WriteString(conn, served)
		}
	})
	w := start(t, nil, ready("s-1", e.address))
	w.server.incoming.setMaxBytes(2*copyBufferSize + maxBufferedBody)
	first := make(chan reply)
	go func() { first <- w.send(w.request("pay", strings.Repeat("x", maxBufferedBody), time.Minute)) }()
	w.until("the first in hand", func() bool { n, _ := e.seen(); return n == 1 })
	for _, length := range []int64{maxBufferedBody, -1, long} {
		r := w.request("pay", "", time.Minute)
		r.Body, r.ContentLength = io.NopCloser(&pattern{end: maxBufferedBody}), length
		if length == long {
			r.Body = io.NopCloser(&pattern{end: long})
		}
		if got := w.send(r); got.code != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("a body of %d with no room left: %+v, want 503 and a time to come back", length, got)
		}
	}
	close(goOn)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the first: %+v", got)
	}
	w.until("room again", func() bool {
		return w.send(w.request("pay", strings.Repeat("x", maxBufferedBody), time.Minute)).code == http.StatusOK
	})
	if n, _ := e.seen(); n != 2 {
		t.Errorf("%d requests reached the endpoint, want 2", n)
	}
}
