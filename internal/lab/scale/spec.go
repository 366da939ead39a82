// Package scale plays fleets of hollow sidecars: the real decision module, list
// and watch handling, pool of connections and fleet packages of many sidecars in
// one process, on a network in memory and, as a program plays them, on a virtual
// clock. Sockets, HTTP and the kernel are left out; what they cost is measured
// on real processes and added as stated constants. See docs/design-scale.md.
package scale

import (
	"errors"
	"fmt"
	"time"

	"bramblestand/internal/lab"
)

// ServiceSize is the servers of a service.
const ServiceSize = 6

// MachinesMost is the most sidecars or servers of a rung.
const MaxMachines = 1920

// Spec is one rung: a fleet, what is asked of it, and what happens to it. Times
// are virtual. Server and sidecar of one number are on one machine.
type Spec struct {
	Name     string `json:"name"`
	Seed     uint64 `json:"seed"`
	Sidecars int    `json:"sidecars"`
	Servers  int    `json:"servers"`
	// Scope is the services that a sidecar lists, in a process each, of ServiceSize servers; 0 for one process that
	// lists all servers.
	ServicesPerSidecar int          `json:"scope"`
	Zones              int          `json:"zones"`     // machines are dealt to them in turn
	Regions            int          `json:"regions"`   // zones are dealt to them in blocks
	SameZoneDelay      lab.Duration `json:"near"`      // one way, within a zone
	SameRegionDelay    lab.Duration `json:"far"`       // between zones of a region
	CrossRegionDelay   lab.Duration `json:"distant"`   // between regions
	Rate               float64      `json:"rate"`      // calls a second of a sidecar, over its processes
	LoadFrom           lab.Duration `json:"load_from"` // when calls begin
	Deadline           lab.Duration `json:"deadline"`
	// ProbePrice is the settings' prices.probe, in requests' worth; 0 for 1.
	ProbePrice     float64      `json:"probe_price,omitempty"`
	Server         lab.Server   `json:"server"`
	Peers          bool         `json:"peers"`  // news of probes' answers, to all
	View           bool         `json:"view"`   // the fleet's view of itself
	StartSpread    lab.Duration `json:"spread"` // the sidecars start within it
	StartDuration  lab.Duration `json:"start"`  // the phase "start", from the first start on
	WarmUp         lab.Duration `json:"warm"`   // "steady" begins
	SteadyDuration lab.Duration `json:"for"`    // and lasts
	Event          string       `json:"event,omitempty"`
}

// Events are what can happen after a rung's steady phase.
var Events = map[string]bool{"": true, "changes": true, "restarts": true, "tenth": true, "rack": true, "zone": true, "apart": true}

// NewSpec is a rung of n machines in seven zones of two regions, at rest.
func NewSpec(n int) Spec {
	d := func(d time.Duration) lab.Duration { return lab.Duration{Duration: d} }
	return Spec{Seed: 30, Sidecars: n, Servers: n, Zones: 7, Regions: 2, SameZoneDelay: d(100 * time.Microsecond), SameRegionDelay: d(400 * time.Microsecond),
		CrossRegionDelay: d(15 * time.Millisecond), Deadline: d(time.Second),
		Server:      lab.Server{Capacity: 16, Queue: 32, Latency: d(5 * time.Millisecond), ColdStart: d(10 * time.Second)},
		StartSpread: d(time.Second), StartDuration: d(10 * time.Second), WarmUp: d(30 * time.Second), SteadyDuration: d(60 * time.Second)}
}

// Validate names the first field that cannot be.
func (s *Spec) Validate() error {
	for _, c := range []struct {
		invalid       bool
		field, reason string
	}{
		{s.Sidecars < 1 || s.Sidecars > MaxMachines, "sidecars", fmt.Sprintf("%d is not within 1 to %d", s.Sidecars, MaxMachines)},
		{s.Servers < 1 || s.Servers > MaxMachines, "servers", fmt.Sprintf("%d is not within 1 to %d", s.Servers, MaxMachines)},
		{s.ServicesPerSidecar < 0 || s.ServicesPerSidecar > 0 && s.ServicesPerSidecar*ServiceSize > s.Servers, "scope", fmt.Sprintf("%d services of %d servers are not among %d", s.ServicesPerSidecar, ServiceSize, s.Servers)},
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
		{!Events[s.Event], "event", fmt.Sprintf("%q is none that is known", s.Event)},
		{s.Event != "" && s.Sidecars != s.Servers, "event", "needs as many sidecars as servers"},
		{s.Event == "apart" && s.Regions < 2, "event", "apart needs two regions"},
		{s.Event == "rack" && s.Sidecars < machinesPerRack*s.Zones, "event", fmt.Sprintf("rack needs %d machines a zone", machinesPerRack)},
	} {
		if c.invalid {
			return fmt.Errorf("%s: %s", c.field, c.reason)
		}
	}
	return nil
}

// zone is a machine's; region is a zone's.
func (s *Spec) zoneOf(machine int) int { return machine % s.Zones }

func (s *Spec) regionOf(zone int) int {
	first := (s.Zones + s.Regions - 1) / s.Regions // the first regions are the larger
	return min(zone/first, s.Regions-1)
}

// delay is one way between zones.
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

// services gives the numbers of the services that a sidecar lists; nil for all in one.
func (s *Spec) servicesOf(sidecar int) []int {
	var list []int
	all := s.Servers / ServiceSize
	for k := range s.ServicesPerSidecar {
		list = append(list, (sidecar/ServiceSize+1+k*k+k*(sidecar%ServiceSize))%all)
	}
	seen := map[int]bool{}
	for k, v := range list { // none twice
		for seen[v] {
			v = (v + 1) % all
		}
		seen[v], list[k] = true, v
	}
	return list
}

// experiment is the lab's form of the settings that every sidecar has.
func (s *Spec) experiment() *lab.Experiment {
	e := &lab.Experiment{Name: s.Name, Seed: s.Seed, Server: s.Server, Load: lab.Load{Rate: s.Rate, Deadline: s.Deadline},
		Fleet: lab.Fleet{Sidecars: s.Sidecars, Servers: s.Servers, Peers: s.Peers, View: s.View, ProbePrice: s.ProbePrice}}
	for z := range s.Zones {
		e.Fleet.Zones = append(e.Fleet.Zones, zoneName(z))
	}
	return e
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// ErrToolchain says that the program was built without a virtual clock.
var ErrNoVirtualClock = errors.New("hollow sidecars need a program built by Go 1.25 or later, for its virtual clock (testing/synctest)")

// Order is what a process that plays one rung is told.
type RunRequest struct {
	Spec  Spec  `json:"spec"`
	Costs Costs `json:"costs"`
}
