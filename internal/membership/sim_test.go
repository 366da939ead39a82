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

// sim is a fleet of views in one process on a seeded network of its own, under
// synctest's clock: what takes minutes is over as soon as it is computed, and
// a busy machine changes nothing.
type sim struct {
	t      testing.TB
	mu     sync.Mutex
	random *rand.Rand
	links  map[netip.AddrPort]*datagram.Transport
	nodes  []*simNode
	cut    func(from, to int) bool // nil for nothing
	bad    impairment
	long   int                      // datagrams over the protocol's bound
	spy    func(data []byte) []byte // what a stranger sends to whoever is sent data; nil for nothing
	most   int
	name   func(i int) string
	zone   string
}

// impairment is what all links do to datagrams.
type impairment struct {
	loss, duplicate float64
	delay           time.Duration // up to so much, drawn evenly, so that they overtake each other
}

type simNode struct {
	sim    *sim
	number int
	addr   netip.AddrPort
	link   *datagram.Transport
	view   *Agent // nil while it does not run
	life   int
}

const (
	simQuiet = time.Second
	simProbe = 400 * time.Millisecond
)

func newSim(t testing.TB, seed uint64, n int) *sim {
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 21)), links: map[netip.AddrPort]*datagram.Transport{}, bad: impairment{delay: time.Millisecond},
		most: 1000, zone: "a", name: func(i int) string { return fmt.Sprintf("s%d", i) }}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{sim: s, number: i, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)})
	}
	return s
}

// carry takes one datagram from a node's link to another's, or loses it.
func (s *sim) carry(from *simNode, data []byte, to netip.AddrPort) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(data) > datagram.MaxSize {
		s.long++
	}
	l := s.links[to]
	if l == nil || s.random.Float64() < s.bad.loss || s.cut != nil && s.cut(from.number, s.number(to)) {
		return nil
	}
	if s.spy != nil {
		strange := s.spy(data)
		time.AfterFunc(0, func() { l.Deliver(netip.MustParseAddrPort("10.66.6.6:6"), strange) })
	}
	for copies := 1; copies > 0; copies-- {
		if s.random.Float64() < s.bad.duplicate && copies == 1 {
			copies++
		}
		held := append([]byte(nil), data...)
		time.AfterFunc(time.Duration(s.random.Int64N(int64(s.bad.delay)+1)), func() { l.Deliver(from.addr, held) })
	}
	return nil
}

func (s *sim) number(a netip.AddrPort) int {
	return slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.addr == a })
}

// set changes the network's faults.
func (s *sim) set(cut func(from, to int) bool, bad impairment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut, s.bad = cut, bad
}

// start begins a node's view anew, as a process that was started does.
func (n *simNode) start(o Options) {
	n.sim.t.Helper()
	n.life++
	n.link = datagram.New(func(data []byte, to netip.AddrPort) error { return n.sim.carry(n, data, to) }, datagram.Options{MaxRate: 100})
	o.Self = Member{Name: n.sim.name(n.number), Zone: n.sim.zone, Version: "sixteen letters!", StartTime: time.Now(), Address: n.addr}
	o.StabilizationPeriod, o.ProbeInterval, o.MaxMembers = simQuiet, simProbe, n.sim.most
	if o.Seeds == nil {
		for _, other := range n.sim.nodes {
			o.Seeds = append(o.Seeds, other.addr)
		}
	}
	v, err := Open(n.link, o)
	if err != nil {
		n.sim.t.Fatal(err)
	}
	n.view = v
	n.sim.mu.Lock()
	n.sim.links[n.addr] = n.link
	n.sim.mu.Unlock()
}

// end ends a node, as a crash does or with a goodbye.
func (n *simNode) end(goodbye bool) {
	if !goodbye {
		n.sim.mu.Lock()
		delete(n.sim.links, n.addr)
		n.sim.mu.Unlock()
	}
	n.view.Close(goodbye)
	n.view = nil
	n.sim.mu.Lock()
	delete(n.sim.links, n.addr)
	n.sim.mu.Unlock()
}

func (s *sim) startAll() {
	for _, n := range s.nodes {
		n.start(Options{})
	}
}

// close ends all, so that no goroutine is left.
func (s *sim) close() {
	for _, n := range s.nodes {
		if n.view != nil {
			n.end(false)
		}
	}
	time.Sleep(time.Minute) // timers of the library run out
}

// running lists the nodes that run, of those in which keeps (all for nil).
func (s *sim) running(keeps func(i int) bool) []*simNode {
	var list []*simNode
	for _, n := range s.nodes {
		if n.view != nil && (keeps == nil || keeps(n.number)) {
			list = append(list, n)
		}
	}
	return list
}

// settles waits until the nodes all settled on just themselves, for as long as
// most, and returns how long that took; it fails the test otherwise.
func (s *sim) settles(what string, nodes []*simNode, most time.Duration) time.Duration {
	s.t.Helper()
	var names []string
	for _, n := range nodes {
		names = append(names, n.view.o.Self.Name)
	}
	slices.Sort(names)
	began := time.Now()
	for {
		bad := slices.IndexFunc(nodes, func(n *simNode) bool {
			settled := n.view.StableView()
			return settled.Isolated || !slices.Equal(settled.Names, names)
		})
		if bad < 0 {
			return time.Since(began)
		}
		if time.Since(began) > most {
			settled := nodes[bad].view.StableView()
			s.t.Errorf("%s: after %v %s sees %d of %d, cut off %v: %v", what, most, nodes[bad].view.o.Self.Name,
				len(settled.Names), len(names), settled.Isolated, settled.Names)
			return most
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// inSim plays f on a seeded fleet of n.
func inSim(t *testing.T, seed uint64, n int, f func(s *sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, seed, n)
		defer s.close()
		f(s)
		if s.long > 0 {
			t.Errorf("%d datagrams over %d bytes", s.long, datagram.MaxSize)
		}
	})
}
