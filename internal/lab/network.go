package lab

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// endpoint is one end of a link. Sidecars are numbered from 0, followed by the
// servers and discovery.
type endpoint int

// unknownEndpoint is any endpoint that is not part of the experiment. Only
// rules that match all endpoints match it.
const unknownEndpoint endpoint = -1

// Rule is the effect of one fault on directed links while it is active. Loss,
// duplication, reordering and the rate apply to datagrams only. TCP is blocked
// or delayed instead, which is the effect of its retransmissions.
type Rule struct {
	Match     func(from, to endpoint) bool // reports whether the rule applies to a link
	Cut       bool                         // all traffic is blocked; blocked TCP bytes are delivered when the rule ends
	Resets    bool                         // with Cut: TCP connections that existed during the cut are reset at its end, as when a machine comes back
	Datagrams bool                         // the rule applies to datagrams only, not to TCP
	Loss      float64                      // fraction of datagrams dropped, 0 to 1
	Duplicate float64                      // fraction of datagrams duplicated, 0 to 1
	Reorder   float64                      // fraction of datagrams delayed by reorderDelay, so that later ones overtake them, 0 to 1
	Rate      float64                      // datagrams per second on each link, beyond which they are dropped; 0 for no limit
	Delay     time.Duration                // of each datagram and of each chunk of TCP bytes
	Jitter    time.Duration                // maximum of an additional delay, uniformly distributed

	buckets map[[2]endpoint]*bucket // for Rate, by link
}

// bucket is the token bucket of one link.
type bucket struct {
	tokens float64
	at     time.Time // when tokens was computed
}

// reorderDelay is the additional delay of a reordered datagram.
const reorderDelay = 30 * time.Millisecond

// takeToken takes a token from a link's bucket, and reports whether there was one: whether the rate limit allows one more
// datagram now. The caller holds the network's mu.
func (r *Rule) takeToken(from, to endpoint, now time.Time) bool {
	if r.buckets == nil {
		r.buckets = map[[2]endpoint]*bucket{}
	}
	burst := max(1, r.Rate/10) // the bucket holds the tokens of a tenth of a second, but at least one
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

// Network holds the rules of the active faults on links. All rules that match a
// link apply together, so that faults may overlap and end in any order.
type Network struct {
	mu        sync.Mutex
	rules     []*Rule
	random    *rand.Rand
	listeners []*FaultListener
	changes   notifier
}

// NewNetwork returns a network without faults. The seed determines which datagrams are lost, duplicated or reordered, and
// the jitter.
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

// change calls alter, which changes the rules, and applies the new rules to all connections.
func (n *Network) change(alter func()) {
	n.mu.Lock()
	alter()
	listeners := slices.Clone(n.listeners)
	n.changes.notifyAll()
	n.mu.Unlock()
	for _, f := range listeners {
		f.updatePartitions()
	}
}

// changed returns a channel that is closed on the next change of the rules.
func (n *Network) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changes.changed()
}

// streamState returns the state of a link for TCP: whether it is cut, whether connections are reset when the cut ends,
// and the delay of the next chunk of bytes.
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

// datagramDelays returns the delays of the copies of one datagram that are delivered, none if it is lost.
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
