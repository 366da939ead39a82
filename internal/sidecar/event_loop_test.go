package sidecar

import (
	"net/http"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/endpointtest"
)

// timerRejecter rejects every request on a timer, as the balancer does if load probes are not answered.
type timerRejecter struct {
	loadBalancer
	loop *eventLoop
}

func (r *timerRejecter) RequestArrived(_ balancer.Micros, in balancer.Request) {
	r.loop.SetTimer(1, uint32(in.ID))
}

func (r *timerRejecter) TimerFired(_ balancer.Micros, token uint32) {
	r.loop.Reject(uint64(token), 0, balancer.RejectLatency)
}

func (r *timerRejecter) Start(balancer.Micros) {}

// A request that is rejected without an attempt leaves the request table, whichever event caused the rejection. Otherwise its
// body would stay in memory forever.
func TestRequestRejectedByATimerLeavesTheTable(t *testing.T) {
	l := newIdleLoop(t, newTestConfig(t, "127.0.0.1:1", nil))
	l.balancer = &timerRejecter{loadBalancer: l.balancer, loop: l}
	go l.run()
	r := &pendingRequest{response: make(chan finalResponse, 1)}
	l.post(func(now balancer.Micros) { l.admitRequest(now, r, balancer.Request{Deadline: now + 1e9}) })
	select {
	case response := <-r.response:
		if response.statusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", response.statusCode)
		}
	case <-time.After(testTimeout):
		t.Fatal("no response")
	}
	remaining := make(chan int)
	l.post(func(balancer.Micros) { remaining <- len(l.requests) })
	if n := <-remaining; n != 0 {
		t.Errorf("%d requests stay in the table", n)
	}
}

// Urgent events, which are operators' calls, do not wait behind other events.
func TestUrgentEventsAreHandledAheadOfOthers(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	release, blocked := make(chan struct{}), make(chan struct{})
	s.loop.post(func(balancer.Micros) { close(blocked); <-release })
	<-blocked
	var order []string
	last := make(chan struct{})
	for range 5 {
		s.loop.post(func(balancer.Micros) { order = append(order, "event") })
	}
	s.loop.post(func(balancer.Micros) { close(last) })
	handled := make(chan error, 1)
	go func() { handled <- s.loop.postUrgent(func(balancer.Micros) { order = append(order, "call") }) }()
	s.await("the call to be queued", func() bool { return len(s.loop.urgent) == 1 })
	close(release)
	if err := <-handled; err != nil {
		t.Fatal(err)
	}
	<-last
	if order[0] != "call" {
		t.Errorf("handled in the order %v, want the call first", order)
	}
}
