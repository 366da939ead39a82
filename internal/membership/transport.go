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

const maxQueuedPackets = 256 // received and not yet looked at

// transport is memberlist's way onto the link: packets as they are, streams by KCP.
type transport struct {
	datagrams  *datagram.Transport
	streams    *datagram.Streams
	address    netip.AddrPort // the own, as the others know it
	maxMembers int            // states in a push/pull
	onReport   reportFunc
	onContact  func(from netip.AddrPort, what packetContents)
	onRejected func(from net.Addr, err error)

	packetQueue chan *memberlist.Packet
	streamQueue chan net.Conn
	dropped     atomic.Uint64 // packets for want of room
	done        chan struct{}
	once        sync.Once
}

func newTransport(l *datagram.Transport, addr netip.AddrPort, most int, note reportFunc, heard func(netip.AddrPort, packetContents), refused func(net.Addr, error)) *transport {
	t := &transport{datagrams: l, address: addr, maxMembers: most, onReport: note, onContact: heard, onRejected: refused,
		packetQueue: make(chan *memberlist.Packet, maxQueuedPackets), streamQueue: make(chan net.Conn), done: make(chan struct{})}
	l.Handle(datagram.ChannelPackets, t.receivePacket)
	t.streams = datagram.NewStreams(l)
	go t.acceptStreams()
	return t
}

func (t *transport) receivePacket(from netip.AddrPort, data []byte) bool {
	what, err := checkPacket(data[1:], t.onReport)
	if err != nil {
		t.onRejected(net.UDPAddrFromAddrPort(from), err)
		return false
	}
	t.onContact(from, what)
	select {
	case t.packetQueue <- &memberlist.Packet{Buf: data[1:], From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}:
	case <-t.done:
	default:
		t.dropped.Add(1)
	}
	return true
}

func (t *transport) acceptStreams() {
	for {
		select {
		case conn := <-t.streams.Accepted():
			select {
			case t.streamQueue <- &checkedStream{Conn: conn, transport: t}:
			case <-t.done:
				return
			}
		case <-t.done:
			return
		}
	}
}

// FinalAdvertiseAddr gives the own address, whatever memberlist is configured with.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	ip := t.address.Addr().As4()
	return ip[:], int(t.address.Port()), nil
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	err = t.datagrams.Send(to, append([]byte{byte(datagram.ChannelPackets)}, b...))
	if errors.Is(err, datagram.ErrRateLimited) {
		err = nil // as if lost on the way, and counted there
	}
	return time.Now(), err
}

func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packetQueue }

func (t *transport) DialTimeout(addr string, _ time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	conn, err := t.streams.Dial(to)
	if err != nil {
		return nil, err
	}
	return &checkedStream{Conn: conn, transport: t}, nil
}

func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

func (t *transport) StreamCh() <-chan net.Conn { return t.streamQueue }

func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.done)
		t.streams.Close()
	})
	return nil
}

// checkedStream is a stream whose one message is read and looked through whole before any of it is passed on.
type checkedStream struct {
	net.Conn
	transport *transport
	message   *bytes.Reader
	err       error
}

func (v *checkedStream) Read(b []byte) (int, error) {
	if v.message == nil && v.err == nil {
		whole, err := readStreamMessage(v.Conn, v.transport.maxMembers, v.transport.onReport)
		if v.err = err; err == nil {
			v.message = bytes.NewReader(whole)
		} else if !errors.Is(err, net.ErrClosed) {
			v.transport.onRejected(v.RemoteAddr(), fmt.Errorf("stream: %w", err))
		}
	}
	if v.err != nil {
		return 0, v.err
	}
	return v.message.Read(b)
}
