package main

import (
	"strings"
	"testing"
)

// What scale cannot do is refused by its name before anything is played.
func TestScaleRefusesBadInput(t *testing.T) {
	for says, args := range map[string][]string{
		`"7"`:                 {"-rungs", "60,7"},
		`"1926"`:              {"-rungs", "1926"},
		`""`:                  {"-rungs", ""},
		"-depth":              {"-depth", "9"},
		`"all" is not a flag`: {"all"},
		"-parallel 0":         {"-parallel", "0"},
		`"one"`:               {"-agree", "-seeds", "one"},
		`"flood"`:             {"-only", "flood"},
	} {
		if err := scaleRun(append([]string{"-out", t.TempDir()}, args...)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v: %v, want %q", args, err, says)
		}
	}
}

// A rung's order that is none is refused by what is wrong with it.
func TestScaleRungRefusesBadInput(t *testing.T) {
	if err := scaleRung(nil); err == nil || !strings.Contains(err.Error(), "scale-rung") {
		t.Error(err)
	}
}
