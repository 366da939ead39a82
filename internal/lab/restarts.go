package lab

import (
	"slices"
	"time"
)

// Restart is what one start again of a sidecar went through: the seconds from
// the load's start to its exec, the milliseconds from the exec to its yes at
// /health/ready, to the first answer it served to a request sent after the
// exec (-1 for none), and until its requests were served as well as a steady
// sidecar's (99% of at least 5 sent in one second; -1 for never). Then its
// requests sent in the 5 s after the exec that were refused, failed (failed
// or late), unreached (it did not take them: it was not up) and lost; and
// those its application did not send between the exec and the yes, as the
// sidecar was not ready (Waited).
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
	restartErrorWindow = 5 * time.Second // after the exec, whose errors a restart is charged with
	settleWindow       = time.Second
	settleStep         = 50 * time.Millisecond
)

// analyzeRestart reckons a restart from the records of its sidecar. It holds l.mu.
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
