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
	d := &DatagramRelay{index: map[netip.AddrPort]int{}, net: network, subnet: sub}
	var err error
	if d.hub, err = open(relayAddress); err != nil {
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
			d.Close()
			return nil, fmt.Errorf("peers: %w", err)
		}
		d.relays = append(d.relays, relay)
		own, err := open(sub.address(i))
		if err != nil {
			d.Close()
			return nil, fmt.Errorf("peers: %w", err)
		}
		owns = append(owns, own)
		address := own.LocalAddr().(*net.UDPAddr).AddrPort()
		d.listen = append(d.listen, address)
		d.index[address] = i
	}
	go d.serve(d.hub, -1)
	for i, relay := range d.relays {
		go d.serve(relay, i)
	}
	return d, nil
}

// Close closes every socket.
func (d *DatagramRelay) Close() {
	d.hub.Close()
	for _, r := range d.relays {
		r.Close()
	}
}

// Hub returns the hub's address, which is every sidecar's peers_all, as address:port.
func (d *DatagramRelay) Hub() string { return d.hub.LocalAddr().String() }

// RelayAddress returns the address of sidecar i's relay socket, its entry in the others' peers, as address:port.
func (d *DatagramRelay) RelayAddress(i int) string { return d.relays[i].LocalAddr().String() }

// ListenAddress returns sidecar i's peer_listen, as address:port.
func (d *DatagramRelay) ListenAddress(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listen[i].String()
}

// ReassignAddress gives sidecar i another peer_listen with a free port, for the case that its port is in use.
func (d *DatagramRelay) ReassignAddress(i int) error {
	own, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(d.subnet.address(i))})
	if err != nil {
		return err
	}
	own.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.index, d.listen[i])
	d.listen[i] = own.LocalAddr().(*net.UDPAddr).AddrPort()
	d.index[d.listen[i]] = i
	return nil
}

// serve relays the datagrams that conn receives until it is closed. The hub's (to is -1) go to all sidecars except the
// sender; those of a relay socket go only to sidecar to. Datagrams that are too long or of unknown senders are counted
// and discarded.
func (d *DatagramRelay) serve(conn *net.UDPConn, to int) {
	buffer := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		d.mu.Lock()
		sender, ok := d.index[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !ok:
			d.unknown++
		case n > maxDatagramSize:
			d.oversize++
		}
		d.mu.Unlock()
		if !ok || n > maxDatagramSize {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		for j := range d.relays {
			if j != sender && (to < 0 || j == to) {
				d.send(sender, j, data)
			}
		}
	}
}

// send sends a datagram from one sidecar to another under the network's faults: not at all, once or more often, each copy
// after its delay.
func (d *DatagramRelay) send(from, to int, data []byte) {
	copies := d.net.datagramDelays(endpoint(from), endpoint(to))
	d.mu.Lock()
	if len(copies) == 0 {
		d.dropped++
	}
	d.relayed += len(copies)
	address := d.listen[to]
	d.mu.Unlock()
	for _, delay := range copies {
		write := func() { d.relays[from].WriteToUDPAddrPort(data, address) }
		if delay > 0 {
			time.AfterFunc(delay, write)
			continue
		}
		write()
	}
}

// Counts returns the numbers of datagrams relayed (each copy), dropped by faults, too long, and from unknown senders.
func (d *DatagramRelay) Counts() (relayed, dropped, oversize, unknown int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.relayed, d.dropped, d.oversize, d.unknown
}
