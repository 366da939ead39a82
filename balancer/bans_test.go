package balancer

import (
	"slices"
	"testing"
)

// traffic sends requests at a steady rate through a balancer, answers them all and counts the attempts by
// endpoint.
type traffic struct {
	b     *Balancer
	r     *recorder
	id    uint64
	seen  int               // attempts counted so far
	sends map[uint32]int    // attempts by endpoint
	first map[uint32]Micros // time of the first attempt by endpoint
}

func newTraffic(b *Balancer, r *recorder) *traffic {
	return &traffic{b: b, r: r, sends: map[uint32]int{}, first: map[uint32]Micros{}}
}

func (tr *traffic) run(from, to, gap Micros) {
	for now := from; now < to; now += gap {
		for e := range uint32(4) {
			tr.b.LoadProbeResult(now, e+1, OK, 500, []float32{0})
		}
		tr.id++
		tr.b.RequestArrived(now, requestOf(tr.id, 0, now))
		for ; tr.seen < len(tr.r.attempts); tr.seen++ {
			s := tr.r.attempts[tr.seen]
			if tr.sends[s.endpoint]++; tr.first[s.endpoint] == 0 {
				tr.first[s.endpoint] = now
			}
			tr.b.AttemptFinished(now, Outcome{ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: 30_000, RequestDone: true})
		}
	}
}

// A ban holds whatever endpoint updates say, and also for an endpoint that is listed only later.
func TestBannedEndpointGetsNothing(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	b.Ban(1000, 1)
	b.Ban(1000, 4)
	tr := newTraffic(b, r)
	for i, update := range []func(now Micros){
		func(Micros) {},
		func(now Micros) { b.UpdateEndpoints(now, UpdateDelta, []Endpoint{{ID: 1, State: Removed}}) },
		func(now Micros) { b.UpdateEndpoints(now, UpdateFull, ready(4)) },
		func(now Micros) {
			b.UpdateEndpoints(now, UpdateDelta, []Endpoint{{ID: 1, State: Ready, StartTime: now}})
		},
		func(now Micros) { b.Ban(now, 1) },
	} {
		now := Micros(i+1) * second
		r.probes = r.probes[:0]
		update(now)
		b.TimerFired(now, timerProbeRound)
		tr.run(now, now+second, 10_000)
		if slices.Contains(r.probes, 1) || slices.Contains(r.probes, 4) {
			t.Errorf("after update %d: a banned endpoint was probed", i)
		}
	}
	if tr.sends[1] != 0 || tr.sends[4] != 0 || tr.sends[2]+tr.sends[3] == 0 {
		t.Errorf("attempts by endpoint %v, want none at 1 and 4", tr.sends)
	}
}

// A reinstatement ends the ban at once, and the endpoint gets a request within 5 s, even if it is warming up or
// seems loaded.
func TestReinstatedEndpointIsUsedAgain(t *testing.T) {
	for name, update := range map[string]func(b *Balancer){
		"no restart reported":    func(b *Balancer) {},
		"restarted while banned": func(b *Balancer) { b.UpdateEndpoints(4*second, UpdateFull, listWithRestart(3*second)) },
		"removed while banned":   func(b *Balancer) { b.UpdateEndpoints(4*second, UpdateFull, ready(3)[1:]) },
	} {
		s := testSettings()
		s.Rules.OverloadMultiple, s.Rules.OverloadDuration = 4, 3*second/2
		b, r := start(t, s, ready(3))
		tr := newTraffic(b, r)
		tr.run(second, 2*second, 100_000)
		b.Ban(2*second, 1)
		update(b)
		before := tr.sends[1]
		tr.run(4*second, 5*second, 100_000)
		if tr.sends[1] != before {
			t.Errorf("%s: the endpoint was sent requests while banned", name)
		}
		r.probes = r.probes[:0]
		b.Unban(5*second, 1)
		b.Unban(5*second, 1)
		if name != "removed while banned" {
			if !slices.Equal(r.probes, []uint32{1}) {
				t.Errorf("%s: probes at the reinstatement are %v, want one of 1", name, r.probes)
			}
			if e := b.endpointsByID[1]; !b.isWarmingUp(5*second, e) {
				t.Errorf("%s: the reinstated endpoint has no slow start", name)
			}
		} else {
			b.UpdateEndpoints(5*second+second/2, UpdateFull, listWithRestart(5*second))
		}
		delete(tr.first, 1)
		tr.run(5*second+second/2, 9*second, 100_000)
		if at := tr.first[1]; at == 0 || at > 5*second+reinstateDelay+second {
			t.Errorf("%s: first used at %d µs (0 for never), reinstated at 5 s", name, at)
		}
	}
}

func listWithRestart(at Micros) []Endpoint {
	list := ready(3)
	list[0].StartTime = at
	return list
}

// In a large fleet the first requests of all balancers together would overload an endpoint in its slow start.
// A balancer therefore sends the first request only once it has the slow-start budget for it.
func TestReinstatedEndpointIsNotOverloaded(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	b, _ := start(t, s, ready(3))
	b.Ban(second, 1)
	b.Unban(2*second, 1)
	getsFirstRequest := func() bool {
		now := 2*second + reinstateDelay
		r := b.newRequest(now, requestOf(1, 0, now))
		r.work = b.classes[0].meanWork.value
		return b.findReinstated(now, r) != nil
	}
	if getsFirstRequest() {
		t.Error("each of a thousand balancers sends a first request to the reinstated endpoint at once")
	}
	s.Balancers = 1
	b, _ = start(t, s, ready(3))
	b.Ban(second, 1)
	b.Unban(2*second, 1)
	if !getsFirstRequest() {
		t.Error("the only balancer does not send a first request to the reinstated endpoint")
	}
}
