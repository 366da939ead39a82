package lab

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"bramblestand/internal/lab/history"
)

// viewPath is the admin call that is polled at every sidecar of an experiment with fleet.view.
const viewPath = "/fleet?brief=1"

// ViewConvergence is the convergence of the sidecars' membership views after one
// fault, up to the next. Times are from the fault to a view's last change, as the
// sidecar itself reports it, over the sidecars that responded; 0 for no change.
type ViewConvergence struct {
	After    string  `json:"after"`   // the fault's label, or "start"
	AtMs     float64 `json:"at_ms"`   // on the lab's clock; of "start", when the first process was
	P50Ms    float64 `json:"p50_ms"`  // when half of the views had changed for the last time,
	MaxMs    float64 `json:"max_ms"`  // and all
	Changes  int     `json:"moves"`   // of all views together, as observed
	Digests  int     `json:"digests"` // different ones at the end
	Largest  int     `json:"largest"` // members in the largest view at the end
	Isolated int     `json:"cut_off"` // sidecars isolated at the end
}

// String describes it in one line.
func (v ViewConvergence) String() string {
	return fmt.Sprintf("views after %.60s: half stable after %.0f ms, all after %.0f ms; %d changes; %d digests, %d members, %d isolated\n",
		v.After, v.P50Ms, v.MaxMs, v.Changes, v.Digests, v.Largest, v.Isolated)
}

// viewAnswer is one answer of a sidecar on its membership view. The keys of its fields are those of the admin call.
type viewAnswer struct {
	at            int64 // microseconds of the lab's clock
	digest        string
	stableSince   string // RFC 3339
	isIsolated    bool
	epoch         string
	stableMembers int // members in the stable view
}

// viewConvergences reports how the views converged after each fault, from the observations of a run. startedAt is when
// the first process was started, clockStart the start of the lab's clock.
func viewConvergences(events []history.Event, marks []Mark, startedAt, clockStart time.Time) []ViewConvergence {
	bySidecar, last := viewAnswers(events)
	phases := viewPhases(marks, ms(startedAt.Sub(clockStart)))
	for i := range phases {
		end := float64(last)/1000 + 1
		if i+1 < len(phases) {
			end = phases[i+1].AtMs
		}
		phases[i].addSidecars(bySidecar, end, clockStart)
	}
	return phases
}

// viewAnswers joins the observations of each call, and returns the answers by sidecar in time order, and the time of the
// last observation of any kind.
func viewAnswers(events []history.Event) (bySidecar map[string][]*viewAnswer, last int64) {
	type callKey struct {
		sidecar string
		call    int64
	}
	answers := map[callKey]*viewAnswer{}
	for _, e := range events {
		if e.Kind != history.Observe {
			continue
		}
		k := callKey{e.Sidecar, e.Call}
		if answers[k] == nil {
			answers[k] = &viewAnswer{at: e.Call}
		}
		answers[k].addField(e)
	}
	bySidecar = map[string][]*viewAnswer{}
	for k, a := range answers {
		last = max(last, a.at)
		if a.digest != "" {
			bySidecar[k.sidecar] = append(bySidecar[k.sidecar], a)
		}
	}
	for _, list := range bySidecar {
		slices.SortFunc(list, func(a, b *viewAnswer) int { return cmp.Compare(a.at, b.at) })
	}
	return bySidecar, last
}

// addField takes one field of the answer to the admin call for the fleet.
func (a *viewAnswer) addField(e history.Event) {
	switch e.Key {
	case "digest":
		a.digest = e.Value
	case "settled_since":
		a.stableSince = e.Value
	case "cut_off":
		a.isIsolated = e.Value == "true"
	case "epoch":
		a.epoch = e.Value
	case "settled":
		a.stableMembers = len(e.Set)
	}
}

// viewPhases returns the start and each fault, those of one moment as one.
func viewPhases(marks []Mark, startMs float64) []ViewConvergence {
	phases := []ViewConvergence{{After: "start", AtMs: startMs}}
	for _, m := range marks {
		if last := &phases[len(phases)-1]; m.AtMs-last.AtMs < 1 {
			last.After += ", " + m.Label
			continue
		}
		phases = append(phases, ViewConvergence{After: m.Label, AtMs: m.AtMs})
	}
	return phases
}

// addSidecars takes the answers of all sidecars in a phase that lasts until endMs.
func (v *ViewConvergence) addSidecars(bySidecar map[string][]*viewAnswer, endMs float64, clockStart time.Time) {
	digests := map[string]bool{}
	var changedAfter []float64
	for _, list := range bySidecar {
		last := v.lastAnswer(list, endMs)
		if last == nil || float64(last.at)/1000 < endMs-history.MaxSilence.Seconds()*1000 { // it is down at the end
			continue
		}
		digests[last.digest] = true
		v.Largest = max(v.Largest, last.stableMembers)
		if last.isIsolated {
			v.Isolated++
		}
		since, err := time.Parse(time.RFC3339Nano, last.stableSince)
		if changed := ms(since.Sub(clockStart)); err == nil && changed >= v.AtMs {
			changedAfter = append(changedAfter, changed-v.AtMs)
		} else {
			changedAfter = append(changedAfter, 0)
		}
	}
	v.Digests = len(digests)
	if slices.Sort(changedAfter); len(changedAfter) > 0 {
		v.P50Ms, v.MaxMs = changedAfter[len(changedAfter)/2], changedAfter[len(changedAfter)-1]
	}
}

// lastAnswer returns a sidecar's last answer in the phase, nil for none, and counts the changes of its view in it.
func (v *ViewConvergence) lastAnswer(list []*viewAnswer, endMs float64) (last *viewAnswer) {
	epoch := ""
	for _, a := range list {
		at := float64(a.at) / 1000
		if at >= endMs {
			break
		}
		if at >= v.AtMs {
			if epoch != "" && a.epoch != epoch {
				v.Changes++
			}
			last = a
		}
		epoch = a.epoch
	}
	return last
}

// viewFigures are a result's settlings as figures: by the fault's place among all and its kind.
func (r *Result) viewFigures(f map[string]float64) {
	for i, p := range r.Views {
		name := "view " + strconv.Itoa(i) + " " + p.After[:min(len(p.After), 24)]
		f[name+" p50_ms"], f[name+" max_ms"], f[name+" digests"] = p.P50Ms, p.MaxMs, float64(p.Digests)
		f[name+" moves"] = float64(p.Changes)
	}
}
