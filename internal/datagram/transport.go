// Package datagram is the one path between sidecars: UDP datagrams of at most 256
// bytes that may be lost (PROTOCOL, Between sidecars). The first byte of each
// is its channel. A Link carries packets and, by KCP, streams on it, counts
// what passes, and keeps the view's share to a budget.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

// MaxSize is the protocol's bound on a datagram, in bytes, its channel's byte included.
const MaxSize = 256

// Channel is the first byte of a datagram.
type Channel byte

// The channels. News is the module's messages, whose version is their first
// byte, so that they are on the wire as they were before there were others.
const (
	ChannelGossip     Channel = 1
	ChannelPackets    Channel = 2 // of the view
	ChannelToListener Channel = 3 // segments of streams, to the side that accepted
	ChannelToDialer   Channel = 4
	channelCount              = 5
)

const (
	sendTimeout    = 10 * time.Millisecond // a datagram that does not leave at once is as good as lost
	readErrorPause = 100 * time.Millisecond
	burstDuration  = 4 * time.Second // of the budget, which a start or a healing spends at once
)

// ChannelCounts is what passed on one channel since the start, in datagrams and bytes
// of payload (UDP and IP headers not counted).
type ChannelCounts struct {
	SentDatagrams, SentBytes         uint64
	ReceivedDatagrams, ReceivedBytes uint64
	RateLimited                      uint64 // not sent for want of budget
	Rejected                         uint64 // received and dropped: too long, from a stranger, improper
}

type channelCounters struct{ sent, sentBytes, received, receivedBytes, rateLimited, rejected atomic.Uint64 }

// Options of a Link. Zero values are usable.
type Options struct {
	MaxRate float64 // datagrams a second of all channels but News, half for packets and half for streams; 0 for no bound
	// ControlSocket sets options of the socket before it is bound.
	ControlSocket func(network, address string, raw syscall.RawConn) error
	Logger        *slog.Logger
}

// Transport is one sidecar's end of the path. It is safe for concurrent use.
type Transport struct {
	send             func(data []byte, to netip.AddrPort) error
	limiters         [channelCount]*rate.Limiter // nil for no bound
	counters         [channelCount]channelCounters
	unknownDatagrams atomic.Uint64 // datagrams too long, empty or of no known channel
	handlers         [channelCount]func(from netip.AddrPort, data []byte) bool
	logger           *slog.Logger
	conn             *net.UDPConn // nil where others carry the datagrams
}

// New makes a link whose datagrams send carries, without keeping data; what
// comes in is handed to Deliver. Handlers are set before the first Deliver.
func New(send func(data []byte, to netip.AddrPort) error, o Options) *Transport {
	l := &Transport{send: send, logger: o.Logger}
	if l.logger == nil {
		l.logger = slog.New(slog.DiscardHandler)
	}
	if o.MaxRate > 0 {
		half := func() *rate.Limiter {
			return rate.NewLimiter(rate.Limit(o.MaxRate/2), max(1, int(o.MaxRate/2*burstDuration.Seconds())))
		}
		l.limiters[ChannelPackets] = half() // so that lists sent to many leave room to answer pings
		l.limiters[ChannelToListener] = half()
		l.limiters[ChannelToDialer] = l.limiters[ChannelToListener]
	}
	return l
}

// Listen makes a link on a UDP socket of its own. Serve reads it, until ctx ends and with it the socket.
func Listen(ctx context.Context, listen netip.AddrPort, o Options) (*Transport, error) {
	config := net.ListenConfig{Control: o.ControlSocket}
	packets, err := config.ListenPacket(ctx, "udp4", listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen to peers: %w", err)
	}
	conn := packets.(*net.UDPConn)
	l := New(func(data []byte, to netip.AddrPort) error {
		conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, err := conn.WriteToUDPAddrPort(data, to)
		return err
	}, o)
	l.conn = conn
	context.AfterFunc(ctx, func() { conn.Close() })
	return l, nil
}

// Conn is the link's socket.
func (l *Transport) Conn() *net.UDPConn { return l.conn }

// Handle has f take what comes on a channel: the whole datagram, which f may
// keep, and where it came from. f returns false for one that it refuses.
func (l *Transport) Handle(c Channel, f func(from netip.AddrPort, data []byte) bool) {
	l.handlers[c] = f
}

// Serve passes on what comes to the socket until it is closed.
func (l *Transport) Serve() {
	buf := make([]byte, MaxSize+1) // a byte more tells that one is too long
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			l.logger.Warn("peers", "error", err)
			time.Sleep(readErrorPause) // else a socket in trouble would fill the log
		default:
			l.Deliver(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buf[:n]...))
		}
	}
}

// Deliver hands in one datagram; it takes data over.
func (l *Transport) Deliver(from netip.AddrPort, data []byte) {
	if len(data) == 0 || len(data) > MaxSize || data[0] >= channelCount || l.handlers[data[0]] == nil {
		l.countDropped(&l.unknownDatagrams, from, data)
		return
	}
	c := &l.counters[data[0]]
	c.received.Add(1)
	c.receivedBytes.Add(uint64(len(data)))
	if !l.handlers[data[0]](from, data) {
		l.countDropped(&c.rejected, from, data)
	}
}

// countDropped counts and, the 1st, 2nd, 4th, 8th ... time, logs a datagram dropped.
func (l *Transport) countDropped(count *atomic.Uint64, from netip.AddrPort, data []byte) {
	if n := count.Add(1); n&(n-1) == 0 {
		l.logger.Warn("datagram dropped", "from", from, "bytes", len(data), "dropped", n)
	}
}

// ErrRateLimited says that a datagram was held back.
var ErrRateLimited = errors.New("over the budget of datagrams")

// Send sends one datagram, whose first byte is its channel. An error is as if it was lost on the way.
func (l *Transport) Send(to netip.AddrPort, data []byte) error {
	if len(data) == 0 || len(data) > MaxSize || data[0] >= channelCount {
		return fmt.Errorf("a datagram of %d bytes is not sent", len(data))
	}
	c := &l.counters[data[0]]
	if b := l.limiters[data[0]]; b != nil && !b.Allow() {
		c.rateLimited.Add(1)
		return ErrRateLimited
	}
	if err := l.send(data, to); err != nil {
		return err
	}
	c.sent.Add(1)
	c.sentBytes.Add(uint64(len(data)))
	return nil
}

// Counts gives what passed on each channel, and how many datagrams came that were of none.
func (l *Transport) Counts() (by map[Channel]ChannelCounts, unknown uint64) {
	by = map[Channel]ChannelCounts{}
	for i := range l.counters {
		if c := &l.counters[i]; i > 0 {
			by[Channel(i)] = ChannelCounts{c.sent.Load(), c.sentBytes.Load(), c.received.Load(), c.receivedBytes.Load(), c.rateLimited.Load(), c.rejected.Load()}
		}
	}
	return by, l.unknownDatagrams.Load()
}
