package lab

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblestand/internal/lab/history"
)

const (
	// removalGrace is how long requests may still arrive at a server after discovery reported its drain or a sidecar
	// confirmed its ban.
	removalGrace = 1500 * time.Millisecond
	// latenessTolerance is how far a request may exceed its deadline without counting as late.
	latenessTolerance = 50 * time.Millisecond
	// maxExamples is the maximum number of examples of each kind of breach in a result.
	maxExamples = 10
)

// analysis accumulates the result of one run.
type analysis struct {
	exp      *Experiment
	requests *RequestTable
	late     *lateness
	result   *Result

	all       *hdrhistogram.Histogram         // latencies of served and late requests, in microseconds
	bySecond  map[int]*hdrhistogram.Histogram // the same, by the second in which requests were sent
	series    map[int]*Second                 // by second
	breachIDs map[string][]string             // ids of requests, by kind of breach
}

// analyze computes the result of a run from the request table and the history.
func analyze(exp *Experiment, t *RequestTable, late *lateness, outages discoveryOutages, marks []Mark, restarts []Restart, events []history.Event) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &analysis{
		exp:       exp,
		requests:  t,
		late:      late,
		result:    newResult(exp, late.report(), marks, events),
		all:       newHistogram(),
		bySecond:  map[int]*hdrhistogram.Histogram{},
		series:    map[int]*Second{},
		breachIDs: map[string][]string{},
	}
	a.countLateArrivals(outages, events)
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		a.addRequest(id, t.records[id])
	}
	r := a.result
	for breach, ids := range a.breachIDs {
		if len(ids) > 0 {
			r.Examples[breach] = ids[:min(len(ids), maxExamples)]
		}
	}
	r.Latency = percentiles(a.all)
	for _, restart := range restarts {
		r.Restarts = append(r.Restarts, t.analyzeRestart(restart))
	}
	for at, second := range a.series {
		second.Latency = percentiles(a.bySecond[at])
		r.Series = append(r.Series, *second)
	}
	slices.SortFunc(r.Series, func(a, b Second) int { return a.At - b.At })
	return r
}

// newResult returns a result with those fields set that do not depend on the requests.
func newResult(exp *Experiment, late Lateness, marks []Mark, events []history.Event) *Result {
	r := &Result{
		Format: resultFormat, Name: exp.Name, Seed: exp.Seed, Sidecars: exp.Fleet.Sidecars, Servers: exp.Fleet.Servers,
		Outcomes: map[Outcome]int{}, Excused: map[string]int{}, Calls: map[string]int{}, Examples: map[string]any{},
		Faults: marks, Lateness: late,
	}
	for _, e := range events {
		if e.Kind == history.Call {
			r.Calls[e.Op+" "+e.Outcome]++
		}
	}
	return r
}

// countLateArrivals counts the requests that reached a server longer than removalGrace after its drain or ban. Arrivals
// after a drain are excused if stalls of the lab explain them, or if the sidecar was cut off from discovery meanwhile.
func (a *analysis) countLateArrivals(outages discoveryOutages, events []history.Event) {
	r := a.result
	r.Requests, r.UnknownIDs = len(a.requests.records), len(a.requests.unknownIDs)
	var afterDrain []string
	for _, breach := range a.requests.afterDrain {
		if breach.at-breach.drained-a.late.stalledWithin(breach.drained, breach.at) <= removalGrace || outages.overlaps(breach.sidecar, breach.drained, breach.at) {
			r.Excused["after_drain"]++
		} else {
			afterDrain = append(afterDrain, breach.serverAndID)
		}
	}
	afterBan := a.requests.requestsAfterBan(events, removalGrace)
	r.AfterDrain, r.AfterBan = len(afterDrain), len(afterBan)
	a.breachIDs["after_drain"], a.breachIDs["after_ban"] = afterDrain, afterBan
}

// addRequest counts one request by outcome, by the second in which it was sent, and by its breaches. An excused request
// counts with the outcome Excused instead of its own.
func (a *analysis) addRequest(id string, rec *record) {
	r := a.result
	if a.isExcused(rec) {
		r.Excused[string(rec.outcome)]++
		rec.outcome = Excused
	}
	r.Outcomes[rec.outcome]++
	a.addToSecond(rec)
	switch {
	case rec.isOrder && len(rec.ranAt) > 1:
		r.RanTwice++
		a.breachIDs["ran_twice"] = append(a.breachIDs["ran_twice"], id)
	case len(rec.ranAt) > 1:
		r.Copies++
	}
	if rec.outcome == Lost || rec.outcome == Forged || rec.outcome == Unfinished {
		a.breachIDs[string(rec.outcome)] = append(a.breachIDs[string(rec.outcome)], id)
	}
}

// isExcused reports whether a request was late, or timed out at its client, only because the lab itself stalled.
func (a *analysis) isExcused(rec *record) bool {
	isLate := rec.outcome == Late || rec.outcome == Lost && rec.clientTimedOut
	limit := a.exp.Load.Deadline.Duration + latenessTolerance
	return isLate && rec.duration-a.late.stalledWithin(rec.sent, rec.sent+rec.duration) <= limit
}

// addToSecond counts one request, and records its latency, in the second in which it was sent.
func (a *analysis) addToSecond(rec *record) {
	at := int(rec.sent / time.Second)
	if a.series[at] == nil {
		a.series[at], a.bySecond[at] = &Second{At: at}, newHistogram()
	}
	switch rec.outcome {
	case Served, Late:
		a.all.RecordValue(rec.duration.Microseconds())
		a.bySecond[at].RecordValue(rec.duration.Microseconds())
		a.series[at].Served++
	case Unreached, Excused:
	default:
		a.series[at].Errors++
	}
	if rec.outcome == Late {
		a.series[at].Errors++
	}
}
