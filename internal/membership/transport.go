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

const packetsMost = 256 // received and not yet looked at

// transport is memberlist's way onto the link: packets as they are, streams by KCP.
type transport struct {
	link    *datagram.Transport
	streams *datagram.Streams
	addr    netip.AddrPort // the own, as the others know it
	most    int            // states in a push/pull
	note    said
	heard   func(from netip.AddrPort, what contents)
	refused func(from net.Addr, err error)

	packets chan *memberlist.Packet
	conns   chan net.Conn
	dropped atomic.Uint64 // packets for want of room
	done    chan struct{}
	once    sync.Once
}

func newTransport(l *datagram.Transport, addr netip.AddrPort, most int, note said, heard func(netip.AddrPort, contents), refused func(net.Addr, error)) *transport {
	t := &transport{link: l, addr: addr, most: most, note: note, heard: heard, refused: refused,
		packets: make(chan *memberlist.Packet, packetsMost), conns: make(chan net.Conn), done: make(chan struct{})}
	l.Handle(datagram.ChannelPackets, t.packet)
	t.streams = datagram.NewStreams(l)
	go t.accept()
	return t
}

func (t *transport) packet(from netip.AddrPort, data []byte) bool {
	what, err := vetPacket(data[1:], t.note)
	if err != nil {
		t.refused(net.UDPAddrFromAddrPort(from), err)
		return false
	}
	t.heard(from, what)
	select {
	case t.packets <- &memberlist.Packet{Buf: data[1:], From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}:
	case <-t.done:
	default:
		t.dropped.Add(1)
	}
	return true
}

func (t *transport) accept() {
	for {
		select {
		case conn := <-t.streams.Accepted():
			select {
			case t.conns <- &vetted{Conn: conn, transport: t}:
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
	ip := t.addr.Addr().As4()
	return ip[:], int(t.addr.Port()), nil
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	err = t.link.Send(to, append([]byte{byte(datagram.ChannelPackets)}, b...))
	if errors.Is(err, datagram.ErrRateLimited) {
		err = nil // as if lost on the way, and counted there
	}
	return time.Now(), err
}

func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *transport) DialTimeout(addr string, _ time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	conn, err := t.streams.Dial(to)
	if err != nil {
		return nil, err
	}
	return &vetted{Conn: conn, transport: t}, nil
}

func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

func (t *transport) StreamCh() <-chan net.Conn { return t.conns }

func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.done)
		t.streams.Close()
	})
	return nil
}

// vetted is a stream whose one message is read and looked through whole before any of it is passed on.
type vetted struct {
	net.Conn
	transport *transport
	message   *bytes.Reader
	err       error
}

func (v *vetted) Read(b []byte) (int, error) {
	if v.message == nil && v.err == nil {
		whole, err := vetStream(v.Conn, v.transport.most, v.transport.note)
		if v.err = err; err == nil {
			v.message = bytes.NewReader(whole)
		} else if !errors.Is(err, net.ErrClosed) {
			v.transport.refused(v.RemoteAddr(), fmt.Errorf("stream: %w", err))
		}
	}
	if v.err != nil {
		return 0, v.err
	}
	return v.message.Read(b)
}
