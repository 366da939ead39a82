package lab

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// DrawFaults returns a copy of base with 2 to 7 random faults after those that it has. The seed determines their kinds
// (of those given, or of all that base allows if none are given), times, durations and targets. They may overlap.
func DrawFaults(base *Experiment, seed uint64, kinds []string) *Experiment {
	exp := *base
	exp.Seed = seed
	exp.Faults = slices.Clone(base.Faults)
	generator := &faultGenerator{exp: &exp, random: rand.New(rand.NewPCG(seed, 0xd4a))}
	if len(kinds) == 0 {
		kinds = generator.kinds()
	}
	for range 2 + generator.random.IntN(6) {
		exp.Faults = append(exp.Faults, generator.fault(kinds[generator.random.IntN(len(kinds))]))
	}
	return &exp
}

// faultGenerator draws random faults for an experiment.
type faultGenerator struct {
	exp    *Experiment
	random *rand.Rand
}

// kinds returns the kinds of faults that the experiment allows.
func (g *faultGenerator) kinds() []string {
	kinds := []string{"kill", "pause", "term", "join", "partition", "delay", "reset", "drain", "discovery", "cut"}
	if g.exp.Fleet.datagrams() {
		kinds = append(kinds, "isolate", "peers", "link", "flap", "split")
	}
	if g.exp.Ops.On {
		kinds = append(kinds, "upgrade")
	}
	kinds = append(kinds, "machine-kill", "machine-replace", "machine-pause")
	if g.exp.Fleet.State {
		kinds = append(kinds, "disk")
	}
	return kinds
}

// duration draws a duration between minimum and maximum, rounded to milliseconds.
func (g *faultGenerator) duration(minimum, maximum time.Duration) Duration {
	return Duration{(minimum + time.Duration(g.random.Int64N(int64(max(maximum-minimum, 1))))).Round(time.Millisecond)}
}

// subset draws at least one and at most half of the numbers below n, and sorts them.
func (g *faultGenerator) subset(n int) []int {
	return slices.Sorted(slices.Values(g.random.Perm(n)[:1+g.random.IntN(max(1, n/2))]))
}

// choose draws one of the given values.
func (g *faultGenerator) choose(of ...string) string { return of[g.random.IntN(len(of))] }

// selectors returns the selectors of the sidecars (prefix "s") or servers (prefix "v") with the given numbers.
func selectors(prefix string, numbers []int) []string {
	var list []string
	for _, i := range numbers {
		list = append(list, prefix+strconv.Itoa(i))
	}
	return list
}

// fault draws a fault of one kind.
func (g *faultGenerator) fault(kind string) Fault {
	total := g.exp.Duration.Duration
	f := Fault{Kind: kind, At: g.duration(total/10, total*6/10), For: g.duration(total/40, total/4)}
	direction := func() string { return g.choose("both", "in", "out") }
	switch {
	case kind == "join" || kind == "upgrade":
		f.For = Duration{}
		f.Sidecars = []int{g.random.IntN(g.exp.Fleet.Sidecars)}
	case slices.Contains(sidecarKinds, kind):
		f.Sidecars = g.subset(g.exp.Fleet.Sidecars)
		if kind == "isolate" {
			f.Direction = direction()
		}
	case slices.Contains(serverKinds, kind):
		f.Servers = g.subset(g.exp.Fleet.Servers)
		switch kind {
		case "partition":
			f.Direction = direction()
		case "delay":
			f.Delay, f.Jitter = g.duration(time.Millisecond, 200*time.Millisecond), g.duration(0, 50*time.Millisecond)
		}
	case slices.Contains(machineKinds, kind):
		f.Machines = g.subset(g.exp.machineCount())
		if kind == "disk" {
			f.Mode = g.choose("full", "readonly", "slow")
			f.Delay = g.duration(50*time.Millisecond, 400*time.Millisecond)
		}
	case kind == "discovery":
		if f.Mode = g.choose("down", "lag"); f.Mode == "lag" {
			f.Delay = g.duration(50*time.Millisecond, time.Second)
		}
	case kind == "peers":
		f.Share, f.Delay = g.random.Float64(), g.duration(0, 100*time.Millisecond)
	case kind == "split":
		for range 2 {
			members := selectors("s", g.subset(g.exp.Fleet.Sidecars))
			f.Groups = append(f.Groups, append(members, selectors("v", g.subset(g.exp.Fleet.Servers))...))
		}
	default: // link, cut, flap
		f.From = selectors("s", g.subset(g.exp.Fleet.Sidecars))
		f.To = [][]string{{"all"}, selectors("s", g.subset(g.exp.Fleet.Sidecars)), selectors("v", g.subset(g.exp.Fleet.Servers)), {"discovery"}}[g.random.IntN(4)]
		f.Direction = direction()
		switch kind {
		case "link":
			f.Loss, f.Duplicate, f.Reorder = g.random.Float64()/2, g.random.Float64()/2, g.random.Float64()/2
			f.Delay, f.Jitter = g.duration(0, 200*time.Millisecond), g.duration(0, 100*time.Millisecond)
			f.Rate = float64(g.random.IntN(3)) * 20
		case "flap":
			f.Period = g.duration(50*time.Millisecond, 500*time.Millisecond)
		}
	}
	if (kind == "kill" || kind == "term" || kind == "machine-kill") && g.random.IntN(8) == 0 {
		f.For = Duration{} // until the run's end
	}
	return f
}
