package balancer

import (
	"math"
	"testing"
)

// Where most is refused, little is sent: what is cold must not be left idle for that, or all would go on being refused.
func TestColdBudgetDoesNotFollowRefusals(t *testing.T) {
	saved := func(balancers, processes int) float64 {
		s := testSettings()
		s.Balancers = balancers
		b, _ := start(t, s, ready(3))
		b.SetProcessCount(processes)
		b.UpdateEndpoints(second, UpdateDelta, []Endpoint{{ID: 4, Weight: 1, StartTime: second}})
		e := b.endpointsByID[4]
		e.slowStart.budget = 0
		b.hasSlowStartBudget(2*second, e, 0)
		return e.slowStart.budget
	}
	alone := saved(2, 1)
	// A fifth of what one of two can have sent to an endpoint of two cores, less what no burst may save up.
	if want := 0.28 * 0.7 * float64(second) / 2; math.Abs(alone-want) > 1 {
		t.Errorf("with nothing sent, %.0f µs of work may go to a cold endpoint after a second, want %.0f", alone, want)
	}
	if two := saved(2, 2); math.Abs(two-alone/2) > 1 {
		t.Errorf("for each of two processes %.0f µs, want half of %.0f", two, alone)
	}
	if many := saved(200, 1); math.Abs(many-alone/100) > 1 {
		t.Errorf("for each of 200 balancers %.0f µs, want a hundredth of %.0f", many, alone)
	}
}

// A cold endpoint's slowness is no work of the request's.
func TestWorkIsNotLearnedFromColdness(t *testing.T) {
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
		t.Errorf("work went from %.0f to %.0f by answers that were slow by coldness alone", before, got)
	}
}

// Where all that is warm of a zone is slow, what has just started there is not taken for slow.
func TestOneSlowEndpointIsNotItsZone(t *testing.T) {
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
		t.Errorf("a new endpoint beside a slow one is expected at a pace of %.2f, the fleet's is %.2f", got, usual)
	}
	if got := b.expectedServiceTime(second, b.endpointsByID[1]); got < 3*usual {
		t.Errorf("the slow one itself is expected at %.2f, the fleet's pace is %.2f", got, usual)
	}
}
