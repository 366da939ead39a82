// Package scale simulates fleets of hollow sidecars. Many sidecars run in one
// process, each with the real decision module, list and watch handling,
// connection pool and fleet packages. The network is simulated in memory, and
// programs use a virtual clock. Sockets, HTTP and the kernel are left out; their
// cost is measured on real processes and added from constants. See
// docs/design-scale.md.
package scale

import (
	"errors"
	"fmt"
	"time"

	"bramblestand/internal/lab"
)

// ServiceSize is the number of servers of a service.
const ServiceSize = 6

// MaxMachines is the largest number of sidecars, and of servers, of a run.
const MaxMachines = 1920

// Spec describes a run: the fleet, its load and the event that happens to it. Times are virtual. The server and the sidecar of
// the same number share a machine.
type Spec struct {
	Name     string `json:"name"`
	Seed     uint64 `json:"seed"`
	Sidecars int    `json:"sidecars"`
	Servers  int    `json:"servers"`
	// ServicesPerSidecar is the number of services, of ServiceSize servers each, that a sidecar lists. It has a process for each
	// service. 0 means one process that lists all servers.
	ServicesPerSidecar int          `json:"scope"`
	Zones              int          `json:"zones"`     // machines are assigned to them in turn
	Regions            int          `json:"regions"`   // contiguous blocks of zones
	SameZoneDelay      lab.Duration `json:"near"`      // network delay within a zone, one way
	SameRegionDelay    lab.Duration `json:"far"`       // between zones of a region, one way
	CrossRegionDelay   lab.Duration `json:"distant"`   // between regions, one way
	Rate               float64      `json:"rate"`      // calls per second of a sidecar, over all its processes
	LoadFrom           lab.Duration `json:"load_from"` // when calls begin, after the start of the run
	Deadline           lab.Duration `json:"deadline"`  // of a call
	// ProbePrice is prices.probe of the settings: the cost of a load probe as a multiple of that of a request. 0 means 1.
	ProbePrice     float64      `json:"probe_price,omitempty"`
	Server         lab.Server   `json:"server"`
	Peers          bool         `json:"peers"`           // load reports are shared with all sidecars by gossip
	View           bool         `json:"view"`            // the fleet keeps a membership view
	StartSpread    lab.Duration `json:"spread"`          // the sidecars start at random times within it
	StartDuration  lab.Duration `json:"start"`           // length of the phase "start", from the start of the run
	WarmUp         lab.Duration `json:"warm"`            // when the phase "steady" begins
	SteadyDuration lab.Duration `json:"for"`             // length of the phase "steady"
	Event          string       `json:"event,omitempty"` // one of Events
}

// Events are the events that can follow the steady phase; "" means none.
var Events = map[string]bool{"": true, "changes": true, "restarts": true, "tenth": true, "rack": true, "zone": true, "apart": true}

// NewSpec returns a run of n machines in seven zones of two regions, without load.
func NewSpec(n int) Spec {
	d := func(d time.Duration) lab.Duration { return lab.Duration{Duration: d} }
	return Spec{Seed: 30, Sidecars: n, Servers: n, Zones: 7, Regions: 2, SameZoneDelay: d(100 * time.Microsecond), SameRegionDelay: d(400 * time.Microsecond),
		CrossRegionDelay: d(15 * time.Millisecond), Deadline: d(time.Second),
		Server:      lab.Server{Capacity: 16, Queue: 32, Latency: d(5 * time.Millisecond), ColdStart: d(10 * time.Second)},
		StartSpread: d(time.Second), StartDuration: d(10 * time.Second), WarmUp: d(30 * time.Second), SteadyDuration: d(60 * time.Second)}
}

// Validate returns an error that begins with the JSON name of the first invalid field.
func (s *Spec) Validate() error {
	for _, c := range []struct {
		invalid       bool
		field, reason string
	}{
		{s.Sidecars < 1 || s.Sidecars > MaxMachines, "sidecars", fmt.Sprintf("%d is not within 1 to %d", s.Sidecars, MaxMachines)},
		{s.Servers < 1 || s.Servers > MaxMachines, "servers", fmt.Sprintf("%d is not within 1 to %d", s.Servers, MaxMachines)},
		{s.ServicesPerSidecar < 0 || s.ServicesPerSidecar > 0 && s.ServicesPerSidecar*ServiceSize > s.Servers, "scope", fmt.Sprintf("%d services of %d servers need more than %d servers", s.ServicesPerSidecar, ServiceSize, s.Servers)},
		{s.Zones < 1 || s.Zones > 200, "zones", fmt.Sprintf("%d is not within 1 to 200", s.Zones)},
		{s.Regions < 1 || s.Regions > s.Zones, "regions", fmt.Sprintf("%d is not within 1 to zones", s.Regions)},
		{s.Rate < 0 || s.Rate > 1000, "rate", fmt.Sprintf("%v is not within 0 to 1000", s.Rate)},
		{!(s.ProbePrice >= 0 && s.ProbePrice <= 1000), "probe_price", fmt.Sprintf("%v is not within 0 to 1000", s.ProbePrice)},
		{s.LoadFrom.Duration < 0 || s.LoadFrom.Duration > s.WarmUp.Duration, "load_from", "is not within 0 and warm"},
		{s.Deadline.Duration < 50*time.Millisecond, "deadline", "is under 50ms"},
		{s.Server.Capacity < 1 || s.Server.Latency.Duration <= 0, "server", "has no capacity or no latency"},
		{s.StartDuration.Duration <= 0, "start", "is not positive"},
		{s.WarmUp.Duration < s.StartDuration.Duration, "warm", "is before start's end"},
		{s.SteadyDuration.Duration <= 0, "for", "is not positive"},
		{!Events[s.Event], "event", fmt.Sprintf("%q is not a known event", s.Event)},
		{s.Event != "" && s.Sidecars != s.Servers, "event", "needs as many sidecars as servers"},
		{s.Event == "apart" && s.Regions < 2, "event", "apart needs at least two regions"},
		{s.Event == "rack" && s.Sidecars < machinesPerRack*s.Zones, "event", fmt.Sprintf("rack needs %d machines per zone", machinesPerRack)},
	} {
		if c.invalid {
			return fmt.Errorf("%s: %s", c.field, c.reason)
		}
	}
	return nil
}

// zoneOf returns the zone of a machine.
func (s *Spec) zoneOf(machine int) int { return machine % s.Zones }

// regionOf returns the region of a zone.
func (s *Spec) regionOf(zone int) int {
	first := (s.Zones + s.Regions - 1) / s.Regions // zones per region, rounded up; the last regions are smaller
	return min(zone/first, s.Regions-1)
}

// delay returns the one-way network delay between two zones.
func (s *Spec) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return s.SameZoneDelay.Duration
	case s.regionOf(a) == s.regionOf(b):
		return s.SameRegionDelay.Duration
	default:
		return s.CrossRegionDelay.Duration
	}
}

// servicesOf returns the numbers of the services that a sidecar lists; nil if it lists all servers in one process.
func (s *Spec) servicesOf(sidecar int) []int {
	var list []int
	all := s.Servers / ServiceSize
	for k := range s.ServicesPerSidecar {
		list = append(list, (sidecar/ServiceSize+1+k*k+k*(sidecar%ServiceSize))%all)
	}
	seen := map[int]bool{}
	for k, v := range list { // no service twice
		for seen[v] {
			v = (v + 1) % all
		}
		seen[v], list[k] = true, v
	}
	return list
}

// experiment returns the experiment from which the lab derives the settings of every sidecar.
func (s *Spec) experiment() *lab.Experiment {
	e := &lab.Experiment{Name: s.Name, Seed: s.Seed, Server: s.Server, Load: lab.Load{Rate: s.Rate, Deadline: s.Deadline},
		Fleet: lab.Fleet{Sidecars: s.Sidecars, Servers: s.Servers, Peers: s.Peers, View: s.View, ProbePrice: s.ProbePrice}}
	for z := range s.Zones {
		e.Fleet.Zones = append(e.Fleet.Zones, zoneName(z))
	}
	return e
}

// zoneName returns the name of a zone.
func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// ErrNoVirtualClock reports that the program was built by a toolchain without a virtual clock.
var ErrNoVirtualClock = errors.New("hollow sidecars need a program built by Go 1.25 or later, for its virtual clock (testing/synctest)")

// RunRequest is the input of a child process that carries out one run.
type RunRequest struct {
	Spec  Spec  `json:"spec"`
	Costs Costs `json:"costs"`
}
