package balancer

import (
	"math"
	"testing"
)

// A balancer that rejects every request must still learn when there is capacity again.
func TestProbesContinueWhileAllIsRejected(t *testing.T) {
	s := testSettings()
	s.Costs.LoadProbe = probeCostLimit // one probe per request
	b, _ := start(t, s, ready(4))
	for i := range 1000 {
		b.requestRate.add(5000*Micros(i), 1)
	}
	now := 5 * second
	b.rejectedFraction.value = 0
	all := b.loadProbeRate(now)
	for _, c := range []struct{ rejected, want float64 }{{0.5, 0.5}, {0.9, minAdmittedFraction}, {1, minAdmittedFraction}} {
		b.rejectedFraction.value = c.rejected
		if got := b.loadProbeRate(now) / all; math.Abs(got-c.want) > 0.001 {
			t.Errorf("with a rejected fraction of %v the probe rate is %v of the full rate, want %v", c.rejected, got, c.want)
		}
	}
}

// A load probe that waited shows a queue even if the report is old or does not count requests.
func TestQueuedProbeShowsLoad(t *testing.T) {
	s := testSettings()
	s.LoadReportFields = []LoadField{LoadFieldThroughput, LoadFieldUtilization}
	b, _ := start(t, s, ready(2))
	e := b.endpointsByID[1]
	b.LoadProbeResult(1000, 1, OK, 500, []float32{90, 0.5})
	if got := b.estimateLoad(1000, e); got != 0.5*defaultConcurrency {
		t.Errorf("load %v of an endpoint at half its utilization", got)
	}
	b.LoadProbeResult(2000, 1, OK, 160_500, []float32{90, 0.5})
	if got := b.estimateLoad(1000, e); got < 2*defaultConcurrency {
		t.Errorf("load %v, although the probe waited for the work of two requests", got)
	}
	b.LoadProbeResult(3000, 1, Rejected, 500, nil)
	if e.report.at != 0 {
		t.Error("an endpoint that rejected a probe is still in the pool")
	}
}
