package balancer

import (
	"math"
	"testing"
)

// When a zone becomes slow, an endpoint of it that was fast is expected to be slow as well. Soon after the
// recovery it is expected to be fast again.
func TestZoneWideSlowdownIsLearnedAtOnce(t *testing.T) {
	list := ready(4)
	for i := range list {
		list[i].Zone = 0
	}
	b, r := start(t, testSettings(), list)
	serve := func(from Micros, n int, times float64) {
		for i := range n {
			now := from + 1000*Micros(i)
			id := uint64(now)
			b.LoadProbeResult(now, 1, OK, 500, []float32{9}) // requests go to the other endpoints
			b.RequestArrived(now, Request{ID: id, Deadline: now + second, CostHint: 10_000, HasCostHint: true})
			if len(r.attempts) == 0 || r.attempts[len(r.attempts)-1].id != id {
				continue // rejected
			}
			latency := Micros(times * b.requests[id].attempts[0].expectedLatency)
			b.AttemptFinished(now, Outcome{ID: id, Endpoint: r.attempts[len(r.attempts)-1].endpoint, Status: OK,
				Latency: latency, RequestDone: true})
		}
	}
	predictWithTrustedEndpoint := func(now Micros) float64 {
		b.LoadProbeResult(now, 1, OK, 500, []float32{0})
		b.endpointsByID[1].serviceTime.average, b.endpointsByID[1].serviceTime.updatedAt = ewma{value: 1, initialized: true}, now
		return b.predictLatency(now, b.endpointsByID[1], 10_000)
	}
	serve(0, 50, 1)
	before := predictWithTrustedEndpoint(60_000)
	serve(100_000, 15, 4)
	if slow := predictWithTrustedEndpoint(120_000); slow < 2*before {
		t.Errorf("predicted latency %v before and %v after 15 outcomes of four times the prediction", before, slow)
	}
	serve(200_000, 48, 0.5)
	if after := predictWithTrustedEndpoint(250_000); after > 1.2*before {
		t.Errorf("predicted latency %v before and %v after the recovery", before, after)
	}
}

// Many requests that start together and take twice as long as expected must double the trend at most, because
// all of them show the same slowdown.
func TestTrendCountsABatchOnce(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.classes[0].meanWork.value = 1000
	for i := range uint64(100) {
		b.RequestArrived(second, requestOf(i, 0, second))
	}
	slow := Micros(2 * b.requests[50].attempts[0].expectedLatency)
	for i := range uint64(100) {
		a := b.requests[i].attempts[0]
		b.AttemptFinished(second+slow, Outcome{ID: i, Endpoint: a.endpoint.ID, Status: OK, Latency: Micros(2 * a.expectedLatency), RequestDone: true})
	}
	if len(r.attempts) != 100 || b.zones[0].trend.value > 2*trendNoiseMargin {
		t.Errorf("trend %.1f after %d responses twice as slow as expected, want %.1f at most", b.zones[0].trend.value, len(r.attempts), 2*trendNoiseMargin)
	}
}

// While every request is rejected, no outcome can show a recovery. The rejections must end without one.
func TestTrendFadesWithoutOutcomes(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.classes[0].meanWork.value = 100_000
	b.zones[0].trend.value, b.zones[0].trend.updatedAt, b.forcedAdmission.interval = maxTrend, 10*second, maxForcedAdmissionInterval
	for i, c := range []struct {
		at       Micros
		rejected int
	}{{10*second + 1, 1}, {16 * second, 1}} {
		b.LoadProbeResult(c.at, 1, OK, 500, []float32{0})
		b.classes[0].forcedAt = c.at // prevents a forced admission
		b.RequestArrived(c.at, requestOf(uint64(i), 0, c.at))
		if len(r.rejected) != c.rejected || len(r.attempts) != i {
			t.Errorf("%d requests rejected and %d sent by %.1f s", len(r.rejected), len(r.attempts), float64(c.at)/1e6)
		}
	}
}

func TestTrendIsBoundedAndFades(t *testing.T) {
	trend := latencyTrend{value: 1}
	for range 200 {
		trend.record(second, 1000)
	}
	if got := trend.current(second); got != maxTrend {
		t.Errorf("trend %v after many slow outcomes, want %v", got, maxTrend)
	}
	if got, want := trend.current(second+trendHalfLife), math.Sqrt(maxTrend); !isNear(got, want) {
		t.Errorf("trend %v after a half-life, want %v", got, want)
	}
	for range 200 {
		trend.record(second, 0)
	}
	if got := trend.current(second); got != 1/maxTrend {
		t.Errorf("trend %v after many fast outcomes, want %v", got, 1/maxTrend)
	}
}
