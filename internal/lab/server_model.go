package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ServerModel models the behavior of a server without sockets: it runs up to
// Capacity requests at once with Queue more waiting, rejects the rest, fails
// at the error rate, and is slower while warming up. FakeServer and the
// simulated servers of package scale use it. It is safe for concurrent use.
type ServerModel struct {
	spec    Server
	slots   chan struct{} // one element for each running request; holds Capacity
	waiting chan struct{} // one element for each running or waiting request; holds Capacity + Queue

	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	startedAt time.Time // begin of the last warm-up
	inflight  int       // running requests
}

// Verdict is the result of a request at a server.
type Verdict int

// The results of a request at a server.
const (
	VerdictServed       Verdict = iota
	VerdictFailed               // run, with the response 500
	VerdictRejected             // not run, since the queue was full
	VerdictDisconnected         // the caller disconnected before the response
)

// NewServerModel returns a server that starts now, so that it warms up.
func NewServerModel(spec Server, seed uint64) *ServerModel {
	return &ServerModel{spec: spec, slots: make(chan struct{}, spec.Capacity), waiting: make(chan struct{}, spec.Capacity+spec.Queue),
		random: rand.New(rand.NewPCG(seed, 0x5e)), startedAt: time.Now()}
}

// Restart begins a new warm-up, as a new process does.
func (s *ServerModel) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = time.Now()
}

// StartedAt returns when the server last started.
func (s *ServerModel) StartedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// LoadReport returns the server's current load report.
func (s *ServerModel) LoadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("failed_ps=0,pending=%d", s.inflight)
}

// Run runs one request, or waits for a slot first, and calls ran when the
// request begins to run. It returns the result and the load report of the
// response, which is empty if there is no response or the request was rejected.
func (s *ServerModel) Run(ctx context.Context, ran func()) (v Verdict, report string) {
	select {
	case s.waiting <- struct{}{}:
	default:
		return VerdictRejected, ""
	}
	defer func() { <-s.waiting }()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return VerdictDisconnected, ""
	}
	defer func() { <-s.slots }()
	ran()
	s.mu.Lock()
	s.inflight++
	slowdown := 1.0
	if cold := s.spec.ColdStart.Duration; cold > 0 && time.Since(s.startedAt) < cold {
		slowdown = 1 + 3*(1-float64(time.Since(s.startedAt))/float64(cold))
	}
	took := time.Duration(float64(s.spec.Latency.Duration) * slowdown * (0.5 + s.random.ExpFloat64()/2))
	fails := s.random.Float64() < s.spec.ErrorRate
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inflight--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return VerdictDisconnected, ""
	}
	if fails {
		return VerdictFailed, s.LoadReport()
	}
	return VerdictServed, s.LoadReport()
}
