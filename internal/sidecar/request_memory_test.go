package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
	"bramblestand/internal/upstream"
)

// newTestMemory returns a requestMemory with this limit.
func newTestMemory(maxBytes int64) *requestMemory {
	m := newRequestMemory()
	m.setMaxBytes(maxBytes)
	return m
}

// Requests in part may take half of the memory, requests in flight all of it, and all of it is free after their end.
func TestMemoryOfRequestsIsLimited(t *testing.T) {
	const maxBytes = 1 << 20
	m := newTestMemory(maxBytes)
	first, second := m.newReservation(func() {}), m.newReservation(func() {})
	if !first.growTo(requestAllotment + maxBytes/incomingDivisor) {
		t.Error("a request in part may not take half of the memory")
	}
	if !second.growTo(requestAllotment) || second.growTo(requestAllotment+1) {
		t.Error("beside it another may not take what needs no reservation, or may take more")
	}
	inFlight := 0
	var reservations []*memoryReservation
	for ; inFlight < 1000; inFlight++ {
		r := m.newReservation(func() {})
		if !r.admit(false) {
			break
		}
		reservations = append(reservations, r)
	}
	if each := int64(inFlightMemory + m.responseBytes); int64(inFlight) != (maxBytes-maxBytes/incomingDivisor)/each {
		t.Errorf("%d requests in flight of %d bytes fit into %d", inFlight, each, maxBytes-maxBytes/incomingDivisor)
	}
	for _, r := range append(reservations, first, second) {
		r.release()
	}
	if m.used() != 0 || m.incomingBytes != 0 {
		t.Errorf("%d bytes are used at the end, %d of them by requests in part; want 0", m.used(), m.incomingBytes)
	}
}

// When memory becomes scarce, the request in part that has not grown for the longest is ended, and its memory counts until it has.
func TestStalledRequestsYieldTheirMemory(t *testing.T) {
	const maxBytes, each = 1 << 20, 100 << 10
	m := newTestMemory(maxBytes)
	revoked := make(chan int, 10)
	var reservations []*memoryReservation
	for i := range 4 {
		r := m.newReservation(func() { revoked <- i })
		if !r.growTo(each + requestAllotment) {
			t.Fatalf("request %d does not fit", i)
		}
		reservations = append(reservations, r)
	}
	m.mu.Lock()
	reservations[0].grownAt = time.Now().Add(-minStallBeforeRevocation)
	m.mu.Unlock()
	if !reservations[3].growTo(each + 10 + requestAllotment) {
		t.Fatal("there is room for a few bytes")
	}
	if i := <-revoked; i != 0 {
		t.Errorf("request %d was ended, want the stalled one", i)
	}
	if reservations[0].growTo(each+1+requestAllotment) || reservations[0].admit(false) {
		t.Error("a request that is ended gets more memory")
	}
	if got, want := m.used(), int64(4*each+10); got != want {
		t.Errorf("%d bytes are used before it has ended, want %d", got, want)
	}
	reservations[0].release()
	if got, want := m.used(), int64(3*each+10); got != want {
		t.Errorf("%d bytes are used after it has ended, want %d", got, want)
	}
	if m.revokedBytes != 0 || m.incomingBytes != 3*each+10 {
		t.Errorf("%d revoked bytes and %d of requests in part, want 0 and %d", m.revokedBytes, m.incomingBytes, 3*each+10)
	}
}

// The expected memory of a response rises at once and falls slowly.
func TestResponseEstimate(t *testing.T) {
	m := newRequestMemory()
	m.recordResponse(forwardingMemory)
	if m.responseBytes != forwardingMemory {
		t.Errorf("%d after a forwarded response, want %d", m.responseBytes, forwardingMemory)
	}
	for range 10 * responseDecay {
		m.recordResponse(100)
	}
	if m.responseBytes > 100+responseDecay {
		t.Errorf("%d after many responses of 100 bytes", m.responseBytes)
	}
}

// Rejections say nothing about the memory of responses. Guards against an estimate that falls with them, so that too many requests of
// long responses are admitted after an overload.
func TestRejectionsDoNotLowerTheResponseEstimate(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	estimate := func() int64 {
		s.server.clients.memory.mu.Lock()
		defer s.server.clients.memory.mu.Unlock()
		return s.server.clients.memory.responseBytes
	}
	s.onLoop(func() { s.loop.setBans(s.loop.clock.now(), []string{"s-1"}) })
	before := estimate()
	for range 10 {
		if got := s.send(s.request("read", "", time.Minute)); got.statusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v, want 503", got)
		}
	}
	if after := estimate(); after != before {
		t.Errorf("the estimate went from %d to %d by rejections", before, after)
	}
	s.onLoop(func() { s.loop.setBans(s.loop.clock.now(), nil) })
	s.await("a response", func() bool { return s.send(s.request("read", "", time.Minute)).statusCode == http.StatusOK })
	if after := estimate(); after >= before {
		t.Errorf("the estimate is %d after a short response, want less than %d", after, before)
	}
}

// Connections and requests together never get more than the part of the platform's limit that is meant for memory in use, and a
// third of the descriptors can be clients even with the least memory.
func TestMemoryIsDividedWithinTheLimit(t *testing.T) {
	for _, memoryMB := range []int64{32, 48, 64, 128, 192} {
		for _, processes := range []int{1, 2} {
			for _, endpoints := range []int{0, 300, 3200} {
				clients := newClientConns(0)
				limits := &memoryLimits{clients: clients, requests: clients.memory, memoryBytes: memoryMB << 20, endpoints: endpoints,
					processes: processes, maxDescriptors: 496}
				limits.applyLocked()
				live := limits.tenthsLocked(liveTenths)
				available := max(live-processMemory-int64(endpoints)*endpointMemory, live/minClientsDivisor)
				if sum := int64(clients.maxConns)*connectionMemory + clients.memory.maxBytes; sum > available || clients.memory.maxBytes <= 0 {
					t.Errorf("%d MB, %d processes, %d endpoints: %d connections and %d bytes of requests take %d of %d",
						memoryMB, processes, endpoints, clients.maxConns, clients.memory.maxBytes, sum, available)
				}
				if processes == 1 && endpoints == 0 && clients.maxConns < 1024/3 {
					t.Errorf("%d MB: %d connections, want a third of 1,024 descriptors", memoryMB, clients.maxConns)
				}
			}
		}
	}
}

// A longer list leaves less memory to requests.
func TestListedEndpointsTakeMemory(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", "127.0.0.1:1"))
	s.server.memory.mu.Lock()
	defer s.server.memory.mu.Unlock()
	if s.server.memory.endpoints != 1 {
		t.Errorf("%d endpoints are known, want 1", s.server.memory.endpoints)
	}
}

// A head that takes too much memory is answered with an error, and its connection is closed, without harm to others.
func TestHeadsBeyondMemoryAreRejected(t *testing.T) {
	manyLines := func(count int) string {
		var lines strings.Builder
		for i := range count {
			fmt.Fprintf(&lines, "%x:\r\n", i)
		}
		return "GET /read/x HTTP/1.1\r\nHost: x\r\n" + lines.String()
	}
	for name, c := range map[string]struct {
		maxBytes int64
		sent     string
		want     string
	}{
		"too many lines":              {64 << 20, manyLines(2 * maxHeadMemory / headLineMemory), "431"},
		"too many lines, complete":    {64 << 20, manyLines(2*maxHeadMemory/headLineMemory) + "\r\n", "431"},
		"no memory":                   {requestAllotment, manyLines(200), "503"},
		"no memory, complete at once": {requestAllotment, manyLines(200) + "\r\n", "503"},
	} {
		t.Run(name, func(t *testing.T) {
			e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
			s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
			s.server.clients.memory.setMaxBytes(c.maxBytes)
			client := s.connect()
			io.WriteString(client.conn, c.sent)
			response, err := http.ReadResponse(client.in, nil)
			if err != nil || response.Status[:3] != c.want || !response.Close || c.want == "503" && response.Header.Get("Retry-After") == "" {
				t.Fatalf("%v, %v; want %s, for 503 a Retry-After, and the end", response, err, c.want)
			}
			if rest, err := io.ReadAll(client.in); err != nil || len(rest) > 0 {
				t.Errorf("after the response %q, %v; want the end", rest, err)
			}
			if got := s.server.clients.counts().headsRejected; got != 1 {
				t.Errorf("%d rejected heads are counted, want 1", got)
			}
			s.server.clients.memory.setMaxBytes(64 << 20)
			if got := s.send(s.request("read", "", time.Minute)); got.statusCode != http.StatusOK {
				t.Errorf("another client: %+v", got)
			}
			s.await("free memory", func() bool { return s.server.clients.memory.used() == 0 })
		})
	}
}

// Bodies that stop arriving make room for those of others when memory is scarce: their clients are told to retry.
func TestStalledBodiesMakeRoom(t *testing.T) {
	const stalled = 8
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, nil, readyEndpoint("s-1", e.Address))
	memory := s.server.clients.memory
	memory.setMaxBytes(incomingDivisor * stalled * upstream.MaxBufferedBody)
	statuses := make(chan string, stalled)
	for range stalled {
		conn := s.dial()
		fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n", stepHead, upstream.MaxBufferedBody)
		io.CopyN(conn, &patternReader{end: longBodyLength}, upstream.MaxBufferedBody-1)
		go func() {
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			text, _ := io.ReadAll(conn)
			statuses <- statusCodes(string(text))
		}()
	}
	s.await("the bodies in part", func() bool { return memory.used() >= stalled*(upstream.MaxBufferedBody-requestAllotment) })
	body := strings.Repeat("x", upstream.MaxBufferedBody)
	s.await("room for others", func() bool { return s.send(s.request("pay", body, time.Minute)).statusCode == http.StatusOK })
	if status := <-statuses; status != "503" {
		t.Errorf("a stalled body was answered %q, want 503", status)
	}
	s.await("free memory", func() bool { return memory.used() == 0 })
}

// The memory of a request counts until its last attempt has ended, even if the client has disconnected. Guards against clients that
// send much and go, whose requests are still held by attempts that may not be cancelled.
func TestMemoryCountsUntilTheAttemptEnds(t *testing.T) {
	respond := make(chan struct{})
	e := endpointtest.NewServer(t, func(e *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			<-respond
			io.WriteString(conn, endpointtest.OKResponse)
		}
	})
	s := startSidecar(t, func(settings map[string]any) {
		settings["limits"].(map[string]any)["cancel"] = false
	}, readyEndpoint("s-1", e.Address))
	memory := s.server.clients.memory
	client := s.connect()
	s.request("pay", strings.Repeat("x", upstream.MaxBufferedBody), time.Minute).Write(client.conn)
	s.await("the request in flight", func() bool { n, _ := e.Counts(); return n == 1 })
	client.conn.Close()
	s.await("the connection's end", func() bool { return s.server.clients.count() == 0 })
	if used := memory.used(); used < upstream.MaxBufferedBody {
		t.Errorf("%d bytes are reserved while the attempt goes on, want the body's at least", used)
	}
	close(respond)
	s.await("free memory", func() bool { return memory.used() == 0 })
}
