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

// simulation is a fleet of agents in one process, on a simulated network with seeded random faults. It runs under
// synctest's clock: simulated minutes take only the time to compute them, and the load of the machine has no influence.
type simulation struct {
	t          testing.TB
	nodes      []*simulatedNode
	maxMembers int
	nodeName   func(i int) string
	zone       string

	networkMu  sync.Mutex // guards the fields below
	random     *rand.Rand
	transports map[netip.AddrPort]*datagram.Transport
	isCut      func(from, to int) bool // nil if no link is cut
	impairment impairment
	oversized  int                      // number of datagrams over the size limit
	forge      func(data []byte) []byte // returns a datagram that an unknown address sends to the receiver of data; nil for none
}

// impairment describes the network's faults, which apply to all datagrams.
type impairment struct {
	loss, duplicate float64       // probabilities
	delay           time.Duration // maximum; uniformly distributed, so that datagrams are reordered
}

// simulatedNode is one sidecar, which may stop and start again.
type simulatedNode struct {
	simulation *simulation
	number     int
	address    netip.AddrPort
	transport  *datagram.Transport
	agent      *Agent // nil while the node is stopped
}

const (
	testStabilizationPeriod = time.Second
	testProbeInterval       = 400 * time.Millisecond
)

func newSimulation(t testing.TB, seed uint64, n int) *simulation {
	s := &simulation{
		t:          t,
		maxMembers: 1000,
		nodeName:   func(i int) string { return fmt.Sprintf("s%d", i) },
		zone:       "a",
		random:     rand.New(rand.NewPCG(seed, 21)),
		transports: map[netip.AddrPort]*datagram.Transport{},
		impairment: impairment{delay: time.Millisecond},
	}
	for i := range n {
		ip := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		s.nodes = append(s.nodes, &simulatedNode{simulation: s, number: i, address: netip.AddrPortFrom(ip, 7946)})
	}
	return s
}

// transmit delivers one datagram from a node's transport to the transport at an address, with the network's faults.
func (s *simulation) transmit(from *simulatedNode, data []byte, to netip.AddrPort) error {
	s.networkMu.Lock()
	defer s.networkMu.Unlock()
	if len(data) > datagram.MaxSize {
		s.oversized++
	}
	receiver := s.transports[to]
	if receiver == nil || s.random.Float64() < s.impairment.loss || s.isCut != nil && s.isCut(from.number, s.number(to)) {
		return nil
	}
	if s.forge != nil {
		forged := s.forge(data)
		time.AfterFunc(0, func() { receiver.Deliver(netip.MustParseAddrPort("10.66.6.6:6"), forged) })
	}
	for copies := 1; copies > 0; copies-- {
		if s.random.Float64() < s.impairment.duplicate && copies == 1 {
			copies++
		}
		received := append([]byte(nil), data...)
		delay := time.Duration(s.random.Int64N(int64(s.impairment.delay) + 1))
		source := from.address // read now, since networkMu is not held when the datagram arrives
		time.AfterFunc(delay, func() { receiver.Deliver(source, received) })
	}
	return nil
}

// number returns the number of the node at an address, or -1 if there is none.
func (s *simulation) number(address netip.AddrPort) int {
	return slices.IndexFunc(s.nodes, func(n *simulatedNode) bool { return n.address == address })
}

// setAddress changes the address of a stopped node.
func (s *simulation) setAddress(n *simulatedNode, address netip.AddrPort) {
	s.networkMu.Lock()
	defer s.networkMu.Unlock()
	n.address = address
}

// setNetwork sets the cut links and the network's faults.
func (s *simulation) setNetwork(isCut func(from, to int) bool, impairment impairment) {
	s.networkMu.Lock()
	defer s.networkMu.Unlock()
	s.isCut, s.impairment = isCut, impairment
}

// start starts a node's agent, as a new process would.
func (n *simulatedNode) start(o Options) {
	n.simulation.t.Helper()
	n.transport = datagram.New(func(data []byte, to netip.AddrPort) error { return n.simulation.transmit(n, data, to) }, datagram.Options{MaxRate: 100})
	o.Self = Member{Name: n.simulation.nodeName(n.number), Zone: n.simulation.zone, Version: "sixteen letters!", StartTime: time.Now(), Address: n.address}
	o.StabilizationPeriod, o.ProbeInterval, o.MaxMembers = testStabilizationPeriod, testProbeInterval, n.simulation.maxMembers
	if o.Seeds == nil {
		for _, other := range n.simulation.nodes {
			o.Seeds = append(o.Seeds, other.address)
		}
	}
	agent, err := Open(n.transport, o)
	if err != nil {
		n.simulation.t.Fatal(err)
	}
	n.agent = agent
	n.simulation.networkMu.Lock()
	n.simulation.transports[n.address] = n.transport
	n.simulation.networkMu.Unlock()
}

// stop stops a node: with a graceful leave, or without one, as if the process crashed.
func (n *simulatedNode) stop(leave bool) {
	if !leave {
		n.simulation.networkMu.Lock()
		delete(n.simulation.transports, n.address)
		n.simulation.networkMu.Unlock()
	}
	n.agent.Close(leave)
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

// close stops all nodes and waits until no goroutine remains.
func (s *simulation) close() {
	for _, n := range s.nodes {
		if n.agent != nil {
			n.stop(false)
		}
	}
	time.Sleep(time.Minute) // memberlist's timers expire
}

// runningNodes returns the running nodes for which include returns true, or all if include is nil.
func (s *simulation) runningNodes(include func(i int) bool) []*simulatedNode {
	var list []*simulatedNode
	for _, n := range s.nodes {
		if n.agent != nil && (include == nil || include(n.number)) {
			list = append(list, n)
		}
	}
	return list
}

// awaitStable waits until the stable view of each of the nodes has exactly these nodes, and returns how long that took. It
// fails the test after timeout.
func (s *simulation) awaitStable(situation string, nodes []*simulatedNode, timeout time.Duration) time.Duration {
	s.t.Helper()
	var names []string
	for _, n := range nodes {
		names = append(names, n.agent.options.Self.Name)
	}
	slices.Sort(names)
	start := time.Now()
	for {
		unstable := slices.IndexFunc(nodes, func(n *simulatedNode) bool {
			view := n.agent.StableView()
			return view.Isolated || !slices.Equal(view.Names, names)
		})
		if unstable < 0 {
			return time.Since(start)
		}
		if time.Since(start) > timeout {
			view := nodes[unstable].agent.StableView()
			s.t.Errorf("%s: after %v %s has %d of %d members, isolated %v: %v", situation, timeout, nodes[unstable].agent.options.Self.Name,
				len(view.Names), len(names), view.Isolated, view.Names)
			return timeout
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// inSimulation runs f with a simulation of n nodes that are not started. It fails the test if a datagram exceeds the size
// limit.
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
