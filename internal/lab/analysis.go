package lab

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblestand/internal/lab/history"
)

const (
	// removalGrace is how long after discovery reported a drain, or a ban was confirmed, requests may still arrive at a server.
	removalGrace = 1500 * time.Millisecond
	// latenessTolerance is how much longer than its deadline a request may take and not be late.
	latenessTolerance = 50 * time.Millisecond
	maxExamples       = 10 // of each breach, in a result
)

// analysis is a result in the making, with the examples of each breach.
type analysis struct {
	exp      *Experiment
	requests *RequestTable
	late     *lateness
	result   *Result

	all       *hdrhistogram.Histogram // of latencies, in microseconds
	bySecond  map[int]*hdrhistogram.Histogram
	series    map[int]*Second
	breachIDs map[string][]string // by breach, ids of requests
}

// analyze makes the result of a run from the table of requests and the history.
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

// newResult returns the result of a run without its requests.
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

// countLateArrivals counts requests that reached a server too long after its drain or its ban.
func (a *analysis) countLateArrivals(outages discoveryOutages, events []history.Event) {
	r := a.result
	r.Requests, r.UnknownIDs = len(a.requests.records), len(a.requests.unknownIDs)
	var afterDrain []string
	for _, b := range a.requests.afterDrain {
		if b.at-b.drained-a.late.stalledWithin(b.drained, b.at) <= removalGrace || outages.overlaps(b.sidecar, b.drained, b.at) {
			r.Excused["after_drain"]++
		} else {
			afterDrain = append(afterDrain, b.text)
		}
	}
	afterBan := a.requests.requestsAfterBan(events, removalGrace)
	r.AfterDrain, r.AfterBan = len(afterDrain), len(afterBan)
	a.breachIDs["after_drain"], a.breachIDs["after_ban"] = afterDrain, afterBan
}

// addRequest counts one request by its outcome, which may be excused first, its second and its breaches.
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

// isExcused reports whether a request is late, or was given up by its client, only because the lab itself ran late.
func (a *analysis) isExcused(rec *record) bool {
	isLate := rec.outcome == Late || rec.outcome == Lost && rec.clientTimedOut
	limit := a.exp.Load.Deadline.Duration + latenessTolerance
	return isLate && rec.duration-a.late.stalledWithin(rec.sent, rec.sent+rec.duration) <= limit
}

// addToSecond counts one request in the second in which it was sent.
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
