package history

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

// call returns an admin call to s0.
func call(op, key, outcome string, from, to int64) Event {
	return Event{Kind: Call, Sidecar: "s0", Op: op, Key: key, Outcome: outcome, Call: from, Return: to}
}

// observed returns an observation of the set of banned servers.
func observed(sidecar string, from, to int64, set ...string) Event {
	return Event{Kind: Observe, Sidecar: sidecar, Key: "banned", Call: from, Return: to, Set: set}
}

// observedLease returns an observation of the lease "sweep" with its token; 0 for a sidecar that does not hold the lease.
func observedLease(sidecar string, token uint64, from, to int64) Event {
	e := Event{Kind: Observe, Sidecar: sidecar, Key: "duties", Call: from, Return: to}
	if token > 0 {
		e.Tokens = map[string]uint64{"sweep": token}
	}
	return e
}

// banSet returns the effect of an event on the set of banned servers, for Register.
func banSet(e Event) (string, string) {
	switch {
	case e.Kind == Observe:
		return "read", strings.Join(e.Set, ",")
	case e.Op == "ban":
		return "add", e.Key
	case e.Op == "enable":
		return "remove", e.Key
	}
	return "", ""
}

// Each check accepts histories without a violation, and returns the violating part of others with the expected number of events.
func TestCheckersFindViolations(t *testing.T) {
	register := func(events []Event) *Violation { return Register("bans", "", events, banSet) }
	holder := func(events []Event) *Violation { return OneHolder("duties", events) }
	grow := func(events []Event) *Violation { return TokensIncrease("duties", events) }
	converged := func(events []Event) *Violation {
		return Converged("banned", []string{"s0", "s1"}, 10*time.Microsecond, events)
	}
	durable := func(events []Event) *Violation { return Durable("banned", "ban", "enable", 5*time.Microsecond, events) }
	fault := Event{Kind: Fault, Op: "heal cut", Call: 100, Return: 100}
	for name, c := range map[string]struct {
		check  func([]Event) *Violation
		events []Event
		part   int // number of events in the violation; 0 for no violation
	}{
		"a read during a ban may see either": {register, []Event{call("ban", "v1", OK, 10, 20), observed("s0", 12, 14), observed("s0", 13, 19, "v1"), observed("s0", 30, 31, "v1")}, 0},
		"a ban is lost": {register, []Event{call("ban", "v0", OK, 1, 2), observed("s0", 3, 4, "v0"), call("enable", "v0", OK, 5, 6), observed("s0", 7, 8),
			call("ban", "v1", OK, 10, 20), observed("s0", 22, 23, "v1"), observed("s0", 30, 31)}, 2},
		"a ban of unknown outcome may take effect late": {register, []Event{call("ban", "v1", Unknown, 10, 20), observed("s0", 30, 31), observed("s0", 40, 41, "v1")}, 0},
		"a ban of unknown outcome does not return":      {register, []Event{call("ban", "v1", Unknown, 10, 20), observed("s0", 40, 41, "v1"), observed("s0", 50, 51)}, 3},
		"a rejected ban has no effect":                  {register, []Event{call("ban", "v1", Rejected, 10, 20), observed("s0", 30, 31, "v1")}, 2},
		"a lease is transferred":                        {holder, []Event{observedLease("s0", 1, 10, 11), observedLease("s0", 1, 20, 21), observedLease("s1", 2, 22, 23), observedLease("s0", 0, 24, 25), observedLease("s1", 2, 30, 31)}, 0},
		"two sidecars hold one lease":                   {holder, []Event{observedLease("s0", 1, 10, 11), observedLease("s1", 2, 12, 13), observedLease("s1", 2, 22, 23), observedLease("s0", 1, 24, 25)}, 4},
		"tokens of observations that overlap":           {grow, []Event{observedLease("s1", 2, 10, 20), observedLease("s0", 1, 19, 21)}, 0},
		"a token after a larger one":                    {grow, []Event{observedLease("s1", 2, 10, 20), observedLease("s0", 1, 21, 22)}, 2},
		"converged in time":                             {converged, []Event{observed("s0", 1, 2), fault, observed("s0", 105, 106), observed("s0", 111, 112, "v1"), observed("s1", 120, 121, "v1")}, 0},
		"two values":                                    {converged, []Event{fault, observed("s0", 111, 112, "v1"), observed("s1", 120, 121)}, 2},
		"present until removed":                         {durable, []Event{call("ban", "v1", OK, 1, 2), observed("s1", 4, 5), observed("s1", 9, 10, "v1"), call("enable", "v1", Unknown, 20, 21), observed("s1", 30, 31)}, 0},
		"missing":                                       {durable, []Event{call("ban", "v1", OK, 1, 2), observed("s1", 9, 10)}, 2},
	} {
		found := c.check(c.events)
		switch {
		case c.part == 0 && found != nil:
			t.Errorf("%s: %v", name, found)
		case c.part > 0 && found == nil:
			t.Errorf("%s: not found", name)
		case c.part > 0 && len(found.Events) != c.part:
			t.Errorf("%s: %d events show it, want %d: %v", name, len(found.Events), c.part, found)
		}
	}
	if found := converged([]Event{fault, observed("s0", 111, 112)}); found == nil || !strings.Contains(found.What, "s1") {
		t.Errorf("an observer that reports nothing: %v", found)
	}
}

func TestHistoryIsReadAsWritten(t *testing.T) {
	log := &Log{}
	log.Add(observed("s1", 9, 10, "v1"))
	log.Add(call("ban", "v1", OK, 1, 2))
	var text bytes.Buffer
	if err := Write(&text, log.Events()); err != nil {
		t.Fatal(err)
	}
	again, err := Read(&text)
	if err != nil || !reflect.DeepEqual(again, log.Events()) || again[0].Op != "ban" {
		t.Errorf("read %v, %v", again, err)
	}
	if _, err := Read(strings.NewReader("{}\nno\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("an invalid line: %v", err)
	}
}
