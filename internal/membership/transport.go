package membership

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"bramblestand/internal/datagram"
)

const maxQueuedPackets = 256 // received packets that memberlist has not processed yet

// transportEvents is notified of what a transport receives. Its methods are
// called by the goroutine that calls Deliver and by those that read streams.
type transportEvents interface {
	onReport(memberReport)
	onContact(from netip.AddrPort, contents packetContents)
	onRejected(from net.Addr, err error)
}

// transport implements memberlist's NodeAwareTransport on a datagram transport.
// Each packet is one datagram, and streams use KCP. Received packets and streams
// are checked. Its goroutine ends at Shutdown.
type transport struct {
	datagrams  *datagram.Transport
	streams    *datagram.Streams
	address    netip.AddrPort // at which the others reach this sidecar
	maxMembers int            // limit on members in a push/pull
	events     transportEvents

	packetQueue    chan *memberlist.Packet
	streamQueue    chan net.Conn
	droppedPackets atomic.Uint64 // valid packets dropped because packetQueue was full
	shutdown       chan struct{}
	shutdownOnce   sync.Once
}

func newTransport(datagrams *datagram.Transport, address netip.AddrPort, maxMembers int, events transportEvents) *transport {
	t := &transport{
		datagrams:   datagrams,
		address:     address,
		maxMembers:  maxMembers,
		events:      events,
		packetQueue: make(chan *memberlist.Packet, maxQueuedPackets),
		streamQueue: make(chan net.Conn),
		shutdown:    make(chan struct{}),
	}
	datagrams.Handle(datagram.ChannelPackets, t.receivePacket)
	t.streams = datagram.NewStreams(datagrams)
	go t.acceptStreams()
	return t
}

// receivePacket checks a packet and queues it for memberlist. It is the handler of ChannelPackets.
func (t *transport) receivePacket(from netip.AddrPort, data []byte) bool {
	packet := data[1:]
	sender := net.UDPAddrFromAddrPort(from)
	contents, err := checkPacket(packet, t.events.onReport)
	if err != nil {
		t.events.onRejected(sender, err)
		return false
	}
	t.events.onContact(from, contents)
	select {
	case t.packetQueue <- &memberlist.Packet{Buf: packet, From: sender, Timestamp: time.Now()}:
	case <-t.shutdown:
	default:
		t.droppedPackets.Add(1)
	}
	return true
}

// acceptStreams passes accepted streams to memberlist until Shutdown.
func (t *transport) acceptStreams() {
	for {
		select {
		case conn := <-t.streams.Accepted():
			select {
			case t.streamQueue <- &checkedStream{Conn: conn, transport: t}:
			case <-t.shutdown:
				return
			}
		case <-t.shutdown:
			return
		}
	}
}

// FinalAdvertiseAddr returns this sidecar's address and ignores memberlist's configuration.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	ip := t.address.Addr().As4()
	return ip[:], int(t.address.Port()), nil
}

// WriteTo sends a packet. A packet over the rate limit is dropped without an error, as if lost on the network.
func (t *transport) WriteTo(packet []byte, address string) (time.Time, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return time.Time{}, fmt.Errorf("send packet: %w", err)
	}
	err = t.datagrams.Send(to, append([]byte{byte(datagram.ChannelPackets)}, packet...))
	if errors.Is(err, datagram.ErrRateLimited) {
		err = nil
	}
	return time.Now(), err
}

// WriteToAddress sends a packet as WriteTo does. The name in the address is not used.
func (t *transport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, address.Addr)
}

// PacketCh returns the queue of checked packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packetQueue }

// DialTimeout opens a stream. It needs no timeout, since it does not wait for the peer.
func (t *transport) DialTimeout(address string, _ time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial stream: %w", err)
	}
	conn, err := t.streams.Dial(to)
	if err != nil {
		return nil, fmt.Errorf("dial stream to %v: %w", to, err)
	}
	return &checkedStream{Conn: conn, transport: t}, nil
}

// DialAddressTimeout opens a stream as DialTimeout does. The name in the address is not used.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// StreamCh returns the queue of accepted streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streamQueue }

// Shutdown terminates the streams and ends the transport's goroutine.
func (t *transport) Shutdown() error {
	t.shutdownOnce.Do(func() {
		close(t.shutdown)
		t.streams.Close()
	})
	return nil
}

// checkedStream is a stream whose only message is read and checked completely before Read returns any of it.
type checkedStream struct {
	net.Conn
	transport *transport
	message   *bytes.Reader // nil until the message was read and is valid
	err       error         // why the message could not be read or is not valid
}

// Read reads from the checked message. It is not safe for concurrent use: memberlist reads a stream in one goroutine.
func (s *checkedStream) Read(b []byte) (int, error) {
	if s.message == nil && s.err == nil {
		s.readMessage()
	}
	if s.err != nil {
		return 0, s.err
	}
	return s.message.Read(b)
}

// readMessage reads and checks the message, and sets message or err.
func (s *checkedStream) readMessage() {
	events := s.transport.events
	message, err := readStreamMessage(s.Conn, s.transport.maxMembers, events.onReport)
	switch {
	case err == nil:
		s.message = bytes.NewReader(message)
	case !errors.Is(err, net.ErrClosed):
		events.onRejected(s.RemoteAddr(), fmt.Errorf("stream: %w", err))
	}
	s.err = err
}
