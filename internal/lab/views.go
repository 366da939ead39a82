package lab

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"bramblestand/internal/lab/history"
)

// viewPath is asked of every sidecar of an experiment with fleet.view.
const viewPath = "/fleet?brief=1"

// ViewConvergence is how the sidecars' views of the fleet settled after one fault, up
// to the next. Times are from the fault, by the sidecars' own record of when
// their view last moved, over those that answered in that time; 0 where none moved.
type ViewConvergence struct {
	After    string  `json:"after"`   // the fault's label, or "start"
	AtMs     float64 `json:"at_ms"`   // on the lab's clock; of "start", when the first process was
	P50Ms    float64 `json:"p50_ms"`  // by when half of the views had moved for the last time,
	MaxMs    float64 `json:"max_ms"`  // and all
	Changes  int     `json:"moves"`   // of all views together, seen from outside
	Digests  int     `json:"digests"` // different ones at the end
	Largest  int     `json:"largest"` // members in the largest view at the end
	Isolated int     `json:"cut_off"` // sidecars cut off at the end
}

// String is a line for people.
func (v ViewConvergence) String() string {
	return fmt.Sprintf("views after %.60s: half moved last at %.0f ms, all %.0f ms; %d moves; %d digests, %d members, %d cut off\n",
		v.After, v.P50Ms, v.MaxMs, v.Changes, v.Digests, v.Largest, v.Isolated)
}

// viewConvergences reckons each fault's from what the sidecars told.
func viewConvergences(events []history.Event, marks []Mark, started, start time.Time) []ViewConvergence {
	type seen struct {
		at                 int64
		digest, since, cut string
		epoch              string
		members            int
	}
	// An answer's fields are observations of one call.
	type key struct {
		sidecar string
		call    int64
	}
	answers := map[key]*seen{}
	for _, e := range events {
		if e.Kind != history.Observe {
			continue
		}
		k := key{e.Sidecar, e.Call}
		if answers[k] == nil {
			answers[k] = &seen{at: e.Call}
		}
		switch a := answers[k]; e.Key {
		case "digest":
			a.digest = e.Value
		case "settled_since":
			a.since = e.Value
		case "cut_off":
			a.cut = e.Value
		case "epoch":
			a.epoch = e.Value
		case "settled":
			a.members = len(e.Set)
		}
	}
	bySidecar := map[string][]*seen{}
	final := int64(0)
	for k, a := range answers {
		final = max(final, a.at)
		if a.digest != "" {
			bySidecar[k.sidecar] = append(bySidecar[k.sidecar], a)
		}
	}
	for _, list := range bySidecar {
		slices.SortFunc(list, func(a, b *seen) int { return cmp.Compare(a.at, b.at) })
	}
	phases := []ViewConvergence{{After: "start", AtMs: ms(started.Sub(start))}}
	for _, m := range marks {
		if last := &phases[len(phases)-1]; m.AtMs-last.AtMs < 1 { // one moment's faults are one
			last.After += ", " + m.Label
			continue
		}
		phases = append(phases, ViewConvergence{After: m.Label, AtMs: m.AtMs})
	}
	for i := range phases {
		p := &phases[i]
		end := float64(final)/1000 + 1
		if i+1 < len(phases) {
			end = phases[i+1].AtMs
		}
		digests := map[string]bool{}
		var took []float64
		for _, list := range bySidecar {
			var last *seen
			before := ""
			for _, a := range list {
				at := float64(a.at) / 1000
				if at >= end {
					break
				}
				if at >= p.AtMs {
					if before != "" && a.epoch != before {
						p.Changes++
					}
					last = a
				}
				before = a.epoch
			}
			if last == nil || float64(last.at)/1000 < end-history.UpGap.Seconds()*1000 { // it is down at the end
				continue
			}
			digests[last.digest] = true
			p.Largest = max(p.Largest, last.members)
			if last.cut == "true" {
				p.Isolated++
			}
			since, err := time.Parse(time.RFC3339Nano, last.since)
			if moved := ms(since.Sub(start)); err == nil && moved >= p.AtMs {
				took = append(took, moved-p.AtMs)
			} else {
				took = append(took, 0)
			}
		}
		p.Digests = len(digests)
		if slices.Sort(took); len(took) > 0 {
			p.P50Ms, p.MaxMs = took[len(took)/2], took[len(took)-1]
		}
	}
	return phases
}

// viewFigures are a result's settlings as figures: by the fault's place among all and its kind.
func (r *Result) viewFigures(f map[string]float64) {
	for i, p := range r.Views {
		name := "view " + strconv.Itoa(i) + " " + p.After[:min(len(p.After), 24)]
		f[name+" p50_ms"], f[name+" max_ms"], f[name+" digests"] = p.P50Ms, p.MaxMs, float64(p.Digests)
		f[name+" moves"] = float64(p.Changes)
	}
}
