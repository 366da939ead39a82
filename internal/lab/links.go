package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpoint is one end of a link: sidecars from 0, then servers, then discovery.
// stranger is anything else, which only rules for all endpoints meet.
type endpoint int

const stranger endpoint = -1

// Rule is one fault on directed links, for as long as it is on. Losses,
// duplicates, reorders and the rate concern datagrams alone; TCP is held or
// delayed, as its retransmissions would make of it.
type Rule struct {
	Match     func(from, to endpoint) bool // the links it is on
	Cut       bool                         // nothing passes; TCP bytes are held until it ends
	Resets    bool                         // TCP connections that lived through it are reset at its end, as at a machine's return
	Datagrams bool                         // TCP is untouched
	Loss      float64                      // share of datagrams dropped, 0 to 1
	Duplicate float64                      // share of datagrams sent twice, 0 to 1
	Reorder   float64                      // share of datagrams held reorderHold longer, so that later ones overtake, 0 to 1
	Rate      float64                      // datagrams a second that pass a link, the rest dropped; 0 for no limit
	Delay     time.Duration                // of each datagram, and of each chunk of TCP
	Jitter    time.Duration                // up to this much more, drawn evenly

	buckets map[[2]endpoint]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

const reorderHold = 30 * time.Millisecond

// take tells whether the rate lets one more datagram pass now. It holds the network's lock.
func (r *Rule) take(from, to endpoint, now time.Time) bool {
	if r.buckets == nil {
		r.buckets = map[[2]endpoint]*bucket{}
	}
	burst := max(1, r.Rate/10) // a tenth of a second's worth
	b := r.buckets[[2]endpoint{from, to}]
	if b == nil {
		b = &bucket{burst, now}
		r.buckets[[2]endpoint{from, to}] = b
	}
	b.tokens, b.at = min(burst, b.tokens+r.Rate*now.Sub(b.at).Seconds()), now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Network is the faults now on the links between all endpoints. What a link
// does is what its rules come to together, so that faults may overlap and end in any order.
type Network struct {
	mu        sync.Mutex
	rules     []*Rule
	random    *rand.Rand
	listeners []*Faults
	changes   bell
}

// NewNetwork makes one without faults; the seed draws losses and jitter.
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 0x11e7)), changes: newBell()}
}

// Begin puts a rule on; the function returned takes it off again.
func (n *Network) Begin(r *Rule) (end func()) {
	n.change(func() { n.rules = append(n.rules, r) })
	return func() {
		n.change(func() { n.rules = slices.DeleteFunc(n.rules, func(o *Rule) bool { return o == r }) })
	}
}

func (n *Network) change(alter func()) {
	n.mu.Lock()
	alter()
	listeners := slices.Clone(n.listeners)
	n.changes.ring()
	n.mu.Unlock()
	for _, f := range listeners {
		f.recheck()
	}
}

func (n *Network) heard() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changes.heard()
}

// stream tells what a TCP link does now: whether bytes are held, whether that ends in a reset, and how long each chunk waits.
func (n *Network) stream(from, to endpoint) (cut, resets bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.rules {
		if r.Datagrams || !r.Match(from, to) {
			continue
		}
		cut, resets = cut || r.Cut, resets || r.Cut && r.Resets
		delay += r.Delay + n.jitter(r)
	}
	return
}

// jitter draws a rule's. It holds n.mu.
func (n *Network) jitter(r *Rule) time.Duration {
	if r.Jitter <= 0 {
		return 0
	}
	return time.Duration(n.random.Int64N(int64(r.Jitter)))
}

// datagram gives the delays after which copies of one datagram arrive; none where it is lost.
func (n *Network) datagram(from, to endpoint) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	copies := make([]time.Duration, 1, 2)
	for _, r := range n.rules {
		if !r.Match(from, to) {
			continue
		}
		if r.Cut || n.random.Float64() < r.Loss || r.Rate > 0 && !r.take(from, to, time.Now()) {
			return nil
		}
		if n.random.Float64() < r.Duplicate {
			copies = append(copies, copies[0])
		}
		for i := range copies {
			copies[i] += r.Delay + n.jitter(r)
			if n.random.Float64() < r.Reorder {
				copies[i] += reorderHold
			}
		}
	}
	return copies
}

// names resolves what an experiment's faults call endpoints by.
type names struct{ exp *Experiment }

func (n names) sidecars() int         { return n.exp.Fleet.Sidecars }
func (n names) server(j int) endpoint { return endpoint(n.sidecars() + j) }
func (n names) discovery() endpoint   { return endpoint(n.sidecars() + n.exp.Fleet.Servers) }

// set resolves selectors: "s3", "s0-s9", "v3", "v0-v9", "zone:a" (its sidecars),
// "machine:0" (its sidecars), "group:NAME" (of the experiment's groups), "all"
// (sidecars), "servers", "discovery". Errors name the selector.
func (n names) set(selectors []string) (map[endpoint]bool, error) {
	return n.resolve(selectors, 0)
}

func (n names) resolve(selectors []string, depth int) (map[endpoint]bool, error) {
	set := map[endpoint]bool{}
	fill := func(from, to endpoint) {
		for e := from; e < to; e++ {
			set[e] = true
		}
	}
	for _, text := range selectors {
		kind, name, _ := strings.Cut(text, ":")
		found := false
		switch {
		case text == "all":
			fill(0, n.server(0))
			found = true
		case text == "servers":
			fill(n.server(0), n.discovery())
			found = true
		case text == "discovery":
			set[n.discovery()] = true
			found = true
		case kind == "zone":
			for i := range n.sidecars() {
				if n.exp.zone(i) == name {
					set[endpoint(i)], found = true, true
				}
			}
		case kind == "machine":
			for i := range n.sidecars() {
				if strconv.Itoa(n.exp.machine(i)) == name {
					set[endpoint(i)], found = true, true
				}
			}
		case kind == "group":
			members, ok := n.exp.Groups[name]
			if !ok || depth > 4 {
				return nil, fmt.Errorf("%q is not a group (or groups name each other too deep)", text)
			}
			more, err := n.resolve(members, depth+1)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", text, err)
			}
			for e := range more {
				set[e] = true
			}
			found = true
		default:
			first, last, isRange := strings.Cut(text, "-")
			if !isRange {
				last = first
			}
			from, err1 := n.one(first)
			to, err2 := n.one(last)
			if err1 == nil && err2 == nil && from <= to && first[0] == last[0] {
				fill(from, to+1)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("%q names no sidecar, server, zone, machine or group of the experiment", text)
		}
	}
	return set, nil
}

// one resolves "s3" or "v3".
func (n names) one(text string) (endpoint, error) {
	if len(text) > 1 {
		i, err := strconv.Atoi(text[1:])
		switch {
		case err == nil && text[0] == 's' && i >= 0 && i < n.sidecars():
			return endpoint(i), nil
		case err == nil && text[0] == 'v' && i >= 0 && i < n.exp.Fleet.Servers:
			return n.server(i), nil
		}
	}
	return stranger, fmt.Errorf("%q is no endpoint", text)
}

// between matches links from one set to the other, and back where the direction is "both" or not given; "out" is from to to alone, "in" the way back alone.
func between(from, to map[endpoint]bool, direction string) func(a, b endpoint) bool {
	return func(a, b endpoint) bool {
		return a != b && (direction != "in" && from[a] && to[b] || direction != "out" && from[b] && to[a])
	}
}

// apart matches links between endpoints that are named in groups but share none.
func apart(groups []map[endpoint]bool) func(a, b endpoint) bool {
	return func(a, b endpoint) bool {
		inA, inB := false, false
		for _, g := range groups {
			if g[a] && g[b] {
				return false
			}
			inA, inB = inA || g[a], inB || g[b]
		}
		return inA && inB
	}
}

// rule builds the rule of a fault on links, nil for a fault of another kind.
func (n names) rule(f Fault) (*Rule, error) {
	own := func(base endpoint, list []int) map[endpoint]bool {
		set := map[endpoint]bool{}
		for _, i := range list {
			set[base+endpoint(i)] = true
		}
		return set
	}
	any := func(set map[endpoint]bool, direction string) func(a, b endpoint) bool { // to ("in") and from ("out") the set
		return func(a, b endpoint) bool { return direction != "out" && set[b] || direction != "in" && set[a] }
	}
	switch f.Kind {
	case "partition":
		return &Rule{Cut: true, Resets: true, Match: any(own(n.server(0), f.Servers), f.Direction)}, nil
	case "delay":
		return &Rule{Delay: f.Delay.Duration, Jitter: f.Jitter.Duration, Match: any(own(n.server(0), f.Servers), "both")}, nil
	case "isolate":
		return &Rule{Cut: true, Datagrams: true, Match: any(own(0, f.Sidecars), f.Direction)}, nil
	case "peers":
		return &Rule{Loss: f.Share, Delay: f.Delay.Duration, Datagrams: true, Match: func(a, b endpoint) bool { return true }}, nil
	case "split":
		var groups []map[endpoint]bool
		for i, g := range f.Groups {
			set, err := n.set(g)
			if err != nil {
				return nil, fmt.Errorf("groups[%d]: %w", i, err)
			}
			groups = append(groups, set)
		}
		return &Rule{Cut: true, Match: apart(groups)}, nil
	case "link", "cut", "flap":
		or := func(selectors []string) []string {
			if len(selectors) == 0 {
				return []string{"all"}
			}
			return selectors
		}
		from, err := n.set(or(f.From))
		if err != nil {
			return nil, fmt.Errorf("from: %w", err)
		}
		to, err := n.set(or(f.To))
		if err != nil {
			return nil, fmt.Errorf("to: %w", err)
		}
		return &Rule{Cut: f.Kind != "link", Loss: f.Loss, Duplicate: f.Duplicate, Reorder: f.Reorder, Rate: f.Rate,
			Delay: f.Delay.Duration, Jitter: f.Jitter.Duration, Match: between(from, to, f.Direction)}, nil
	}
	return nil, nil
}
