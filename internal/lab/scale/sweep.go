package scale

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// SweepResult is the result of a sweep over fleet sizes.
type SweepResult struct {
	Command string   `json:"command"`
	Seconds float64  `json:"seconds"` // of real time
	Costs   Costs    `json:"costs"`
	Runs    []Result `json:"rungs"`   // the runs that ended, by size
	NotRun  []string `json:"not_run"` // names of runs with the reason
}

// MinProbePrice is the lowest prices.probe of the operators' deployments, as a multiple of the cost of a request. The lab's
// default is 1.
const MinProbePrice = 0.0014

// MaxMemoryMB is the limit of memoryNeededMB over all runs that are in progress.
const MaxMemoryMB = 10_000

// memoryNeededMB returns the memory that a run is expected to take, in MB. Most is 2 KB of heap, and as much for the garbage
// collector, for each server that a sidecar lists.
func (s *Spec) memoryNeededMB() float64 {
	listed := s.Servers
	if s.ServicesPerSidecar > 0 {
		listed = s.ServicesPerSidecar * ServiceSize
	}
	need := 60 + float64(s.Sidecars)*(0.25*float64(max(1, s.ServicesPerSidecar))+float64(listed)*0.0032)
	if s.View {
		need += float64(s.Sidecars) * float64(s.Sidecars) * 0.004
	}
	return need
}

// cost returns the expected processor time of a run, in a unit of its own: the most expensive run starts first.
func (s *Spec) cost() float64 {
	listed := float64(s.Servers)
	if s.ServicesPerSidecar > 0 {
		listed = float64(s.ServicesPerSidecar * ServiceSize)
	}
	span := (s.WarmUp.Duration + s.SteadyDuration.Duration - s.LoadFrom.Duration).Seconds()
	if s.Event != "" {
		span += 120
	}
	c := float64(s.Sidecars) * (s.Rate*span*(0.1+listed*0.0006) + listed*0.06 + 60*0.1)
	if s.ProbePrice > 0 {
		c *= 1.5
	}
	if s.Event == "apart" {
		c += float64(s.Sidecars) * 3600 * 0.15
	}
	if s.Peers || s.View {
		c += float64(s.Sidecars) * float64(s.Sidecars)
	}
	return c
}

// SweepSpecs returns the runs of a sweep over these sizes. Sizes up to half of the target are run at rest, under load and with
// changes. Size 960 is run with the other events, too. Sizes over 960 are run at rest only, with a quarter of the sidecars.
func SweepSpecs(sizes []int) (list []Spec) {
	add := func(name string, n int, change func(s *Spec)) {
		s := NewSpec(n)
		change(&s)
		s.Name = fmt.Sprintf("%s-%d", name, n)
		switch {
		case s.ServicesPerSidecar > 0:
			s.Name += fmt.Sprintf("-scope%d", s.ServicesPerSidecar)
		}
		list = append(list, s)
	}
	for _, n := range sizes {
		if n > 960 {
			add("rest", n, func(s *Spec) { s.Sidecars = n / 4 })
			continue
		}
		for _, scope := range []int{0, 1, 5} {
			if scope*ServiceSize > n {
				continue
			}
			add("rest", n, func(s *Spec) { s.ServicesPerSidecar, s.Event = scope, "changes" })
			if scope == 0 {
				add("quiet", n, func(s *Spec) { s.Rate = 0.1 })
			}
			load := func(s *Spec) {
				s.ServicesPerSidecar, s.Rate = scope, 47
				s.LoadFrom.Duration, s.WarmUp.Duration, s.SteadyDuration.Duration = 12*time.Second, 17*time.Second, 10*time.Second
				if n > 120 { // calls take more processor time the more servers are listed
					s.WarmUp.Duration, s.SteadyDuration.Duration = 14*time.Second, 4*time.Second
				}
				if n > 480 {
					s.WarmUp.Duration, s.SteadyDuration.Duration = 13*time.Second, 2*time.Second
				}
			}
			add("load", n, load)
			add("probing", n, func(s *Spec) { load(s); s.ProbePrice = MinProbePrice })
			if n < 960 {
				continue
			}
			for _, event := range []string{"restarts", "tenth", "rack", "zone"} {
				add(event, n, func(s *Spec) {
					s.ServicesPerSidecar, s.Event, s.Rate = scope, event, 0.2
					s.LoadFrom.Duration, s.SteadyDuration.Duration = 20*time.Second, 20*time.Second
				})
			}
			if scope != 5 { // five processes cost five times as much as one
				add("apart", n, func(s *Spec) {
					s.ServicesPerSidecar, s.Event, s.SteadyDuration.Duration = scope, "apart", 20*time.Second
				})
			}
		}
		if n <= 480 {
			add("news", n, func(s *Spec) { s.Peers, s.SteadyDuration.Duration = true, 20*time.Second })
		}
		if n <= 240 {
			add("view", n, func(s *Spec) { s.View = true })
		}
	}
	return list
}

// neverRun lists what no sweep runs, with the reason.
var neverRun = []string{
	"news over 480: at 960 the hub makes 921,600 copies a second, beyond the time",
	"view over 240: beyond the time",
	"apart with five processes of six: five times one",
	"over 960: all but rest and its changes, and of the sidecars a quarter, for memory",
	"a change of settings or a ban told to a running fleet, control machines, operators: there is no mechanism to play",
}

// sweep is a sweep in progress: runs in processes of their own, limited by their number and by memory.
type sweep struct {
	ctx     context.Context
	program string
	costs   Costs
	folder  string
	began   time.Time
	report  func(string) // prints a line

	mu       sync.Mutex // guards the fields below
	changed  *sync.Cond // of mu; a run has ended
	freeRuns int
	freeMB   float64
	result   *SweepResult
	errs     []error
}

// Sweep carries out runs, each in a process of its own that program starts by itself, as many at a time as maxRuns and the memory
// allow. It returns what was run also where it fails.
func Sweep(ctx context.Context, program string, specs []Spec, costs Costs, maxRuns int, folder string, report func(string)) (*SweepResult, error) {
	s := &sweep{ctx: ctx, program: program, costs: costs, folder: folder, began: time.Now(), report: report,
		freeRuns: maxRuns, freeMB: MaxMemoryMB, result: &SweepResult{Costs: costs, NotRun: slices.Clone(neverRun)}}
	s.changed = sync.NewCond(&s.mu)
	specs = slices.Clone(specs)
	slices.SortStableFunc(specs, func(a, b Spec) int { return int(b.cost() - a.cost()) })
	var runs sync.WaitGroup
	for len(specs) > 0 {
		next := s.reserve(specs)
		spec := specs[next]
		specs = slices.Delete(specs, next, next+1)
		runs.Add(1)
		go func() {
			defer runs.Done()
			s.run(&spec)
		}()
	}
	runs.Wait()
	slices.SortStableFunc(s.result.Runs, func(a, b Result) int {
		return cmp.Or(a.Spec.Servers-b.Spec.Servers, a.Spec.ServicesPerSidecar-b.Spec.ServicesPerSidecar)
	})
	s.result.Seconds = time.Since(s.began).Seconds()
	return s.result, errors.Join(s.errs...)
}

// reserve waits until one of the runs may start, and returns its index. One that needs more than all memory runs alone.
func (s *sweep) reserve(specs []Spec) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.freeRuns > 0 {
			next := slices.IndexFunc(specs, func(spec Spec) bool { return spec.memoryNeededMB() <= s.freeMB || s.freeMB == MaxMemoryMB })
			if next >= 0 {
				s.freeRuns--
				s.freeMB -= specs[next].memoryNeededMB()
				return next
			}
		}
		s.changed.Wait()
	}
}

// run carries out a run that reserve has admitted.
func (s *sweep) run(spec *Spec) {
	result, err := (*Result)(nil), s.ctx.Err()
	if err == nil {
		result, err = RunInProcess(s.ctx, s.program, RunRequest{*spec, s.costs}, filepath.Join(s.folder, spec.Name+".json"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.changed.Broadcast()
	s.freeRuns++
	s.freeMB += spec.memoryNeededMB()
	switch {
	case err != nil && s.ctx.Err() != nil:
		s.result.NotRun = append(s.result.NotRun, spec.Name+": the time was up")
	case err != nil:
		s.errs = append(s.errs, fmt.Errorf("%s: %w", spec.Name, err))
		s.result.NotRun = append(s.result.NotRun, spec.Name+": "+err.Error())
	default:
		s.add(spec, result)
	}
}

// add adds a result. The caller holds s.mu.
func (s *sweep) add(spec *Spec, result *Result) {
	s.result.Runs = append(s.result.Runs, *result)
	s.report(fmt.Sprintf("%6.0f s  %s: %.0f s, %.0f CPU s, %.0f MB (expected %.0f)", time.Since(s.began).Seconds(), spec.Name,
		result.WallSeconds, result.CPUSeconds, result.PeakMB, spec.memoryNeededMB()))
	if len(result.FailedChecks) > 0 {
		s.errs = append(s.errs, fmt.Errorf("%s: %v", spec.Name, result.FailedChecks))
	}
}

// RunInProcess carries out one run in a child process, which writes its result to file.
func RunInProcess(ctx context.Context, program string, order RunRequest, file string) (*Result, error) {
	if err := order.Spec.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return nil, err
	}
	in, err := json.Marshal(order)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, program, "scale-rung", file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // with a virtual clock, threads would wait for each other at every instant
	cmd.Stdin = bytes.NewReader(in)
	if text, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, bytes.TrimSpace(text[:min(len(text), 2000)]))
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var r Result
	return &r, json.Unmarshal(text, &r)
}
