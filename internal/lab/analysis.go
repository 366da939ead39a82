package lab

import (
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblestand/internal/lab/history"
)

// removalGrace is how long after a drain was told, or a ban answered yes, something may still arrive at a server.
const removalGrace = 1500 * time.Millisecond

func analyze(exp *Experiment, l *RequestTable, late *lateness, blind discoveryOutages, marks []Mark, restarts []Restart, events []history.Event) *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	lateness := late.report()
	excused := map[string]int{}
	deadline := exp.Load.Deadline.Duration + 50*time.Millisecond
	var afterDrain []string
	for _, b := range l.afterDrain {
		if b.at-b.drained-late.stalledWithin(b.drained, b.at) <= removalGrace || blind.overlaps(b.sidecar, b.drained, b.at) {
			excused["after_drain"]++
		} else {
			afterDrain = append(afterDrain, b.text)
		}
	}
	r := &Result{Name: exp.Name, Seed: exp.Seed, Sidecars: exp.Fleet.Sidecars, Servers: exp.Fleet.Servers,
		Requests: len(l.records), Outcomes: map[Outcome]int{}, Faults: marks, Examples: map[string]any{},
		AfterDrain: len(afterDrain), UnknownIDs: len(l.unknownIDs), Format: resultFormat, Excused: excused, Lateness: lateness, Calls: map[string]int{}}
	for _, e := range events {
		if e.Kind == history.Call {
			r.Calls[e.Op+" "+e.Outcome]++
		}
	}
	afterBan := l.requestsAfterBan(events, removalGrace)
	r.AfterBan = len(afterBan)
	all := newHistogram()
	seconds := map[int]*hdrhistogram.Histogram{}
	series := map[int]*Second{}
	examples := map[string][]string{}
	ids := make([]string, 0, len(l.records))
	for id := range l.records {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		rec := l.records[id]
		if (rec.outcome == Late || rec.outcome == Lost && rec.clientTimedOut) && rec.duration-late.stalledWithin(rec.sent, rec.sent+rec.duration) <= deadline {
			excused[string(rec.outcome)]++
			rec.outcome = Excused
		}
		r.Outcomes[rec.outcome]++
		at := int(rec.sent / time.Second)
		if series[at] == nil {
			series[at], seconds[at] = &Second{At: at}, newHistogram()
		}
		switch rec.outcome {
		case Served, Late:
			all.RecordValue(rec.duration.Microseconds())
			seconds[at].RecordValue(rec.duration.Microseconds())
			series[at].Served++
		case Unreached, Excused:
		default:
			series[at].Errors++
		}
		if rec.outcome == Late {
			series[at].Errors++
		}
		switch {
		case rec.isOrder && len(rec.ranAt) > 1:
			r.RanTwice++
			examples["ran_twice"] = append(examples["ran_twice"], id)
		case len(rec.ranAt) > 1:
			r.Copies++
		}
		if rec.outcome == Lost || rec.outcome == Forged || rec.outcome == Unfinished {
			examples[string(rec.outcome)] = append(examples[string(rec.outcome)], id)
		}
	}
	for kind, list := range examples {
		r.Examples[kind] = list[:min(len(list), 10)]
	}
	for kind, list := range map[string][]string{"after_drain": afterDrain, "after_ban": afterBan} {
		if len(list) > 0 {
			r.Examples[kind] = list[:min(len(list), 10)]
		}
	}
	r.Latency = percentiles(all)
	for _, restart := range restarts {
		r.Restarts = append(r.Restarts, l.analyzeRestart(restart))
	}
	for at, s := range series {
		s.Latency = percentiles(seconds[at])
		r.Series = append(r.Series, *s)
	}
	slices.SortFunc(r.Series, func(a, b Second) int { return a.At - b.At })
	return r
}
