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
	settleWindow       = time.Second
	settleStep         = 50 * time.Millisecond
)

// analyzeRestart completes a restart from the records of its sidecar. The caller holds t.mu.
func (t *RequestTable) analyzeRestart(r Restart) Restart {
	began := time.Duration(r.At * float64(time.Second))
	r.FirstServedMs, r.StableMs = -1, -1
	var mine []*record
	for _, rec := range t.records {
		if rec.sidecar == r.Sidecar && rec.sent >= began {
			mine = append(mine, rec)
		}
	}
	slices.SortFunc(mine, func(a, b *record) int { return int(a.sent - b.sent) })
	ready := began + time.Duration(r.ReadyMs*float64(time.Millisecond))
	for _, at := range t.unsent[r.Sidecar] {
		if at >= began && at < ready {
			r.Unsent++
		}
	}
	for _, rec := range mine {
		if rec.outcome == Served && (r.FirstServedMs < 0 || ms(rec.sent+rec.duration-began) < r.FirstServedMs) {
			r.FirstServedMs = ms(rec.sent + rec.duration - began)
		}
		if rec.sent < began+restartErrorWindow {
			switch rec.outcome {
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
	}
	for from := began; from < began+4*restartErrorWindow && r.StableMs < 0; from += settleStep {
		sent, served := 0, 0
		for _, rec := range mine {
			if rec.sent >= from && rec.sent < from+settleWindow {
				sent++
				if rec.outcome == Served {
					served++
				}
			}
		}
		if sent >= 5 && float64(served) >= 0.99*float64(sent) {
			r.StableMs = ms(from - began)
		}
	}
	return r
}
