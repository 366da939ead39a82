package lab

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// endpoint is one end of a link: sidecars from 0, then servers, then discovery.
// unknownEndpoint is any other, which only rules for all endpoints match.
type endpoint int

const unknownEndpoint endpoint = -1

// Rule is one fault on directed links while it is active. Loss, duplication,
// reordering and the rate apply to datagrams alone; TCP is blocked or delayed,
// which is the effect of its retransmissions.
type Rule struct {
	Match     func(from, to endpoint) bool // the links that it applies to
	Cut       bool                         // all traffic is blocked; TCP bytes are delivered at its end
	Resets    bool                         // TCP connections that existed during it are reset at its end, as when a machine comes back
	Datagrams bool                         // TCP is not affected
	Loss      float64                      // fraction of datagrams dropped, 0 to 1
	Duplicate float64                      // fraction of datagrams duplicated, 0 to 1
	Reorder   float64                      // fraction of datagrams delayed by reorderDelay, so that later ones overtake them, 0 to 1
	Rate      float64                      // datagrams a second on each link, the rest dropped; 0 for no limit
	Delay     time.Duration                // of each datagram, and of each chunk of TCP
	Jitter    time.Duration                // maximum of an additional delay, uniformly distributed

	buckets map[[2]endpoint]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

const reorderDelay = 30 * time.Millisecond

// takeToken reports whether the rate limit allows one more datagram now. The caller holds the network's mu.
func (r *Rule) takeToken(from, to endpoint, now time.Time) bool {
	if r.buckets == nil {
		r.buckets = map[[2]endpoint]*bucket{}
	}
	burst := max(1, r.Rate/10) // the tokens of a tenth of a second
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

// Network is the active faults on the links between all endpoints. The rules
// of a link combine, so that faults may overlap and end in any order.
type Network struct {
	mu        sync.Mutex
	rules     []*Rule
	random    *rand.Rand
	listeners []*FaultListener
	changes   notifier
}

// NewNetwork makes a network without faults; the seed is that of losses and jitter.
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 0x11e7)), changes: newNotifier()}
}

// Begin activates a rule; the returned function deactivates it.
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

// streamState reports whether a TCP link is cut, whether that ends in a reset, and the delay of each chunk.
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

// jitter draws a rule's additional delay. The caller holds n.mu.
func (n *Network) jitter(r *Rule) time.Duration {
	if r.Jitter <= 0 {
		return 0
	}
	return time.Duration(n.random.Int64N(int64(r.Jitter)))
}

// datagramDelays returns the delay of each copy of one datagram, none if it is lost.
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
