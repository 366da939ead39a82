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
		b.Share(processes)
		b.Members(second, ListDelta, []Endpoint{{ID: 4, Share: 1, StartTime: second}})
		e := b.byID[4]
		e.room = 0
		b.coldRoom(2*second, e, 0)
		return e.room
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
	b.Members(second, ListDelta, []Endpoint{{ID: 1, Share: 1, StartTime: second}})
	before := b.classes[0].work.v
	e := b.byID[1]
	for i := range 100 {
		now := second + Micros(i)*10_000
		r := &request{Request: Request{ID: 1}, work: before}
		a := &attempt{ep: e, factor: before, expected: before / e.warmth(now, b)}
		b.learnPace(now, r, a, before/e.warmth(now, b), false)
	}
	if got := b.classes[0].work.v; got > 1.01*before || got < 0.99*before {
		t.Errorf("work went from %.0f to %.0f by answers that were slow by coldness alone", before, got)
	}
}
