//go:build go1.25

package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblestand/internal/datagram"
)

// simulation is a fleet of views in one process on a seeded network of its own, under
// synctest's clock: what takes minutes is over as soon as it is computed, and
// a busy machine changes nothing.
type simulation struct {
	t          testing.TB
	networkMu  sync.Mutex
	random     *rand.Rand
	transports map[netip.AddrPort]*datagram.Transport
	nodes      []*simNode
	isCut      func(from, to int) bool // nil for nothing
	impairment impairment
	oversized  int                      // datagrams over the protocol's bound
	forge      func(data []byte) []byte // what a stranger sends to whoever is sent data; nil for nothing
	maxMembers int
	name       func(i int) string
	zone       string
}

// impairment is what all links do to datagrams.
type impairment struct {
	loss, duplicate float64
	delay           time.Duration // up to so much, drawn evenly, so that they overtake each other
}

type simNode struct {
	simulation *simulation
	number     int
	address    netip.AddrPort
	transport  *datagram.Transport
	agent      *Agent // nil while it does not run
	life       int
}

const (
	testStabilizationPeriod = time.Second
	testProbeInterval       = 400 * time.Millisecond
)

func newSimulation(t testing.TB, seed uint64, n int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 21)), transports: map[netip.AddrPort]*datagram.Transport{}, impairment: impairment{delay: time.Millisecond},
		maxMembers: 1000, zone: "a", name: func(i int) string { return fmt.Sprintf("s%d", i) }}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{simulation: s, number: i, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)})
	}
	return s
}

// carry takes one datagram from a node's link to another's, or loses it.
func (s *simulation) carry(from *simNode, data []byte, to netip.AddrPort) error {
	s.networkMu.Lock()
	defer s.networkMu.Unlock()
	if len(data) > datagram.MaxSize {
		s.oversized++
	}
	l := s.transports[to]
	if l == nil || s.random.Float64() < s.impairment.loss || s.isCut != nil && s.isCut(from.number, s.number(to)) {
		return nil
	}
	if s.forge != nil {
		strange := s.forge(data)
		time.AfterFunc(0, func() { l.Deliver(netip.MustParseAddrPort("10.66.6.6:6"), strange) })
	}
	for copies := 1; copies > 0; copies-- {
		if s.random.Float64() < s.impairment.duplicate && copies == 1 {
			copies++
		}
		held := append([]byte(nil), data...)
		time.AfterFunc(time.Duration(s.random.Int64N(int64(s.impairment.delay)+1)), func() { l.Deliver(from.address, held) })
	}
	return nil
}

func (s *simulation) number(a netip.AddrPort) int {
	return slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.address == a })
}

// setNetwork changes the network's faults.
func (s *simulation) setNetwork(cut func(from, to int) bool, bad impairment) {
	s.networkMu.Lock()
	defer s.networkMu.Unlock()
	s.isCut, s.impairment = cut, bad
}

// start begins a node's view anew, as a process that was started does.
func (n *simNode) start(o Options) {
	n.simulation.t.Helper()
	n.life++
	n.transport = datagram.New(func(data []byte, to netip.AddrPort) error { return n.simulation.carry(n, data, to) }, datagram.Options{MaxRate: 100})
	o.Self = Member{Name: n.simulation.name(n.number), Zone: n.simulation.zone, Version: "sixteen letters!", StartTime: time.Now(), Address: n.address}
	o.StabilizationPeriod, o.ProbeInterval, o.MaxMembers = testStabilizationPeriod, testProbeInterval, n.simulation.maxMembers
	if o.Seeds == nil {
		for _, other := range n.simulation.nodes {
			o.Seeds = append(o.Seeds, other.address)
		}
	}
	v, err := Open(n.transport, o)
	if err != nil {
		n.simulation.t.Fatal(err)
	}
	n.agent = v
	n.simulation.networkMu.Lock()
	n.simulation.transports[n.address] = n.transport
	n.simulation.networkMu.Unlock()
}

// stop ends a node, as a crash does or with a goodbye.
func (n *simNode) stop(goodbye bool) {
	if !goodbye {
		n.simulation.networkMu.Lock()
		delete(n.simulation.transports, n.address)
		n.simulation.networkMu.Unlock()
	}
	n.agent.Close(goodbye)
	n.agent = nil
	n.simulation.networkMu.Lock()
	delete(n.simulation.transports, n.address)
	n.simulation.networkMu.Unlock()
}

func (s *simulation) startAll() {
	for _, n := range s.nodes {
		n.start(Options{})
	}
}

// close ends all, so that no goroutine is left.
func (s *simulation) close() {
	for _, n := range s.nodes {
		if n.agent != nil {
			n.stop(false)
		}
	}
	time.Sleep(time.Minute) // timers of the library run out
}

// runningNodes lists the nodes that run, of those in which keeps (all for nil).
func (s *simulation) runningNodes(keeps func(i int) bool) []*simNode {
	var list []*simNode
	for _, n := range s.nodes {
		if n.agent != nil && (keeps == nil || keeps(n.number)) {
			list = append(list, n)
		}
	}
	return list
}

// awaitStable waits until the nodes all settled on just themselves, for as long as
// most, and returns how long that took; it fails the test otherwise.
func (s *simulation) awaitStable(what string, nodes []*simNode, most time.Duration) time.Duration {
	s.t.Helper()
	var names []string
	for _, n := range nodes {
		names = append(names, n.agent.options.Self.Name)
	}
	slices.Sort(names)
	began := time.Now()
	for {
		bad := slices.IndexFunc(nodes, func(n *simNode) bool {
			settled := n.agent.StableView()
			return settled.Isolated || !slices.Equal(settled.Names, names)
		})
		if bad < 0 {
			return time.Since(began)
		}
		if time.Since(began) > most {
			settled := nodes[bad].agent.StableView()
			s.t.Errorf("%s: after %v %s sees %d of %d, cut off %v: %v", what, most, nodes[bad].agent.options.Self.Name,
				len(settled.Names), len(names), settled.Isolated, settled.Names)
			return most
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// inSimulation plays f on a seeded fleet of n.
func inSimulation(t *testing.T, seed uint64, n int, f func(s *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, seed, n)
		defer s.close()
		f(s)
		if s.oversized > 0 {
			t.Errorf("%d datagrams over %d bytes", s.oversized, datagram.MaxSize)
		}
	})
}
