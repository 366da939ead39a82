package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Serving is how a stand-in pin server works, without sockets: it runs up to
// Capacity requests at once with Queue more waiting, turns the rest away, fails
// at the error rate, and is slower while cold. The lab's pin servers and the
// hollow ones are the same in this.
type Serving struct {
	spec    Server
	slots   chan struct{} // capacity
	waiting chan struct{} // capacity + queue

	mu       sync.Mutex
	random   *rand.Rand
	born     time.Time
	inflight int
}

// Verdict is what became of a request at a server.
type Verdict int

// The verdicts.
const (
	Answered   Verdict = iota
	Erred              // answered 500
	TurnedAway         // never run
	Left               // its caller left
)

// NewServing makes a server that starts now, and cold.
func NewServing(spec Server, seed uint64) *Serving {
	return &Serving{spec: spec, slots: make(chan struct{}, spec.Capacity), waiting: make(chan struct{}, spec.Capacity+spec.Queue),
		random: rand.New(rand.NewPCG(seed, 0x5e)), born: time.Now()}
}

// Restart makes it cold, as a new process is.
func (s *Serving) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born = time.Now()
}

// Born is when it last started.
func (s *Serving) Born() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// Report is its load report now.
func (s *Serving) Report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("failed_ps=0,pending=%d", s.inflight)
}

// Run takes a request through: ran is called as it begins to run. The report
// is that of the answer.
func (s *Serving) Run(ctx context.Context, ran func()) (v Verdict, report string) {
	select {
	case s.waiting <- struct{}{}:
	default:
		return TurnedAway, ""
	}
	defer func() { <-s.waiting }()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return Left, ""
	}
	defer func() { <-s.slots }()
	ran()
	s.mu.Lock()
	s.inflight++
	warmth := 1.0
	if cold := s.spec.ColdStart.Duration; cold > 0 && time.Since(s.born) < cold {
		warmth = 1 + 3*(1-float64(time.Since(s.born))/float64(cold))
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
		return Left, ""
	}
	if fails {
		return Erred, s.Report()
	}
	return Answered, s.Report()
}
