package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ServerModel is the behavior of a fake server, without sockets: it runs up to
// Capacity requests at once with Queue more waiting, rejects the rest, fails
// at the error rate, and is slower while warming up. FakeServer and the scale
// package's simulated servers share it. It is safe for concurrent use.
type ServerModel struct {
	spec    Server
	slots   chan struct{} // capacity
	waiting chan struct{} // capacity + queue

	mu        sync.Mutex
	random    *rand.Rand
	startedAt time.Time
	inflight  int
}

// Verdict is the result of a request at a server.
type Verdict int

// The verdicts.
const (
	VerdictServed       Verdict = iota
	VerdictFailed               // answered 500
	VerdictRejected             // never run
	VerdictDisconnected         // its caller disconnected
)

// NewServerModel makes a server that starts now, and so warms up.
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

// StartedAt is when it last started.
func (s *ServerModel) StartedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// LoadReport is its load report now.
func (s *ServerModel) LoadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("failed_ps=0,pending=%d", s.inflight)
}

// Run runs one request, and calls ran when it begins. It returns the load
// report of the response.
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
	warmth := 1.0
	if cold := s.spec.ColdStart.Duration; cold > 0 && time.Since(s.startedAt) < cold {
		warmth = 1 + 3*(1-float64(time.Since(s.startedAt))/float64(cold))
	}
	took := time.Duration(float64(s.spec.Latency.Duration) * warmth * (0.5 + s.random.ExpFloat64()/2))
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
