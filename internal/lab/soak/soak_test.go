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
	maxMutantSeeds = 8 // runs in which a broken program has to be found
)

// mutants are the programs that are built wrong on purpose, with the rule that each breaks and what a scenario needs for that.
var mutants = []struct {
	tag, rule string
	prepare   func(*Scenario)
}{
	{"mutant_ends_early", RuleLost, func(s *Scenario) { s.Hanging = 2 }},
	{"mutant_evicts_requests", RuleLost, func(s *Scenario) { s.Floods = floodKinds }},
	{"mutant_ignores_draining", RuleDrain, func(s *Scenario) {
		s.DrainEndpoint, s.DiscoveryDown, s.DrainSidecar, s.Upgrade, s.Deadline = true, false, false, false, maxDeadline
		s.Load, s.FaultLead = 2*time.Second, 2*time.Second
	}},
	{"mutant_ignores_disconnects", RuleDeparture, func(s *Scenario) { s.Breaking, s.Deadline = 2, maxDeadline }},
	{"mutant_repeats_unsafe", RuleDuplicate, func(s *Scenario) { s.Breaking, s.Deadline = 2, maxDeadline }},
}

var programs string // the folder with the sidecar and the mutants, built once

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
	programs = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func build(path string, flags ...string) error {
	command := exec.Command("go", append(append([]string{"build", "-o", path}, flags...), "bramblestand/cmd/sidecar")...)
	command.Stderr = os.Stderr
	return command.Run()
}

// The first scenarios break no rule.
func TestSoak(t *testing.T) {
	var mu sync.Mutex
	lab.ForEach(ciSeeds, ciParallel, func(n int) {
		report, err := Run(context.Background(), filepath.Join(programs, "sidecar"), Draw(uint64(n+1)), t.TempDir())
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
			t.Errorf("seed %d: nothing was served", n+1)
		}
	})
}

// Each rule's check finds a program that breaks it.
func TestSoakFindsBrokenPrograms(t *testing.T) {
	for _, mutant := range mutants {
		t.Run(mutant.tag, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxMutantSeeds) {
				scenario := Draw(seed + 1)
				mutant.prepare(&scenario)
				report, err := Run(context.Background(), filepath.Join(programs, mutant.tag), scenario, t.TempDir())
				if err != nil {
					t.Fatal(err)
				}
				if slices.ContainsFunc(report.Breaches, func(b Breach) bool { return b.Rule == mutant.rule }) {
					return
				}
			}
			t.Errorf("no %q in %d runs", mutant.rule, maxMutantSeeds)
		})
	}
}

// What is drawn depends on the seed alone, and keeps within what the platform does.
func TestDraw(t *testing.T) {
	for seed := range uint64(500) {
		s := Draw(seed)
		if again := Draw(seed); s.String() != again.String() || s.Load != again.Load {
			t.Fatalf("drawn twice: %v and %v", &s, &again)
		}
		if s.Connect < minConnectTime || s.Connect > maxConnectTime || s.Deadline > maxDeadline || s.Hanging+s.Breaking >= endpointCount {
			t.Errorf("out of range: %v", &s)
		}
		if s.killAfter() != s.Deadline+killAfterDeadline {
			t.Errorf("SIGKILL comes %v after SIGTERM, want its earliest, %v", s.killAfter(), s.Deadline+killAfterDeadline)
		}
	}
}
