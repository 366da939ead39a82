package soak

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// termTime is the time of SIGTERM in the runs of these tests, killTime that of SIGKILL.
var (
	termTime = time.Now().Add(-time.Minute)
	killTime = termTime.Add(time.Second + killAfterDeadline)
)

// newRecordedRun returns a run with one process, which got SIGKILL at the earliest time that a deadline of 1 s allows.
func newRecordedRun(t *testing.T) *run {
	t.Helper()
	exited := make(chan struct{})
	close(exited)
	log := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(log, []byte("{\"request_id\":\"logged\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{logPath: log, exited: exited, startedAt: termTime.Add(-time.Second), readyAt: termTime.Add(-time.Second), termAt: termTime,
		killedAt: killTime, exitedAt: killTime.Add(time.Millisecond)}
	return &run{scenario: Scenario{Deadline: time.Second}, recorder: newRecorder(), processes: []*process{p},
		endpoints: []*endpoint{{name: "drained"}}}
}

// at returns a time relative to SIGTERM.
func at(after time.Duration) time.Time { return termTime.Add(after) }

// Each breach is reported once, under its rule. What the rules allow is not reported.
func TestCheck(t *testing.T) {
	onNewConn := func(id string, outcome Outcome, sent, ended time.Duration) *request {
		return &request{id: id, outcome: outcome, sentAt: at(sent), endedAt: at(ended), isFresh: true}
	}
	onReusedConn := func(id string, outcome Outcome, sent, ended time.Duration) *request {
		r := onNewConn(id, outcome, sent, ended)
		r.isFresh = false
		return r
	}
	completeArrival := func(endpoint string, after time.Duration) *arrival {
		return &arrival{endpoint: endpoint, startedAt: at(after), isComplete: true}
	}
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		request  *request
		arrivals []*arrival
		change   func(*run)
		want     string // rule of the breach; empty for no breach
		unclear  int
		unread   int
		cut      int
	}{
		"served":                           {request: onNewConn("a", Served, 0, 10*ms)},
		"late":                             {request: onNewConn("a", Late, 0, 1600*ms), want: RuleLate},
		"forged":                           {request: onNewConn("a", Forged, 0, 10*ms), want: RuleForged},
		"silent":                           {request: onNewConn("a", Silent, -2*time.Second, -100*ms), want: RuleLost},
		"ended, unknown whether read":      {request: onNewConn("a", Ended, 0, 10*ms), unclear: 1},
		"ended between requests":           {request: onReusedConn("a", Ended, 0, 10*ms), unread: 1},
		"ended, forwarded":                 {request: onReusedConn("a", Ended, 0, 10*ms), arrivals: []*arrival{completeArrival("e", 5*ms)}, want: RuleLost},
		"ended, logged":                    {request: onReusedConn("logged", Ended, 0, 10*ms), want: RuleLost},
		"ended by SIGKILL, came early":     {request: onNewConn("a", Ended, 600*ms, 1701*ms), cut: 1},
		"ended by SIGKILL, came late":      {request: onNewConn("a", Ended, 800*ms, 1701*ms), want: RuleLost},
		"ended by SIGKILL, time over":      {request: onNewConn("a", Ended, 100*ms, 1701*ms), want: RuleLost},
		"open at SIGKILL, came late":       {request: onNewConn("a", unfinished, 800*ms, 0), want: RuleLost},
		"broken off by the sidecar":        {request: onNewConn("a", BrokenOff, 0, 10*ms), want: RuleLost},
		"broken off by the endpoint":       {request: onNewConn("a", BrokenOff, 0, 10*ms), change: func(r *run) { r.recorder.recordBreakOff("a") }},
		"ran although not sent":            {request: onNewConn("a", Unsent, 0, 10*ms), arrivals: []*arrival{completeArrival("e", 5*ms)}, want: RuleLost},
		"ran twice, may":                   {request: onNewConn("a", Served, 0, 10*ms), arrivals: []*arrival{completeArrival("e", 1*ms), completeArrival("f", 5*ms)}},
		"ran twice, may not":               {request: &request{id: "a", outcome: Served, isUnsafe: true}, arrivals: []*arrival{completeArrival("e", 1*ms), completeArrival("f", 5*ms)}, want: RuleDuplicate},
		"begun soon after the departure":   {request: onNewConn("a", Disconnected, 0, 10*ms), arrivals: []*arrival{completeArrival("e", 100*ms)}},
		"begun long after the departure":   {request: onNewConn("a", Disconnected, 0, 10*ms), arrivals: []*arrival{completeArrival("e", 200*ms)}, want: RuleDisconnect},
		"within the grace of a drain":      {request: onNewConn("a", Served, 0, 10*ms), arrivals: []*arrival{completeArrival("drained", time.Second)}},
		"after the grace of a drain":       {request: onNewConn("a", Served, 0, 10*ms), arrivals: []*arrival{completeArrival("drained", 1300*ms)}, want: RuleDrain},
		"of an id that no client has sent": {request: onNewConn("a", Served, 0, 10*ms), change: func(r *run) { r.recorder.recordArrival("z", "e") }, want: RuleUnknownIDs},
		"a process ready too late": {request: onNewConn("a", Served, 0, 10*ms), change: func(r *run) {
			r.processes[0].readyAt = r.processes[0].startedAt.Add(maxStartTime + time.Second)
		}, want: RuleProcess},
		"a process never ready": {request: onNewConn("a", Served, 0, 10*ms), change: func(r *run) { r.processes[0].readyAt = time.Time{} }, want: RuleProcess},
		"a process that fails": {request: onNewConn("a", Served, 0, 10*ms), change: func(r *run) {
			r.processes[0].killedAt, r.processes[0].exitErr = time.Time{}, errors.New("exit status 1")
		}, want: RuleProcess},
		"a process that ends by itself": {request: onNewConn("a", Served, 0, 10*ms), change: func(r *run) {
			r.processes[0].killedAt, r.processes[0].termAt = time.Time{}, time.Time{}
		}, want: RuleProcess},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecordedRun(t)
			r.endpoints[0].unusableSince.Store(termTime.UnixNano())
			r.recorder.requests[c.request.id] = c.request
			r.recorder.arrivals[c.request.id] = c.arrivals
			if c.change != nil {
				c.change(r)
			}
			report, err := r.check()
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
