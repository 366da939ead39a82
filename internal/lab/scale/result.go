package scale

import (
	"math"
	"slices"
	"time"
)

// Costs are bytes on the wire of what a hollow sidecar does not send: TCP, UDP
// and IP headers and HTTP heads, both ways together. They are measured on real
// processes (Source).
type Costs struct {
	Probe         float64 `json:"probe"`     // request, answer and what acknowledges them
	Conn          float64 `json:"conn"`      // a connection's begin and end
	FailedDial    float64 `json:"dead_dial"` // what a connection that does not come up sends
	DiscoveryCall float64 `json:"list"`      // a call of discovery without its answer's body
	DiscoveryByte float64 `json:"list_byte"` // for each byte of a body
	Datagram      float64 `json:"datagram"`  // headers of one
	Source        string  `json:"source"`
}

// Rate is a figure a second: the mean, and the 99th of 100 of all machines' windows of 10 s.
type Rate struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Phase is a time of a rung. A machine's rates are by the name of what is counted.
type Phase struct {
	Name    string             `json:"name"`
	From    float64            `json:"from_s"`
	To      float64            `json:"to_s"`
	Sidecar map[string]Rate    `json:"sidecar"` // a second, of one sidecar
	Server  map[string]Rate    `json:"server"`  // a second, borne by one pin server
	Agent   map[string]float64 `json:"agent"`   // a second, borne by discovery's agents together
	// Bytes of control on the wire a second that a sidecar sends and bears, by kind, by Costs.
	Bytes           map[string]Rate  `json:"bytes"`
	Outcomes        map[string]int64 `json:"outcomes"` // of calls sent in it
	CPUSeconds      float64          `json:"cpu_s"`    // of the hollow fleet, network and load
	Note            string           `json:"note,omitempty"`
	SettledSeconds  float64          `json:"settled_s,omitempty"`   // from when discovery had it until all sidecars held the right list; -1 for not
	WrongProcesses  int              `json:"wrong,omitempty"`       // processes that did not
	RecoverySeconds float64          `json:"recovered_s,omitempty"` // from the event until under 1 call in 100 of a second was refused, failed or late
}

// Result is a rung as played.
type Result struct {
	Spec         Spec             `json:"spec"`
	Phases       []Phase          `json:"phases"`
	Calls        map[string]int64 `json:"calls"`
	FailedChecks []string         `json:"broken"` // checks that did not hold
	// HeapKB is the heap and stacks of one sidecar, with its part of what the hollow keeps for it.
	HeapKB float64 `json:"heap_kb"`
	// Module is the processor time of the module's events up to the end of the steady phase, the hollow's own: no
	// socket, no HTTP and none of the loop's around it.
	EventCosts  map[string]EventCost `json:"module"`
	CPUSeconds  float64              `json:"cpu_s"`
	WallSeconds float64              `json:"wall_s"`
	PeakMB      float64              `json:"peak_mb"`
	Costs       Costs                `json:"costs"`
}

// Effort is the module's on events of one kind.
type EventCost struct {
	Events     int64   `json:"events"`
	MicrosEach float64 `json:"us_each"`
}

// Phase finds a phase by its name; nil for none.
func (r *Result) Phase(name string) *Phase {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}

// wire is the control bytes of counts, by kind.
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

func subtract(a, b [counterCount]int64) (d [counterCount]int64) {
	for k := range a {
		d[k] = a[k] - b[k]
	}
	return d
}

// p99 is the 99th of 100, by rank; the largest of few.
func p99(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(math.Ceil(0.99*float64(len(v))))-1]
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}

// reckon gives a phase from its frames.
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
