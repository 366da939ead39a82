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
func (c *Costs) wire(n [kinds]int64) map[string]float64 {
	x := func(k kind) float64 { return float64(n[k]) }
	b := map[string]float64{
		"probe":     x(probes)*c.Probe + x(probeConns)*c.Conn + x(deadDials)*c.FailedDial,
		"discovery": x(lists)*c.DiscoveryCall + x(listBytes)*c.DiscoveryByte,
		"news":      (x(newsSent)+x(newsBorne))*c.Datagram + x(newsSentBytes) + x(newsBorneBytes),
		"view":      (x(viewSent)+x(viewBorne))*c.Datagram + x(viewSentBytes) + x(viewBorneBytes),
	}
	b["all"] = b["probe"] + b["discovery"] + b["news"] + b["view"]
	return b
}

func less(a, b [kinds]int64) (d [kinds]int64) {
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
func (f *fleet) reckon(name string, frames []frame) Phase {
	first, last := frames[0], frames[len(frames)-1]
	p := Phase{Name: name, From: first.at.Seconds(), To: last.at.Seconds(), Sidecar: map[string]Rate{}, Server: map[string]Rate{},
		Agent: map[string]float64{}, Bytes: map[string]Rate{}, Outcomes: map[string]int64{}, CPUSeconds: last.cpu - first.cpu}
	seconds := p.To - p.From
	rates := func(of func(frame) [][kinds]int64, into map[string]Rate, bytes map[string]Rate) {
		var each [kinds][]float64
		wire := map[string][]float64{}
		for w := 1; w < len(frames); w++ {
			span := (frames[w].at - frames[w-1].at).Seconds()
			for i, now := range of(frames[w]) {
				d := less(now, of(frames[w-1])[i])
				for k := range d {
					each[k] = append(each[k], float64(d[k])/span)
				}
				if bytes != nil {
					for kind, b := range f.costs.wire(d) {
						wire[kind] = append(wire[kind], b/span)
					}
				}
			}
		}
		for k := range each {
			if m := mean(each[k]); m > 0 {
				into[kindNames[k]] = Rate{m, p99(each[k])}
			}
		}
		for kind, b := range wire {
			bytes[kind] = Rate{mean(b), p99(b)}
		}
	}
	rates(func(fr frame) [][kinds]int64 { return fr.sidecars }, p.Sidecar, p.Bytes)
	rates(func(fr frame) [][kinds]int64 { return fr.servers }, p.Server, nil)
	for a := range last.agents {
		for k, n := range less(last.agents[a], first.agents[a]) {
			if n > 0 {
				p.Agent[kindNames[k]] += float64(n) / seconds
			}
		}
	}
	for s := int(first.at / time.Second); s < int(last.at/time.Second); s++ {
		for o := range f.seconds[s] {
			if n := f.seconds[s][o].Load(); n > 0 {
				p.Outcomes[outcomeNames[o]] += n
			}
		}
	}
	return p
}
