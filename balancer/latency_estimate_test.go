package balancer

import (
	"testing"
)

// Latencies at endpoints wrongly taken to be loaded say nothing of the work of a class: they would make it
// less, and so any queue that a waiting probe shows longer.
func TestWorkIsNotLearnedFromAssumedQueue(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	before := b.classes[0].meanWork.value
	for i := range uint64(200) {
		now := second + Micros(i)*10_000
		b.LoadProbeResult(now, 1, OK, 500, []float32{0})                  // the round-trip time
		b.LoadProbeResult(now, 1, OK, 500+Micros(before/2), []float32{0}) // slow, though nothing is in flight
		b.RequestArrived(now, requestOf(i, 0, now))
		if n := len(r.attempts); n > 0 && r.attempts[n-1].id == i {
			b.AttemptFinished(now+5000, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: Micros(before), RequestDone: true})
		}
	}
	if got := b.classes[0].meanWork.value; got < before*0.9 || len(r.attempts) < 100 {
		t.Errorf("work of %.0f us is estimated at %.0f after %d responses that took as long", before, got, len(r.attempts))
	}
}

// The slowness of an endpoint that warms up is not work of the request.
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
		t.Errorf("work went from %.0f to %.0f by responses that were slow by the slow start alone", before, got)
	}
}

// An endpoint that has just started is not taken to be slow because the only other one of its zone is.
func TestOneSlowEndpointDoesNotSlowItsZone(t *testing.T) {
	b, _ := start(t, testSettings(), ready(6)) // two a zone
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
	for range 200 { // a tenth of all requests go to the slow one
		learn(1, 400_000, 1)
		learn(3, 80_000, 9)
	}
	fresh := b.endpointsByID[2]
	if got := b.expectedServiceTime(second, fresh) * fresh.slowStart.capacityFraction(second, &b.settings.Rules); got > 2*usual {
		t.Errorf("a new endpoint beside a slow one has an expected service time of %.2f, the fleet %.2f", got, usual)
	}
	if got := b.expectedServiceTime(second, b.endpointsByID[1]); got < 3*usual {
		t.Errorf("the slow one has an expected service time of %.2f, the fleet %.2f", got, usual)
	}
}

// The service time expected of an endpoint in its slow start falls with its growing capacity, also once it
// has been learned.
func TestWarmingEndpointIsExpectedToBeSlow(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	b.UpdateEndpoints(1000, UpdateDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.endpointsByID[9]
	if got := b.expectedServiceTime(1000, e); !isNear(got, 5) { // capacity 0.2
		t.Errorf("service time %v at the start", got)
	}
	e.serviceTime.average, e.serviceTime.updatedAt = ewma{value: 2, initialized: true}, 6*second
	if got := b.expectedServiceTime(6*second, e); got < 2.9 || got > 3 { // capacity 0.68
		t.Errorf("service time %v in the middle", got)
	}
	if got := b.expectedServiceTime(12*second, e); got > 2 {
		t.Errorf("service time %v at the end", got)
	}
}

// A cost hint counts for as much as it predicts, or idle endpoints would reject what is only hinted to be
// large.
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
