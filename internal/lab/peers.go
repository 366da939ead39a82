package lab

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// datagramMost is the protocol's bound on a datagram between sidecars, in bytes.
const datagramMost = 256

// relayBuffer is asked of the system for each of the relay's sockets, in bytes, so that it drops nothing unasked.
const relayBuffer = 4 << 20

const relayAddress = "127.0.0.1"

// Peers carries the datagrams between sidecars, through the network's faults.
// A sidecar sends to the hub (its peers_all); the hub sends a copy to every
// other sidecar from that sender's relay socket, the address that the others
// know it by (its entry in their peers), so that they take it as the
// sender's. What is sent to a relay goes to its sidecar alone.
type Peers struct {
	hub    *net.UDPConn
	relays []*net.UDPConn         // relays[i] is what the others know sidecar i by
	listen []netip.AddrPort       // where sidecar i takes datagrams
	index  map[netip.AddrPort]int // listen address to sidecar
	net    *Network
	sub    subnet

	mu       sync.Mutex
	relayed  int
	dropped  int
	oversize int // longer than the protocol allows: a breach
	strange  int // from no sidecar of the lab
}

// NewPeers opens the hub, a relay for each of n sidecars, and picks each
// sidecar's own address, of the lab's subnet: what is sent to it must not
// come to a sidecar of another lab that runs beside this one.
func NewPeers(n int, network *Network, sub subnet) (*Peers, error) {
	open := func(address string) (*net.UDPConn, error) {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(address)})
		if err == nil {
			conn.SetReadBuffer(relayBuffer)
		}
		return conn, err
	}
	p := &Peers{index: map[netip.AddrPort]int{}, net: network, sub: sub}
	var err error
	if p.hub, err = open(relayAddress); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	var owns []*net.UDPConn // free ports for the sidecars, given back once all relays have theirs
	defer func() {
		for _, own := range owns {
			own.Close()
		}
	}()
	for i := range n {
		relay, err := open(relayAddress)
		if err != nil {
			p.Close()
			return nil, fmt.Errorf("peers: %w", err)
		}
		p.relays = append(p.relays, relay)
		own, err := open(sub.address(i))
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
	own, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(p.sub.address(i))})
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
	copies := p.net.datagram(endpoint(from), endpoint(to))
	p.mu.Lock()
	if len(copies) == 0 {
		p.dropped++
	}
	p.relayed += len(copies)
	address := p.listen[to]
	p.mu.Unlock()
	for _, delay := range copies {
		write := func() { p.relays[from].WriteToUDPAddrPort(data, address) }
		if delay > 0 {
			time.AfterFunc(delay, write)
			continue
		}
		write()
	}
}

// Counts gives what was relayed, dropped by faults, too long, and from strangers.
func (p *Peers) Counts() (relayed, dropped, oversize, strange int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayed, p.dropped, p.oversize, p.strange
}
