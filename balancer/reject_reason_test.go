package balancer

import "testing"

// Each way to reject a request reports its own reason.
func TestRejectReasons(t *testing.T) {
	const now = second
	for want, reject := range map[RejectReason]func(*Balancer){
		RejectUnknownClass:   func(b *Balancer) { b.RequestArrived(now, requestOf(1, 99, now)) },
		RejectDeadlinePassed: func(b *Balancer) { b.RequestArrived(now, Request{ID: 1, Deadline: now}) },
		RejectUnanswered: func(b *Balancer) {
			b.settings.Limits.MaxUnanswered = 0
			b.RequestArrived(now, requestOf(1, 0, now))
		},
		RejectNoEndpoint: func(b *Balancer) {
			b.Ban(now, 1)
			b.RequestArrived(now, requestOf(1, 0, now))
		},
		RejectLatency: func(b *Balancer) {
			b.classes[0].meanWork.value = float64(100 * second)
			b.LoadProbeResult(now, 1, OK, 500, []float32{50})
			b.RequestArrived(now, requestOf(1, 0, now))
		},
		RejectBreaker: func(b *Balancer) {
			for i := range uint64(2000) { // enough for the breaker to drop one
				b.endpoints[0].breaker.record(now, 0, 1)
				b.RequestArrived(now, requestOf(i, 0, now))
				b.AttemptFinished(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 1000, RequestDone: true})
			}
		},
		RejectAttemptFailed: func(b *Balancer) {
			b.RequestArrived(now, requestOf(1, 0, now))
			b.retryBudget.tokens = 0
			b.AttemptFinished(now, Outcome{ID: 1, Endpoint: 1, Status: Reset, Latency: 1000})
		},
	} {
		t.Run(want.String(), func(t *testing.T) {
			b, r := start(t, testSettings(), ready(1))
			reject(b)
			if len(r.reasons) == 0 {
				t.Fatalf("no request was rejected, want a rejection for %v", want)
			}
			for _, got := range r.reasons {
				if got != want {
					t.Fatalf("rejected for %v, want %v", got, want)
				}
			}
		})
	}
}
