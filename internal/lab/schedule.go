package lab

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Event is one step of a schedule: a fault begins (Heal false) or ends.
type Event struct {
	At    time.Duration `json:"at_ns"`
	Fault Fault         `json:"fault"`
	Heal  bool          `json:"heal"`
	ID    int           `json:"id"` // of the fault; the same for its begin and its end
	Quiet bool          `json:"-"`  // a cut of a flap after the first: it is neither logged nor marked in reports
}

// Label returns a short name for plots and logs, such as "kill s2" or "heal partition v0,v1".
func (ev Event) Label() string {
	var names []string
	for _, s := range ev.Fault.Sidecars {
		names = append(names, "s"+strconv.Itoa(s))
	}
	for _, s := range ev.Fault.Servers {
		names = append(names, "v"+strconv.Itoa(s))
	}
	for _, m := range ev.Fault.Machines {
		names = append(names, "m"+strconv.Itoa(m))
	}
	names = append(names, ev.Fault.From...)
	if len(ev.Fault.To) > 0 {
		names = append(names, "to "+strings.Join(ev.Fault.To, ","))
	}
	for _, g := range ev.Fault.Groups {
		names = append(names, strings.Join(g, "+"))
	}
	label := ev.Fault.Kind
	if ev.Fault.Mode != "" {
		label += " " + ev.Fault.Mode
	}
	if ev.Heal {
		label = "heal " + label
	}
	if len(names) > 0 {
		label += " " + strings.Join(names, ",")
	}
	return label
}

// Schedule returns the begins and ends of the run's faults in time order: those
// that the experiment lists and those drawn for Chaos. It depends only on the
// experiment and its seed.
func (e *Experiment) Schedule() []Event {
	faults := slices.Clone(e.Faults)
	random := rand.New(rand.NewPCG(e.Seed, 0xfa17))
	for _, c := range e.Chaos {
		for range c.Count {
			f := Fault{Kind: c.Kind, For: c.For, Direction: "both",
				At: Duration{e.Duration.Duration/5 + time.Duration(random.Int64N(int64(e.Duration.Duration*3/5)+1))}}
			if slices.Contains(sidecarKinds, c.Kind) {
				f.Sidecars = []int{random.IntN(e.Fleet.Sidecars)}
			} else {
				f.Servers = []int{random.IntN(e.Fleet.Servers)}
			}
			faults = append(faults, f)
		}
	}
	var events []Event
	id := 0
	add := func(f Fault, from, to time.Duration, quiet bool) {
		events = append(events, Event{At: from, Fault: f, ID: id, Quiet: quiet})
		if to > from {
			events = append(events, Event{At: to, Fault: f, ID: id, Heal: true, Quiet: quiet})
		}
		id++
	}
	for _, f := range faults {
		from, end := f.At.Duration, f.At.Duration+f.For.Duration
		if f.Kind != "flap" {
			add(f, from, end, false)
			continue
		}
		for at := from; at < end; at += f.Period.Duration {
			add(f, at, min(at+f.Period.Duration/2, end), at > from)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}

// Arrivals returns the send times of one sidecar's requests: a Poisson process
// with the load's rate, which is higher in bursts. It is limited by the run's
// duration, and by max_requests divided by the number of sidecars.
func (e *Experiment) Arrivals(sidecar int) []time.Duration {
	limit := e.Load.MaxRequests
	if limit == 0 {
		limit = 1_000_000
	}
	limit /= e.Fleet.Sidecars
	random := rand.New(rand.NewPCG(e.Seed, uint64(sidecar)+1))
	var times []time.Duration
	for t := time.Duration(0); len(times) < limit && e.Load.Rate > 0; {
		rate := e.Load.Rate
		if e.Load.Shape == "bursts" && t%e.Load.BurstEvery.Duration < e.Load.BurstFor.Duration {
			rate *= e.Load.BurstFactor
		}
		t += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if t >= e.Duration.Duration {
			break
		}
		times = append(times, t)
	}
	return times
}
