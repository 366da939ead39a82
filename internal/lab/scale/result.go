package scale

import (
	"math"
	"slices"
	"time"
)

// Costs are the bytes on the wire that a hollow sidecar does not send: TCP, UDP and IP headers and HTTP messages, both
// directions together. They are measured on real processes, as Source says.
type Costs struct {
	Probe         float64 `json:"probe"`     // request, response and their acknowledgements
	Conn          float64 `json:"conn"`      // opening and closing a connection
	FailedDial    float64 `json:"dead_dial"` // an attempt to connect that fails
	DiscoveryCall float64 `json:"list"`      // a call of discovery without the response body
	DiscoveryByte float64 `json:"list_byte"` // per byte of a response body
	Datagram      float64 `json:"datagram"`  // headers of a datagram
	Source        string  `json:"source"`    // how the values were obtained
}

// Rate is a rate per second: the mean and the 99th percentile over the windows of 10 s of all machines.
type Rate struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Phase is a part of a run. The rates of machines are by the name of the counter.
type Phase struct {
	Name    string             `json:"name"`
	From    float64            `json:"from_s"` // since the start of the run
	To      float64            `json:"to_s"`
	Sidecar map[string]Rate    `json:"sidecar"` // per second and sidecar
	Server  map[string]Rate    `json:"server"`  // per second and pin server, received
	Agent   map[string]float64 `json:"agent"`   // per second, received by all discovery agents together
	// Bytes is the control traffic on the wire that a sidecar sends and receives per second, by kind of traffic, calculated with
	// Costs.
	Bytes           map[string]Rate  `json:"bytes"`
	Outcomes        map[string]int64 `json:"outcomes"` // of the calls sent in the phase
	CPUSeconds      float64          `json:"cpu_s"`    // processor time of the fleet, the network and the load
	Note            string           `json:"note,omitempty"`
	SettledSeconds  float64          `json:"settled_s,omitempty"`   // from the change in discovery until all sidecars had the right targets; -1 if some never had
	WrongProcesses  int              `json:"wrong,omitempty"`       // processes that never had the right targets
	RecoverySeconds float64          `json:"recovered_s,omitempty"` // until, in every second, under 1 call in 100 was refused, failed or late
}

// Result is the result of a run.
type Result struct {
	Spec         Spec             `json:"spec"`
	Phases       []Phase          `json:"phases"`
	Calls        map[string]int64 `json:"calls"`
	FailedChecks []string         `json:"broken"` // consistency checks that failed
	// HeapKB is the heap and stacks of one sidecar, with its share of the simulation's own state.
	HeapKB float64 `json:"heap_kb"`
	// EventCosts is the processor time of the decision module's events up to the end of the steady phase. It leaves out sockets,
	// HTTP and the event loop around the module.
	EventCosts  map[string]EventCost `json:"module"`
	CPUSeconds  float64              `json:"cpu_s"`
	WallSeconds float64              `json:"wall_s"`  // real time
	PeakMB      float64              `json:"peak_mb"` // peak resident memory of the process
	Costs       Costs                `json:"costs"`
}

// EventCost is the processor time that the decision module spent on events of one kind.
type EventCost struct {
	Events     int64   `json:"events"`
	MicrosEach float64 `json:"us_each"` // microseconds per event
}

// Phase returns the phase with a name, or nil.
func (r *Result) Phase(name string) *Phase {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}

// wireBytes returns the control traffic on the wire, in bytes, for counter values, by kind of traffic.
func (c *Costs) wireBytes(n [counterCount]int64) map[string]float64 {
	count := func(k counter) float64 { return float64(n[k]) }
	bytes := map[string]float64{
		"probe":     count(probes)*c.Probe + count(probeConns)*c.Conn + count(failedDials)*c.FailedDial,
		"discovery": count(listCalls)*c.DiscoveryCall + count(listBytes)*c.DiscoveryByte,
		"news":      (count(gossipSent)+count(gossipReceived))*c.Datagram + count(gossipSentBytes) + count(gossipReceivedBytes),
		"view":      (count(viewSent)+count(viewReceived))*c.Datagram + count(viewSentBytes) + count(viewReceivedBytes),
	}
	bytes["all"] = bytes["probe"] + bytes["discovery"] + bytes["news"] + bytes["view"]
	return bytes
}

// subtract returns the differences a - b of counter values.
func subtract(a, b [counterCount]int64) (d [counterCount]int64) {
	for k := range a {
		d[k] = a[k] - b[k]
	}
	return d
}

// p99 returns the 99th percentile by nearest rank, which is the largest of fewer than 100 values, and 0 for none. It sorts v.
func p99(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(math.Ceil(0.99*float64(len(v))))-1]
}

// mean returns the mean of values, and 0 for none.
func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}

// summarize returns a phase from the snapshots at its beginning, after each window and at its end.
func (f *fleet) summarize(name string, snapshots []snapshot) Phase {
	first, last := snapshots[0], snapshots[len(snapshots)-1]
	p := Phase{Name: name, From: first.at.Seconds(), To: last.at.Seconds(), Sidecar: map[string]Rate{}, Server: map[string]Rate{},
		Agent: map[string]float64{}, Bytes: map[string]Rate{}, Outcomes: map[string]int64{}, CPUSeconds: last.cpuSeconds - first.cpuSeconds}
	seconds := p.To - p.From
	addRates := func(countersOf func(snapshot) [][counterCount]int64, result map[string]Rate, bytes map[string]Rate) {
		var ratesByCounter [counterCount][]float64
		ratesByTraffic := map[string][]float64{}
		for w := 1; w < len(snapshots); w++ {
			span := (snapshots[w].at - snapshots[w-1].at).Seconds()
			for i, now := range countersOf(snapshots[w]) {
				d := subtract(now, countersOf(snapshots[w-1])[i])
				for k := range d {
					ratesByCounter[k] = append(ratesByCounter[k], float64(d[k])/span)
				}
				if bytes != nil {
					for traffic, b := range f.costs.wireBytes(d) {
						ratesByTraffic[traffic] = append(ratesByTraffic[traffic], b/span)
					}
				}
			}
		}
		for k := range ratesByCounter {
			if m := mean(ratesByCounter[k]); m > 0 {
				result[counterNames[k]] = Rate{m, p99(ratesByCounter[k])}
			}
		}
		for traffic, b := range ratesByTraffic {
			bytes[traffic] = Rate{mean(b), p99(b)}
		}
	}
	addRates(func(s snapshot) [][counterCount]int64 { return s.sidecars }, p.Sidecar, p.Bytes)
	addRates(func(s snapshot) [][counterCount]int64 { return s.servers }, p.Server, nil)
	for a := range last.agents {
		for k, n := range subtract(last.agents[a], first.agents[a]) {
			if n > 0 {
				p.Agent[counterNames[k]] += float64(n) / seconds
			}
		}
	}
	for s := int(first.at / time.Second); s < int(last.at/time.Second); s++ {
		for o := range f.outcomesBySecond[s] {
			if n := f.outcomesBySecond[s][o].Load(); n > 0 {
				p.Outcomes[outcomeNames[o]] += n
			}
		}
	}
	return p
}
