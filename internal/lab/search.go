package lab

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
)

// SearchOptions bound a search.
type SearchOptions struct {
	Seeds    int           // schedules to draw, from seed First on
	First    uint64        //
	For      time.Duration // no run begins later than this; 0 for no such bound
	Parallel int           // runs at a time
	Tries    int           // runs of a smaller schedule, one of which must break the same rule
	Kinds    []string      // of faults to draw; empty for every kind that the experiment allows
	Stop     int           // findings after which no more seeds are played; 0 for no such bound
}

// Runner runs one experiment, its logs into folder.
type Runner func(ctx context.Context, exp *Experiment, folder string) (*Result, error)

// Finding is a schedule that broke a rule, and the smallest found that still does.
type Finding struct {
	Seed      uint64   `json:"seed"`
	Kinds     []string `json:"kinds"` // of breaches
	Faults    int      `json:"faults"`
	Small     int      `json:"small_faults"`
	ShrinkRun int      `json:"shrink_runs"`
	Folder    string   `json:"folder"` // with found.toml, small.toml and the runs' logs
	Breaks    []string `json:"breaks"` // what the smallest one's run showed
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
	if allowed := (&drawer{exp: base}).kinds(); len(o.Kinds) > 0 {
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
				exp := Draw(base, seed, o.Kinds)
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
					report.Findings = append(report.Findings, Finding{Seed: seed, Kinds: result.kinds(), Faults: len(exp.Faults), Small: len(exp.Faults),
						Folder: folder, Breaks: result.breaks()})
					say(fmt.Sprintf("seed %d breaks %v with %d faults", seed, result.kinds(), len(exp.Faults)))
				} else if err == nil {
					os.RemoveAll(folder)
				}
				took := time.Since(began)
				left := took / time.Duration(max(report.Runs, 1)) * time.Duration(o.Seeds-report.Runs)
				if o.For > 0 {
					left = min(left, max(o.For-took, 0))
				}
				say(fmt.Sprintf("%d of %d seeds, %d broke a rule, %v gone, about %v left", report.Runs, o.Seeds, len(report.Findings),
					took.Round(time.Second), left.Round(time.Second)))
				mu.Unlock()
			}
		}()
	}
	for i := range o.Seeds {
		mu.Lock()
		enough := o.Stop > 0 && len(report.Findings) >= o.Stop
		mu.Unlock()
		if enough || ctx.Err() != nil || o.For > 0 && time.Since(began) > o.For {
			break
		}
		select {
		case seeds <- o.First + uint64(i):
		case <-ctx.Done():
		}
	}
	close(seeds)
	workers.Wait()
	slices.SortFunc(report.Findings, func(a, b Finding) int { return int(a.Seed) - int(b.Seed) })
	if o.Stop > 0 && len(report.Findings) > o.Stop { // what ran beside the last one
		report.Findings = report.Findings[:o.Stop]
	}
	for i := range report.Findings {
		f := &report.Findings[i]
		found := Draw(base, f.Seed, o.Kinds)
		if err := writeExperiment(filepath.Join(f.Folder, "found.toml"), found); err != nil {
			return report, err
		}
		s := shrinker{ctx: ctx, run: run, folder: f.Folder, kinds: f.Kinds, tries: max(1, o.Tries), parallel: max(1, o.Parallel), breaks: f.Breaks,
			until: func() bool { return ctx.Err() == nil && (o.For == 0 || time.Since(began) < o.For) }}
		small := s.shrink(found)
		f.Small, f.ShrinkRun, f.Breaks = len(small.Faults), s.runs, s.breaks
		if err := writeExperiment(filepath.Join(f.Folder, "small.toml"), small); err != nil {
			return report, err
		}
		say(fmt.Sprintf("seed %d: %d faults shrunk to %d in %d runs: %s", f.Seed, f.Faults, f.Small, f.ShrinkRun, filepath.Join(f.Folder, "small.toml")))
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
	lines = append(lines, r.Troubles...)
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

// Draw is base with 2 to 7 faults drawn from the seed, after those it has:
// kinds (of those given, or of all that base allows), times, targets and
// lengths, which may overlap.
func Draw(base *Experiment, seed uint64, kinds []string) *Experiment {
	exp := *base
	exp.Seed = seed
	exp.Faults = slices.Clone(base.Faults)
	d := &drawer{exp: &exp, random: rand.New(rand.NewPCG(seed, 0xd4a))}
	if len(kinds) == 0 {
		kinds = d.kinds()
	}
	for range 2 + d.random.IntN(6) {
		exp.Faults = append(exp.Faults, d.fault(kinds[d.random.IntN(len(kinds))]))
	}
	return &exp
}

type drawer struct {
	exp    *Experiment
	random *rand.Rand
}

func (d *drawer) kinds() []string {
	kinds := []string{"kill", "pause", "term", "join", "partition", "delay", "reset", "drain", "discovery", "cut"}
	if d.exp.Fleet.datagrams() {
		kinds = append(kinds, "isolate", "peers", "link", "flap", "split")
	}
	if d.exp.Ops.On {
		kinds = append(kinds, "upgrade")
	}
	kinds = append(kinds, "machine-kill", "machine-replace", "machine-pause")
	if d.exp.Fleet.State {
		kinds = append(kinds, "disk")
	}
	return kinds
}

func (d *drawer) span(least, most time.Duration) Duration {
	return Duration{(least + time.Duration(d.random.Int64N(int64(max(most-least, 1))))).Round(time.Millisecond)}
}

func (d *drawer) some(n int) []int {
	return slices.Sorted(slices.Values(d.random.Perm(n)[:1+d.random.IntN(max(1, n/2))]))
}

func (d *drawer) pick(of ...string) string { return of[d.random.IntN(len(of))] }

// selectors names sidecars (s) or servers (v) by their numbers.
func selectors(prefix string, numbers []int) []string {
	var list []string
	for _, i := range numbers {
		list = append(list, prefix+strconv.Itoa(i))
	}
	return list
}

func (d *drawer) fault(kind string) Fault {
	whole := d.exp.Duration.Duration
	f := Fault{Kind: kind, At: d.span(whole/10, whole*6/10), For: d.span(whole/40, whole/4)}
	ways := func() string { return d.pick("both", "in", "out") }
	switch {
	case kind == "join" || kind == "upgrade":
		f.For = Duration{}
		f.Sidecars = []int{d.random.IntN(d.exp.Fleet.Sidecars)}
	case slices.Contains(sidecarKinds, kind):
		f.Sidecars = d.some(d.exp.Fleet.Sidecars)
		if kind == "isolate" {
			f.Direction = ways()
		}
	case slices.Contains(serverKinds, kind):
		f.Servers = d.some(d.exp.Fleet.Servers)
		switch kind {
		case "partition":
			f.Direction = ways()
		case "delay":
			f.Delay, f.Jitter = d.span(time.Millisecond, 200*time.Millisecond), d.span(0, 50*time.Millisecond)
		}
	case slices.Contains(machineKinds, kind):
		f.Machines = d.some(d.exp.machines())
		if kind == "disk" {
			f.Mode = d.pick("full", "readonly", "slow")
			f.Delay = d.span(50*time.Millisecond, 400*time.Millisecond)
		}
	case kind == "discovery":
		if f.Mode = d.pick("down", "lag"); f.Mode == "lag" {
			f.Delay = d.span(50*time.Millisecond, time.Second)
		}
	case kind == "peers":
		f.Share, f.Delay = d.random.Float64(), d.span(0, 100*time.Millisecond)
	case kind == "split":
		for range 2 {
			members := selectors("s", d.some(d.exp.Fleet.Sidecars))
			f.Groups = append(f.Groups, append(members, selectors("v", d.some(d.exp.Fleet.Servers))...))
		}
	default: // link, cut, flap
		f.From = selectors("s", d.some(d.exp.Fleet.Sidecars))
		f.To = [][]string{{"all"}, selectors("s", d.some(d.exp.Fleet.Sidecars)), selectors("v", d.some(d.exp.Fleet.Servers)), {"discovery"}}[d.random.IntN(4)]
		f.Direction = ways()
		switch kind {
		case "link":
			f.Loss, f.Duplicate, f.Reorder = d.random.Float64()/2, d.random.Float64()/2, d.random.Float64()/2
			f.Delay, f.Jitter = d.span(0, 200*time.Millisecond), d.span(0, 100*time.Millisecond)
			f.Rate = float64(d.random.IntN(3)) * 20
		case "flap":
			f.Period = d.span(50*time.Millisecond, 500*time.Millisecond)
		}
	}
	if (kind == "kill" || kind == "term" || kind == "machine-kill") && d.random.IntN(8) == 0 {
		f.For = Duration{} // gone for good
	}
	return f
}

// shrinker makes a schedule smaller while it still breaks one of the same rules.
type shrinker struct {
	ctx             context.Context
	run             Runner
	folder          string
	kinds           []string
	tries, parallel int
	until           func() bool
	runs            int
	breaks          []string
}

// fails runs candidates side by side and gives the first that breaks one of the same rules, -1 for none.
func (s *shrinker) fails(candidates []*Experiment) int {
	type try struct{ candidate, n int }
	var queue []try
	for n := range s.tries { // each once, before any a second time
		for c := range candidates {
			queue = append(queue, try{c, n})
		}
	}
	for len(queue) > 0 && s.until() {
		batch := queue[:min(s.parallel, len(queue))]
		queue = queue[len(batch):]
		broke := make([][]string, len(batch))
		var wg sync.WaitGroup
		for k, t := range batch {
			s.runs++
			folder := filepath.Join(s.folder, fmt.Sprintf("shrink-%d", s.runs))
			wg.Add(1)
			go func() {
				defer wg.Done()
				result, err := s.run(s.ctx, candidates[t.candidate], folder)
				if err == nil && slices.ContainsFunc(result.kinds(), func(k string) bool { return slices.Contains(s.kinds, k) }) {
					broke[k] = result.breaks()
					return
				}
				os.RemoveAll(folder)
			}()
		}
		wg.Wait()
		for k, t := range batch {
			if broke[k] != nil {
				s.breaks = broke[k]
				return t.candidate
			}
		}
	}
	return -1
}

func without(exp *Experiment, from, to int) *Experiment {
	smaller := *exp
	smaller.Faults = append(slices.Clone(exp.Faults[:from]), exp.Faults[to:]...)
	return &smaller
}

// shrink drops faults (halves, quarters, then one by one), then targets.
func (s *shrinker) shrink(exp *Experiment) *Experiment {
	for size := (len(exp.Faults) + 1) / 2; size > 0 && len(exp.Faults) > 0; {
		var candidates []*Experiment
		for from := 0; from < len(exp.Faults); from += size {
			candidates = append(candidates, without(exp, from, min(from+size, len(exp.Faults))))
		}
		if c := s.fails(candidates); c >= 0 {
			exp = candidates[c]
			size = min(size, (len(exp.Faults)+1)/2)
			continue
		}
		if !s.until() {
			return exp
		}
		size /= 2
	}
	for again := true; again && s.until(); {
		var candidates []*Experiment
		for i, f := range exp.Faults {
			for _, smaller := range f.halves() {
				c := *exp
				c.Faults = slices.Clone(exp.Faults)
				c.Faults[i] = smaller
				candidates = append(candidates, &c)
			}
		}
		c := s.fails(candidates)
		if again = c >= 0; again {
			exp = candidates[c]
		}
	}
	return exp
}

// halves are a fault with half of its targets.
func (f Fault) halves() (smaller []Fault) {
	for _, field := range []func(*Fault) *[]int{
		func(f *Fault) *[]int { return &f.Sidecars }, func(f *Fault) *[]int { return &f.Servers }, func(f *Fault) *[]int { return &f.Machines }} {
		if all := *field(&f); len(all) > 1 {
			for _, half := range [][]int{all[:len(all)/2], all[len(all)/2:]} {
				one := f
				*field(&one) = half
				smaller = append(smaller, one)
			}
		}
	}
	return smaller
}

// Summary is a few lines for people.
func (r *SearchReport) Summary() string {
	text := fmt.Sprintf("%s: %d of %d seeds played in %.0f s, %d broke a rule, %d could not be run; the lab ran late in %d\nfaults drawn %v\n",
		r.Base, r.Runs, r.Wanted, r.Seconds, len(r.Findings), len(r.Failed), r.LateRuns, r.Faults)
	for _, f := range r.Findings {
		text += fmt.Sprintf("seed %d: %v, %d faults shrunk to %d: %s\n  %s\n", f.Seed, f.Kinds, f.Faults, f.Small, filepath.Join(f.Folder, "small.toml"),
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
