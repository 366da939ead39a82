package soak

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// judgeTerm is SIGTERM in the runs below, judgeKill their SIGKILL.
var (
	judgeTerm = time.Now().Add(-time.Minute)
	judgeKill = judgeTerm.Add(time.Second + killAfterDeadline)
)

// newJudgedRun returns a run with one process, which SIGKILL ended at the earliest after a deadline of a second.
func newJudgedRun(t *testing.T) *run {
	t.Helper()
	exited := make(chan struct{})
	close(exited)
	log := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(log, []byte("{\"request_id\":\"logged\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{logPath: log, exited: exited, startedAt: judgeTerm.Add(-time.Second), readyAt: judgeTerm.Add(-time.Second), termAt: judgeTerm,
		killedAt: judgeKill, exitedAt: judgeKill.Add(time.Millisecond)}
	return &run{scenario: Scenario{Deadline: time.Second}, ledger: newLedger(), processes: []*process{p},
		endpoints: []*endpoint{{name: "drained"}}}
}

// at is a time after SIGTERM.
func at(after time.Duration) time.Time { return judgeTerm.Add(after) }

// Each way to break a rule is found, and what the rules allow is not.
func TestJudge(t *testing.T) {
	fresh := func(id string, outcome Outcome, sent, ended time.Duration) *request {
		return &request{id: id, outcome: outcome, sentAt: at(sent), endedAt: at(ended), isFresh: true}
	}
	kept := func(id string, outcome Outcome, sent, ended time.Duration) *request {
		r := fresh(id, outcome, sent, ended)
		r.isFresh = false
		return r
	}
	whole := func(endpoint string, after time.Duration) *arrival {
		return &arrival{endpoint: endpoint, startedAt: at(after), isWhole: true}
	}
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		request  *request
		arrivals []*arrival
		change   func(*run)
		want     string // the rule; empty for none
		unclear  int
		unread   int
		cut      int
	}{
		"served":                           {request: fresh("a", Served, 0, 10*ms)},
		"late":                             {request: fresh("a", Late, 0, 1600*ms), want: RuleLate},
		"forged":                           {request: fresh("a", Forged, 0, 10*ms), want: RuleForged},
		"silent":                           {request: fresh("a", Silent, -2*time.Second, -100*ms), want: RuleLost},
		"ended, unknown whether read":      {request: fresh("a", Ended, 0, 10*ms), unclear: 1},
		"ended between requests":           {request: kept("a", Ended, 0, 10*ms), unread: 1},
		"ended, forwarded":                 {request: kept("a", Ended, 0, 10*ms), arrivals: []*arrival{whole("e", 5*ms)}, want: RuleLost},
		"ended, logged":                    {request: kept("logged", Ended, 0, 10*ms), want: RuleLost},
		"ended by SIGKILL, came early":     {request: fresh("a", Ended, 600*ms, 1701*ms), cut: 1},
		"ended by SIGKILL, came late":      {request: fresh("a", Ended, 800*ms, 1701*ms), want: RuleLost},
		"ended by SIGKILL, time over":      {request: fresh("a", Ended, 100*ms, 1701*ms), want: RuleLost},
		"open at SIGKILL, came late":       {request: fresh("a", unfinished, 800*ms, 0), want: RuleLost},
		"broken off by the sidecar":        {request: fresh("a", BrokenOff, 0, 10*ms), want: RuleLost},
		"broken off by the endpoint":       {request: fresh("a", BrokenOff, 0, 10*ms), change: func(r *run) { r.ledger.breakOff("a") }},
		"ran although not sent":            {request: fresh("a", Unsent, 0, 10*ms), arrivals: []*arrival{whole("e", 5*ms)}, want: RuleLost},
		"ran twice, may":                   {request: fresh("a", Served, 0, 10*ms), arrivals: []*arrival{whole("e", 1*ms), whole("f", 5*ms)}},
		"ran twice, may not":               {request: &request{id: "a", outcome: Served, isUnsafe: true}, arrivals: []*arrival{whole("e", 1*ms), whole("f", 5*ms)}, want: RuleDuplicate},
		"begun soon after the departure":   {request: fresh("a", Left, 0, 10*ms), arrivals: []*arrival{whole("e", 100*ms)}},
		"begun long after the departure":   {request: fresh("a", Left, 0, 10*ms), arrivals: []*arrival{whole("e", 200*ms)}, want: RuleDeparture},
		"within the grace of a drain":      {request: fresh("a", Served, 0, 10*ms), arrivals: []*arrival{whole("drained", time.Second)}},
		"after the grace of a drain":       {request: fresh("a", Served, 0, 10*ms), arrivals: []*arrival{whole("drained", 1300*ms)}, want: RuleDrain},
		"of an id that no client has sent": {request: fresh("a", Served, 0, 10*ms), change: func(r *run) { r.ledger.arrive("z", "e") }, want: RuleUnknownIDs},
		"a process ready too late": {request: fresh("a", Served, 0, 10*ms), change: func(r *run) {
			r.processes[0].readyAt = r.processes[0].startedAt.Add(maxStartTime + time.Second)
		}, want: RuleProcess},
		"a process never ready": {request: fresh("a", Served, 0, 10*ms), change: func(r *run) { r.processes[0].readyAt = time.Time{} }, want: RuleProcess},
		"a process that fails": {request: fresh("a", Served, 0, 10*ms), change: func(r *run) {
			r.processes[0].killedAt, r.processes[0].exitErr = time.Time{}, errors.New("exit status 1")
		}, want: RuleProcess},
		"a process that ends by itself": {request: fresh("a", Served, 0, 10*ms), change: func(r *run) {
			r.processes[0].killedAt, r.processes[0].termAt = time.Time{}, time.Time{}
		}, want: RuleProcess},
	} {
		t.Run(name, func(t *testing.T) {
			r := newJudgedRun(t)
			r.endpoints[0].unusableSince.Store(judgeTerm.UnixNano())
			r.ledger.requests[c.request.id] = c.request
			r.ledger.arrivals[c.request.id] = c.arrivals
			if c.change != nil {
				c.change(r)
			}
			report, err := r.judge()
			if err != nil {
				t.Fatal(err)
			}
			switch {
			case c.want == "" && len(report.Breaches) > 0:
				t.Errorf("breaches %v, want none", report.Breaches)
			case c.want != "" && (len(report.Breaches) != 1 || report.Breaches[0].Rule != c.want):
				t.Errorf("breaches %v, want one of %q", report.Breaches, c.want)
			}
			if len(report.Unclear) != c.unclear || report.Unread != c.unread || report.Cut != c.cut {
				t.Errorf("unclear %d, unread %d, cut %d; want %d, %d, %d", len(report.Unclear), report.Unread, report.Cut, c.unclear, c.unread, c.cut)
			}
		})
	}
}
