//go:build go1.25

package scale

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramblestand/internal/lab"
)

// threeLevelChain returns a small and short chain of three levels.
func threeLevelChain(fail float64, plain int) Chain {
	c := NewChain()
	c.Levels, c.ServersPerLevel, c.Rate, c.FailureRate, c.PlainAttempts = 3, 3, 20, fail, plain
	c.WarmUp, c.EarlyDuration, c.FailureDuration = lab.Duration{Duration: 8 * time.Second}, lab.Duration{Duration: 4 * time.Second}, lab.Duration{Duration: 12 * time.Second}
	return c
}

// mustRunChain runs a chain on a virtual clock and fails the test if a consistency check fails.
func mustRunChain(t *testing.T, c Chain) *ChainResult {
	t.Helper()
	var r *ChainResult
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = RunChain(c); err != nil {
			t.Fatal(err)
		}
	})
	for _, b := range r.FailedChecks {
		t.Error(b)
	}
	t.Log("\n" + ChainTable([]*ChainResult{r}))
	return r
}

// Callers without sidecars that make two attempts multiply the attempts from level to level, as NaiveAttemptsPerCall calculates.
// Sidecars stay within their retry budgets, and make about one attempt per call if nothing fails.
func TestChainOfThree(t *testing.T) {
	if n := NaiveAttemptsPerCall(9, 2, 1); n != 512 {
		t.Errorf("nine levels of two attempts that all fail: %v, want 512", n)
	}
	for _, fail := range []float64{0.5, 1} {
		r, want := mustRunChain(t, threeLevelChain(fail, 2)), NaiveAttemptsPerCall(3, 2, fail)
		if got := r.Phases[2].LastLevelAttemptsPerCall; math.Abs(got-want) > 0.1*want || fail == 1 && got != want {
			t.Errorf("plain, %v fail: %.3f attempts at the last level per call, calculated %.3f", fail, got, want)
		}
		if warm := r.Phases[0]; warm.LastLevelAttemptsPerCall != 1 || warm.Outcomes["served"] != warm.Calls {
			t.Errorf("plain, before the failures: %+v", warm)
		}
	}
	healthy := mustRunChain(t, threeLevelChain(0, 0))
	for _, p := range healthy.Phases {
		if p.LastLevelAttemptsPerCall < 0.99 || p.LastLevelAttemptsPerCall > 1.1 || p.Outcomes["served"] < p.Calls*99/100 {
			t.Errorf("nothing fails, %s: %+v", p.Name, p)
		}
	}
	// The retry budget of each level is one retry per five calls, with a burst of 10 at the beginning.
	maxPerCall := math.Pow(1.2, 3)
	if late := mustRunChain(t, threeLevelChain(1, 0)).Phases[2]; late.LastLevelAttemptsPerCall > maxPerCall || late.Outcomes["served"] > 0 {
		t.Errorf("all fail: %.3f attempts at the last level per call, want at most %.3f; %v", late.LastLevelAttemptsPerCall, maxPerCall, late.Outcomes)
	}
}

// The error of an invalid chain begins with the name of the field.
func TestBadChainNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Chain){
		"levels":   func(c *Chain) { c.Levels = 0 },
		"size":     func(c *Chain) { c.ServersPerLevel = 0 },
		"rate":     func(c *Chain) { c.Rate = 0 },
		"fail":     func(c *Chain) { c.FailureRate = 1.5 },
		"deadline": func(c *Chain) { c.Deadline.Duration = 0 },
		"latency":  func(c *Chain) { c.Latency.Duration = 0 },
		"warm":     func(c *Chain) { c.WarmUp.Duration = 0 },
		"for":      func(c *Chain) { c.FailureDuration.Duration = time.Second },
		"plain":    func(c *Chain) { c.PlainAttempts = 9 },
	} {
		c := NewChain()
		invalidate(&c)
		if _, err := RunChain(c); err == nil || !strings.HasPrefix(err.Error(), field+" ") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
