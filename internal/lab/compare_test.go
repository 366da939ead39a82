package lab

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/lab/history"
)

// Compare marks a figure as within the spread if its ranges in the two sets of runs overlap, and only then. With one run
// it says that no spread is known.
func TestCompareReportsOverlappingRanges(t *testing.T) {
	runs := func(p99 ...float64) *Repeated {
		var results []*Result
		for i, v := range p99 {
			results = append(results, &Result{Format: resultFormat, Name: "x", Seed: uint64(i), Requests: 100, Latency: Percentiles{P99: v, P50: 10}})
		}
		return Repeat(results)
	}
	line := func(a, b *Repeated, figure string) string { // of the figure in the table
		for _, l := range strings.Split(Compare(a, b), "\n") {
			if strings.HasPrefix(l, figure+" ") {
				return strings.Join(strings.Fields(l), " ")
			}
		}
		return ""
	}
	for _, c := range []struct {
		a, b *Repeated
		want string
	}{
		{runs(10, 12, 14), runs(13, 15, 17), "p99_ms 12 15 +3 1.250 within the spread"},
		{runs(10, 12, 14), runs(20, 24, 28), "p99_ms 12 24 +12 2.000"},
		{runs(10), runs(20), "p99_ms 10 20 +10 2.000 one run: no spread known"},
	} {
		if got := line(c.a, c.b, "p99_ms"); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
	if s := runs(10, 12, 14).Figures["p99_ms"]; s != (Spread{10, 12, 14, 14}) {
		t.Errorf("the spread of three runs: %+v", s)
	}
}

// A result of an older format can be read. One of a newer format is rejected with an error that names the file.
func TestOlderResultsAreRead(t *testing.T) {
	if r, err := ReadRepeated("../../docs/lab/fleet50-result.json"); err != nil || r.Runs != 1 || r.Figures["served"].P50 == 0 {
		t.Errorf("a result without a format: %+v, %v", r, err)
	}
	newer := filepath.Join(t.TempDir(), "newer.json")
	text, _ := json.Marshal(&Result{Format: resultFormat + 1, Name: "x", Requests: 1})
	os.WriteFile(newer, text, 0o600)
	for _, read := range []func() error{func() error { _, err := ReadResult(newer); return err }, func() error { _, err := ReadRepeated(newer); return err }} {
		if err := read(); err == nil || !strings.Contains(err.Error(), newer) || !strings.Contains(err.Error(), "format 2") {
			t.Errorf("a newer result: %v", err)
		}
	}
}

// Late responses, client timeouts and late arrivals after a drain are excused if a stall of the lab itself explains them,
// and only then. A late arrival after a drain is also excused if its sidecar was cut off from discovery.
func TestLatenessOfTheLabIsExcused(t *testing.T) {
	exp := parse(t, "duration = \"5s\"\n[fleet]\nsidecars = 1\nservers = 1\n[load]\nrate = 1\ndeadline = \"1s\"\n")
	for _, stalled := range []bool{true, false} {
		l := NewRequestTable()
		l.start = time.Now().Add(-10 * time.Second)
		late := newLateness(l)
		second := time.Second
		if stalled {
			late.record(late.timers, l.Elapsed()-9*second) // a stall from 1 s on
		}
		l.records["late"] = &record{sent: 2 * second, duration: 1200 * time.Millisecond, outcome: Late}
		l.records["waited"] = &record{sent: 2 * second, duration: 2 * second, outcome: Lost, clientTimedOut: true}
		l.records["lost"] = &record{sent: 2 * second, duration: 10 * time.Millisecond, outcome: Lost} // its connection broke: lost, not late
		l.afterDrain = []drainBreach{{"v0:x", 0, second, 3 * second}}
		r := analyze(exp, l, late, discoveryOutages{}, nil, nil, []history.Event{})
		want := map[bool][5]int{true: {0, 1, 2, 0, 3}, false: {1, 2, 0, 1, 0}}[stalled]
		excused := 0
		for _, n := range r.Excused {
			excused += n
		}
		if got := [5]int{r.Outcomes[Late], r.Outcomes[Lost], r.Outcomes[Excused], r.AfterDrain, excused}; got != want {
			t.Errorf("stalled %v: late, lost, excused, after drain, all excused are %v, want %v", stalled, got, want)
		}
		if r.Lateness.Late != stalled || strings.Contains(r.Summary(), "THE LAB RAN LATE") != stalled {
			t.Errorf("stalled %v: the result says %+v", stalled, r.Lateness)
		}
	}
	l := NewRequestTable()
	drained := []drainBreach{{"v0:x", 3, time.Second, 3 * time.Second}}
	l.afterDrain = drained
	r := analyze(exp, l, newLateness(l), discoveryOutages{{3, 0}: {2 * time.Second, openEnd}}, nil, nil, nil)
	if r.AfterDrain != 0 {
		t.Error("the late arrival of a sidecar that was cut off from discovery is not excused")
	}
}
