package lab

import (
	"os"
	"path/filepath"
	"testing"
)

// Results whose values have no range can be plotted: without load, with only one latency, or without served requests.
func TestPlotOfResultsWithoutRange(t *testing.T) {
	same := Percentiles{P50: 3, P99: 3, P999: 3, Max: 3}
	for name, r := range map[string]*Result{
		"no load":            {Name: "idle"},
		"no load but faults": {Name: "idle", Faults: []Mark{{AtMs: 1500, Label: "kill [0]"}, {AtMs: 2500, Label: "heal kill [0]"}}},
		"one second":         {Name: "one", Series: []Second{{At: 0, Served: 1, Latency: same}}},
		"all errors":         {Name: "none", Series: []Second{{At: 0, Errors: 3}, {At: 1, Errors: 3}}},
	} {
		path := filepath.Join(t.TempDir(), "plot.png")
		if err := r.Plot(path); err != nil {
			t.Errorf("%s: %v", name, err)
		} else if info, err := os.Stat(path); err != nil || info.Size() == 0 {
			t.Errorf("%s: no plot: %v", name, err)
		}
	}
}
