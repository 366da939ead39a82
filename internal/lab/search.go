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

// SearchOptions bound a search.
type SearchOptions struct {
	Seeds       int           // schedules to draw, from seed First on
	FirstSeed   uint64        //
	MaxDuration time.Duration // no run begins later than this; 0 for no such bound
	Parallel    int           // runs at a time
	Attempts    int           // runs of a smaller schedule, one of which must break the same rule
	Kinds       []string      // of faults to draw; empty for every kind that the experiment allows
	MaxFindings int           // findings after which no more seeds are played; 0 for no such bound
}

// Runner runs one experiment, its logs into folder.
type Runner func(ctx context.Context, exp *Experiment, folder string) (*Result, error)

// Finding is a schedule that broke a rule, and the smallest found that still does.
type Finding struct {
	Seed         uint64   `json:"seed"`
	Kinds        []string `json:"kinds"` // of breaches
	Faults       int      `json:"faults"`
	ShrunkFaults int      `json:"small_faults"`
	ShrinkRuns   int      `json:"shrink_runs"`
	Folder       string   `json:"folder"` // with found.toml, small.toml and the runs' logs
	Breaks       []string `json:"breaks"` // what the smallest one's run showed
}

// SearchReport is what a search came to; it is written as JSON.
type SearchReport struct {
	Base     string         `json:"base"`
	Runs     int            `json:"runs"`      // seeds played
	Wanted   int            `json:"wanted"`    // seeds asked for
	LateRuns int            `json:"late_runs"` // in which the lab itself was short of CPU
	Faults   map[string]int `json:"faults"`    // drawn, by kind
	Findings []Finding      `json:"findings"`
	Failed   []string       `json:"failed"` // runs that could not be carried out
	Seconds  float64        `json:"seconds"`
}

// kinds names the rules that a result breaks.
func (r *Result) kinds() []string {
	rules := r.rules()
	maps.DeleteFunc(rules, func(_ string, n int) bool { return n == 0 })
	return slices.Sorted(maps.Keys(rules))
}

// Search draws a schedule of faults for each seed over base, runs it, and
// shrinks what breaks a rule. It ends on its bounds, or with ctx, with what it
// has. say gets a line on each step.
func Search(ctx context.Context, base *Experiment, o SearchOptions, run Runner, out string, say func(string)) (*SearchReport, error) {
	if allowed := (&faultGenerator{exp: base}).kinds(); len(o.Kinds) > 0 {
		for _, k := range o.Kinds {
			if !slices.Contains(allowed, k) {
				return nil, fmt.Errorf("kinds: %q is not one of those that the experiment allows: %s", k, strings.Join(allowed, ", "))
			}
		}
	}
	began := time.Now()
	report := &SearchReport{Base: base.Name, Wanted: o.Seeds, Faults: map[string]int{}}
	var mu sync.Mutex
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(1, o.Parallel) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				exp := DrawFaults(base, seed, o.Kinds)
				folder := filepath.Join(out, fmt.Sprintf("seed-%d", seed))
				result, err := run(ctx, exp, filepath.Join(folder, "logs"))
				mu.Lock()
				switch {
				case ctx.Err() != nil: // cut short: it proves nothing
				case err != nil:
					report.Failed = append(report.Failed, fmt.Sprintf("seed %d: %v", seed, err))
				default:
					report.Runs++
					for _, f := range exp.Faults {
						report.Faults[f.Kind]++
					}
					if result.Lateness.Late {
						report.LateRuns++
					}
				}
				if err == nil && ctx.Err() == nil && result.Breaches() > 0 {
					report.Findings = append(report.Findings, Finding{Seed: seed, Kinds: result.kinds(), Faults: len(exp.Faults), ShrunkFaults: len(exp.Faults),
						Folder: folder, Breaks: result.breaks()})
					say(fmt.Sprintf("seed %d breaks %v with %d faults", seed, result.kinds(), len(exp.Faults)))
				} else if err == nil {
					os.RemoveAll(folder)
				}
				took := time.Since(began)
				left := took / time.Duration(max(report.Runs, 1)) * time.Duration(o.Seeds-report.Runs)
				if o.MaxDuration > 0 {
					left = min(left, max(o.MaxDuration-took, 0))
				}
				say(fmt.Sprintf("%d of %d seeds, %d broke a rule, %v gone, about %v left", report.Runs, o.Seeds, len(report.Findings),
					took.Round(time.Second), left.Round(time.Second)))
				mu.Unlock()
			}
		}()
	}
	for i := range o.Seeds {
		mu.Lock()
		enough := o.MaxFindings > 0 && len(report.Findings) >= o.MaxFindings
		mu.Unlock()
		if enough || ctx.Err() != nil || o.MaxDuration > 0 && time.Since(began) > o.MaxDuration {
			break
		}
		select {
		case seeds <- o.FirstSeed + uint64(i):
		case <-ctx.Done():
		}
	}
	close(seeds)
	workers.Wait()
	slices.SortFunc(report.Findings, func(a, b Finding) int { return int(a.Seed) - int(b.Seed) })
	if o.MaxFindings > 0 && len(report.Findings) > o.MaxFindings { // what ran beside the last one
		report.Findings = report.Findings[:o.MaxFindings]
	}
	for i := range report.Findings {
		f := &report.Findings[i]
		found := DrawFaults(base, f.Seed, o.Kinds)
		if err := writeExperiment(filepath.Join(f.Folder, "found.toml"), found); err != nil {
			return report, err
		}
		s := shrinker{ctx: ctx, run: run, folder: f.Folder, kinds: f.Kinds, attempts: max(1, o.Attempts), parallel: max(1, o.Parallel), breaks: f.Breaks,
			mayContinue: func() bool { return ctx.Err() == nil && (o.MaxDuration == 0 || time.Since(began) < o.MaxDuration) }}
		small := s.shrink(found)
		f.ShrunkFaults, f.ShrinkRuns, f.Breaks = len(small.Faults), s.runs, s.breaks
		if err := writeExperiment(filepath.Join(f.Folder, "small.toml"), small); err != nil {
			return report, err
		}
		say(fmt.Sprintf("seed %d: %d faults shrunk to %d in %d runs: %s", f.Seed, f.Faults, f.ShrunkFaults, f.ShrinkRuns, filepath.Join(f.Folder, "small.toml")))
	}
	report.Seconds = time.Since(began).Seconds()
	return report, WriteJSON(filepath.Join(out, "search.json"), report)
}

// breaks lists what a result breaks, for people.
func (r *Result) breaks() []string {
	var lines []string
	for _, b := range r.Broken {
		lines = append(lines, b.String())
	}
	lines = append(lines, r.UnexpectedFailures...)
	for kind, examples := range r.Examples {
		lines = append(lines, fmt.Sprintf("%s: %v", kind, examples))
	}
	slices.Sort(lines)
	return lines
}

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

// Summary is a few lines for people.
func (r *SearchReport) Summary() string {
	text := fmt.Sprintf("%s: %d of %d seeds played in %.0f s, %d broke a rule, %d could not be run; the lab ran late in %d\nfaults drawn %v\n",
		r.Base, r.Runs, r.Wanted, r.Seconds, len(r.Findings), len(r.Failed), r.LateRuns, r.Faults)
	for _, f := range r.Findings {
		text += fmt.Sprintf("seed %d: %v, %d faults shrunk to %d: %s\n  %s\n", f.Seed, f.Kinds, f.Faults, f.ShrunkFaults, filepath.Join(f.Folder, "small.toml"),
			strings.Join(f.Breaks, "\n  "))
	}
	for _, f := range r.Failed {
		text += "not run: " + f + "\n"
	}
	if len(r.Findings) == 0 {
		text += "nothing found\n"
	}
	return text
}
