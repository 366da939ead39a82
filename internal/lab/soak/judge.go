package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// What the rules allow.
const (
	latenessAllowed  = 500 * time.Millisecond  // after a request's time, a response only earns nothing
	departureAllowed = 150 * time.Millisecond  // 0.1 s, and the 0.05 s by which limits are longer on sockets
	removalAllowed   = 1150 * time.Millisecond // the settings' grace, 0.05 s, and 0.1 s for the way of a send
	takenBeforeEnd   = 700 * time.Millisecond  // a request that came later after SIGTERM is lost if SIGKILL finds it unanswered
	maxStartTime     = 10 * time.Second        // until a process is ready
)

// Breach is a rule that was broken.
type Breach struct {
	Rule string
	Text string
}

// The rules.
const (
	RuleLost       = "lost"
	RuleLate       = "late"
	RuleForged     = "forged"
	RuleDuplicate  = "duplicate"
	RuleDrain      = "drain"
	RuleDeparture  = "departure"
	RuleProcess    = "process"
	RuleUnknownIDs = "unknown id"
)

// Report is the result of a run.
type Report struct {
	Scenario Scenario
	Outcomes map[Outcome]int
	Unread   int // connections that ended before their request was read, which the rules allow between requests
	Cut      int // requests that SIGKILL found unanswered, and was allowed to
	Unclear  []string
	Breaches []Breach
	EndTimes []time.Duration // of the processes, after their SIGTERM, SIGKILL included
	Killed   int             // processes that had not ended by themselves
}

// breach adds a broken rule.
func (r *Report) breach(rule, format string, args ...any) {
	r.Breaches = append(r.Breaches, Breach{rule, fmt.Sprintf(format, args...)})
}

// String returns the result in a line, and one for each breach and each unclear case.
func (r *Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%v: %v, unread %d, cut %d, unclear %d, ends %v, killed %d, breaches %d", &r.Scenario, r.Outcomes, r.Unread, r.Cut,
		len(r.Unclear), r.EndTimes, r.Killed, len(r.Breaches))
	for _, b := range r.Breaches {
		fmt.Fprintf(&text, "\n  BREACH %s: %s", b.Rule, b.Text)
	}
	for _, u := range r.Unclear {
		fmt.Fprintf(&text, "\n  unclear: %s", u)
	}
	return text.String()
}

// judge checks the rules on what a run recorded.
func (r *run) judge() (*Report, error) {
	report := &Report{Scenario: r.scenario, Outcomes: map[Outcome]int{}}
	logged, err := r.loggedIDs()
	if err != nil {
		return nil, err
	}
	r.judgeProcesses(report)
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for _, request := range r.ledger.requests {
		report.Outcomes[request.outcome]++
		r.judgeOutcome(report, request, logged[request.id])
		r.judgeArrivals(report, request)
	}
	for _, id := range r.ledger.unknown {
		report.breach(RuleUnknownIDs, "%s", id)
	}
	return report, nil
}

func (r *run) judgeProcesses(report *Report) {
	for _, p := range r.processes {
		p.kill()
		if err := p.failure(); err != nil {
			report.breach(RuleProcess, "%v (%s)", err, p.logPath)
		}
		if p.termAt.IsZero() {
			continue
		}
		report.EndTimes = append(report.EndTimes, p.exitedAt.Sub(p.termAt).Round(time.Millisecond))
		if !p.killedAt.IsZero() {
			report.Killed++
		}
	}
}

// judgeOutcome checks that a request got its response. isLogged says that the sidecar's log names it. The ledger is locked.
func (r *run) judgeOutcome(report *Report, request *request, isLogged bool) {
	arrivals := r.ledger.arrivals[request.id]
	isWhole := slices.ContainsFunc(arrivals, func(a *arrival) bool { return a.isWhole })
	description := fmt.Sprintf("%s (%v) %s, sent %s, ended %s, at endpoints %d times, logged %v", request.id, request.kind, request.outcome,
		r.sinceTerm(request.sentAt), r.sinceTerm(request.endedAt), len(arrivals), isLogged)
	switch request.outcome {
	case Forged:
		report.breach(RuleForged, "%s", description)
	case Late:
		report.breach(RuleLate, "%s", description)
	case BrokenOff:
		if !r.ledger.brokenOff[request.id] && !r.isCut(request) {
			report.breach(RuleLost, "%s", description)
		}
	case Unsent:
		if isWhole {
			report.breach(RuleLost, "%s", description)
		}
	case Silent, Ended, unfinished:
		switch {
		case r.isCut(request):
			report.Cut++
		case request.outcome == Silent || isLogged || len(arrivals) > 0 || r.wasOpenAtKill(request):
			report.breach(RuleLost, "%s", description)
		case request.isFresh:
			report.Unclear = append(report.Unclear, description)
		default:
			report.Unread++
		}
	}
}

// isCut reports whether a SIGKILL that the rules allow for a request ended it: one of a crash, or one that came before its time
// was over, for a request that came early enough.
func (r *run) isCut(request *request) bool {
	p := r.killerOf(request)
	if p == nil {
		return false
	}
	if p.termAt.IsZero() {
		return true
	}
	isEarly := request.sentAt.Before(p.termAt.Add(takenBeforeEnd))
	isTimeOver := request.sentAt.Add(r.scenario.Deadline + latenessAllowed).Before(p.killedAt)
	return isEarly && !isTimeOver
}

// wasOpenAtKill reports whether SIGKILL found the request unanswered.
func (r *run) wasOpenAtKill(request *request) bool { return r.killerOf(request) != nil }

// killTolerance is how far a client's sight of a process's end may be from its SIGKILL.
const killTolerance = 50 * time.Millisecond

// killerOf returns the process whose SIGKILL ended a request, or nil.
func (r *run) killerOf(request *request) *process {
	for _, p := range r.processes {
		if p.killedAt.IsZero() || request.sentAt.IsZero() {
			continue
		}
		isOpen := request.sentAt.Before(p.exitedAt) && request.outcome == unfinished
		if isOpen || request.endedAt.After(p.killedAt) && request.endedAt.Before(p.exitedAt.Add(killTolerance)) {
			return p
		}
	}
	return nil
}

// judgeArrivals checks what reached the endpoints. The ledger is locked.
func (r *run) judgeArrivals(report *Report, request *request) {
	whole := 0
	for _, a := range r.ledger.arrivals[request.id] {
		if a.isWhole {
			whole++
		}
		if request.outcome == Left && a.startedAt.After(request.endedAt) {
			allowed := departureAllowed + r.lateness.between(request.endedAt, a.startedAt)
			if after := a.startedAt.Sub(request.endedAt); after > allowed {
				report.breach(RuleDeparture, "%s reached %s %v after its client left, %v allowed", request.id, a.endpoint, after, allowed)
			}
		}
		if since := r.unusableSince(a.endpoint); !since.IsZero() && a.startedAt.After(since) {
			allowed := removalAllowed + r.lateness.between(since, a.startedAt)
			if after := a.startedAt.Sub(since); after > allowed {
				report.breach(RuleDrain, "%s reached %s %v after its drain or ban, %v allowed", request.id, a.endpoint, after, allowed)
			}
		}
	}
	if request.isUnsafe && whole > 1 {
		report.breach(RuleDuplicate, "%s ran %d times", request.id, whole)
	}
}

// unusableSince returns since when nothing more may be sent to an endpoint, after the grace; zero for never.
func (r *run) unusableSince(name string) time.Time {
	for _, e := range r.endpoints {
		if since := e.unusableSince.Load(); e.name == name && since != 0 {
			return time.Unix(0, since)
		}
	}
	return time.Time{}
}

// sinceTerm describes a time by the last SIGTERM.
func (r *run) sinceTerm(at time.Time) string {
	last := r.processes[len(r.processes)-1]
	if at.IsZero() || last.termAt.IsZero() {
		return "never"
	}
	return at.Sub(last.termAt).Round(time.Millisecond).String()
}

// loggedIDs returns the ids of the requests that the sidecar's processes have logged, and so have read.
func (r *run) loggedIDs() (map[string]bool, error) {
	ids := map[string]bool{}
	for _, p := range r.processes {
		file, err := os.Open(p.logPath)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, maxLogLine)
		for lines.Scan() {
			var line struct {
				ID string `json:"request_id"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.ID != "" {
				ids[line.ID] = true
			}
		}
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	return ids, nil
}

// maxLogLine is the longest line of a log, in bytes.
const maxLogLine = 1 << 20
