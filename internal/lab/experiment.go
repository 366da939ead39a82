package lab

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"
)

// Experiment is the content of one TOML file. Durations are strings in Go's
// form ("1.5s", "200ms"); counts are integers; rates are per second.
type Experiment struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // of the load; the lab then waits for the requests in flight
	Sidecar  string   `toml:"sidecar"`  // path of the sidecar program, absolute or relative to the file's folder
	Fleet    Fleet    `toml:"fleet"`
	Server   Server   `toml:"server"`
	Load     Load     `toml:"load"`
	Faults   []Fault  `toml:"fault"`
	Chaos    []Chaos  `toml:"chaos"`
	Ops      Ops      `toml:"ops"`
	Calls    []Call   `toml:"call"`
	Checks   []Check  `toml:"check"`
	// Groups are named lists of selectors, for use in faults on links.
	Groups map[string][]string `toml:"groups"`
}

// Fleet describes the sidecars, servers and machines.
type Fleet struct {
	Sidecars int      `toml:"sidecars"` // 1 to 300
	Servers  int      `toml:"servers"`  // 1 to 1000
	Zones    []string `toml:"zones"`    // servers and sidecars are assigned round robin
	Peers    bool     `toml:"peers"`    // sidecars gossip load reports by datagram, through the lab
	View     bool     `toml:"view"`     // sidecars maintain a membership view, by datagrams through the lab
	State    bool     `toml:"state"`    // sidecars persist state on their machine's disk, which survives their crashes
	Machines int      `toml:"machines"` // sidecars are assigned round robin; 0 for one machine per sidecar
	// ProbePrice is prices.probe of the settings, the cost of a load probe in requests; the probe rate depends on it.
	ProbePrice float64 `toml:"probe_price"` // 0 for 1
	// Sockets is limits.sockets of every sidecar's configuration, 0 for sidecarSockets. Experiment files can't set it.
	Sockets int `toml:"-"`
	// Known is the endpoint list in every sidecar's configuration. Experiment files can't set it.
	Known []Instance `toml:"-"`
}

// datagrams reports whether sidecars send datagrams to each other.
func (f *Fleet) datagrams() bool { return f.Peers || f.View }

// Ops configures the operators. With On, every sidecar has an admin address,
// through which the lab observes its state and makes admin calls.
type Ops struct {
	On           bool     `toml:"on"`
	Rate         float64  `toml:"rate"`          // random calls a second, over the fleet; 0 for none
	Calls        []string `toml:"calls"`         // kinds of random calls, drawn with equal probability; default ban, enable, drain, undrain
	Servers      int      `toml:"servers"`       // random calls ban and enable only the first so many servers; default 3
	Observe      []string `toml:"observe"`       // paths polled at every sidecar, whose responses are JSON objects; default /pin-servers
	ObserveEvery Duration `toml:"observe_every"` // default 200ms
}

// Call is one admin call to Sidecar at a set time. Op is "ban" or "enable", both
// of the server with the number Server, or "drain" or "undrain".
type Call struct {
	At      Duration `toml:"at"`
	Op      string   `toml:"op"`
	Sidecar int      `toml:"sidecar"`
	Server  int      `toml:"server"`
}

// Check is a guarantee that the history is checked for. Kinds, and their fields:
//
//	register  bans and drain are linearizable at every sidecar (always on with operators)
//	holder    Field: an object of leases and their fencing tokens; no two sidecars hold a lease at the same time
//	tokens    Field: as for holder; no token of a lease is reported after a larger one
//	settled   Field: any; later than Within after the last fault, all running sidecars report the same value
//	dropped   Field: a list of sidecars; a sidecar that has responded for Within is not missing from a majority's lists
//	kept      Field: a list; an element added by a confirmed call Op is never missing later than Within after it, until Undo
type Check struct {
	Kind   string   `toml:"kind"`
	Field  string   `toml:"field"`
	Within Duration `toml:"within"`
	Op     string   `toml:"op"`
	Undo   string   `toml:"undo"`
}

// Server describes the behavior of every fake server.
type Server struct {
	Capacity  int      `toml:"capacity"`   // requests run at once
	Queue     int      `toml:"queue"`      // requests queued beyond those; more are rejected
	Latency   Duration `toml:"latency"`    // mean service time of a request after the warm-up
	ErrorRate float64  `toml:"error_rate"` // fraction of requests answered 500 after their service time, 0 to 1
	ColdStart Duration `toml:"cold_start"` // duration of the warm-up after a start: latency is 4 times higher at first and falls linearly to normal
}

// Load describes the requests that the application beside each sidecar sends.
type Load struct {
	Rate        float64  `toml:"rate"`         // mean arrivals a second, per sidecar
	Shape       string   `toml:"shape"`        // "poisson" or "bursts"
	BurstEvery  Duration `toml:"burst_every"`  // bursts: the period
	BurstFor    Duration `toml:"burst_for"`    // bursts: how long each lasts
	BurstFactor float64  `toml:"burst_factor"` // bursts: the rate is this many times higher
	MaxRequests int      `toml:"max_requests"` // maximum over all sidecars; 0 means 1,000,000
	Deadline    Duration `toml:"deadline"`     // sent as X-Time-Left-Ms
	OrderShare  float64  `toml:"order_share"`  // fraction of requests of the class that must never run twice
}

// Fault is one fault that begins at a set time and lasts for For, or until the run's end if For is 0. Kinds, and their
// fields:
//
//	kill             sidecars: SIGKILL; restarted after For
//	pause            sidecars: SIGSTOP, SIGCONT after For
//	term             sidecars: SIGTERM (a planned restart, or removal); started again after For
//	join             sidecars: not started before At
//	upgrade          sidecars: a second process takes over (handover)
//	partition        servers: traffic blocked to ("in") or from ("out") the server, or in both directions ("both")
//	delay            servers: every chunk in both directions is delayed by Delay, and up to Jitter more
//	reset            servers: open connections are reset, and for For new ones as well
//	drain            servers: Terminating in discovery; Ready again, and warming up, after For
//	discovery        (no targets): "down" does not respond for For, "lag" delays each change by up to Delay for For
//	isolate          sidecars: datagrams to ("in") and from ("out") them, or both, dropped
//	peers            (no targets): a Share of all datagrams dropped and the rest delayed by Delay
//	link             links From To: Loss, Duplicate, Reorder, Rate, Delay, Jitter
//	cut              links From To: all traffic blocked; "out" only from From, "in" only to it
//	flap             links From To: cut for the first half of every Period
//	split            Groups: links cut between endpoints that are each in a group but have no group in common
//	machine-kill     machines: all their sidecars killed; started again with the disk (TMPDIR cleared) after For
//	machine-replace  machines: the same, and the disk is empty when they come back
//	machine-pause    machines: all their sidecars paused
//	disk             machines: Mode "full", "readonly", or "slow" (each save of state is delayed by up to Delay)
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
	Share     float64  `toml:"share,omitempty" json:"share,omitempty"` // peers: the fraction of datagrams dropped, 0 to 1

	// Links, named by selectors: "s3", "s0-s9", "v3", "zone:a", "machine:0", "group:NAME", "all", "servers", "discovery".
	From      []string   `toml:"from,omitempty" json:"from,omitempty"`           // default "all" (sidecars)
	To        []string   `toml:"to,omitempty" json:"to,omitempty"`               // default "all" (sidecars)
	Groups    [][]string `toml:"groups,omitempty" json:"groups,omitempty"`       // split
	Loss      float64    `toml:"loss,omitempty" json:"loss,omitempty"`           // fraction of datagrams, 0 to 1
	Duplicate float64    `toml:"duplicate,omitempty" json:"duplicate,omitempty"` // fraction of datagrams, 0 to 1
	Reorder   float64    `toml:"reorder,omitempty" json:"reorder,omitempty"`     // fraction of datagrams, 0 to 1
	Rate      float64    `toml:"rate,omitempty" json:"rate,omitempty"`           // datagrams a second on each link; 0 for no limit
	Jitter    Duration   `toml:"jitter,omitempty" json:"jitter,omitzero"`
	Period    Duration   `toml:"period,omitempty" json:"period,omitzero"` // flap
}

// Chaos adds Count faults of one kind, each on one target. The targets, and the
// times in the middle of the run, are random and determined by the seed.
type Chaos struct {
	Kind  string   `toml:"kind"`
	Count int      `toml:"count"`
	For   Duration `toml:"for"`
}

// Duration is a time.Duration read from a TOML string.
type Duration struct{ time.Duration }

// UnmarshalText parses Go's form of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}

// MarshalText returns Go's form of a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

var (
	sidecarKinds = []string{"kill", "pause", "term", "isolate", "join", "upgrade"}
	serverKinds  = []string{"partition", "delay", "reset", "drain"}
	machineKinds = []string{"machine-kill", "machine-replace", "machine-pause", "disk"}
	linkKinds    = []string{"link", "cut", "flap", "split"}
	opsCalls     = []string{"ban", "enable", "drain", "undrain"}
	checkKinds   = []string{"register", "holder", "tokens", "settled", "dropped", "kept"}
)

// zoneOf returns the zone of sidecar i.
func (e *Experiment) zoneOf(i int) string { return e.Fleet.Zones[i%len(e.Fleet.Zones)] }

// machineOf returns the number of the machine of sidecar i.
func (e *Experiment) machineOf(i int) int { return i % e.machineCount() }

// machineCount returns the number of machines that sidecars run on.
func (e *Experiment) machineCount() int {
	if e.Fleet.Machines == 0 {
		return e.Fleet.Sidecars
	}
	return e.Fleet.Machines
}

// Parse reads and validates an experiment in TOML. Errors name the file, whose
// name is given for that purpose, and the invalid field. Unknown fields are
// errors.
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
