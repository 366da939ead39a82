package lab

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"bramblestand/internal/lab/history"
)

// viewPath is the path of the admin call that is polled at every sidecar in experiments with fleet.view.
const viewPath = "/fleet?brief=1"

// ViewConvergence is the convergence of the sidecars' membership views between
// one fault and the next. P50Ms and MaxMs are the median and the maximum time
// from the fault to the last change of a view, which is 0 if the view did not
// change. Each sidecar reports its view's last change itself; those that did not
// respond are left out.
type ViewConvergence struct {
	After    string  `json:"after"`   // the fault's label, or "start"
	AtMs     float64 `json:"at_ms"`   // of the fault on the lab's clock; for "start", when the first process was started
	P50Ms    float64 `json:"p50_ms"`  // until half of the views had changed for the last time
	MaxMs    float64 `json:"max_ms"`  // until all views had changed for the last time
	Changes  int     `json:"moves"`   // observed changes of all views together
	Digests  int     `json:"digests"` // number of different view digests at the end
	Largest  int     `json:"largest"` // members in the largest view at the end
	Isolated int     `json:"cut_off"` // number of isolated sidecars at the end
}

// String formats the convergence as one line.
func (v ViewConvergence) String() string {
	return fmt.Sprintf("views after %.60s: half stable after %.0f ms, all after %.0f ms; %d changes; %d digests, %d members, %d isolated\n",
		v.After, v.P50Ms, v.MaxMs, v.Changes, v.Digests, v.Largest, v.Isolated)
}

// viewResponse is a sidecar's response to one admin call for its membership view.
type viewResponse struct {
	at            int64 // time of the call, in microseconds on the lab's clock
	digest        string
	stableSince   string // RFC 3339
	isIsolated    bool
	epoch         string
	stableMembers int // number of members in the stable view
}

// viewConvergences computes from the observations of a run how the views converged after its start and after each fault.
// startedAt is when the first process was started, clockStart the start of the lab's clock.
func viewConvergences(events []history.Event, marks []Mark, startedAt, clockStart time.Time) []ViewConvergence {
	bySidecar, last := viewResponses(events)
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

// viewResponses combines the observations of the single fields of each response. It returns the responses by sidecar in
// time order, and the time of the last observation of any kind.
func viewResponses(events []history.Event) (bySidecar map[string][]*viewResponse, last int64) {
	type callKey struct {
		sidecar string
		call    int64
	}
	responses := map[callKey]*viewResponse{}
	for _, e := range events {
		if e.Kind != history.Observe {
			continue
		}
		k := callKey{e.Sidecar, e.Call}
		if responses[k] == nil {
			responses[k] = &viewResponse{at: e.Call}
		}
		responses[k].addField(e)
	}
	bySidecar = map[string][]*viewResponse{}
	for k, a := range responses {
		last = max(last, a.at)
		if a.digest != "" {
			bySidecar[k.sidecar] = append(bySidecar[k.sidecar], a)
		}
	}
	for _, list := range bySidecar {
		slices.SortFunc(list, func(a, b *viewResponse) int { return cmp.Compare(a.at, b.at) })
	}
	return bySidecar, last
}

// addField sets one field from its observation, whose key is that of the admin call's JSON.
func (a *viewResponse) addField(e history.Event) {
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

// viewPhases returns a phase for the start and for each mark. Marks less than 1 ms apart share a phase.
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

// addSidecars sets the figures of a phase that lasts until endMs from the responses of all sidecars.
func (v *ViewConvergence) addSidecars(bySidecar map[string][]*viewResponse, endMs float64, clockStart time.Time) {
	digests := map[string]bool{}
	var changedAfter []float64
	for _, list := range bySidecar {
		last := v.lastResponse(list, endMs)
		if last == nil || float64(last.at)/1000 < endMs-history.MaxSilence.Seconds()*1000 { // the sidecar is down at the end
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

// lastResponse returns a sidecar's last response in the phase, nil for none, and counts the changes of its view in the
// phase.
func (v *ViewConvergence) lastResponse(list []*viewResponse, endMs float64) (last *viewResponse) {
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

// viewFigures adds the figures of the views' convergence to f. Their names contain the phase's number and the begin of
// the fault's label.
func (r *Result) viewFigures(f map[string]float64) {
	for i, v := range r.Views {
		name := "view " + strconv.Itoa(i) + " " + v.After[:min(len(v.After), 24)]
		f[name+" p50_ms"], f[name+" max_ms"], f[name+" digests"] = v.P50Ms, v.MaxMs, float64(v.Digests)
		f[name+" moves"] = float64(v.Changes)
	}
}
