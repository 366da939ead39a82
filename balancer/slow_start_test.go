package balancer

import (
	"math"
	"testing"
)

// slowStartSends counts sends to a cold endpoint over the overload window just
// after its start, beside nine warm ones under a steady load.
func slowStartSends(t *testing.T, rate int, colds int) (cold []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := ready(10)
	b, r := start(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.LoadProbeResult(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.RequestArrived(now, requestOf(id, 0, now))
			for ; seen < len(r.attempts); seen++ {
				counts[r.attempts[seen].endpoint]++
				b.AttemptFinished(now, Outcome{ID: r.attempts[seen].id, Endpoint: r.attempts[seen].endpoint, Status: OK,
					Latency: 30_000, RequestDone: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range colds {
		b.UpdateEndpoints(5*second, UpdateDelta, []Endpoint{{ID: uint32(11 + i), State: Ready, StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			cold = append(cold, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return cold, warm
}

func TestWarmingEndpointGetsNoMoreThanItsCapacity(t *testing.T) {
	for _, c := range []struct{ rate, colds int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		cold, warm := slowStartSends(t, c.rate, c.colds)
		for _, n := range cold {
			// Warmth goes from 0.2 to 0.28 in this second; one request may round up.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d: a cold endpoint got %d, a warm one %.1f", c.rate, n, warm)
			}
		}
	}
}

func TestOnlyEndpointRestarts(t *testing.T) {
	b, r := start(t, testSettings(), ready(1)[:1])
	b.UpdateEndpoints(second, UpdateDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.RequestArrived(now, requestOf(i, 0, now))
		if n := len(r.attempts); n > 0 && b.requests[i] != nil {
			b.AttemptFinished(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, RequestDone: true})
		}
	}
	if n := len(r.attempts); n < 20 || n > 250 {
		t.Errorf("%d of 400 sent to the only, cold, endpoint", n)
	}
}

// Where most is refused, little is sent: what is cold must not be left idle for that, or all would go on being refused.
func TestSlowStartBudgetDoesNotFollowRejections(t *testing.T) {
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

// A quiet balancer earns one send to a cold endpoint in minutes: all must not start from nothing.
func TestManyIdleBalancersServeWarmingEndpoint(t *testing.T) {
	allowed, all := 0, 200
	s := testSettings()
	s.Balancers = all
	for seed := range all {
		b, err := New(s, uint64(seed), &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.UpdateEndpoints(0, UpdateCached, ready(10))
		for i := range Micros(10) {
			b.startedWork.add(i*second, 80_000) // one request a second
		}
		b.UpdateEndpoints(10*second, UpdateDelta, []Endpoint{{ID: 11, Weight: 1, StartTime: 10 * second}})
		for i := range Micros(6) {
			b.startedWork.add((10+i)*second, 80_000)
			b.hasSlowStartBudget((10+i)*second, b.endpointsByID[11], 80_000)
		}
		if b.hasSlowStartBudget(15*second, b.endpointsByID[11], 80_000) {
			allowed++
		}
	}
	// In 5 s a warm endpoint gets half a request of each; this one 0.2 to 0.6 of seven tenths of that.
	if allowed < 5 || allowed > 60 {
		t.Errorf("%d of %d quiet balancers may send to a cold endpoint within 5 s", allowed, all)
	}
}
