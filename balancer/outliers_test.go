package balancer

import (
	"testing"
)

func TestFailingEndpointIsAvoidedAndRetried(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	now := second
	sends := map[uint32]int{}
	id := uint64(0)
	step := func() {
		now += 20_000
		for e := range uint32(3) {
			b.LoadProbeResult(now, e+1, OK, 500, []float32{0})
		}
		id++
		from := len(r.attempts)
		b.RequestArrived(now, requestOf(id, 0, now))
		for n := 0; from < len(r.attempts); n++ {
			to := r.attempts[from].endpoint
			from++
			sends[to]++
			status := OK
			if to == 1 {
				status = Error
			}
			b.AttemptFinished(now, Outcome{ID: id, Attempt: n, Endpoint: to, Status: status,
				Latency: 30_000 + Micros(id*7919%60_000), RequestDone: status == OK})
		}
	}
	for range 3000 {
		step()
	}
	if sends[1] > 300 {
		t.Errorf("an endpoint that fails fast got %d of 3000 requests, want at most 300", sends[1])
	}
	if sends[1] < 2 {
		t.Errorf("a failing endpoint was not tried again: %d attempts", sends[1])
	}
}

// When all endpoints fail at the same time, ejection must not concentrate the load on the last few.
func TestLoadStaysSpreadWhileAllFail(t *testing.T) {
	b, r := start(t, testSettings(), ready(8))
	sends := map[uint32]int{}
	for id := range uint64(400) {
		now := 1000 + 100*Micros(id)
		b.RequestArrived(now, Request{ID: id, Class: 4, Deadline: now + second})
		if n := len(r.attempts); n > 0 && r.attempts[n-1].id == id {
			sends[r.attempts[n-1].endpoint]++
			b.AttemptFinished(now, Outcome{ID: id, Endpoint: r.attempts[n-1].endpoint, Status: Error, Latency: 50})
		}
	}
	if !b.endpoints[0].failures.isOutlier(41_000) {
		t.Fatal("an endpoint that fails all requests was not ejected")
	}
	for e, n := range sends {
		if n > 3*len(r.attempts)/8 {
			t.Errorf("endpoint %d got %d of %d attempts", e, n, len(r.attempts))
		}
	}
	if b.endpoints[0].failures.isOutlier(60 * second) {
		t.Error("the endpoint is still ejected after 60 s")
	}
}

// An occasional broken connection must not eject an endpoint. Several failures in a row must.
func TestSingleFailureDoesNotEject(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	id, now := uint64(0), second
	ends := func(status Status) {
		t.Helper()
		now += 10_000
		b.LoadProbeResult(now, 1, OK, 500, []float32{0})
		b.RequestArrived(now, requestOf(id, 4, now))
		if n := len(r.attempts); n == 0 || r.attempts[n-1].id != id {
			t.Fatal("the request was not sent")
		}
		b.AttemptFinished(now+1000, Outcome{ID: id, Endpoint: 1, Status: status, Latency: 1000, RequestDone: status == OK})
		id++
	}
	for i := range 48 {
		if i%12 == 0 {
			ends(Reset)
		} else {
			ends(OK)
		}
		if b.endpoints[0].failures.isOutlier(now) {
			t.Fatalf("ejected after outcome %d, one of 12 a reset", i)
		}
	}
	for range 3 {
		ends(Reset)
	}
	if !b.endpoints[0].failures.isOutlier(now) {
		t.Error("not ejected after three failures in a row")
	}
}

func TestFailureRateFadesToZero(t *testing.T) {
	var failures failureRate
	for range 3 {
		failures.recordFailure(second)
	}
	before := failures.current(second)
	if !failures.isOutlier(second) {
		t.Fatalf("not ejected at a failure rate of %v", before)
	}
	if got := failures.current(second + failureHalfLife); !isNear(got, before/2) {
		t.Errorf("failure rate %v after a half-life, want half of %v", got, before)
	}
	if got := failures.current(60 * second); got != 0 {
		t.Errorf("failure rate %v after a minute, want 0", got)
	}
	failures.recordSuccess(second)
	if got, want := failures.current(second), before*(1-failureWeight); !isNear(got, want) {
		t.Errorf("failure rate %v after a success, want %v", got, want)
	}
}
