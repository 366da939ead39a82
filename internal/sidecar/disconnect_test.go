package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
	"bramblestand/internal/endpointtest"
	"bramblestand/internal/upstream"
)

// disconnectLog is a log handler that records when the sidecar noticed the disconnect of each client.
type disconnectLog struct {
	slog.Handler
	requestID string // attribute of the logger that uses this handler; empty if it has none

	mu        *sync.Mutex
	noticedAt map[string]time.Time // by request id
}

func newDisconnectLog() *disconnectLog {
	return &disconnectLog{Handler: slog.DiscardHandler, mu: new(sync.Mutex), noticedAt: map[string]time.Time{}}
}

func (d *disconnectLog) Enabled(context.Context, slog.Level) bool { return true }

func (d *disconnectLog) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *d
	for _, a := range attrs {
		if a.Key == "request_id" {
			next.requestID = a.Value.String()
		}
	}
	return &next
}

func (d *disconnectLog) Handle(_ context.Context, r slog.Record) error {
	isDisconnect := false
	r.Attrs(func(a slog.Attr) bool {
		isDisconnect = isDisconnect || a.Key == "status" && a.Value.Int64() == statusDisconnected
		return true
	})
	if r.Message == "request not served" && isDisconnect {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.noticedAt[d.requestID] = time.Now()
	}
	return nil
}

// delaysSince returns how long after start each disconnect was noticed, in ascending order.
func (d *disconnectLog) delaysSince(start time.Time) []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var delays []time.Duration
	for _, at := range d.noticedAt {
		delays = append(delays, at.Sub(start))
	}
	slices.Sort(delays)
	return delays
}

// count returns the number of disconnects that were noticed.
func (d *disconnectLog) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.noticedAt)
}

// deferringBalancer passes requests to its loadBalancer only when a test releases them.
type deferringBalancer struct {
	loadBalancer
	mu           sync.Mutex
	deferred     []balancer.Request
	disconnected map[uint64]bool
}

func (d *deferringBalancer) RequestArrived(now balancer.Micros, in balancer.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deferred = append(d.deferred, in)
}

func (d *deferringBalancer) ClientDisconnected(now balancer.Micros, id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnected[id] = true
}

func (d *deferringBalancer) deferredCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.deferred)
}

// release passes on the deferred requests. Like a balancer, it omits those whose clients are known to have disconnected.
func (d *deferringBalancer) release(now balancer.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range d.deferred {
		if !d.disconnected[in.ID] {
			d.loadBalancer.RequestArrived(now, in)
		}
	}
	d.deferred = nil
}

// countAwaitingResponse counts the connections whose request waits for its response, whether a poll or a read of net/http watches
// for their disconnect.
func countAwaitingResponse(c *clientConns) (n int) {
	c.mu.Lock()
	var all []*clientConn
	for conn := range c.conns {
		all = append(all, conn)
	}
	c.mu.Unlock()
	c.disconnects.mu.Lock()
	n = len(c.disconnects.conns)
	c.disconnects.mu.Unlock()
	for _, conn := range all {
		conn.mu.Lock()
		if conn.isAwaitingResponse {
			n++
		}
		conn.mu.Unlock()
	}
	return n
}

// disconnect closes a client's connection, with a RST if reset, and otherwise with a FIN.
func disconnect(conn net.Conn, reset bool) {
	if reset {
		conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
}

// newForwardCounter starts an endpoint that counts the request heads that it receives. It counts only ids that start with prefix,
// because another test may have used its port before.
func newForwardCounter(t *testing.T, prefix string) (address string, forwarded *atomic.Int64) {
	t.Helper()
	forwarded = new(atomic.Int64)
	server := endpointtest.NewServer(t, func(_ *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if strings.HasPrefix(r.Header.Get(requestIDHeader), prefix) {
				forwarded.Add(1)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			io.WriteString(conn, endpointtest.OKResponse)
		}
	})
	return server.Address, forwarded
}

// repeatEndpoint returns a list of count endpoints at one address. With one for each request, no endpoint is too busy for a request.
func repeatEndpoint(count int, address string) []discovery.Endpoint {
	var endpoints []discovery.Endpoint
	for i := range count {
		endpoints = append(endpoints, readyEndpoint(fmt.Sprint("s-", i), address))
	}
	return endpoints
}

// holdDials makes dials to endpoints wait until release is called. dialCount returns the number of dials so far.
func (s *testSidecar) holdDials() (dialCount func() int, release func()) {
	var dials atomic.Int64
	hold := make(chan struct{})
	s.loop.upstream.Dialer.Control = func(string, string, syscall.RawConn) error {
		dials.Add(1)
		<-hold
		return nil
	}
	return func() int { return int(dials.Load()) }, sync.OnceFunc(func() { close(hold) })
}

// awaitNoRequests waits until the event loop has no requests and no events.
func (s *testSidecar) awaitNoRequests() {
	s.t.Helper()
	s.await("the request table to be empty", func() bool {
		count := 0
		s.onLoop(func() { count = len(s.loop.requests) })
		return count == 0 && len(s.loop.events) == 0
	})
}

// percentile returns a percentile of sorted durations, given as a fraction of 1, or -1 if there are none.
func percentile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return -1
	}
	return sorted[int(fraction*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

// waitKind is what a request waits for when its client disconnects.
type waitKind string

const (
	waitForPick          waitKind = "a pick"
	waitForDial          waitKind = "a dial"
	waitForLoop          waitKind = "the event loop, whose queue is full"
	waitForUncancellable waitKind = "a dial that may not be cancelled"
)

// unreadInput is the input that is unread, or still missing, on a connection when its client disconnects.
type unreadInput string

const (
	nothingUnread    unreadInput = "nothing unread"
	pipelinedRequest unreadInput = "a pipelined request"
	floodBehind      unreadInput = "a flood behind it"
	emptyLineBehind  unreadInput = "an empty line behind it"
	partialBody      unreadInput = "a body on its way"
	partialChunks    unreadInput = "chunks on their way"
)

// A request whose client disconnects while the request waits for its first attempt is not forwarded. The cases combine what the
// request waits for, how the client disconnects, and which input is unread, of the request itself or after it.
//
// The test logs how long the sidecar took to notice the disconnects: usually at most 50 ms, far below the 0.3 s that are allowed.
// It does not check the 50 ms, since a busy machine may take longer.
func TestNothingIsForwardedForADisconnectedClient(t *testing.T) {
	for _, wait := range []waitKind{waitForPick, waitForDial, waitForLoop, waitForUncancellable} {
		for _, unread := range []unreadInput{nothingUnread, pipelinedRequest, floodBehind, emptyLineBehind, partialBody, partialChunks} {
			for _, reset := range []bool{false, true} {
				name := fmt.Sprintf("waits for %s, %s, reset %v", wait, unread, reset)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					expectNothingForwarded(t, name, wait, unread, reset)
				})
			}
		}
	}
}

// expectNothingForwarded is one case of TestNothingIsForwardedForADisconnectedClient. The name is unique among the cases, and is
// the prefix of the requests' ids.
func expectNothingForwarded(t *testing.T, name string, wait waitKind, unread unreadInput, reset bool) {
	const clients = 20
	address, forwarded := newForwardCounter(t, name)
	endpoints := repeatEndpoint(clients, address)
	noticed := newDisconnectLog()
	s := &testSidecar{t: t, registry: newFakeRegistry(t, endpoints...), log: noticed}
	s.launch(newTestConfig(t, s.registry.address, func(settings map[string]any) {
		settings["limits"].(map[string]any)["cancel"] = wait != waitForUncancellable
	}, endpoints...))
	s.await("the list", func() bool { return s.loop.hasEndpoints.Load() })
	waitingCount, release := s.holdRequests(wait)
	defer release()
	var conns []net.Conn
	for i := range clients {
		conn := s.dial()
		conns = append(conns, conn)
		conn.Write(s.partialRequest(fmt.Sprint(name, i), unread))
	}
	s.await("all requests to wait", func() bool { return waitingCount() >= clients })
	for _, conn := range conns {
		switch unread {
		case pipelinedRequest:
			s.request("pay", "x", time.Minute).Write(conn)
		case floodBehind:
			conn.Write(bytes.Repeat([]byte("z"), 32<<10))
		case emptyLineBehind:
			io.WriteString(conn, "\r\n")
		}
	}
	if wait == waitForLoop { // the goroutines that notice the disconnects cannot post them either
		s.fillEventQueue()
	}
	start := time.Now()
	for _, conn := range conns {
		disconnect(conn, reset)
	}
	for end := time.Now().Add(testTimeout / 4); noticed.count() < clients && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	delays := noticed.delaysSince(start)
	release()
	s.awaitNoRequests()
	t.Logf("noticed %d of %d, p50 %v, p99 %v, max %v; forwarded %d", len(delays), clients, percentile(delays, 0.5),
		percentile(delays, 0.99), percentile(delays, 1), forwarded.Load())
	if forwarded.Load() > 0 || len(delays) < clients {
		t.Errorf("%d of %d disconnects were noticed, and %d requests forwarded", len(delays), clients, forwarded.Load())
	}
}

// holdRequests makes requests wait until release is called. waitingCount returns the number of requests that wait.
func (s *testSidecar) holdRequests(wait waitKind) (waitingCount func() int, release func()) {
	switch wait {
	case waitForPick:
		deferring := &deferringBalancer{disconnected: map[uint64]bool{}}
		s.onLoop(func() { deferring.loadBalancer, s.loop.balancer = s.loop.balancer, deferring })
		return deferring.deferredCount, sync.OnceFunc(func() {
			s.onLoop(func() { deferring.release(s.loop.clock.now()) })
		})
	case waitForLoop:
		isHeld, hold := make(chan struct{}), make(chan struct{})
		s.loop.post(func(balancer.Micros) { close(isHeld); <-hold })
		<-isHeld
		return func() int { return countAwaitingResponse(s.server.clients) }, sync.OnceFunc(func() { close(hold) })
	}
	return s.holdDials()
}

// partialRequest encodes a request, without the end of its body if unread is partialBody or partialChunks.
func (s *testSidecar) partialRequest(id string, unread unreadInput) []byte {
	r := s.request("pay", "x", time.Minute)
	r.Header.Set(requestIDHeader, id)
	switch unread {
	case partialBody:
		r.ContentLength, r.Body = longBodyLength, io.NopCloser(&patternReader{end: upstream.MaxBufferedBody + 4<<10})
	case partialChunks:
		r.ContentLength, r.Body = -1, io.NopCloser(&patternReader{end: upstream.MaxBufferedBody + 4<<10})
	}
	var text bytes.Buffer
	r.Write(&text) // fails because the body is shorter than ContentLength, after all of it was written
	if unread == partialChunks {
		text.Truncate(text.Len() - len("0\r\n\r\n"))
	}
	return text.Bytes()
}

// fillEventQueue posts events until the queue of a held event loop is full. It must not block when other goroutines fill the queue.
func (s *testSidecar) fillEventQueue() {
	for {
		select {
		case s.loop.events <- func(balancer.Micros) {}:
		default:
			return
		}
	}
}
