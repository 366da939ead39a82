package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// datagramMost is the protocol's bound on a datagram between sidecars, in bytes.
const datagramMost = 256

// Peers carries the datagrams between sidecars and makes faults there. A
// sidecar sends to the hub (its peers_all); the hub sends a copy to every
// other sidecar from that sender's relay socket, the address that the others
// know it by (its entry in their peers), so that they take it as the
// sender's. Faults: a share dropped, a delay, and sidecars cut off one way or
// both.
type Peers struct {
	hub    *net.UDPConn
	relays []*net.UDPConn         // relays[i] is what the others know sidecar i by
	listen []netip.AddrPort       // where sidecar i takes datagrams
	index  map[netip.AddrPort]int // listen address to sidecar
	random *rand.Rand

	mu       sync.Mutex
	drop     float64
	delay    time.Duration
	cutIn    map[int]bool // datagrams to these are dropped
	cutOut   map[int]bool // datagrams from these are dropped
	relayed  int
	dropped  int
	oversize int // longer than the protocol allows: a breach
	strange  int // from no sidecar of the lab
}

// NewPeers opens the hub, a relay for each of n sidecars, and picks each
// sidecar's own address.
func NewPeers(n int, seed uint64) (*Peers, error) {
	open := func() (*net.UDPConn, error) {
		return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	}
	p := &Peers{index: map[netip.AddrPort]int{}, random: rand.New(rand.NewPCG(seed, 0x9ee5)),
		cutIn: map[int]bool{}, cutOut: map[int]bool{}}
	var err error
	if p.hub, err = open(); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	var owns []*net.UDPConn // free ports for the sidecars, given back once all relays have theirs
	defer func() {
		for _, own := range owns {
			own.Close()
		}
	}()
	for i := range n {
		relay, err := open()
		if err != nil {
			p.Close()
			return nil, fmt.Errorf("peers: %w", err)
		}
		p.relays = append(p.relays, relay)
		own, err := open()
		if err != nil {
			p.Close()
			return nil, fmt.Errorf("peers: %w", err)
		}
		owns = append(owns, own)
		address := own.LocalAddr().(*net.UDPAddr).AddrPort()
		p.listen = append(p.listen, address)
		p.index[address] = i
	}
	go p.serve(p.hub, -1)
	for i, relay := range p.relays {
		go p.serve(relay, i)
	}
	return p, nil
}

// Close closes every socket.
func (p *Peers) Close() {
	p.hub.Close()
	for _, r := range p.relays {
		r.Close()
	}
}

// Hub is every sidecar's peers_all, address:port.
func (p *Peers) Hub() string { return p.hub.LocalAddr().String() }

// Known is sidecar i's entry in the others' peers, address:port.
func (p *Peers) Known(i int) string { return p.relays[i].LocalAddr().String() }

// Listen is sidecar i's peer_listen, address:port.
func (p *Peers) Listen(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listen[i].String()
}

// Repick gives sidecar i another peer_listen, for a port taken meanwhile.
func (p *Peers) Repick(i int) error {
	own, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	own.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.index, p.listen[i])
	p.listen[i] = own.LocalAddr().(*net.UDPAddr).AddrPort()
	p.index[p.listen[i]] = i
	return nil
}

// serve relays what comes to the hub (to, -1) to all others, and what comes
// to relay to straight to sidecar to.
func (p *Peers) serve(conn *net.UDPConn, to int) {
	buffer := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		sender, ok := p.index[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !ok:
			p.strange++
		case n > datagramMost:
			p.oversize++
		}
		p.mu.Unlock()
		if !ok || n > datagramMost {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		for j := range p.relays {
			if j != sender && (to < 0 || j == to) {
				p.send(sender, j, data)
			}
		}
	}
}

func (p *Peers) send(from, to int, data []byte) {
	p.mu.Lock()
	lose := p.cutOut[from] || p.cutIn[to] || p.random.Float64() < p.drop
	delay := p.delay
	if lose {
		p.dropped++
	} else {
		p.relayed++
	}
	p.mu.Unlock()
	if lose {
		return
	}
	p.mu.Lock()
	address := p.listen[to]
	p.mu.Unlock()
	write := func() { p.relays[from].WriteToUDPAddrPort(data, address) }
	if delay > 0 {
		time.AfterFunc(delay, write)
		return
	}
	write()
}

// Isolate drops datagrams to (in) and from (out) sidecar i; both false heals.
func (p *Peers) Isolate(i int, in, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutIn[i], p.cutOut[i] = in, out
}

// Degrade drops this share of all datagrams and holds the rest this long.
func (p *Peers) Degrade(drop float64, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop, p.delay = drop, delay
}

// Counts gives what was relayed, dropped by faults, too long, and from strangers.
func (p *Peers) Counts() (relayed, dropped, oversize, strange int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayed, p.dropped, p.oversize, p.strange
}
