package lab

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDatagramSize is the protocol's limit for a datagram between sidecars, in bytes.
const maxDatagramSize = 256

// relayBufferSize is the receive buffer of each of the relay's sockets, in bytes, large enough that only faults drop datagrams.
const relayBufferSize = 4 << 20

// relayAddress is the IP address of the hub and of all relay sockets.
const relayAddress = "127.0.0.1"

// DatagramRelay carries the datagrams between sidecars and applies the network's faults to them. A sidecar sends to the
// hub, its peers_all. The hub sends a copy to every other sidecar from the sender's relay socket, the address by which
// the others know it (its entry in their peers). Datagrams sent to a relay socket go to its sidecar alone.
type DatagramRelay struct {
	hub    *net.UDPConn
	relays []*net.UDPConn         // relays[i] is the socket to which the others send datagrams for sidecar i
	listen []netip.AddrPort       // listen[i] is where sidecar i receives datagrams
	index  map[netip.AddrPort]int // sidecar by its listen address
	net    *Network
	subnet subnet

	mu       sync.Mutex
	relayed  int
	dropped  int
	oversize int // longer than maxDatagramSize, which is a breach
	unknown  int // from senders that are not sidecars of this lab
}

// NewDatagramRelay opens the hub and a relay socket for each of n sidecars, and picks each sidecar's own address in the
// lab's subnet. The subnet keeps datagrams from reaching a sidecar of another lab that runs at the same time.
func NewDatagramRelay(n int, network *Network, sub subnet) (*DatagramRelay, error) {
	open := func(address string) (*net.UDPConn, error) {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(address)})
		if err == nil {
			conn.SetReadBuffer(relayBufferSize)
		}
		return conn, err
	}
	p := &DatagramRelay{index: map[netip.AddrPort]int{}, net: network, subnet: sub}
	var err error
	if p.hub, err = open(relayAddress); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	var owns []*net.UDPConn // sockets that reserve the sidecars' ports until all relay sockets are open
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
func (p *DatagramRelay) Close() {
	p.hub.Close()
	for _, r := range p.relays {
		r.Close()
	}
}

// Hub returns the hub's address, which is every sidecar's peers_all, as address:port.
func (p *DatagramRelay) Hub() string { return p.hub.LocalAddr().String() }

// RelayAddress returns the address of sidecar i's relay socket, its entry in the others' peers, as address:port.
func (p *DatagramRelay) RelayAddress(i int) string { return p.relays[i].LocalAddr().String() }

// ListenAddress returns sidecar i's peer_listen, as address:port.
func (p *DatagramRelay) ListenAddress(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listen[i].String()
}

// ReassignAddress gives sidecar i another peer_listen with a free port, for the case that its port is in use.
func (p *DatagramRelay) ReassignAddress(i int) error {
	own, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(p.subnet.address(i))})
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

// serve relays the datagrams that conn receives until it is closed. The hub's (to is -1) go to all sidecars except the
// sender; those of a relay socket go only to sidecar to. Datagrams that are too long or of unknown senders are counted
// and discarded.
func (p *DatagramRelay) serve(conn *net.UDPConn, to int) {
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
			p.unknown++
		case n > maxDatagramSize:
			p.oversize++
		}
		p.mu.Unlock()
		if !ok || n > maxDatagramSize {
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

// send sends a datagram from one sidecar to another under the network's faults: not at all, once or more often, each copy
// after its delay.
func (p *DatagramRelay) send(from, to int, data []byte) {
	copies := p.net.datagramDelays(endpoint(from), endpoint(to))
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

// Counts returns the numbers of datagrams relayed (each copy), dropped by faults, too long, and from unknown senders.
func (p *DatagramRelay) Counts() (relayed, dropped, oversize, unknown int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayed, p.dropped, p.oversize, p.unknown
}
