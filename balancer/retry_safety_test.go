package balancer

import (
	"slices"
	"testing"
)

// Retries are checked for each kind of retry safety and each outcome of the first attempt.
func TestRetryByClassAndStatus(t *testing.T) {
	never := map[Status]bool{Rejected: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := Error; status <= NotSent; status++ {
			s := testSettings()
			b, r := start(t, s, ready(4)) // endpoints 1 and 2 share a zone and a pod; so do 3 and 4
			b.RequestArrived(1000, requestOf(1, class, 1000))
			a := b.requests[1].attempts[0]
			b.AttemptFinished(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.attempts)
			switch kind := s.Classes[class]; {
			case kind.RetrySafety == NonIdempotent && !never[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("not idempotent, status %d: %d attempts and %d failed, want 1 and 1", status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d status %d: %d attempts, want 2", class, status, sends)
			case kind.RetrySafety == IdempotentWithKey && kind.DedupScope != DedupScopeFleet && !never[status]:
				if (r.attempts[0].endpoint-1)/2 != (r.attempts[1].endpoint-1)/2 {
					t.Errorf("class %d status %d: the retry left the dedup scope", class, status)
				}
			}
		}
	}
}

func TestDedupWindowCountsFromFirstThatMayHaveRun(t *testing.T) {
	s := testSettings()
	s.Limits.AllowHedging = false
	b, r := start(t, s, ready(2))
	b.RequestArrived(1000, requestOf(1, 3, 1000))
	first := r.attempts[0].endpoint
	b.AttemptFinished(1000+s.Classes[3].DedupWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.attempts) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the dedup window: attempts %v, failed %v, rejected %v; want one attempt and a failure", r.attempts, r.failed, r.rejected)
	}
}

// A retry may be sent until the end of the dedup window, which begins when the first attempt that may have run was sent. A first
// attempt, a retry after attempts that never ran and one of an idempotent request may be sent at any time. Guards against a retry
// that is decided within the window and sent after it (issue 52, review/9).
func TestRetryMayBeSentUntilTheEndOfTheDedupWindow(t *testing.T) {
	const sentAt, finishedAt = 300_000, 400_000
	s := testSettings()
	window := s.Classes[3].DedupWindow
	for name, c := range map[string]struct {
		class   uint8
		outcome Outcome
		want    Micros // sendBefore of the retry
	}{
		"reset":                      {3, Outcome{Status: Reset}, 1000 + window},
		"reset, sent late":           {3, Outcome{Status: Reset, SentAt: sentAt}, sentAt + window},
		"error, for all endpoints":   {1, Outcome{Status: Error, SentAt: sentAt}, sentAt + window},
		"never ran":                  {3, Outcome{Status: ConnectFailed}, 0},
		"never ran, rejected late":   {3, Outcome{Status: Rejected, SentAt: sentAt}, 0},
		"idempotent":                 {0, Outcome{Status: Reset, SentAt: sentAt}, 0},
		"not idempotent, never sent": {4, Outcome{Status: NotSent}, 0},
	} {
		b, r := start(t, s, ready(2))
		b.RequestArrived(1000, requestOf(1, c.class, 1000))
		c.outcome.ID, c.outcome.Endpoint = 1, r.attempts[0].endpoint
		b.AttemptFinished(finishedAt, c.outcome)
		if want := []Micros{0, c.want}; !slices.Equal(r.sendBefore, want) {
			t.Errorf("%s: attempts may be sent until %v, want %v", name, r.sendBefore, want)
		}
	}
}

// A retry that was not sent before the end of the dedup window is the last attempt: the request fails at once.
func TestRequestFailsWhenItsRetryIsTooLate(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.RequestArrived(1000, requestOf(1, 3, 1000))
	b.AttemptFinished(2000, Outcome{ID: 1, Endpoint: r.attempts[0].endpoint, Status: Reset, SentAt: 1500})
	end := r.sendBefore[1]
	b.AttemptFinished(end, Outcome{ID: 1, Attempt: 1, Endpoint: r.attempts[1].endpoint, Status: NotSent})
	if len(r.attempts) != 2 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("attempts %v, failed %v, rejected %v; want two attempts and a failure", r.attempts, r.failed, r.rejected)
	}
}

// A request that may have run and whose dedup scope is a pod cannot be rejected. It is retried as long as the
// response can be in time, at the same endpoint if the pod has no other. After that it fails.
func TestRequestThatCannotBeRejectedIsRetried(t *testing.T) {
	for name, c := range map[string]struct {
		at   Micros // time of the reset
		want int
	}{
		"soon":             {2000, 2},
		"past the budget":  {100_000, 2}, // the latency is over the budget of a request that can be rejected
		"too late by then": {390_000, 1},
	} {
		b, r := start(t, testSettings(), ready(1))
		b.classes[3].meanWork.value = 100_000
		b.LoadProbeResult(500, 1, OK, 500, []float32{0})
		b.RequestArrived(1000, requestOf(1, 3, 1000))
		b.LoadProbeResult(c.at-100, 1, OK, 500, []float32{5}) // one of these is its own attempt
		b.AttemptFinished(c.at, Outcome{ID: 1, Endpoint: 1, Status: Reset, Latency: c.at - 1000})
		if len(r.attempts) != c.want || len(r.failed) != 2-c.want {
			t.Errorf("%s: %d attempts and %d failed, want %d attempts", name, len(r.attempts), len(r.failed), c.want)
		}
	}
}
