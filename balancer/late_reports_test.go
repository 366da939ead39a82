package balancer

import (
	"testing"
)

// Reports that count fewer requests than this balancer itself has in flight at the endpoint are late and must
// not influence picks.
func TestLateReportsAreDetected(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	for id := range uint64(3) {
		b.RequestArrived(1000, requestOf(id, 0, 1000))
	}
	busy := b.endpointsByID[r.attempts[0].endpoint]
	for i := range Micros(40) {
		busy.probing = false
		b.sendLoadProbe(22_000+i, busy)
		b.LoadProbeResult(23_000+i, busy.ID, OK, 500, []float32{0})
	}
	if !b.lateReports.detected {
		t.Fatal("late reports were not detected")
	}
	if got := b.estimateLoad(1000, busy); got < float64(busy.inFlight) {
		t.Errorf("load %v is below the %d own attempts in flight", got, busy.inFlight)
	}
	for i := range Micros(400) {
		busy.probing = false
		b.sendLoadProbe(24_000+i, busy)
		b.LoadProbeResult(25_000+i, busy.ID, OK, 500, []float32{5})
	}
	if b.lateReports.detected {
		t.Error("the recovery of the reports was not detected")
	}
}

// An attempt that has not arrived yet, for example because of a handshake, and one whose response has stalled
// are not in flight at the endpoint. A report that does not count them is not late.
func TestReportsWithoutAttemptsOnTheirWayAreNotLate(t *testing.T) {
	for _, age := range []Micros{15_000, 500_000} {
		b, r := start(t, testSettings(), ready(2))
		b.RequestArrived(1000, requestOf(1, 0, 1000))
		busy := b.endpointsByID[r.attempts[0].endpoint]
		for i := range Micros(100) {
			busy.probing = false
			b.sendLoadProbe(1000+age+10*i-500, busy)
			b.LoadProbeResult(1000+age+10*i, busy.ID, OK, 500, []float32{0})
		}
		if b.lateReports.detected {
			t.Errorf("reports count as late because of an attempt %d ms old", age/1000)
		}
	}
}

// While reports are late, decisions use averages. These cannot show the least loaded endpoint and must not
// reject a request that it would serve in time.
func TestLateReportsAllowTheFullObjective(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	r := &request{Request: requestOf(1, 0, 0), work: 50_000}
	b.classes[0].arrivals.add(0, 1)
	before := b.latencyBudget(0, r, b.endpoints[0])
	b.lateReports.detected = true
	if after := b.latencyBudget(0, r, b.endpoints[0]); after <= before || after != float64(b.settings.Classes[0].LatencyObjective) {
		t.Errorf("budget %v before and %v while reports are late, want the full latency objective", before, after)
	}
}

func TestLateReportsHaveHysteresis(t *testing.T) {
	reports := lateReports{fraction: ewma{initialized: true}}
	changes := 0
	record := func(isLate bool, times int) {
		for range times {
			if reports.record(isLate) {
				changes++
			}
		}
	}
	record(true, 5) // a fraction of 0.096
	if reports.detected {
		t.Error("late reports were detected below the threshold")
	}
	record(true, 5)
	if !reports.detected || changes != 1 {
		t.Errorf("detected %v after %d changes, want true after 1", reports.detected, changes)
	}
	record(false, 30) // a fraction of 0.1
	if !reports.detected {
		t.Error("a recovery was detected above a third of the threshold")
	}
	record(false, 200)
	if reports.detected || changes != 2 {
		t.Errorf("detected %v after %d changes, want false after 2", reports.detected, changes)
	}
}
