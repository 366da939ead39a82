// Package lab runs experiments on many real sidecar processes: stand-in pin
// servers and discovery written from the platform's protocol, faults of the
// network in every server's listener and between peers, an open-loop load per
// sidecar, and a schedule of faults. Every request is tracked by its id, so that a result counts exactly
// what was served, refused, failed, late, lost or run twice.
package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Experiment is what one TOML file describes. Durations are TOML strings in
// Go's form ("1.5s", "200ms"); counts are integers; rates are per second.
type Experiment struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // of the load; the lab then waits for what is out
	Sidecar  string   `toml:"sidecar"`  // path of the program, relative to the file's folder or absolute
	Fleet    Fleet    `toml:"fleet"`
	Server   Server   `toml:"server"`
	Load     Load     `toml:"load"`
	Faults   []Fault  `toml:"fault"`
	Chaos    []Chaos  `toml:"chaos"`
}

// Fleet gives how many of each there are.
type Fleet struct {
	Sidecars int      `toml:"sidecars"` // 1 to 64
	Servers  int      `toml:"servers"`  // 1 to 1000
	Zones    []string `toml:"zones"`    // servers and sidecars are dealt to them in turn
	Peers    bool     `toml:"peers"`    // sidecars share probes' answers by datagram, through the lab
	State    bool     `toml:"state"`    // sidecars keep state in a folder of the run's that outlives their crashes
}

// Server is how every stand-in pin server behaves.
type Server struct {
	Capacity  int      `toml:"capacity"`   // requests run at once
	Queue     int      `toml:"queue"`      // requests waiting beyond those; more are turned away
	Latency   Duration `toml:"latency"`    // mean time of a request, warm
	ErrorRate float64  `toml:"error_rate"` // share of requests answered 500 after their time, 0 to 1
	ColdStart Duration `toml:"cold_start"` // after a start, latency is up to 4 times longer, falling to 1 over this time
}

// Load is the application's traffic beside each sidecar.
type Load struct {
	Rate        float64  `toml:"rate"`         // mean arrivals a second, per sidecar
	Shape       string   `toml:"shape"`        // "poisson" or "bursts"
	BurstEvery  Duration `toml:"burst_every"`  // bursts: the period
	BurstFor    Duration `toml:"burst_for"`    // bursts: how long each lasts
	BurstFactor float64  `toml:"burst_factor"` // bursts: the rate is this many times higher
	MaxRequests int      `toml:"max_requests"` // a bound over all sidecars; 0 means 1,000,000
	Deadline    Duration `toml:"deadline"`     // sent as X-Time-Left-Ms
	OrderShare  float64  `toml:"order_share"`  // share of requests of the class that must never run twice
}

// Fault is one fault at a set time. Kinds, and what they take:
//
//	kill       sidecars: SIGKILL; restarted after For where For > 0
//	pause      sidecars: SIGSTOP, SIGCONT after For
//	term       sidecars: SIGTERM (a planned restart); started again after For
//	partition  servers: silent both ways ("both"), or only to ("in") or from ("out") the server, healed after For
//	delay      servers: every chunk each way waits Delay, for For
//	reset      servers: open connections are reset, and new ones for For
//	drain      servers: Terminating in discovery; Ready again, and cold, after For
//	discovery  (no targets): "down" is silent for For, "lag" holds each change up to Delay for For
//	isolate    sidecars: datagrams to ("in") and from ("out") them, or both, dropped for For
//	peers      (no targets): a Share of all datagrams dropped and the rest held Delay, for For
type Fault struct {
	At        Duration `toml:"at"`
	Kind      string   `toml:"kind"`
	Sidecars  []int    `toml:"sidecars"`
	Servers   []int    `toml:"servers"`
	For       Duration `toml:"for"`
	Direction string   `toml:"direction"` // partition: "both", "in" or "out"
	Delay     Duration `toml:"delay"`
	Mode      string   `toml:"mode"`  // discovery: "down" or "lag"
	Share     float64  `toml:"share"` // peers: the share of datagrams dropped, 0 to 1
}

// Chaos draws Count faults of one kind from the seed, each on one target drawn
// at random, at times spread over the middle of the run.
type Chaos struct {
	Kind  string   `toml:"kind"`
	Count int      `toml:"count"`
	For   Duration `toml:"for"`
}

// Duration is a time.Duration read from a TOML string.
type Duration struct{ time.Duration }

// UnmarshalText reads Go's form of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}

// MarshalText writes Go's form of a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

var sidecarKinds = []string{"kill", "pause", "term", "isolate"}
var serverKinds = []string{"partition", "delay", "reset", "drain"}

// Parse reads an experiment from TOML text; name is the file's, for errors.
// Errors name the file and the field at fault. Unknown fields are errors.
func Parse(name string, text []byte) (*Experiment, error) {
	e := &Experiment{Sidecar: "bin/pinedale", Fleet: Fleet{Zones: []string{"a"}},
		Server: Server{Capacity: 16, Queue: 32, Latency: Duration{5 * time.Millisecond}},
		Load:   Load{Shape: "poisson", Deadline: Duration{time.Second}}}
	meta, err := toml.Decode(string(text), e)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if undecoded := meta.Undecoded(); len(undecoded) > 0 {
		return nil, fmt.Errorf("%s: %s: unknown field", name, undecoded[0])
	}
	if err := e.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return e, nil
}

func (e *Experiment) validate() error {
	type check struct {
		bad   bool
		field string
		what  string
	}
	checks := []check{
		{e.Duration.Duration <= 0 || e.Duration.Duration > time.Hour, "duration", "is not within (0, 1h]"},
		{e.Fleet.Sidecars < 1 || e.Fleet.Sidecars > 64, "fleet.sidecars", "is not within 1 to 64"},
		{e.Fleet.Servers < 1 || e.Fleet.Servers > 1000, "fleet.servers", "is not within 1 to 1000"},
		{len(e.Fleet.Zones) == 0, "fleet.zones", "is empty"},
		{e.Server.Capacity < 1, "server.capacity", "is under 1"},
		{e.Server.Queue < 0, "server.queue", "is negative"},
		{e.Server.Latency.Duration <= 0, "server.latency", "is not positive"},
		{e.Server.ErrorRate < 0 || e.Server.ErrorRate > 1, "server.error_rate", "is not within 0 to 1"},
		{e.Load.Rate <= 0 || e.Load.Rate > 10000, "load.rate", "is not within (0, 10000]"},
		{e.Load.Shape != "poisson" && e.Load.Shape != "bursts", "load.shape", "is neither \"poisson\" nor \"bursts\""},
		{e.Load.Shape == "bursts" && (e.Load.BurstEvery.Duration <= 0 || e.Load.BurstFor.Duration <= 0 || e.Load.BurstFactor < 1), "load.burst_every", "with burst_for and burst_factor must be positive (factor at least 1) for bursts"},
		{e.Load.MaxRequests < 0, "load.max_requests", "is negative"},
		{e.Load.Deadline.Duration < 50*time.Millisecond, "load.deadline", "is under 50ms"},
		{e.Load.OrderShare < 0 || e.Load.OrderShare > 1, "load.order_share", "is not within 0 to 1"},
	}
	for _, c := range checks {
		if c.bad {
			return fmt.Errorf("%s %s", c.field, c.what)
		}
	}
	for i, f := range e.Faults {
		if err := e.validateFault(f); err != nil {
			return fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	for i, c := range e.Chaos {
		switch {
		case !slices.Contains(sidecarKinds, c.Kind) && !slices.Contains(serverKinds, c.Kind):
			return fmt.Errorf("chaos[%d].kind: %q is not a kind of fault with targets", i, c.Kind)
		case c.Kind == "isolate" && !e.Fleet.Peers:
			return fmt.Errorf("chaos[%d].kind: \"isolate\" needs fleet.peers", i)
		case c.Count < 0 || c.Count > 1000:
			return fmt.Errorf("chaos[%d].count: %d is not within 0 to 1000", i, c.Count)
		case c.For.Duration < 0:
			return fmt.Errorf("chaos[%d].for: is negative", i)
		}
	}
	return nil
}

func (e *Experiment) validateFault(f Fault) error {
	inRange := func(field string, list []int, n int) error {
		if len(list) == 0 {
			return fmt.Errorf("%s: is empty for kind %q", field, f.Kind)
		}
		for _, v := range list {
			if v < 0 || v >= n {
				return fmt.Errorf("%s: %d is not within 0 to %d", field, v, n-1)
			}
		}
		return nil
	}
	switch {
	case f.At.Duration < 0 || f.At.Duration > e.Duration.Duration:
		return fmt.Errorf("at: %v is not within the duration", f.At)
	case f.For.Duration < 0:
		return fmt.Errorf("for: is negative")
	case (f.Kind == "isolate" || f.Kind == "peers") && !e.Fleet.Peers:
		return fmt.Errorf("kind: %q needs fleet.peers", f.Kind)
	case !slices.Contains([]string{"", "both", "in", "out"}, f.Direction):
		return fmt.Errorf("direction: %q is not \"both\", \"in\" or \"out\"", f.Direction)
	case f.Share < 0 || f.Share > 1:
		return fmt.Errorf("share: %v is not within 0 to 1", f.Share)
	case slices.Contains(sidecarKinds, f.Kind):
		return inRange("sidecars", f.Sidecars, e.Fleet.Sidecars)
	case slices.Contains(serverKinds, f.Kind):
		return inRange("servers", f.Servers, e.Fleet.Servers)
	case f.Kind == "discovery":
		if f.Mode != "down" && f.Mode != "lag" {
			return fmt.Errorf("mode: %q is neither \"down\" nor \"lag\"", f.Mode)
		}
		return nil
	case f.Kind == "peers":
		return nil
	}
	return fmt.Errorf("kind: %q is not a known fault", f.Kind)
}

// Event is one step of a schedule: a fault begins (Heal false) or ends.
type Event struct {
	At    time.Duration `json:"at_ns"`
	Fault Fault         `json:"fault"`
	Heal  bool          `json:"heal"`
}

// ways tells which ways a partition or an isolation holds, toward its
// target (in) and from it (out); none once healed.
func (ev Event) ways() (in, out bool) {
	if ev.Heal {
		return false, false
	}
	return ev.Fault.Direction != "out", ev.Fault.Direction != "in"
}

// Label is a short name for plots and logs, as "kill s2" or "heal partition v0,v1".
func (ev Event) Label() string {
	var names []string
	for _, s := range ev.Fault.Sidecars {
		names = append(names, "s"+strconv.Itoa(s))
	}
	for _, s := range ev.Fault.Servers {
		names = append(names, "v"+strconv.Itoa(s))
	}
	label := ev.Fault.Kind
	if ev.Fault.Kind == "discovery" {
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

// Schedule is the run's faults in time order: those given, and those drawn
// from the seed by Chaos. The same experiment always gives the same schedule.
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
	for _, f := range faults {
		events = append(events, Event{At: f.At.Duration, Fault: f})
		if f.For.Duration > 0 {
			events = append(events, Event{At: f.At.Duration + f.For.Duration, Fault: f, Heal: true})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}

// Arrivals gives the times of the requests of one sidecar, from the seed:
// exponential gaps at the load's rate (higher in bursts), bounded by the
// duration and by max/sidecars requests.
func (e *Experiment) Arrivals(sidecar int) []time.Duration {
	most := e.Load.MaxRequests
	if most == 0 {
		most = 1_000_000
	}
	most /= e.Fleet.Sidecars
	random := rand.New(rand.NewPCG(e.Seed, uint64(sidecar)+1))
	var times []time.Duration
	for t := time.Duration(0); len(times) < most; {
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
