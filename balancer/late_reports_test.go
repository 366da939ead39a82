package balancer

import (
	"testing"
)

// Reports that count fewer than this balancer has there itself are late; they
// must not steer picks.
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
		t.Fatal("not found out")
	}
	if got := b.estimateLoad(1000, busy); got < float64(busy.inFlight) {
		t.Errorf("load %v is under own in-flight %d", got, busy.inFlight)
	}
	for i := range Micros(400) {
		busy.probing = false
		b.sendLoadProbe(24_000+i, busy)
		b.LoadProbeResult(25_000+i, busy.ID, OK, 500, []float32{5})
	}
	if b.lateReports.detected {
		t.Error("not left again")
	}
}

// An attempt still on its way, behind a handshake say, and one whose answer stands still half way are not at
// the endpoint. That a report leaves them out must not make it late.
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
			t.Errorf("reports are held to be late for an attempt %d ms old", age/1000)
		}
	}
}

// While reports are late, averages decide; they must not refuse what an
// endpoint that they cannot show would serve.
func TestLateReportsAllowTheFullObjective(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	r := &request{Request: requestOf(1, 0, 0), work: 50_000}
	b.classes[0].arrivals.add(0, 1)
	before := b.latencyBudget(0, r, b.endpoints[0])
	b.lateReports.detected = true
	if after := b.latencyBudget(0, r, b.endpoints[0]); after <= before || after != float64(b.settings.Classes[0].LatencyObjective) {
		t.Errorf("limit %v before, %v while late", before, after)
	}
}
