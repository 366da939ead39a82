package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"bramblestand/balancer"
)

// postponer holds every request back and refuses it on a timer, as the balancer
// does with one that waited for probes in vain.
type postponer struct {
	decider
	loop *loop
}

func (p *postponer) RequestArrived(_ balancer.Micros, in balancer.Request) {
	p.loop.SetTimer(1, uint32(in.ID))
}
func (p *postponer) TimerFired(_ balancer.Micros, token uint32) { p.loop.Reject(uint64(token), 0) }
func (p *postponer) Start(balancer.Micros)                      {}

// The ledger forgets a request that is refused without an attempt, whichever
// event the refusal comes of: else its body stays in memory for good.
func TestLedgerForgetsWhatATimerRefuses(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := newLoop(ctx, configure(t, "127.0.0.1:1", nil), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.balancer = &postponer{decider: l.balancer, loop: l}
	go l.run()
	r := &request{answer: make(chan answer, 1)}
	l.post(func(now balancer.Micros) { l.take(now, r, balancer.Request{Deadline: now + 1e9}) })
	select {
	case a := <-r.answer:
		if a.code != http.StatusServiceUnavailable {
			t.Errorf("answer %d, want a refusal", a.code)
		}
	case <-time.After(patience):
		t.Fatal("no answer comes")
	}
	left := make(chan int)
	l.post(func(balancer.Micros) { left <- len(l.requests) })
	if n := <-left; n != 0 {
		t.Errorf("%d requests stay in the ledger", n)
	}
}

// Admin calls do not wait behind the loop's other events.
func TestAdminCallsGoAheadOfEvents(t *testing.T) {
	w := start(t, nil, ready("s-1", newEndpoint(t, always(served)).address))
	release, blocked := make(chan struct{}), make(chan struct{})
	w.loop.post(func(balancer.Micros) { close(blocked); <-release })
	<-blocked
	var order []string
	last := make(chan struct{})
	for range 5 {
		w.loop.post(func(balancer.Micros) { order = append(order, "event") })
	}
	w.loop.post(func(balancer.Micros) { close(last) })
	carriedOut := make(chan error, 1)
	go func() { carriedOut <- w.loop.urge(func(balancer.Micros) { order = append(order, "call") }) }()
	w.until("the call to wait", func() bool { return len(w.loop.urgent) == 1 })
	close(release)
	if err := <-carriedOut; err != nil {
		t.Fatal(err)
	}
	<-last
	if order[0] != "call" {
		t.Errorf("carried out in the order %v, want the call first", order)
	}
}
