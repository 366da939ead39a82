package balancer

import (
	"math"
	"testing"
)

func TestInvalidReportsAreIgnored(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	nan := float32(math.NaN())
	for _, load := range [][]float32{nil, {}, {nan}, {-3}, {float32(math.Inf(1))}} {
		b.LoadProbeResult(1000, 1, OK, 500, load)
		if b.endpoints[0].report.known {
			t.Errorf("the invalid report %v was used", load)
		}
	}
	b.LoadProbeResult(1000, 99, OK, 500, []float32{1}) // unknown endpoint
	b.LoadProbeResult(1000, 1, OK, 500, []float32{2, 7, 9})
	if b.estimateLoad(1000, b.endpoints[0]) != 2 {
		t.Errorf("load %v, want 2", b.estimateLoad(1000, b.endpoints[0]))
	}
}

// An endpoint serves several requests concurrently: those in flight that are not queued. Below that number no
// request waits in a queue.
func TestReportsTellConcurrency(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	s.LoadReportFields = []LoadField{LoadFieldInFlight, LoadFieldQueueLength}
	b, r := start(t, s, ready(2))
	work := b.classes[0].meanWork.value
	for i := range Micros(20) {
		b.LoadProbeResult(1000+i, 1, OK, 500, []float32{8, 2})
	}
	b.LoadProbeResult(2000, 2, OK, 500, []float32{5, 0})
	if got, want := b.predictLatency(2000, b.endpointsByID[2], work), b.zones[0].roundTrip.value+work; got > 1.05*want {
		t.Errorf("predicted latency %.0f us at an endpoint with 5 of the 6 requests that it serves concurrently, want %.0f", got, want)
	}
	b.classes[0].meanWork.value = 250_000 // late after a queue, but in time if started at once
	b.RequestArrived(3000, requestOf(1, 0, 3000))
	if len(r.attempts) != 1 || r.attempts[0].endpoint != 2 {
		t.Errorf("attempts %v, want one at the endpoint without a queue", r.attempts)
	}
}

// In a large fleet all balancers may learn of the same idle endpoint. None of them may fill it alone, since their
// requests together would overload it.
func TestOneLowReportDoesNotAttractAll(t *testing.T) {
	for _, c := range []struct{ balancers, maxAttempts int }{{1, 5}, {3, 3}, {15, 2}} {
		s := testSettings()
		s.Balancers = c.balancers
		b, r := start(t, s, ready(4))
		for id := range uint32(4) {
			b.LoadProbeResult(1000, id+1, OK, 500, []float32{3 * float32(min(1, id))})
		}
		for id := range uint64(8) {
			b.RequestArrived(2000, Request{ID: id, Deadline: second, CostHint: 10_000, HasCostHint: true})
		}
		n := 0
		for _, at := range r.attempts {
			if at.endpoint == 1 {
				n++
			}
		}
		if len(r.attempts) != 8 || n == 0 || n > c.maxAttempts {
			t.Errorf("%d balancers: %d of %d attempts at the idle endpoint, want 1 to %d",
				c.balancers, n, len(r.attempts), c.maxAttempts)
		}
	}
}
