package balancer

import (
	"testing"
)

// A balancer with few requests in a large fleet cannot have fresh reports of all endpoints. It probes when a
// request arrives and sends the request to the endpoint with the best answer. The request must not get lost.
func TestIdleBalancerProbesBeforeItSends(t *testing.T) {
	startAndSendRequest := func() (*Balancer, *recorder) {
		s := testSettings()
		s.Balancers = 1000
		b, r := start(t, s, ready(40))
		if len(r.probes) != 0 {
			t.Errorf("%d probes at the start, want none", len(r.probes))
		}
		b.TimerFired(second, timerProbeRound)
		r.probes, r.timers = nil, nil
		b.RequestArrived(2*second, requestOf(1, 0, 2*second))
		if len(r.attempts) != 0 || len(r.probes) < 2 {
			t.Fatalf("%d attempts and %d probes before any answer", len(r.attempts), len(r.probes))
		}
		return b, r
	}
	answer := func(b *Balancer, r *recorder, i int, load float32) {
		b.LoadProbeResult(2*second+1000, r.probes[i], OK, 500, []float32{load})
	}

	b, r := startAndSendRequest()
	for i := range r.probes {
		answer(b, r, i, float32(4-i))
	}
	if last := r.probes[len(r.probes)-1]; len(r.attempts) != 1 || r.attempts[0].endpoint != last {
		t.Errorf("attempts %v, want one at %d, the least loaded of %v", r.attempts, last, r.probes)
	}

	b, r = startAndSendRequest()
	answer(b, r, 0, 0)
	if len(r.attempts) != 1 || r.attempts[0].endpoint != r.probes[0] {
		t.Errorf("attempts %v, want one at the idle endpoint %d at once", r.attempts, r.probes[0])
	}

	b, r = startAndSendRequest() // no answer at all
	b.TimerFired(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.attempts) != 1 {
		t.Errorf("%d attempts after the wait for probes", len(r.attempts))
	}

	b, r = startAndSendRequest()
	b.ClientDisconnected(2*second+500, 1)
	for i := range r.probes {
		answer(b, r, i, 0)
	}
	b.TimerFired(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.attempts)+len(r.rejected)+len(r.failed) != 0 || len(b.probeWaiters) != 0 {
		t.Error("a request is acted on after its client disconnected")
	}
}

// Under overload only free endpoints answer a probe in time. Endpoints that do not answer must count as loaded,
// or the fleet would look idle.
func TestUnansweredProbesCountAsLoad(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	b, r := start(t, s, ready(40))
	b.TimerFired(second, timerProbeRound)
	for id := range uint64(40) {
		now := 2*second + 100_000*Micros(id)
		r.timers = nil
		b.RequestArrived(now, Request{ID: id, Deadline: now + second})
		b.TimerFired(now+40_000, r.timers[len(r.timers)-1])
	}
	if b.zones[0].baselineLoad.value < defaultConcurrency {
		t.Errorf("baseline load %v although no probe was answered", b.zones[0].baselineLoad.value)
	}
	if len(r.rejected) == 0 {
		t.Error("nothing was rejected although no probe was answered")
	}
}

// Reports from distant zones arrive too late for a short wait, so endpoints there are not probed on demand.
func TestProbesOnDemandStayNear(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	list := ready(40)
	for i := range list {
		list[i].Zone = uint8(i % 2)
	}
	b, r := start(t, s, list)
	b.zones[0].roundTrip, b.zones[1].roundTrip = ewma{value: 500, initialized: true}, ewma{value: 30_000, initialized: true}
	b.TimerFired(second, timerProbeRound)
	for id := range uint64(20) {
		b.RequestArrived(2*second, requestOf(id, 0, 2*second))
	}
	for _, e := range r.probes {
		if b.endpointsByID[e].Zone != 0 {
			t.Fatalf("probe of endpoint %d, 30 ms away, for a wait of 40 ms", e)
		}
	}
	if len(r.probes) < 10 {
		t.Errorf("%d probes, want at least 10", len(r.probes))
	}
}
