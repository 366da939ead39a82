package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/endpointtest"
)

// timerRejecter holds every request back and refuses it on a timer, as the balancer
// does with one that waited for probes in vain.
type timerRejecter struct {
	loadBalancer
	loop *eventLoop
}

func (p *timerRejecter) RequestArrived(_ balancer.Micros, in balancer.Request) {
	p.loop.SetTimer(1, uint32(in.ID))
}
func (p *timerRejecter) TimerFired(_ balancer.Micros, token uint32) { p.loop.Reject(uint64(token), 0) }
func (p *timerRejecter) Start(balancer.Micros)                      {}

// The ledger forgets a request that is refused without an attempt, whichever
// event the refusal comes of: else its body stays in memory for good.
func TestLedgerForgetsWhatATimerRefuses(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := newEventLoop(ctx, newTestConfig(t, "127.0.0.1:1", nil), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.balancer = &timerRejecter{loadBalancer: l.balancer, loop: l}
	go l.run()
	r := &pendingRequest{response: make(chan finalResponse, 1)}
	l.post(func(now balancer.Micros) { l.admitRequest(now, r, balancer.Request{Deadline: now + 1e9}) })
	select {
	case a := <-r.response:
		if a.statusCode != http.StatusServiceUnavailable {
			t.Errorf("answer %d, want a refusal", a.statusCode)
		}
	case <-time.After(testTimeout):
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
	w := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
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
	go func() { carriedOut <- w.loop.postUrgent(func(balancer.Micros) { order = append(order, "call") }) }()
	w.await("the call to wait", func() bool { return len(w.loop.urgent) == 1 })
	close(release)
	if err := <-carriedOut; err != nil {
		t.Fatal(err)
	}
	<-last
	if order[0] != "call" {
		t.Errorf("carried out in the order %v, want the call first", order)
	}
}
