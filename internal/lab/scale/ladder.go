package scale

import (
	"bytes"
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

// Ladder is all rungs as played.
type Ladder struct {
	Command string   `json:"command"`
	Seconds float64  `json:"seconds"` // of real time
	Costs   Costs    `json:"costs"`
	Rungs   []Result `json:"rungs"`
	NotRun  []string `json:"not_run"` // rungs with the reason
}

// LeastPrice is the lowest prices.probe of the operators' deployments, in requests' worth; the lab's own is 1.
const LeastPrice = 0.0014

// MemoryMB is what rungs side by side may take, by needMB.
const MemoryMB = 10_000

// needMB is what a rung is reckoned to take: 2 KB of heap and as much for the collector for each server that a sidecar lists.
func (s *Spec) needMB() float64 {
	listed := s.Servers
	if s.Scope > 0 {
		listed = s.Scope * ServiceSize
	}
	need := 60 + float64(s.Sidecars)*(0.25*float64(max(1, s.Scope))+float64(listed)*0.0032)
	if s.View {
		need += float64(s.Sidecars) * float64(s.Sidecars) * 0.004
	}
	return need
}

// cost orders rungs: the dearest first.
func (s *Spec) cost() float64 {
	listed := float64(s.Servers)
	if s.Scope > 0 {
		listed = float64(s.Scope * ServiceSize)
	}
	span := (s.Warm.Duration + s.For.Duration - s.LoadFrom.Duration).Seconds()
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

// Rungs are the ladder's for these sizes. Sizes up to half of the target are played at rest, at load and with changes;
// from 960 on with the other events, too; over 960 at rest and with changes, by a quarter of the sidecars.
func Rungs(sizes []int) (list []Spec) {
	add := func(name string, n int, change func(s *Spec)) {
		s := NewSpec(n)
		change(&s)
		s.Name = fmt.Sprintf("%s-%d", name, n)
		switch {
		case s.Scope > 0:
			s.Name += fmt.Sprintf("-scope%d", s.Scope)
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
			add("rest", n, func(s *Spec) { s.Scope, s.Event = scope, "changes" })
			if scope == 0 {
				add("quiet", n, func(s *Spec) { s.Rate = 0.1 })
			}
			load := func(s *Spec) {
				s.Scope, s.Rate = scope, 47
				s.LoadFrom.Duration, s.Warm.Duration, s.For.Duration = 12*time.Second, 17*time.Second, 10*time.Second
				if n > 120 { // a call takes the longer, the more are listed
					s.Warm.Duration, s.For.Duration = 14*time.Second, 4*time.Second
				}
				if n > 480 {
					s.Warm.Duration, s.For.Duration = 13*time.Second, 2*time.Second
				}
			}
			add("load", n, load)
			add("probing", n, func(s *Spec) { load(s); s.ProbePrice = LeastPrice })
			if n < 960 {
				continue
			}
			for _, event := range []string{"restarts", "tenth", "rack", "zone"} {
				add(event, n, func(s *Spec) {
					s.Scope, s.Event, s.Rate = scope, event, 0.2
					s.LoadFrom.Duration, s.For.Duration = 20*time.Second, 20*time.Second
				})
			}
			if scope != 5 { // five processes are five times one
				add("apart", n, func(s *Spec) { s.Scope, s.Event, s.For.Duration = scope, "apart", 20*time.Second })
			}
		}
		if n <= 480 {
			add("news", n, func(s *Spec) { s.Peers, s.For.Duration = true, 20*time.Second })
		}
		if n <= 240 {
			add("view", n, func(s *Spec) { s.View = true })
		}
	}
	return list
}

// notPlayed are what no ladder plays, with the reason.
var notPlayed = []string{
	"news over 480: at 960 the hub makes 921,600 copies a second, beyond the time",
	"view over 240: beyond the time",
	"apart with five processes of six: five times one",
	"over 960: all but rest and its changes, and of the sidecars a quarter, for memory",
	"a change of settings or a ban told to a running fleet, control machines, operators: there is no mechanism to play",
}

// Climb plays rungs, each in a process of its own that program starts by itself, as many side by side as there are
// places and memory for. It gives what was played also where it fails.
func Climb(ctx context.Context, program string, specs []Spec, costs Costs, places int, folder string, say func(string)) (*Ladder, error) {
	began := time.Now()
	l := &Ladder{Costs: costs, NotRun: slices.Clone(notPlayed)}
	specs = slices.Clone(specs)
	slices.SortStableFunc(specs, func(a, b Spec) int { return int(b.cost() - a.cost()) })
	var mu sync.Mutex
	turn := sync.NewCond(&mu)
	free, room := places, float64(MemoryMB)
	var errs []error
	var playing sync.WaitGroup
	for len(specs) > 0 {
		mu.Lock()
		next := -1
		for next < 0 {
			if free > 0 {
				next = slices.IndexFunc(specs, func(s Spec) bool { return s.needMB() <= room || room == MemoryMB })
			}
			if next < 0 {
				turn.Wait()
			}
		}
		s := specs[next]
		specs = slices.Delete(specs, next, next+1)
		need := s.needMB()
		free, room = free-1, room-need
		mu.Unlock()
		if ctx.Err() != nil {
			l.NotRun = append(l.NotRun, s.Name+": the time was up")
			mu.Lock()
			free, room = free+1, room+need
			mu.Unlock()
			continue
		}
		playing.Add(1)
		go func() {
			defer playing.Done()
			r, err := RunRung(ctx, program, Order{s, costs}, filepath.Join(folder, s.Name+".json"))
			mu.Lock()
			defer mu.Unlock()
			defer turn.Broadcast()
			free, room = free+1, room+need
			switch {
			case err != nil && ctx.Err() != nil:
				l.NotRun = append(l.NotRun, s.Name+": the time was up")
			case err != nil:
				errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
				l.NotRun = append(l.NotRun, s.Name+": "+err.Error())
			default:
				l.Rungs = append(l.Rungs, *r)
				say(fmt.Sprintf("%6.0f s  %s: %.0f s, %.0f CPU s, %.0f MB (reckoned %.0f)", time.Since(began).Seconds(), s.Name, r.Wall, r.CPU, r.PeakMB, need))
				if len(r.Broken) > 0 {
					errs = append(errs, fmt.Errorf("%s: %v", s.Name, r.Broken))
				}
			}
		}()
	}
	playing.Wait()
	slices.SortStableFunc(l.Rungs, func(a, b Result) int {
		if a.Spec.Servers != b.Spec.Servers {
			return a.Spec.Servers - b.Spec.Servers
		}
		return a.Spec.Scope - b.Spec.Scope
	})
	l.Seconds = time.Since(began).Seconds()
	return l, errors.Join(errs...)
}

// RunRung has a process of its own play one rung.
func RunRung(ctx context.Context, program string, order Order, file string) (*Result, error) {
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
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // one waits for the other at every instant of a virtual clock
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
