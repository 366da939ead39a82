package lab

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// endpoint is one end of a link: sidecars from 0, then servers, then discovery.
// stranger is anything else, which only rules for all endpoints meet.
type endpoint int

const unknownEndpoint endpoint = -1

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

const reorderDelay = 30 * time.Millisecond

// takeToken tells whether the rate lets one more datagram pass now. It holds the network's lock.
func (r *Rule) takeToken(from, to endpoint, now time.Time) bool {
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
	listeners []*FaultListener
	changes   notifier
}

// NewNetwork makes one without faults; the seed draws losses and jitter.
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 0x11e7)), changes: newNotifier()}
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
	n.changes.notifyAll()
	n.mu.Unlock()
	for _, f := range listeners {
		f.recheck()
	}
}

func (n *Network) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changes.changed()
}

// streamState tells what a TCP link does now: whether bytes are held, whether that ends in a reset, and how long each chunk waits.
func (n *Network) streamState(from, to endpoint) (cut, resets bool, delay time.Duration) {
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

// datagramDelays gives the delays after which copies of one datagram arrive; none where it is lost.
func (n *Network) datagramDelays(from, to endpoint) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	copies := make([]time.Duration, 1, 2)
	for _, r := range n.rules {
		if !r.Match(from, to) {
			continue
		}
		if r.Cut || n.random.Float64() < r.Loss || r.Rate > 0 && !r.takeToken(from, to, time.Now()) {
			return nil
		}
		if n.random.Float64() < r.Duplicate {
			copies = append(copies, copies[0])
		}
		for i := range copies {
			copies[i] += r.Delay + n.jitter(r)
			if n.random.Float64() < r.Reorder {
				copies[i] += reorderDelay
			}
		}
	}
	return copies
}
