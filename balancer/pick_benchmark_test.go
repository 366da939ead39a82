package balancer

import "testing"

// pickBenchmark returns a balancer with a report of each of 100 endpoints, a request and the current time.
func pickBenchmark(b *testing.B) (*Balancer, *request, Micros) {
	b.Helper()
	s := testSettings()
	s.LoadReportFields = []LoadField{LoadFieldInFlight, LoadFieldQueueLength}
	balancer, err := New(s, 7, &recorder{})
	if err != nil {
		b.Fatal(err)
	}
	balancer.Start(0)
	balancer.UpdateEndpoints(0, UpdateCached, ready(100))
	now := second
	for id := range uint32(100) {
		balancer.LoadProbeResult(now, id+1, OK, 500, []float32{float32(id % 7), float32(id % 2)})
	}
	return balancer, balancer.newRequest(now, requestOf(1, 0, now)), now
}

// BenchmarkPick measures a pick among 100 endpoints, all with a fresh report.
func BenchmarkPick(b *testing.B) {
	balancer, request, now := pickBenchmark(b)
	for b.Loop() {
		if balancer.pick(now, request, nil) == nil {
			b.Fatal("no endpoint was picked")
		}
	}
}

// BenchmarkRequest measures a request from its arrival to its response.
func BenchmarkRequest(b *testing.B) {
	balancer, _, now := pickBenchmark(b)
	host := balancer.actions.(*recorder)
	id := uint64(1)
	for b.Loop() {
		id++
		host.attempts, host.timers, host.delays = host.attempts[:0], host.timers[:0], host.delays[:0]
		balancer.RequestArrived(now, requestOf(id, 0, now))
		balancer.AttemptFinished(now, Outcome{ID: id, Endpoint: host.attempts[0].endpoint, Status: OK,
			Latency: 1000, RequestDone: true})
	}
}
