package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"bramblestand/internal/lab"
)

// Sizes of the runs in CI.
const (
	ciSeeds        = 12
	ciParallel     = 3
	maxMutantSeeds = 8 // runs within which a mutant has to be found
)

// mutants are the build tags of sidecars with a deliberate fault. Each has the rule that its fault breaks, and prepare, which changes a
// drawn scenario so that the fault can show.
var mutants = []struct {
	tag, rule string
	prepare   func(*Scenario)
}{
	{"mutant_ends_early", RuleLost, func(s *Scenario) { s.Hanging = 2 }},
	{"mutant_evicts_requests", RuleLost, func(s *Scenario) { s.Floods = floodKinds }},
	{"mutant_ignores_draining", RuleDrain, func(s *Scenario) {
		s.DrainEndpoint, s.DiscoveryDown, s.DrainSidecar, s.Upgrade, s.Deadline = true, false, false, false, maxDeadline
		s.LoadTime, s.FaultLead = 2*time.Second, 2*time.Second
	}},
	{"mutant_ignores_disconnects", RuleDisconnect, func(s *Scenario) { s.Breaking, s.Deadline = 2, maxDeadline }},
	{"mutant_repeats_unsafe", RuleDuplicate, func(s *Scenario) { s.Breaking, s.Deadline = 2, maxDeadline }},
}

var programFolder string // the folder with the programs of the sidecar and of the mutants, which TestMain builds

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "soak")
	if err == nil {
		err = build(filepath.Join(folder, "sidecar"))
	}
	for _, mutant := range mutants {
		if err == nil {
			err = build(filepath.Join(folder, mutant.tag), "-tags", mutant.tag)
		}
	}
	if err != nil {
		os.Stderr.WriteString("build of the programs: " + err.Error() + "\n")
		os.Exit(1)
	}
	programFolder = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func build(path string, flags ...string) error {
	command := exec.Command("go", append(append([]string{"build", "-o", path}, flags...), "bramblestand/cmd/sidecar")...)
	command.Stderr = os.Stderr
	return command.Run()
}

// The scenarios of the first ciSeeds seeds break no rule and get responses from endpoints.
func TestSoak(t *testing.T) {
	var mu sync.Mutex
	lab.ForEach(ciSeeds, ciParallel, func(n int) {
		report, err := Run(context.Background(), filepath.Join(programFolder, "sidecar"), Draw(uint64(n+1)), t.TempDir())
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Errorf("seed %d: %v", n+1, err)
			return
		}
		t.Log(report)
		if len(report.Breaches) > 0 {
			t.Errorf("seed %d: %d breaches", n+1, len(report.Breaches))
		}
		if report.Outcomes[Served] == 0 {
			t.Errorf("seed %d: no request was served", n+1)
		}
	})
}

// Each mutant breaks its rule in one of its first scenarios, so that the checks are known to find such faults.
func TestSoakFindsBrokenPrograms(t *testing.T) {
	for _, mutant := range mutants {
		t.Run(mutant.tag, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxMutantSeeds) {
				scenario := Draw(seed + 1)
				mutant.prepare(&scenario)
				report, err := Run(context.Background(), filepath.Join(programFolder, mutant.tag), scenario, t.TempDir())
				if err != nil {
					t.Fatal(err)
				}
				if slices.ContainsFunc(report.Breaches, func(b Breach) bool { return b.Rule == mutant.rule }) {
					return
				}
			}
			t.Errorf("no breach of rule %q in %d runs", mutant.rule, maxMutantSeeds)
		})
	}
}

// A scenario depends on the seed alone, and stays within the limits of the protocol.
func TestDraw(t *testing.T) {
	for seed := range uint64(500) {
		s := Draw(seed)
		if again := Draw(seed); s.String() != again.String() || s.LoadTime != again.LoadTime {
			t.Fatalf("two scenarios from one seed: %v and %v", &s, &again)
		}
		if s.ConnectTime < minConnectTime || s.ConnectTime > maxConnectTime || s.Deadline > maxDeadline || s.Hanging+s.Breaking >= endpointCount {
			t.Errorf("scenario out of range: %v", &s)
		}
		if s.killAfter() != s.Deadline+killAfterDeadline {
			t.Errorf("SIGKILL comes %v after SIGTERM, want its earliest, %v", s.killAfter(), s.Deadline+killAfterDeadline)
		}
	}
}
