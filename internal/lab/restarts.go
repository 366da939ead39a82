package lab

import (
	"slices"
	"time"
)

// Restart is one restart of a sidecar: the seconds from the load's start to
// its exec, the milliseconds from the exec until it was ready, until it first
// served a request sent after the exec (-1 for none), and until it served 99%
// of at least 5 requests sent in one second (-1 for never). Then the outcomes
// of its requests sent within restartErrorWindow: rejected, failed (or late),
// unreached (or cut) and lost; and the requests that its application did not
// send between the exec and the readiness (Unsent).
type Restart struct {
	Sidecar       int     `json:"sidecar"`
	At            float64 `json:"at_s"`
	ReadyMs       float64 `json:"ready_ms"`
	FirstServedMs float64 `json:"first_served_ms"`
	StableMs      float64 `json:"settled_ms"`
	Rejected      int     `json:"refused"`
	Failed        int     `json:"failed"`
	Unreached     int     `json:"unreached"`
	Lost          int     `json:"lost"`
	Unsent        int     `json:"waited"`
}

const (
	restartErrorWindow = 5 * time.Second // after the exec, whose errors count as the restart's

	// Requests are served normally from the begin of the first window on in which enough of enough requests were served.
	stableWindow      = time.Second
	stableStep        = 50 * time.Millisecond // between the begins of windows
	minStableRequests = 5
	minStableServed   = 0.99 // fraction
	maxStableTime     = 4 * restartErrorWindow
)

// analyzeRestart completes a restart from the records of its sidecar. The caller holds t.mu.
func (t *RequestTable) analyzeRestart(r Restart) Restart {
	startedAt := time.Duration(r.At * float64(time.Second))
	var sent []*record // by its application since the exec, in time order
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

// countError counts the outcome of a request that was sent soon after the restart.
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

// stableAfter returns the milliseconds from startedAt until requests were served normally, -1 for never.
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
