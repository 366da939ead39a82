package lab

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
)

// SearchOptions configures a search.
type SearchOptions struct {
	Seeds       int // number of schedules to draw, with consecutive seeds from FirstSeed on
	FirstSeed   uint64
	MaxDuration time.Duration // no run begins later than this after the search's start; 0 for no limit
	Parallel    int           // runs at a time
	Attempts    int           // maximum number of runs of each smaller schedule, one of which must break one of the same rules
	Kinds       []string      // kinds of faults to draw; empty for every kind that the experiment allows
	MaxFindings int           // number of findings after which no more seeds are run; 0 for no limit
}

// Runner runs one experiment and writes its logs to folder.
type Runner func(ctx context.Context, exp *Experiment, folder string) (*Result, error)

// Finding is a schedule that broke a rule, and the smallest schedule found by shrinking it that still breaks one of the
// same rules.
type Finding struct {
	Seed         uint64   `json:"seed"`
	Kinds        []string `json:"kinds"`        // names of the rules that it broke
	Faults       int      `json:"faults"`       // number of faults in the schedule
	ShrunkFaults int      `json:"small_faults"` // number of faults in the smallest schedule
	ShrinkRuns   int      `json:"shrink_runs"`  // number of runs made to shrink it
	Folder       string   `json:"folder"`       // with found.toml, small.toml and the runs' logs
	Breaches     []string `json:"breaks"`       // descriptions of the breaches of the smallest schedule
}

// SearchReport is the result of a search; it is written as JSON.
type SearchReport struct {
	Base     string         `json:"base"`
	Runs     int            `json:"runs"`      // number of seeds that were run
	Wanted   int            `json:"wanted"`    // number of seeds that the options ask for
	LateRuns int            `json:"late_runs"` // number of runs in which the lab itself was short of CPU
	Faults   map[string]int `json:"faults"`    // number of faults in the runs, by kind
	Findings []Finding      `json:"findings"`
	Failed   []string       `json:"failed"`  // runs that ended in an error
	Seconds  float64        `json:"seconds"` // duration of the search
}

// kinds returns the sorted names of the rules that a result breaks.
func (r *Result) kinds() []string {
	rules := r.rules()
	maps.DeleteFunc(rules, func(_ string, n int) bool { return n == 0 })
	return slices.Sorted(maps.Keys(rules))
}

// Search draws faults for each seed, adds them to those of base, runs the resulting schedule and shrinks it if it breaks
// a rule. It writes its report to search.json in out. When it reaches a limit of the options or ctx ends, it reports what
// it has found so far. It calls progress with a line after each step.
func Search(ctx context.Context, base *Experiment, o SearchOptions, run Runner, out string, progress func(string)) (*SearchReport, error) {
	if err := o.checkKinds(base); err != nil {
		return nil, err
	}
	s := &search{
		base:      base,
		options:   o,
		run:       run,
		folder:    out,
		progress:  progress,
		startedAt: time.Now(),
		report:    &SearchReport{Base: base.Name, Wanted: o.Seeds, Faults: map[string]int{}},
	}
	s.runSeeds(ctx)
	report := s.report
	slices.SortFunc(report.Findings, func(a, b Finding) int { return int(a.Seed) - int(b.Seed) })
	if o.MaxFindings > 0 && len(report.Findings) > o.MaxFindings { // runs that were in progress at the last finding may have found more
		report.Findings = report.Findings[:o.MaxFindings]
	}
	for i := range report.Findings {
		if err := s.shrinkFinding(ctx, &report.Findings[i]); err != nil {
			return report, err
		}
	}
	report.Seconds = time.Since(s.startedAt).Seconds()
	return report, WriteJSON(filepath.Join(out, "search.json"), report)
}

// checkKinds returns an error if the options name a kind of fault that the experiment does not allow.
func (o *SearchOptions) checkKinds(base *Experiment) error {
	allowed := (&faultGenerator{exp: base}).kinds()
	for _, kind := range o.Kinds {
		if !slices.Contains(allowed, kind) {
			return fmt.Errorf("kinds: %q is not one of those that the experiment allows: %s", kind, strings.Join(allowed, ", "))
		}
	}
	return nil
}

// search is a search in progress.
type search struct {
	base      *Experiment
	options   SearchOptions
	run       Runner
	folder    string
	startedAt time.Time

	mu       sync.Mutex // guards the fields below
	progress func(string)
	report   *SearchReport
}

// runSeeds runs the schedules of all seeds, options.Parallel at a time, until a limit of the options is reached or ctx
// ends.
func (s *search) runSeeds(ctx context.Context) {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(1, s.options.Parallel) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				s.runSeed(ctx, seed)
			}
		}()
	}
	for i := range s.options.Seeds {
		if s.hasEnough() || ctx.Err() != nil || s.isOverTime() {
			break
		}
		select {
		case seeds <- s.options.FirstSeed + uint64(i):
		case <-ctx.Done():
		}
	}
	close(seeds)
	workers.Wait()
}

// hasEnough reports whether MaxFindings is reached.
func (s *search) hasEnough() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.MaxFindings > 0 && len(s.report.Findings) >= s.options.MaxFindings
}

// isOverTime reports whether MaxDuration has passed, so that no further run may begin.
func (s *search) isOverTime() bool {
	return s.options.MaxDuration > 0 && time.Since(s.startedAt) > s.options.MaxDuration
}

// runSeed runs the schedule of one seed. It keeps the folder of a schedule that broke a rule or could not be run.
func (s *search) runSeed(ctx context.Context, seed uint64) {
	exp := DrawFaults(s.base, seed, s.options.Kinds)
	folder := filepath.Join(s.folder, fmt.Sprintf("seed-%d", seed))
	result, err := s.run(ctx, exp, filepath.Join(folder, "logs"))
	s.mu.Lock()
	defer s.mu.Unlock()
	isCutShort := ctx.Err() != nil // the result of an interrupted run is not used
	switch {
	case isCutShort:
	case err != nil:
		s.report.Failed = append(s.report.Failed, fmt.Sprintf("seed %d: %v", seed, err))
	default:
		s.report.addRun(exp, result)
	}
	if err == nil && !isCutShort && result.Breaches() > 0 {
		s.report.Findings = append(s.report.Findings, Finding{Seed: seed, Kinds: result.kinds(), Faults: len(exp.Faults), ShrunkFaults: len(exp.Faults),
			Folder: folder, Breaches: result.describeBreaches()})
		s.progress(fmt.Sprintf("seed %d breaks %v with %d faults", seed, result.kinds(), len(exp.Faults)))
	} else if err == nil {
		os.RemoveAll(folder)
	}
	s.progress(s.progressLine())
}

// addRun counts one completed run and its faults.
func (r *SearchReport) addRun(exp *Experiment, result *Result) {
	r.Runs++
	for _, f := range exp.Faults {
		r.Faults[f.Kind]++
	}
	if result.Lateness.Late {
		r.LateRuns++
	}
}

// progressLine describes the progress of the search and estimates the remaining time. The caller holds s.mu.
func (s *search) progressLine() string {
	elapsed := time.Since(s.startedAt)
	remaining := elapsed / time.Duration(max(s.report.Runs, 1)) * time.Duration(s.options.Seeds-s.report.Runs)
	if s.options.MaxDuration > 0 {
		remaining = min(remaining, max(s.options.MaxDuration-elapsed, 0))
	}
	return fmt.Sprintf("%d of %d seeds, %d broke a rule, %v elapsed, about %v remaining", s.report.Runs, s.options.Seeds, len(s.report.Findings),
		elapsed.Round(time.Second), remaining.Round(time.Second))
}

// shrinkFinding writes a finding's schedule to found.toml, shrinks it, and writes the smallest schedule to small.toml.
func (s *search) shrinkFinding(ctx context.Context, f *Finding) error {
	found := DrawFaults(s.base, f.Seed, s.options.Kinds)
	if err := writeExperiment(filepath.Join(f.Folder, "found.toml"), found); err != nil {
		return err
	}
	shrinker := shrinker{
		ctx:      ctx,
		run:      s.run,
		folder:   f.Folder,
		kinds:    f.Kinds,
		attempts: max(1, s.options.Attempts),
		parallel: max(1, s.options.Parallel),
		breaches: f.Breaches,
		mayContinue: func() bool {
			return ctx.Err() == nil && (s.options.MaxDuration == 0 || time.Since(s.startedAt) < s.options.MaxDuration)
		},
	}
	small := shrinker.shrink(found)
	f.ShrunkFaults, f.ShrinkRuns, f.Breaches = len(small.Faults), shrinker.runs, shrinker.breaches
	path := filepath.Join(f.Folder, "small.toml")
	if err := writeExperiment(path, small); err != nil {
		return err
	}
	s.progress(fmt.Sprintf("seed %d: %d faults shrunk to %d in %d runs: %s", f.Seed, f.Faults, f.ShrunkFaults, f.ShrinkRuns, path))
	return nil
}

// describeBreaches returns sorted descriptions of the breaches of a result.
func (r *Result) describeBreaches() []string {
	var lines []string
	for _, violation := range r.Violations {
		lines = append(lines, violation.String())
	}
	lines = append(lines, r.UnexpectedFailures...)
	for kind, examples := range r.Examples {
		lines = append(lines, fmt.Sprintf("%s: %v", kind, examples))
	}
	slices.Sort(lines)
	return lines
}

// writeExperiment writes an experiment as TOML, and creates the file's folder if needed.
func writeExperiment(path string, exp *Experiment) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(exp); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, text.Bytes(), 0o644)
}

// Summary describes the report in a few lines.
func (r *SearchReport) Summary() string {
	text := fmt.Sprintf("%s: %d of %d seeds run in %.0f s, %d broke a rule, %d could not be run; the lab ran late in %d\nfaults drawn %v\n",
		r.Base, r.Runs, r.Wanted, r.Seconds, len(r.Findings), len(r.Failed), r.LateRuns, r.Faults)
	for _, f := range r.Findings {
		text += fmt.Sprintf("seed %d: %v, %d faults shrunk to %d: %s\n  %s\n", f.Seed, f.Kinds, f.Faults, f.ShrunkFaults, filepath.Join(f.Folder, "small.toml"),
			strings.Join(f.Breaches, "\n  "))
	}
	for _, f := range r.Failed {
		text += "not run: " + f + "\n"
	}
	if len(r.Findings) == 0 {
		text += "nothing found\n"
	}
	return text
}
