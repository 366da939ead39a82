package balancer

import (
	"strings"
	"testing"
)

// A wrong estimate of a class's work must not reject that class forever. But if each of a thousand balancers
// forced one admission per second, an overloaded fleet would stay overloaded.
func TestFewLateRequestsAreForced(t *testing.T) {
	for _, c := range []struct {
		gap      Micros
		from, to int
	}{{second / 100, 3, 6}, {second, 28, 33}} {
		b, r := start(t, testSettings(), ready(1))
		b.classes[0].meanWork.value = float64(100 * second)
		for i := range uint64(300) {
			now := 10*second + Micros(i)*c.gap
			b.RequestArrived(now, requestOf(i, 0, now))
		}
		if n := len(r.attempts); n < c.from || n > c.to {
			t.Errorf("a request every %d us: %d of 300 were sent, want %d to %d", c.gap, n, c.from, c.to)
		}
		if len(r.rejected) != 300-len(r.attempts) {
			t.Errorf("%d rejected, %d sent", len(r.rejected), len(r.attempts))
		}
	}
}

// A few long responses must not lead to rejections while the endpoint has no contention.
func TestIdleEndpointAdmitsLateRequest(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.endpoints[0].serviceTime.average, b.endpoints[0].serviceTime.updatedAt = ewma{value: 9, initialized: true}, 1000
	b.LoadProbeResult(1000, 1, OK, 500, []float32{0})
	b.RequestArrived(2000, requestOf(1, 0, 2000))
	if len(r.attempts) != 1 {
		t.Errorf("%d attempts at an idle endpoint with a long service time", len(r.attempts))
	}
}

// Forced admissions prolong an overload: after each one that is late, they become rarer.
func TestForcedAdmissionsThatFailGetRarer(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.classes[0].meanWork.value = float64(100 * second)
	passed := [2]int{}
	for i := range uint64(400) {
		now := 10*second + Micros(i)*second
		b.LoadProbeResult(now, 1, OK, 500, []float32{50})
		b.RequestArrived(now, requestOf(i, 0, now))
		if n := len(r.attempts); n > 0 && r.attempts[n-1].id == i {
			passed[i/200]++
			b.AttemptFinished(now+second, Outcome{ID: i, Endpoint: 1, Status: Timeout, Latency: second})
		}
	}
	if passed[0] < 3 || passed[0] > 8 || passed[1] > 2 {
		t.Errorf("%d of the first 200 requests were forced and %d of the next 200, want 3 to 8 and at most 2", passed[0], passed[1])
	}
	b.forcedAdmission.interval = maxForcedAdmissionInterval
	r.attempts = nil
	b.zones[0].trend.value, b.classes[0].meanWork.value = 1, 1000
	b.RequestArrived(500*second, requestOf(1000, 0, 500*second))
	b.AttemptFinished(501*second, Outcome{ID: 1000, Endpoint: 1, Status: OK, Latency: 1000, RequestDone: true})
	b.RequestArrived(502*second, requestOf(1001, 0, 502*second))
	b.AttemptFinished(502*second+1000, Outcome{ID: 1001, Endpoint: 1, Status: OK, Latency: 1000, RequestDone: true})
	if b.forcedAdmission.interval != minForcedAdmissionInterval {
		t.Errorf("one of %d requests is forced after a response in time, want one of the minimum interval", b.forcedAdmission.interval)
	}
}

// After an overload the rejections must end soon: each forced admission that is in time allows more of them,
// until the estimates have recovered.
func TestForcedAdmissionsInTimeEndRejections(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.classes[0].meanWork.value = 250_000
	b.zones[0].trend.value, b.zones[0].trend.updatedAt = maxTrend, 10*second
	const gap = second / 200
	last := Micros(0) // time of the latest rejection
	for i := range uint64(1000) {
		now := 10*second + Micros(i)*gap
		b.LoadProbeResult(now, 1, OK, 500, []float32{0})
		b.RequestArrived(now, requestOf(i, 0, now))
		if n := len(r.attempts); n == 0 || r.attempts[n-1].id != i {
			last = now
			continue
		}
		b.AttemptFinished(now+gap/2, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 50_000, RequestDone: true})
	}
	if last < 10*second || last > 12*second {
		t.Errorf("the last request is rejected %.1f s after the overload, want within 2 s", float64(last-10*second)/1e6)
	}
}

// The reason of rejections is logged, but at most once per second: an overload would otherwise write thousands
// of lines.
func TestRejectionsAreLoggedOncePerSecond(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.LoadProbeResult(1000, 1, OK, 500, []float32{50})
	for id := range uint64(200) {
		now := second + 5000*Micros(id)
		b.LoadProbeResult(now, 1, OK, 500, []float32{50})
		b.RequestArrived(now, requestOf(id, 0, now))
	}
	if len(r.rejected) < 150 {
		t.Fatalf("only %d requests were rejected, want at least 150", len(r.rejected))
	}
	if len(r.logs) != 1 || !strings.Contains(r.logs[0], "predicted latency over budget endpoint=1 ") {
		t.Errorf("log lines %q, want one for the rejections", r.logs)
	}
}

func TestForcedAdmissionTakesOneInAnInterval(t *testing.T) {
	forced := forcedAdmission{interval: minForcedAdmissionInterval}
	var class classStats
	taken := 0
	for i := range 3 * minForcedAdmissionInterval {
		if forced.take(10*second+Micros(i)*second, &class, true) {
			taken++
		}
	}
	if taken != 3 {
		t.Errorf("%d of %d late requests are forced, want 3", taken, 3*minForcedAdmissionInterval)
	}
	for range 10 {
		forced.failed()
	}
	if forced.interval != maxForcedAdmissionInterval {
		t.Errorf("interval %d after failures, want %d", forced.interval, maxForcedAdmissionInterval)
	}
	class.lateSinceForced = maxForcedAdmissionInterval
	if forced.take(100*second, &class, false) {
		t.Error("a retry was forced, want first attempts only")
	}
	if !forced.take(100*second, &class, true) || forced.take(100*second, &class, true) {
		t.Error("want exactly one of two requests at the same time to be forced")
	}
}
