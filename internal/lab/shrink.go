package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// shrinker searches for a smaller schedule that still breaks one of the rules that the original broke.
type shrinker struct {
	ctx                context.Context
	run                Runner
	folder             string      // of the runs' logs
	kinds              []string    // names of the rules that the original broke
	attempts, parallel int         // runs of each candidate, and runs at a time
	mayContinue        func() bool // reports whether further runs may begin
	runs               int         // number of runs so far
	breaches           []string    // descriptions of the breaches of the smallest schedule
}

// firstFailing runs the candidates, parallel runs at a time and each candidate up to attempts times, until one breaks one
// of the rules. It returns its index, -1 for none.
func (s *shrinker) firstFailing(candidates []*Experiment) int {
	type attempt struct{ candidate, n int }
	var queue []attempt
	for n := range s.attempts { // every candidate is run once before any is run a second time
		for c := range candidates {
			queue = append(queue, attempt{c, n})
		}
	}
	for len(queue) > 0 && s.mayContinue() {
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
					broke[k] = result.describeBreaches()
					return
				}
				os.RemoveAll(folder)
			}()
		}
		wg.Wait()
		for k, t := range batch {
			if broke[k] != nil {
				s.breaches = broke[k]
				return t.candidate
			}
		}
	}
	return -1
}

// without returns a copy of the experiment without the faults in [from, to).
func without(exp *Experiment, from, to int) *Experiment {
	smaller := *exp
	smaller.Faults = append(slices.Clone(exp.Faults[:from]), exp.Faults[to:]...)
	return &smaller
}

// shrink returns the smallest experiment that it finds. It removes faults first, by halves, quarters and so on down to
// single ones, and then halves of the remaining faults' targets.
func (s *shrinker) shrink(exp *Experiment) *Experiment {
	for size := (len(exp.Faults) + 1) / 2; size > 0 && len(exp.Faults) > 0; {
		var candidates []*Experiment
		for from := 0; from < len(exp.Faults); from += size {
			candidates = append(candidates, without(exp, from, min(from+size, len(exp.Faults))))
		}
		if c := s.firstFailing(candidates); c >= 0 {
			exp = candidates[c]
			size = min(size, (len(exp.Faults)+1)/2)
			continue
		}
		if !s.mayContinue() {
			return exp
		}
		size /= 2
	}
	for reduced := true; reduced && s.mayContinue(); {
		var candidates []*Experiment
		for i, f := range exp.Faults {
			for _, smaller := range f.halves() {
				c := *exp
				c.Faults = slices.Clone(exp.Faults)
				c.Faults[i] = smaller
				candidates = append(candidates, &c)
			}
		}
		c := s.firstFailing(candidates)
		if reduced = c >= 0; reduced {
			exp = candidates[c]
		}
	}
	return exp
}

// halves returns two copies of the fault for each kind of target that it has several of, each with half of the targets.
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
