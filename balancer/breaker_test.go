package balancer

import (
	"testing"
)

func TestErrorDropProbability(t *testing.T) {
	for _, c := range []struct {
		name              string
		accepts, failures int
		refusals          int
		spread            int // number of buckets over which the failures are spread
		want              float64
	}{
		{"empty", 0, 0, 0, 1, 0},
		{"within protection", 0, 5, 0, 1, 0},
		{"one beyond protection", 0, 6, 0, 1, 1.0 / 7},
		// 30 requests, 10 accepts in the newest bucket: K stays 1.5.
		{"two thirds fail", 10, 20, 0, 1, (30.0 - 5 - 15) / 31},
		{"refusals count as requests", 10, 0, 20, 1, (30.0 - 5 - 15) / 31},
		{"all accepted", 40, 0, 0, 1, 0},
		// 20 failing buckets after the accepts: K = 1.5 - 0.4*20/40 = 1.3.
		{"K eases", 10, 20, 0, 20, (30.0 - 5 - 13) / 31},
	} {
		var k breaker
		now := 100 * second
		for range c.accepts {
			k.record(now, 1, 0)
		}
		for i := range c.failures {
			if c.spread > 1 && i%(c.failures/c.spread) == 0 {
				now += breakerWindow / breakerBuckets
			}
			k.record(now, 0, 1)
		}
		for range c.refusals {
			k.record(now, 0, 0)
		}
		if got := k.errorDropProbability(now); !isNear(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBreakerWindowExpires(t *testing.T) {
	var k breaker
	for range 100 {
		k.record(100*second, 0, 1)
	}
	if k.errorDropProbability(109*second) == 0 {
		t.Error("failures expired after nine seconds, within the window")
	}
	if got := k.errorDropProbability(110*second + 1); got != 0 || k.requests != 0 {
		t.Errorf("after the window: drop probability %v and %d requests, want 0 and 0", got, k.requests)
	}
	for range 100 {
		k.record(200*second, 0, 1)
	}
	k.errorDropProbability(500 * second)
	if k.requests != 0 {
		t.Errorf("after a long pause: %d requests in the window, want 0", k.requests)
	}
}

func TestBreakerLatencyAverages(t *testing.T) {
	var k breaker
	k.recordLatency(100)
	if k.latencyBaseline != 100 || k.latencyCurrent != 100 {
		t.Fatalf("after the first sample: baseline %v and current %v, want 100 and 100", k.latencyBaseline, k.latencyCurrent)
	}
	k.recordLatency(60) // falls by a quarter; current (60+3*100)/4
	if !isNear(k.latencyBaseline, 90) || !isNear(k.latencyCurrent, 90) {
		t.Fatalf("after a lower latency: baseline %v and current %v, want 90 and 90", k.latencyBaseline, k.latencyCurrent)
	}
	k.recordLatency(190) // rises by a hundredth: (190+99*90)/100; current (190+270)/4
	if !isNear(k.latencyBaseline, 91) || !isNear(k.latencyCurrent, 115) {
		t.Fatalf("after a higher latency: baseline %v and current %v, want 91 and 115", k.latencyBaseline, k.latencyCurrent)
	}
}

func TestLatencyDropProbability(t *testing.T) {
	for _, c := range []struct {
		name                   string
		base, current, timeout float64
		want                   float64
	}{
		{"no sample", 0, 0, 1000, 0},
		{"under three times the baseline", 100, 299, 1000, 0},
		{"in the middle to the ceiling", 100, 625, 1000, 0.15}, // (625-300)/(950-300)*0.3
		{"at the ceiling", 100, 950, 1000, 0.3},
		{"capped", 100, 5000, 1000, 0.3},
		{"ceiling under the threshold", 400, 5000, 1000, 0},
	} {
		k := breaker{latencyBaseline: c.base, latencyCurrent: c.current}
		if got := k.latencyDropProbability(c.timeout); !isNear(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBreakerForcesOnePassPerInterval(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	e := b.endpoints[0]
	now := 20 * second
	for range 1000 {
		e.breaker.record(now, 0, 1)
	}
	r := &request{}
	if !b.breakerAllows(now, r, e) {
		t.Fatal("the first request was dropped, want a forced pass")
	}
	passed := 0
	for range 200 {
		if b.breakerAllows(now+1000, r, e) {
			passed++
		}
	}
	if passed > 20 {
		t.Errorf("%d of 200 requests passed the breaker of an endpoint that fails all, want at most 20", passed)
	}
	if !b.breakerAllows(now+forcedPassInterval+1001, r, e) {
		t.Error("no request passed after the forced-pass interval")
	}
}
