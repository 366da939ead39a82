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
	Ops      Ops      `toml:"ops"`
	Calls    []Call   `toml:"call"`
	Checks   []Check  `toml:"check"`
	// Groups are names for lists of selectors, for faults on links.
	Groups map[string][]string `toml:"groups"`
}

// Fleet gives how many of each there are.
type Fleet struct {
	Sidecars int      `toml:"sidecars"` // 1 to 300
	Servers  int      `toml:"servers"`  // 1 to 1000
	Zones    []string `toml:"zones"`    // servers and sidecars are dealt to them in turn
	Peers    bool     `toml:"peers"`    // sidecars share probes' answers by datagram, through the lab
	View     bool     `toml:"view"`     // sidecars keep a view of the fleet, by datagrams through the lab
	State    bool     `toml:"state"`    // sidecars keep state on their machine's disk, which outlives their crashes
	Machines int      `toml:"machines"` // sidecars are dealt to them in turn; 0 for one each
	// ProbePrice is the settings' prices.probe, in requests' worth: by it the module decides how many probes it sends.
	ProbePrice float64 `toml:"probe_price"` // 0 for 1
}

// datagrams tells whether sidecars have a path between them.
func (f *Fleet) datagrams() bool { return f.Peers || f.View }

// Ops is the operators: with On every sidecar has an operators' address, is
// asked there what it knows, and gets random calls.
type Ops struct {
	On           bool     `toml:"on"`
	Rate         float64  `toml:"rate"`          // random calls a second, over the fleet; 0 for none
	Calls        []string `toml:"calls"`         // drawn evenly; default ban, enable, drain, undrain
	Servers      int      `toml:"servers"`       // bans are of the first so many servers; default 3
	Observe      []string `toml:"observe"`       // paths asked of every sidecar, default /pin-servers; answers are JSON objects
	ObserveEvery Duration `toml:"observe_every"` // default 200ms
}

// Call is one operators' call at a set time: Op "ban" or "enable" of Server
// (its number), "drain" or "undrain", at Sidecar.
type Call struct {
	At      Duration `toml:"at"`
	Op      string   `toml:"op"`
	Sidecar int      `toml:"sidecar"`
	Server  int      `toml:"server"`
}

// Check is a promise that the history is held to. Kinds, and what they take:
//
//	register  bans and drain are linearizable at every sidecar (always on with operators)
//	holder    Field: an object of things held and their tokens; no two sidecars hold one at a time
//	tokens    Field: as holder; no token is told after a larger one
//	settled   Field: later than Within after the last fault all running sidecars tell one value
//	dropped   Field: a list of sidecars; none that has answered for Within is missing from that of a majority
//	kept      Field: a list; what a yes to call Op put there is not missing later than Within, until Undo
type Check struct {
	Kind   string   `toml:"kind"`
	Field  string   `toml:"field"`
	Within Duration `toml:"within"`
	Op     string   `toml:"op"`
	Undo   string   `toml:"undo"`
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

// Fault is one fault at a set time; For is how long it lasts, 0 for good. Kinds, and what they take:
//
//	kill             sidecars: SIGKILL; restarted after For
//	pause            sidecars: SIGSTOP, SIGCONT after For
//	term             sidecars: SIGTERM (a planned restart, or leaving for good); started again after For
//	join             sidecars: not started before At
//	upgrade          sidecars: a second process takes over by the operators' address
//	partition        servers: silent both ways ("both"), or only to ("in") or from ("out") the server, healed after For
//	delay            servers: every chunk each way waits Delay, and up to Jitter more
//	reset            servers: open connections are reset, and new ones for For
//	drain            servers: Terminating in discovery; Ready again, and cold, after For
//	discovery        (no targets): "down" is silent for For, "lag" holds each change up to Delay for For
//	isolate          sidecars: datagrams to ("in") and from ("out") them, or both, dropped
//	peers            (no targets): a Share of all datagrams dropped and the rest held Delay
//	link             links From To: Loss, Duplicate, Reorder, Rate, Delay, Jitter
//	cut              links From To: nothing passes; "out" only from From, "in" only to it
//	flap             links From To: cut for the first half of every Period
//	split            Groups: cut between those that are named in groups and share none
//	machine-kill     machines: all their sidecars killed; started again with the disk (TMPDIR cleared) after For
//	machine-replace  machines: the same, and the disk is empty when they come back
//	machine-pause    machines: all their sidecars paused
//	disk             machines: Mode "full", "readonly", or "slow" (each save of state waits up to Delay)
type Fault struct {
	At        Duration `toml:"at" json:"at"`
	Kind      string   `toml:"kind" json:"kind"`
	Sidecars  []int    `toml:"sidecars,omitempty" json:"sidecars,omitempty"`
	Servers   []int    `toml:"servers,omitempty" json:"servers,omitempty"`
	Machines  []int    `toml:"machines,omitempty" json:"machines,omitempty"`
	For       Duration `toml:"for,omitempty" json:"for,omitzero"`
	Direction string   `toml:"direction,omitempty" json:"direction,omitempty"` // "both" (default), "in" or "out"
	Delay     Duration `toml:"delay,omitempty" json:"delay,omitzero"`
	Mode      string   `toml:"mode,omitempty" json:"mode,omitempty"`   // discovery: "down" or "lag"; disk: "full", "readonly", "slow"
	Share     float64  `toml:"share,omitempty" json:"share,omitempty"` // peers: the share of datagrams dropped, 0 to 1

	// Links, named by selectors: "s3", "s0-s9", "v3", "zone:a", "machine:0", "group:NAME", "all", "servers", "discovery".
	From      []string   `toml:"from,omitempty" json:"from,omitempty"`           // default "all" (sidecars)
	To        []string   `toml:"to,omitempty" json:"to,omitempty"`               // default "all" (sidecars)
	Groups    [][]string `toml:"groups,omitempty" json:"groups,omitempty"`       // split
	Loss      float64    `toml:"loss,omitempty" json:"loss,omitempty"`           // share of datagrams, 0 to 1
	Duplicate float64    `toml:"duplicate,omitempty" json:"duplicate,omitempty"` // share of datagrams, 0 to 1
	Reorder   float64    `toml:"reorder,omitempty" json:"reorder,omitempty"`     // share of datagrams, 0 to 1
	Rate      float64    `toml:"rate,omitempty" json:"rate,omitempty"`           // datagrams a second on each link; 0 for no limit
	Jitter    Duration   `toml:"jitter,omitempty" json:"jitter,omitzero"`
	Period    Duration   `toml:"period,omitempty" json:"period,omitzero"` // flap
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

var (
	sidecarKinds = []string{"kill", "pause", "term", "isolate", "join", "upgrade"}
	serverKinds  = []string{"partition", "delay", "reset", "drain"}
	machineKinds = []string{"machine-kill", "machine-replace", "machine-pause", "disk"}
	linkKinds    = []string{"link", "cut", "flap", "split"}
	opsCalls     = []string{"ban", "enable", "drain", "undrain"}
	checkKinds   = []string{"register", "holder", "tokens", "settled", "dropped", "kept"}
)

// zone and machine are where sidecar i is dealt to.
func (e *Experiment) zone(i int) string { return e.Fleet.Zones[i%len(e.Fleet.Zones)] }

func (e *Experiment) machine(i int) int { return i % e.machines() }

func (e *Experiment) machines() int {
	if e.Fleet.Machines == 0 {
		return e.Fleet.Sidecars
	}
	return e.Fleet.Machines
}

// Parse reads an experiment from TOML text; name is the file's, for errors.
// Errors name the file and the field at fault. Unknown fields are errors.
func Parse(name string, text []byte) (*Experiment, error) {
	e := &Experiment{Sidecar: "bin/sidecar", Fleet: Fleet{Zones: []string{"a"}},
		Server: Server{Capacity: 16, Queue: 32, Latency: Duration{5 * time.Millisecond}},
		Load:   Load{Shape: "poisson", Deadline: Duration{time.Second}},
		Ops:    Ops{Calls: opsCalls, Servers: 3, Observe: []string{"/pin-servers"}, ObserveEvery: Duration{200 * time.Millisecond}}}
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
		{e.Fleet.Sidecars < 1 || e.Fleet.Sidecars > 300, "fleet.sidecars", "is not within 1 to 300"},
		{e.Fleet.Servers < 1 || e.Fleet.Servers > 1000, "fleet.servers", "is not within 1 to 1000"},
		{len(e.Fleet.Zones) == 0, "fleet.zones", "is empty"},
		{e.Fleet.Machines < 0 || e.Fleet.Machines > e.Fleet.Sidecars, "fleet.machines", "is not within 0 to fleet.sidecars"},

		{!(e.Fleet.ProbePrice >= 0 && e.Fleet.ProbePrice <= 1000), "fleet.probe_price", "is not within 0 to 1000"},
		{e.Ops.Rate < 0 || e.Ops.Rate > 1000, "ops.rate", "is not within 0 to 1000"},
		{!e.Ops.On && (e.Ops.Rate > 0 || len(e.Calls) > 0 || len(e.Checks) > 0), "ops.on", "is false, with calls, a rate or checks"},
		{e.Ops.Servers < 1 || e.Ops.Rate > 0 && e.Ops.Servers > e.Fleet.Servers, "ops.servers", "is not within 1 to fleet.servers"},
		{e.Ops.ObserveEvery.Duration < 10*time.Millisecond, "ops.observe_every", "is under 10ms"},
		{e.Server.Capacity < 1, "server.capacity", "is under 1"},
		{e.Server.Queue < 0, "server.queue", "is negative"},
		{e.Server.Latency.Duration <= 0, "server.latency", "is not positive"},
		{e.Server.ErrorRate < 0 || e.Server.ErrorRate > 1, "server.error_rate", "is not within 0 to 1"},
		{e.Load.Rate < 0 || e.Load.Rate > 10000, "load.rate", "is not within 0 to 10000"},
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
	for i, c := range e.Ops.Calls {
		if !slices.Contains(opsCalls, c) {
			return fmt.Errorf("ops.calls[%d]: %q is not one of %v", i, c, opsCalls)
		}
	}
	for i, c := range e.Calls {
		switch {
		case !slices.Contains(opsCalls, c.Op):
			return fmt.Errorf("call[%d].op: %q is not one of %v", i, c.Op, opsCalls)
		case c.At.Duration < 0 || c.At.Duration > e.Duration.Duration:
			return fmt.Errorf("call[%d].at: %v is not within the duration", i, c.At)
		case c.Sidecar < 0 || c.Sidecar >= e.Fleet.Sidecars:
			return fmt.Errorf("call[%d].sidecar: %d is not within 0 to %d", i, c.Sidecar, e.Fleet.Sidecars-1)
		case c.Server < 0 || c.Server >= e.Fleet.Servers:
			return fmt.Errorf("call[%d].server: %d is not within 0 to %d", i, c.Server, e.Fleet.Servers-1)
		}
	}
	for i, c := range e.Checks {
		switch {
		case !slices.Contains(checkKinds, c.Kind):
			return fmt.Errorf("check[%d].kind: %q is not one of %v", i, c.Kind, checkKinds)
		case c.Kind != "register" && c.Field == "":
			return fmt.Errorf("check[%d].field: is empty", i)
		}
	}
	for i, c := range e.Chaos {
		switch {
		case !slices.Contains(sidecarKinds, c.Kind) && !slices.Contains(serverKinds, c.Kind):
			return fmt.Errorf("chaos[%d].kind: %q is not a kind of fault with targets", i, c.Kind)
		case c.Kind == "isolate" && !e.Fleet.datagrams():
			return fmt.Errorf("chaos[%d].kind: \"isolate\" needs fleet.peers or fleet.view", i)
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
	for _, share := range []struct {
		field string
		value float64
	}{{"share", f.Share}, {"loss", f.Loss}, {"duplicate", f.Duplicate}, {"reorder", f.Reorder}} {
		if share.value < 0 || share.value > 1 {
			return fmt.Errorf("%s: %v is not within 0 to 1", share.field, share.value)
		}
	}
	switch {
	case f.At.Duration < 0 || f.At.Duration > e.Duration.Duration:
		return fmt.Errorf("at: %v is not within the duration", f.At)
	case f.For.Duration < 0:
		return fmt.Errorf("for: is negative")
	case (f.Kind == "isolate" || f.Kind == "peers") && !e.Fleet.datagrams():
		return fmt.Errorf("kind: %q needs fleet.peers or fleet.view", f.Kind)
	case !slices.Contains([]string{"", "both", "in", "out"}, f.Direction):
		return fmt.Errorf("direction: %q is not \"both\", \"in\" or \"out\"", f.Direction)
	case f.Rate < 0:
		return fmt.Errorf("rate: is negative")
	case f.Kind == "upgrade" && !e.Ops.On:
		return fmt.Errorf("kind: \"upgrade\" needs ops.on")
	case f.Kind == "disk" && !slices.Contains([]string{"full", "readonly", "slow"}, f.Mode):
		return fmt.Errorf("mode: %q is not \"full\", \"readonly\" or \"slow\"", f.Mode)
	case f.Kind == "disk" && f.Mode == "slow" && f.Delay.Duration <= 0:
		return fmt.Errorf("delay: is not positive")
	case f.Kind == "flap" && f.Period.Duration < 20*time.Millisecond:
		return fmt.Errorf("period: is under 20ms")
	case f.Kind == "flap" && (f.For.Duration <= 0 || f.For.Duration/f.Period.Duration > 10000):
		return fmt.Errorf("for: is 0 or over 10000 periods")
	case f.Kind == "split" && len(f.Groups) < 2:
		return fmt.Errorf("groups: are fewer than 2")
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
	case slices.Contains(machineKinds, f.Kind):
		return inRange("machines", f.Machines, e.machines())
	case slices.Contains(linkKinds, f.Kind):
		_, err := names{e}.rule(f)
		return err
	}
	return fmt.Errorf("kind: %q is not a known fault", f.Kind)
}

// Event is one step of a schedule: a fault begins (Heal false) or ends.
type Event struct {
	At    time.Duration `json:"at_ns"`
	Fault Fault         `json:"fault"`
	Heal  bool          `json:"heal"`
	ID    int           `json:"id"` // of the fault: its begin and its end have the same
	Quiet bool          `json:"-"`  // a flap's later cuts: not marked
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
	for t := time.Duration(0); len(times) < most && e.Load.Rate > 0; {
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
