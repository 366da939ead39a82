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

// disconnectLog is a log handler that keeps when the sidecar noticed that a client had left.
type disconnectLog struct {
	slog.Handler
	requestID string // of the request a logger was made for

	mu        *sync.Mutex
	noticedAt map[string]time.Time // by the requests' ids
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
	left := false
	r.Attrs(func(a slog.Attr) bool {
		left = left || a.Key == "status" && a.Value.Int64() == 0
		return true
	})
	if r.Message == "request not served" && left {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.noticedAt[d.requestID] = time.Now()
	}
	return nil
}

func (d *disconnectLog) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.noticedAt)
}

// deferringBalancer decides nothing until a test lets it: requests wait for their pick.
type deferringBalancer struct {
	loadBalancer
	mu           sync.Mutex
	deferred     []balancer.Request
	disconnected map[uint64]bool
}

func (h *deferringBalancer) RequestArrived(now balancer.Micros, in balancer.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deferred = append(h.deferred, in)
}

func (h *deferringBalancer) ClientDisconnected(now balancer.Micros, id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disconnected[id] = true
}

func (h *deferringBalancer) deferredCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.deferred)
}

// release picks for every request whose client it does not know to have left, as a balancer would.
func (h *deferringBalancer) release(now balancer.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, in := range h.deferred {
		if !h.disconnected[in.ID] {
			h.loadBalancer.RequestArrived(now, in)
		}
	}
	h.deferred = nil
}

// countAwaitingResponse counts the connections whose request waits for its answer.
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

// disconnect ends a client's connection, in order or by a reset.
func disconnect(conn net.Conn, reset bool) {
	if reset {
		conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
}

// A request whose client leaves while it waits for its first attempt is not sent on, however it waits, however the
// client leaves, and whatever stands unread behind the request or of it. The departure is noticed within 50 ms
// (logged; a busy machine may take longer), far under the 0.3 s that are allowed.
func TestNothingIsForwardedForADisconnectedClient(t *testing.T) {
	const clients = 20
	type waits int
	const (
		forAPick    waits = iota
		forADial          // which comes up later
		behind            // in the loop's full queue of events
		uncancelled       // nothing may be cancelled, and a dial comes up later
	)
	for _, how := range []struct {
		name string
		waits
	}{{"a pick", forAPick}, {"a dial", forADial}, {"the loop", behind}, {"a dial that may not be cancelled", uncancelled}} {
		for _, with := range []string{"", "a request pipelined", "a flood behind it", "a body on its way", "chunks on their way"} {
			for _, reset := range []bool{false, true} {
				name := fmt.Sprintf("waits for %s, %s, reset %v", how.name, with, reset)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					var sent atomic.Int64 // of this test's requests, those of which a beginning came
					e := endpointtest.NewServer(t, func(e *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
						for {
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							if strings.HasPrefix(r.Header.Get("X-Correlation-Id"), name) { // a port may be another's before
								sent.Add(1)
							}
							if _, err := io.Copy(io.Discard, r.Body); err != nil {
								return
							}
							io.WriteString(conn, endpointtest.OKResponse)
						}
					})
					var hosts []discovery.Endpoint // so many that none is too busy for a request
					for i := range clients {
						hosts = append(hosts, readyEndpoint(fmt.Sprint("s-", i), e.Address))
					}
					w := &testSidecar{t: t, registry: newFakeRegistry(t, hosts...)}
					noticed := newDisconnectLog()
					w.log = noticed
					cfg := newTestConfig(t, w.registry.address, func(s map[string]any) {
						s["limits"].(map[string]any)["cancel"] = how.waits != uncancelled
					}, hosts...)
					w.launch(cfg)
					w.await("the list", func() bool { return w.loop.hasEndpoints.Load() })
					hold := make(chan struct{})
					letGo := sync.OnceFunc(func() { close(hold) })
					defer letGo()
					begun := func() int { return 0 }
					h := &deferringBalancer{disconnected: map[uint64]bool{}}
					switch how.waits {
					case forAPick:
						w.onLoop(func() { h.loadBalancer, w.loop.balancer = w.loop.balancer, h })
						begun = h.deferredCount
					case forADial, uncancelled:
						var mu sync.Mutex
						dials := 0
						w.loop.upstream.Dialer.Control = func(string, string, syscall.RawConn) error {
							mu.Lock()
							dials++
							mu.Unlock()
							<-hold
							return nil
						}
						begun = func() int { mu.Lock(); defer mu.Unlock(); return dials }
					case behind:
						held := make(chan struct{})
						w.loop.post(func(balancer.Micros) { close(held); <-hold })
						<-held
						begun = func() int { return countAwaitingResponse(w.server.clients) }
					}
					var conns []net.Conn
					for i := range clients {
						conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
						if err != nil {
							t.Fatal(err)
						}
						defer conn.Close()
						conns = append(conns, conn)
						r := w.request("pay", "x", time.Minute)
						r.Header.Set("X-Correlation-Id", fmt.Sprint(name, i))
						switch with {
						case "a body on its way":
							r.ContentLength, r.Body = long, io.NopCloser(&pattern{end: upstream.MaxBufferedBody + 4<<10})
						case "chunks on their way":
							r.ContentLength, r.Body = -1, io.NopCloser(&pattern{end: upstream.MaxBufferedBody + 4<<10})
						}
						var text bytes.Buffer
						r.Write(&text) // which tells that a body is too short, once it is written as far as it goes
						if with == "chunks on their way" {
							text.Truncate(text.Len() - len("0\r\n\r\n"))
						}
						conn.Write(text.Bytes())
					}
					w.await("all requests to wait", func() bool { return begun() >= clients })
					switch with {
					case "a request pipelined":
						for _, conn := range conns {
							w.request("pay", "x", time.Minute).Write(conn)
						}
					case "a flood behind it":
						for _, conn := range conns {
							conn.Write(bytes.Repeat([]byte("z"), 32<<10))
						}
					}
					if how.waits == behind { // the queue fills, so that whoever notices has to wait as well
						for full := false; !full; { // others post as well: who waited here would wait for the test itself
							select {
							case w.loop.events <- func(balancer.Micros) {}:
							default:
								full = true
							}
						}
					}
					left := time.Now()
					for _, conn := range conns {
						disconnect(conn, reset)
					}
					for end := time.Now().Add(testTimeout / 4); noticed.count() < clients && time.Now().Before(end); {
						time.Sleep(time.Millisecond)
					}
					var delays []time.Duration
					noticed.mu.Lock()
					for _, at := range noticed.noticedAt {
						delays = append(delays, at.Sub(left))
					}
					noticed.mu.Unlock()
					if how.waits == forAPick {
						w.onLoop(func() { h.release(w.loop.clock.now()) })
					}
					letGo()
					w.await("the ledger to be empty", func() bool {
						n := 0
						w.onLoop(func() { n = len(w.loop.requests) })
						return n == 0 && len(w.loop.events) == 0
					})
					slices.Sort(delays)
					p := func(q float64) time.Duration {
						if len(delays) == 0 {
							return -1
						}
						return delays[int(q*float64(len(delays)-1))].Round(100 * time.Microsecond)
					}
					t.Logf("noticed %d of %d, p50 %v, p99 %v, max %v; sent on %d", len(delays), clients, p(0.5), p(0.99), p(1), sent.Load())
					if sent.Load() > 0 || len(delays) < clients {
						t.Errorf("%d of %d departures were noticed, and %d requests sent on", len(delays), clients, sent.Load())
					}
				})
			}
		}
	}
}
