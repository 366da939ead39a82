package balancer

import (
	"math"
	"testing"
)

// slowStartSends sends a steady load (rate in requests per second) to ten warm endpoints and coldCount new ones.
// It returns the attempts at each new endpoint in the first second of its slow start, and the mean of the
// attempts at the warm ones.
func slowStartSends(t *testing.T, rate int, coldCount int) (cold []int, warm float64) {
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
	for i := range coldCount {
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
	for _, c := range []struct{ rate, coldCount int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		cold, warm := slowStartSends(t, c.rate, c.coldCount)
		for _, n := range cold {
			// Capacity grows from 0.2 to 0.28 in this second. The budget may round up by one request.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d: an endpoint in its slow start got %d requests, a warm one %.1f", c.rate, n, warm)
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
		t.Errorf("%d of 400 requests were sent to the only endpoint in its slow start, want 20 to 250", n)
	}
}

// While most requests are rejected, little work is started. The slow-start budget must not shrink with it: an
// endpoint in its slow start would stay idle and the rejections would continue.
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
	// One of two balancers earns a fifth (0.28 x 0.7) of its even share of an endpoint with two cores. The budget
	// is limited to what it earns in half the overload duration.
	if want := 0.28 * 0.7 * float64(second) / 2; math.Abs(alone-want) > 1 {
		t.Errorf("with nothing sent, the budget after a second is %.0f µs of work, want %.0f", alone, want)
	}
	if two := saved(2, 2); math.Abs(two-alone/2) > 1 {
		t.Errorf("the budget of each of two processes is %.0f µs, want half of %.0f", two, alone)
	}
	if many := saved(200, 1); math.Abs(many-alone/100) > 1 {
		t.Errorf("the budget of each of 200 balancers is %.0f µs, want a hundredth of %.0f", many, alone)
	}
}

// A balancer with few requests takes minutes to earn the slow-start budget for one. If all balancers started at 0,
// an endpoint would get nothing during its slow start.
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
			b.startedWork.add(i*second, 80_000) // one request per second
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
	// In 5 s a warm endpoint gets half a request from each balancer. The endpoint in its slow start gets seven
	// tenths of that, times its capacity of 0.2 to 0.6.
	if allowed < 5 || allowed > 60 {
		t.Errorf("%d of %d idle balancers may send to an endpoint in its slow start within 5 s, want 5 to 60", allowed, all)
	}
}

func TestSlowStartCapacityGrowsToTheFull(t *testing.T) {
	rules := &Rules{SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * second}
	for _, c := range []struct {
		now  Micros
		want float64
	}{{second, 0.2}, {6 * second, 0.6}, {11 * second, 1}, {60 * second, 1}} {
		s := slowStart{active: true, startedAt: second}
		if got := s.capacityFraction(c.now, rules); !isNear(got, c.want) {
			t.Errorf("after %d s: capacity %v, want %v", (c.now-second)/second, got, c.want)
		}
	}
	var never slowStart
	if got := never.capacityFraction(second, rules); got != 1 {
		t.Errorf("without a slow start: capacity %v, want 1", got)
	}
}

func TestSlowStartBudgetRefillsUpToItsBurst(t *testing.T) {
	s := slowStart{active: true, budget: -100}
	s.refill(second, 500, 2000)
	if s.budget != 400 {
		t.Errorf("budget %v after a second, want 400", s.budget)
	}
	s.refill(60*second, 500, 2000)
	if s.budget != 2000 {
		t.Errorf("budget %v after a minute, want 2000", s.budget)
	}
}
