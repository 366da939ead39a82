package lab

import (
	"slices"
	"time"
)

// Restart is one restart of a sidecar. ReadyMs, FirstServedMs and StableMs are
// milliseconds from the exec of the new process. Rejected, Failed, Unreached
// and Lost count the requests sent within restartErrorWindow after the exec.
type Restart struct {
	Sidecar       int     `json:"sidecar"`
	At            float64 `json:"at_s"`            // when the process was executed, in seconds from the load's start
	ReadyMs       float64 `json:"ready_ms"`        // until it was ready
	FirstServedMs float64 `json:"first_served_ms"` // until it first served a request sent after the exec; -1 for none
	StableMs      float64 `json:"settled_ms"`      // until it served 99% of at least 5 requests sent in one second; -1 for never
	Rejected      int     `json:"refused"`
	Failed        int     `json:"failed"`    // failed or late
	Unreached     int     `json:"unreached"` // unreached or cut
	Lost          int     `json:"lost"`
	Unsent        int     `json:"waited"` // requests that the application did not send between the exec and the readiness
}

const (
	// restartErrorWindow is how long after the exec requests must be sent for their errors to count as the restart's.
	restartErrorWindow = 5 * time.Second

	// A restarted sidecar is stable from the begin of the first window in which at least minStableRequests requests were
	// sent and at least minStableServed of them were served.
	stableWindow      = time.Second
	stableStep        = 50 * time.Millisecond // from the begin of a window to that of the next
	minStableRequests = 5
	minStableServed   = 0.99                   // fraction of the requests sent
	maxStableTime     = 4 * restartErrorWindow // windows begin at most this long after the exec
)

// analyzeRestart sets the fields of a restart that follow from the requests of its sidecar. The caller holds t.mu.
func (t *RequestTable) analyzeRestart(r Restart) Restart {
	startedAt := time.Duration(r.At * float64(time.Second))
	var sent []*record // requests sent since the exec, in time order
	for _, rec := range t.records {
		if rec.sidecar == r.Sidecar && rec.sent >= startedAt {
			sent = append(sent, rec)
		}
	}
	slices.SortFunc(sent, func(a, b *record) int { return int(a.sent - b.sent) })
	readyAt := startedAt + time.Duration(r.ReadyMs*float64(time.Millisecond))
	for _, at := range t.unsent[r.Sidecar] {
		if at >= startedAt && at < readyAt {
			r.Unsent++
		}
	}
	r.FirstServedMs = -1
	for _, rec := range sent {
		if served := ms(rec.sent + rec.duration - startedAt); rec.outcome == Served && (r.FirstServedMs < 0 || served < r.FirstServedMs) {
			r.FirstServedMs = served
		}
		if rec.sent < startedAt+restartErrorWindow {
			r.countError(rec.outcome)
		}
	}
	r.StableMs = stableAfter(sent, startedAt)
	return r
}

// countError counts the outcome of a request that was sent within restartErrorWindow after the exec.
func (r *Restart) countError(outcome Outcome) {
	switch outcome {
	case Rejected:
		r.Rejected++
	case Failed, Late:
		r.Failed++
	case Unreached, Cut:
		r.Unreached++
	case Lost:
		r.Lost++
	}
}

// stableAfter returns the milliseconds from startedAt until the sidecar was stable, -1 for never.
func stableAfter(requests []*record, startedAt time.Duration) float64 {
	for from := startedAt; from < startedAt+maxStableTime; from += stableStep {
		sent, served := 0, 0
		for _, rec := range requests {
			if rec.sent >= from && rec.sent < from+stableWindow {
				sent++
				if rec.outcome == Served {
					served++
				}
			}
		}
		if sent >= minStableRequests && float64(served) >= minStableServed*float64(sent) {
			return ms(from - startedAt)
		}
	}
	return -1
}
