package main

import (
	"strings"
	"testing"
)

// Invalid flags are rejected before any run starts, and the error names the value or the flag.
func TestScaleRefusesBadInput(t *testing.T) {
	for wantError, args := range map[string][]string{
		`"7"`:                 {"-rungs", "60,7"},
		`"1926"`:              {"-rungs", "1926"},
		`""`:                  {"-rungs", ""},
		"-depth":              {"-depth", "9"},
		`"all" is not a flag`: {"all"},
		"-parallel 0":         {"-parallel", "0"},
		`"one"`:               {"-agree", "-seeds", "one"},
		`"flood"`:             {"-only", "flood"},
	} {
		if err := scaleRun(append([]string{"-out", t.TempDir()}, args...)); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("%v: %v, want %q", args, err, wantError)
		}
	}
}

// Without the argument for the result file, the child process reports how it is used.
func TestScaleRungRefusesBadInput(t *testing.T) {
	if err := scaleRung(nil); err == nil || !strings.Contains(err.Error(), "scale-rung") {
		t.Error(err)
	}
}
