package lab

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
)

const searchBase = `name = "base"
duration = "3s"
[fleet]
sidecars = 3
servers = 2
peers = true
state = true
[load]
rate = 0
[ops]
on = true
observe_every = "50ms"
`

func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	exp, err := Parse("e.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return exp
}

// For each of two faulty sidecar programs, a search finds within 20 seeds a schedule that reveals the fault, and shrinks
// it to 3 faults at most.
func TestSearchFindsFaultyPrograms(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		program, more, check string
		kinds                []string
	}{
		"loses a ban at a restart": {"forgetsbans", "rate = 20\ncalls = [\"ban\"]\nservers = 2\n", "linearizable", nil},
		"two sidecars hold one lease": {"twoholders", "observe = [\"/duties\"]\n[[check]]\nkind = \"holder\"\nfield = \"duties\"\n", "one holder",
			[]string{"kill", "pause", "term", "join", "isolate", "peers", "link", "cut", "flap", "split", "machine-kill", "machine-pause"}}, // all kinds except upgrade, which the program does not support

	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out := t.TempDir()
			run := func(ctx context.Context, exp *Experiment, folder string) (*Result, error) {
				return Run(ctx, exp, filepath.Join(programs, c.program), folder, slog.New(slog.DiscardHandler))
			}
			report, err := Search(context.Background(), parse(t, searchBase+c.more), SearchOptions{Seeds: 20, FirstSeed: 1, Parallel: 3, Attempts: 2, MaxFindings: 1, Kinds: c.kinds},
				run, out, func(line string) { t.Log(line) })
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.Summary())
			if len(report.Findings) == 0 || report.Findings[0].ShrunkFaults > 3 || report.Findings[0].Kinds[0] != c.check {
				t.Fatalf("found %+v, want a violation of %q by 3 faults at most", report.Findings, c.check)
			}
			small, err := os.ReadFile(filepath.Join(report.Findings[0].Folder, "small.toml"))
			if err != nil {
				t.Fatal(err)
			}
			if exp, err := Parse("small.toml", small); err != nil || len(exp.Faults) != report.Findings[0].ShrunkFaults {
				t.Errorf("small.toml: %v", err)
			}
		})
	}
}

// A search draws every kind of fault, and the same schedule for the same seed. When its context ends it reports the
// completed runs, even if there are no findings.
func TestSearchDrawsEveryKindAndEnds(t *testing.T) {
	base := parse(t, searchBase)
	kinds := map[string]bool{}
	for seed := range uint64(300) {
		exp := DrawFaults(base, seed, nil)
		if err := exp.validate(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(exp.Schedule(), DrawFaults(base, seed, nil).Schedule()) {
			t.Fatalf("two draws with seed %d differ", seed)
		}
		for _, f := range exp.Faults {
			kinds[f.Kind] = true
		}
	}
	for _, list := range [][]string{sidecarKinds, serverKinds, machineKinds, linkKinds, {"discovery", "peers"}} {
		for _, kind := range list {
			if !kinds[kind] {
				t.Errorf("%s was never drawn", kind)
			}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var runs atomic.Int32
	run := func(context.Context, *Experiment, string) (*Result, error) {
		if runs.Add(1) == 5 {
			stop() // as Ctrl-C does
		}
		return &Result{Format: resultFormat}, nil
	}
	report, err := Search(ctx, base, SearchOptions{Seeds: 50, Parallel: 1}, run, t.TempDir(), func(string) {})
	if err != nil || report.Runs != 4 || len(report.Findings) != 0 || !strings.Contains(report.Summary(), "nothing found") {
		t.Errorf("stopped in its 5th run: %+v, %v, want 4 runs without findings", report, err)
	}
}
