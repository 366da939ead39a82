package lab

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDatagramSize is the protocol's limit of a datagram between sidecars, in bytes.
const maxDatagramSize = 256

// relayBufferSize is the receive buffer of each of the relay's sockets, in bytes, large enough that only faults drop datagrams.
const relayBufferSize = 4 << 20

const relayAddress = "127.0.0.1"

// DatagramRelay carries the datagrams between sidecars, through the network's faults.
// A sidecar sends to the hub (its peers_all); the hub sends a copy to every
// other sidecar from that sender's relay socket, the address that the others
// know it by (its entry in their peers). What is sent to a relay socket goes
// to its sidecar alone.
type DatagramRelay struct {
	hub    *net.UDPConn
	relays []*net.UDPConn         // relays[i] is how the others address sidecar i
	listen []netip.AddrPort       // where sidecar i receives datagrams
	index  map[netip.AddrPort]int // listen address to sidecar
	net    *Network
	subnet subnet

	mu       sync.Mutex
	relayed  int
	dropped  int
	oversize int // longer than the protocol allows: a breach
	unknown  int // from no sidecar of the lab
}

// NewDatagramRelay opens the hub, a relay for each of n sidecars, and picks each
// sidecar's own address, of the lab's subnet: what is sent to it must not
// come to a sidecar of another lab that runs beside this one.
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
	var owns []*net.UDPConn // free ports for the sidecars, released once all relays have theirs
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

// Hub is every sidecar's peers_all, address:port.
func (p *DatagramRelay) Hub() string { return p.hub.LocalAddr().String() }

// RelayAddress is sidecar i's entry in the others' peers, address:port.
func (p *DatagramRelay) RelayAddress(i int) string { return p.relays[i].LocalAddr().String() }

// ListenAddress is sidecar i's peer_listen, address:port.
func (p *DatagramRelay) ListenAddress(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listen[i].String()
}

// ReassignAddress gives sidecar i another peer_listen, since its port is in use.
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

// serve relays the datagrams received by the hub (to is -1) to all other
// sidecars, and those received by relay socket to only to that sidecar.
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

// Counts returns the datagrams relayed, dropped by faults, too long, and from unknown senders.
func (p *DatagramRelay) Counts() (relayed, dropped, oversize, strange int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayed, p.dropped, p.oversize, p.unknown
}
