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

// The tolerances of the rules.
const (
	latenessAllowed      = 500 * time.Millisecond  // until then after its deadline, a response earns nothing but breaks no rule
	disconnectAllowed    = 150 * time.Millisecond  // 0.1 s, plus the 0.05 s by which limits are longer on sockets
	removalAllowed       = 1150 * time.Millisecond // the drain grace of the settings (1 s), plus 0.05 s for sockets, plus 0.1 s for a request's way to the endpoint
	acceptLimitAfterTerm = 700 * time.Millisecond  // a request sent later than this after SIGTERM is lost if SIGKILL finds it without a response
	maxStartTime         = 10 * time.Second        // from a process's start until it is ready
)

// Breach is one case in which a rule was broken.
type Breach struct {
	Rule string // one of the Rule constants
	Text string // what happened
}

// The rules.
const (
	RuleLost       = "lost"       // a request got no complete response, or ran although it was not sent in full
	RuleLate       = "late"       // a complete response came later after the deadline than latenessAllowed
	RuleForged     = "forged"     // a response with status 200 was not written by an endpoint for the request
	RuleDuplicate  = "duplicate"  // a request that must not be repeated ran twice
	RuleDrain      = "drain"      // a request reached a draining or banned endpoint after the grace
	RuleDisconnect = "departure"  // an attempt began too long after its client had disconnected
	RuleProcess    = "process"    // a process started, exited or logged as it must not
	RuleUnknownIDs = "unknown id" // an endpoint got a request that no client has sent
)

// Report is the result of a run.
type Report struct {
	Scenario Scenario
	Outcomes map[Outcome]int
	Unread   int      // requests on reused connections that ended before the sidecar read them, which the rules allow
	Cut      int      // requests without a response at SIGKILL, as the rules allow
	Unclear  []string // requests on new connections of which nothing shows whether the sidecar read them
	Breaches []Breach
	EndTimes []time.Duration // from SIGTERM to the exit, by itself or by SIGKILL, of each process that got SIGTERM
	Killed   int             // processes that got SIGTERM and had not exited before SIGKILL
}

// breach adds a breach of a rule.
func (r *Report) breach(rule, format string, args ...any) {
	r.Breaches = append(r.Breaches, Breach{rule, fmt.Sprintf(format, args...)})
}

// String returns a line with the result, and one more for each breach and each unclear case.
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

// check checks the rules against the records of a run, after it has ended all processes.
func (r *run) check() (*Report, error) {
	report := &Report{Scenario: r.scenario, Outcomes: map[Outcome]int{}}
	logged, err := r.loggedIDs()
	if err != nil {
		return nil, err
	}
	r.checkProcesses(report)
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	for _, request := range r.recorder.requests {
		report.Outcomes[request.outcome]++
		r.checkOutcome(report, request, logged[request.id])
		r.checkArrivals(report, request)
	}
	for _, id := range r.recorder.unknown {
		report.breach(RuleUnknownIDs, "%s", id)
	}
	return report, nil
}

// checkProcesses ends all processes, and checks their starts, exits and logs.
func (r *run) checkProcesses(report *Report) {
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

// checkOutcome checks that a request got its response. isLogged tells whether the sidecar's log has its id. The caller holds
// r.recorder.mu.
func (r *run) checkOutcome(report *Report, request *request, isLogged bool) {
	arrivals := r.recorder.arrivals[request.id]
	isComplete := slices.ContainsFunc(arrivals, func(a *arrival) bool { return a.isComplete })
	description := fmt.Sprintf("%s (%v) %s, sent %s, ended %s, at endpoints %d times, logged %v", request.id, request.kind, request.outcome,
		r.sinceTerm(request.sentAt), r.sinceTerm(request.endedAt), len(arrivals), isLogged)
	switch request.outcome {
	case Forged:
		report.breach(RuleForged, "%s", description)
	case Late:
		report.breach(RuleLate, "%s", description)
	case BrokenOff:
		if !r.recorder.brokenOff[request.id] && !r.isAllowedCut(request) {
			report.breach(RuleLost, "%s", description)
		}
	case Unsent:
		if isComplete {
			report.breach(RuleLost, "%s", description)
		}
	case Silent, Ended, unfinished:
		switch {
		case r.isAllowedCut(request):
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

// isAllowedCut reports whether SIGKILL cut off a request as the rules allow. They allow it in a crash, which has no SIGTERM. After
// SIGTERM they allow it if the request was sent within acceptLimitAfterTerm and still had time for its response at SIGKILL.
func (r *run) isAllowedCut(request *request) bool {
	p := r.processKilledDuring(request)
	if p == nil {
		return false
	}
	if p.termAt.IsZero() {
		return true
	}
	isEarly := request.sentAt.Before(p.termAt.Add(acceptLimitAfterTerm))
	isTimeOver := request.sentAt.Add(r.scenario.Deadline + latenessAllowed).Before(p.killedAt)
	return isEarly && !isTimeOver
}

// wasOpenAtKill reports whether a request had no response at SIGKILL.
func (r *run) wasOpenAtKill(request *request) bool { return r.processKilledDuring(request) != nil }

// killTolerance is how long after a process's exit a client may notice the end of its connection.
const killTolerance = 50 * time.Millisecond

// processKilledDuring returns the process that got SIGKILL while a request had no response, or nil.
func (r *run) processKilledDuring(request *request) *process {
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

// checkArrivals checks when and how often a request reached endpoints. The caller holds r.recorder.mu.
func (r *run) checkArrivals(report *Report, request *request) {
	complete := 0
	for _, a := range r.recorder.arrivals[request.id] {
		if a.isComplete {
			complete++
		}
		if request.outcome == Disconnected && a.startedAt.After(request.endedAt) {
			allowed := disconnectAllowed + r.schedulingDelays.largest(request.endedAt, a.startedAt)
			if after := a.startedAt.Sub(request.endedAt); after > allowed {
				report.breach(RuleDisconnect, "%s reached %s %v after its client disconnected, %v allowed", request.id, a.endpoint, after, allowed)
			}
		}
		if since := r.unusableSince(a.endpoint); !since.IsZero() && a.startedAt.After(since) {
			allowed := removalAllowed + r.schedulingDelays.largest(since, a.startedAt)
			if after := a.startedAt.Sub(since); after > allowed {
				report.breach(RuleDrain, "%s reached %s %v after its drain or ban, %v allowed", request.id, a.endpoint, after, allowed)
			}
		}
	}
	if request.isUnsafe && complete > 1 {
		report.breach(RuleDuplicate, "%s ran %d times", request.id, complete)
	}
}

// unusableSince returns the time at which the grace of a drain or ban of an endpoint began, or zero if there was none.
func (r *run) unusableSince(name string) time.Time {
	for _, e := range r.endpoints {
		if since := e.unusableSince.Load(); e.name == name && since != 0 {
			return time.Unix(0, since)
		}
	}
	return time.Time{}
}

// sinceTerm formats a time as its distance from the SIGTERM of the last process; negative for before. It returns "never" if
// either is missing.
func (r *run) sinceTerm(at time.Time) string {
	last := r.processes[len(r.processes)-1]
	if at.IsZero() || last.termAt.IsZero() {
		return "never"
	}
	return at.Sub(last.termAt).Round(time.Millisecond).String()
}

// loggedIDs returns the ids of the requests in the logs of the sidecar's processes, which have therefore read them.
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

// maxLogLine is the longest line of a log that loggedIDs accepts, in bytes.
const maxLogLine = 1 << 20
