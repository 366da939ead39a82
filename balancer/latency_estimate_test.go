package balancer

import (
	"testing"
)

// Latencies at endpoints that are wrongly assumed to be loaded must not change the mean work. They would lower
// it, and the queue inferred from the latency of a load probe would become longer still.
func TestWorkIsNotLearnedFromAssumedQueue(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	before := b.classes[0].meanWork.value
	for i := range uint64(200) {
		now := second + Micros(i)*10_000
		b.LoadProbeResult(now, 1, OK, 500, []float32{0})                  // sets the round-trip time
		b.LoadProbeResult(now, 1, OK, 500+Micros(before/2), []float32{0}) // slow, though nothing is in flight
		b.RequestArrived(now, requestOf(i, 0, now))
		if n := len(r.attempts); n > 0 && r.attempts[n-1].id == i {
			b.AttemptFinished(now+5000, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: Micros(before), RequestDone: true})
		}
	}
	if got := b.classes[0].meanWork.value; got < before*0.9 || len(r.attempts) < 100 {
		t.Errorf("mean work is %.0f us and estimated at %.0f after %d responses that took that long", before, got, len(r.attempts))
	}
}

// The additional latency of an endpoint in its slow start must not be learned as work of the request.
func TestWorkIsNotLearnedFromSlowStart(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1)[:1])
	b.UpdateEndpoints(second, UpdateDelta, []Endpoint{{ID: 1, Weight: 1, StartTime: second}})
	before := b.classes[0].meanWork.value
	e := b.endpointsByID[1]
	for i := range 100 {
		now := second + Micros(i)*10_000
		r := &request{Request: Request{ID: 1}, work: before}
		a := &attempt{endpoint: e, contendedWork: before, expectedLatency: before / e.slowStart.capacityFraction(now, &b.settings.Rules)}
		b.learnServiceTime(now, r, a, before/e.slowStart.capacityFraction(now, &b.settings.Rules), false)
	}
	if got := b.classes[0].meanWork.value; got > 1.01*before || got < 0.99*before {
		t.Errorf("mean work went from %.0f to %.0f us after responses that were slow only because of the slow start", before, got)
	}
}

// An endpoint that has just started must not be assumed slow because the only other endpoint of its zone is.
func TestOneSlowEndpointDoesNotSlowItsZone(t *testing.T) {
	b, _ := start(t, testSettings(), ready(6)) // two endpoints per zone
	learn := func(id uint32, latency float64, times int) {
		e := b.endpointsByID[id]
		for range times {
			work := b.classes[0].meanWork.value
			b.learnServiceTime(second, &request{work: work}, &attempt{endpoint: e, contendedWork: work, expectedLatency: latency}, latency, false)
		}
	}
	for id := range uint32(6) {
		learn(id+1, 80_000, 200)
	}
	usual := b.expectedServiceTime(second, b.endpointsByID[1])
	b.UpdateEndpoints(second, UpdateDelta, []Endpoint{{ID: 2, Weight: 1, StartTime: second}})
	for range 200 { // a tenth of all requests go to the slow endpoint
		learn(1, 400_000, 1)
		learn(3, 80_000, 9)
	}
	fresh := b.endpointsByID[2]
	if got := b.expectedServiceTime(second, fresh) * fresh.slowStart.capacityFraction(second, &b.settings.Rules); got > 2*usual {
		t.Errorf("a new endpoint in the zone of a slow one has an expected service time of %.2f, the fleet %.2f", got, usual)
	}
	if got := b.expectedServiceTime(second, b.endpointsByID[1]); got < 3*usual {
		t.Errorf("the slow endpoint has an expected service time of %.2f, the fleet %.2f", got, usual)
	}
}

// The expected service time of an endpoint in its slow start falls as its capacity grows, including after it
// has been learned from outcomes.
func TestWarmingEndpointIsExpectedToBeSlow(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, UpdateDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.endpointsByID[9]
	if got := b.expectedServiceTime(1000, e); !isNear(got, 5) { // capacity 0.2
		t.Errorf("service time %v at the start of the slow start, want 5", got)
	}
	e.serviceTime.average, e.serviceTime.updatedAt = ewma{value: 2, initialized: true}, 6*second
	if got := b.expectedServiceTime(6*second, e); got < 2.9 || got > 3 { // capacity 0.68
		t.Errorf("service time %v in the middle of the slow start, want 2.9 to 3", got)
	}
	if got := b.expectedServiceTime(12*second, e); got > 2 {
		t.Errorf("service time %v after the slow start, want at most 2", got)
	}
}

// A cost hint must count only as far as it predicts the latency. Otherwise requests with a large but wrong hint
// would be rejected while endpoints are idle.
func TestHintExponentIsLearned(t *testing.T) {
	for _, c := range []struct {
		name     string
		latency  func(hint Micros) Micros
		from, to float64
	}{
		{"hints predict nothing", func(Micros) Micros { return 20_000 }, 0, 0.15},
		{"hints predict all", func(hint Micros) Micros { return hint }, 0.85, 1},
	} {
		b, r := start(t, testSettings(), ready(4))
		hints := randomSource(3)
		for i := range 4000 {
			now := 10_000 * Micros(i)
			hint := 5_000 + hints.below(60_000)
			b.RequestArrived(now, Request{ID: uint64(i), Deadline: now + second, CostHint: hint, HasCostHint: true})
			if n := len(r.attempts); n > 0 && r.attempts[n-1].id == uint64(i) {
				b.AttemptFinished(now, Outcome{ID: uint64(i), Endpoint: r.attempts[n-1].endpoint, Status: OK,
					Latency: c.latency(hint), RequestDone: true})
			}
		}
		if b.hintExponent < c.from || b.hintExponent > c.to {
			t.Errorf("%s: exponent %.2f, want %.2f to %.2f", c.name, b.hintExponent, c.from, c.to)
		}
	}
}
