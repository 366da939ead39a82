package balancer

import (
	"testing"
)

func TestFailedSubscriptionIsPolledAgain(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	b, r := start(t, s, ready(2))
	now := Micros(0)
	fire := func() {
		for i, token := range r.timers {
			if token == timerDiscoveryPoll {
				now += r.delays[i]
				r.timers, r.delays = nil, nil
				b.TimerFired(now, timerDiscoveryPoll)
				return
			}
		}
		t.Fatal("no timer is set for the next poll")
	}
	fire()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d subscription calls, want %d", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.UpdateEndpoints(now, UpdateFailed, nil)
		} // otherwise the answer is lost
		fire()
		if now-before > s.Rules.MaxPollInterval {
			t.Fatalf("polled again only after %d us, want at most %d", now-before, s.Rules.MaxPollInterval)
		}
	}
	if len(b.endpoints) != 2 {
		t.Error("a failed call changed the endpoint list")
	}
	b.UpdateEndpoints(now, UpdateDelta, nil)
	n := r.watches
	b.TimerFired(now+100*second, timerDiscoveryPoll)
	if r.watches != n {
		t.Error("polled while subscribed")
	}
}
