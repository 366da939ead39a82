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

// MaxSize is the protocol's maximum size of a datagram in bytes, including the channel byte.
const MaxSize = 256

// Channel is the first byte of a datagram. It says which part of the sidecar the datagram is for.
type Channel byte

// The channels. ChannelGossip equals the version that is the first byte of a
// gossip message, so that gossip has the same form on the wire as before the
// other channels were added.
const (
	ChannelGossip     Channel = 1 // the balancer's gossip messages
	ChannelPackets    Channel = 2 // memberlist packets
	ChannelToListener Channel = 3 // stream segments to the side that accepted the stream
	ChannelToDialer   Channel = 4 // stream segments to the side that dialed the stream

	channelCount = 5 // length of arrays indexed by channel; channel 0 is not used
)

const (
	sendTimeout    = 10 * time.Millisecond  // a datagram that the socket does not accept in this time is dropped
	readErrorPause = 100 * time.Millisecond // after a read error, so that a failing socket does not fill the log
	burstDuration  = 4 * time.Second        // the rate limit's burst is this long at the full rate, for the traffic after a start or a healed partition
)

// ErrRateLimited is returned by Send for a datagram that exceeds the rate limit.
var ErrRateLimited = errors.New("datagram rate limit exceeded")

// ErrInvalidDatagram is wrapped by Send's error for a datagram that is empty, too long or on an unknown channel.
var ErrInvalidDatagram = errors.New("invalid datagram")

// ChannelCounts counts the datagrams of one channel since the start. Bytes do
// not include UDP and IP headers.
type ChannelCounts struct {
	SentDatagrams, SentBytes         uint64
	ReceivedDatagrams, ReceivedBytes uint64
	RateLimited                      uint64 // not sent because of the rate limit
	Rejected                         uint64 // received, but rejected by the channel's handler
}

// channelCounters holds the counters behind ChannelCounts.
type channelCounters struct {
	sent, sentBytes, received, receivedBytes, rateLimited, rejected atomic.Uint64
}

func (c *channelCounters) snapshot() ChannelCounts {
	return ChannelCounts{
		SentDatagrams:     c.sent.Load(),
		SentBytes:         c.sentBytes.Load(),
		ReceivedDatagrams: c.received.Load(),
		ReceivedBytes:     c.receivedBytes.Load(),
		RateLimited:       c.rateLimited.Load(),
		Rejected:          c.rejected.Load(),
	}
}

// Options configures a Transport. The zero value is usable.
type Options struct {
	// MaxRate limits the sending rate of all channels except ChannelGossip, in
	// datagrams per second: half of it is for packets, half for streams. 0 means
	// no limit.
	MaxRate float64
	// ControlSocket sets socket options before the socket is bound; nil for none.
	ControlSocket func(network, address string, raw syscall.RawConn) error
	Logger        *slog.Logger // nil discards log lines
}

// SendFunc sends one datagram to an address. It must not retain data.
type SendFunc func(data []byte, to netip.AddrPort) error

// Handler handles a received datagram, channel byte included. It may retain
// data, and returns false for a datagram that it rejects.
type Handler func(from netip.AddrPort, data []byte) bool

// Transport sends and receives one sidecar's datagrams. All methods except Handle are safe for concurrent use.
type Transport struct {
	send             SendFunc
	limiters         [channelCount]*rate.Limiter // nil for no limit; the two stream channels share one
	counters         [channelCount]channelCounters
	unknownDatagrams atomic.Uint64         // received with an invalid size or no handler for the channel
	handlers         [channelCount]Handler // set by Handle before the first Deliver
	logger           *slog.Logger
	conn             *net.UDPConn // nil for a transport made by New
}

// New returns a transport without a socket. It sends datagrams by calling send,
// and its owner passes received ones to Deliver.
func New(send SendFunc, o Options) *Transport {
	t := &Transport{send: send, logger: o.Logger}
	if t.logger == nil {
		t.logger = slog.New(slog.DiscardHandler)
	}
	if o.MaxRate > 0 {
		// Packets and streams have separate limiters, so that sending the membership list to many members does not
		// prevent answers to pings.
		t.limiters[ChannelPackets] = newLimiter(o.MaxRate / 2)
		streams := newLimiter(o.MaxRate / 2)
		t.limiters[ChannelToListener] = streams
		t.limiters[ChannelToDialer] = streams
	}
	return t
}

// newLimiter returns a limiter of perSecond datagrams per second, whose burst is the number of datagrams in burstDuration.
func newLimiter(perSecond float64) *rate.Limiter {
	burst := max(1, int(perSecond*burstDuration.Seconds()))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Listen returns a transport on a UDP socket bound to address. The socket is
// closed when ctx ends. The owner sets the handlers and then runs Serve.
func Listen(ctx context.Context, address netip.AddrPort, o Options) (*Transport, error) {
	config := net.ListenConfig{Control: o.ControlSocket}
	packetConn, err := config.ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %v: %w", address, err)
	}
	conn := packetConn.(*net.UDPConn)
	t := New(func(data []byte, to netip.AddrPort) error {
		conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, err := conn.WriteToUDPAddrPort(data, to)
		return err
	}, o)
	t.conn = conn
	context.AfterFunc(ctx, func() { conn.Close() })
	return t, nil
}

// Conn returns the transport's socket, or nil for a transport made by New.
func (t *Transport) Conn() *net.UDPConn { return t.conn }

// Handle sets the handler of a channel. It must be called before Serve and before the first Deliver.
func (t *Transport) Handle(channel Channel, handler Handler) { t.handlers[channel] = handler }

// Serve reads datagrams from the socket and delivers them until the socket is
// closed. The transport's owner runs it in a goroutine.
func (t *Transport) Serve() {
	buffer := make([]byte, MaxSize+1) // the extra byte reveals a datagram that is too long
	for {
		size, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			t.logger.Warn("cannot read datagram", "error", err)
			time.Sleep(readErrorPause)
		default:
			sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			t.Deliver(sender, append([]byte(nil), buffer[:size]...))
		}
	}
}

// Deliver passes one received datagram to the handler of its channel. It takes ownership of data.
func (t *Transport) Deliver(from netip.AddrPort, data []byte) {
	if !isValid(data) || t.handlers[data[0]] == nil {
		t.countDropped(&t.unknownDatagrams, from, data)
		return
	}
	channel := data[0]
	counters := &t.counters[channel]
	counters.received.Add(1)
	counters.receivedBytes.Add(uint64(len(data)))
	if !t.handlers[channel](from, data) {
		t.countDropped(&counters.rejected, from, data)
	}
}

// isValid reports whether data has a valid size and a known channel.
func isValid(data []byte) bool {
	return len(data) > 0 && len(data) <= MaxSize && data[0] < channelCount
}

// countDropped counts a received datagram that was dropped. It logs the 1st, 2nd, 4th, 8th and so on of each counter.
func (t *Transport) countDropped(count *atomic.Uint64, from netip.AddrPort, data []byte) {
	if n := count.Add(1); n&(n-1) == 0 {
		t.logger.Warn("datagram dropped", "from", from, "bytes", len(data), "dropped", n)
	}
}

// Send sends one datagram, channel byte included. It returns ErrRateLimited, an
// error that wraps ErrInvalidDatagram, or the error of the SendFunc. Callers may
// treat each of them as a lost datagram.
func (t *Transport) Send(to netip.AddrPort, data []byte) error {
	if !isValid(data) {
		return fmt.Errorf("send %d bytes to %v: %w", len(data), to, ErrInvalidDatagram)
	}
	channel := data[0]
	counters := &t.counters[channel]
	if limiter := t.limiters[channel]; limiter != nil && !limiter.Allow() {
		counters.rateLimited.Add(1)
		return ErrRateLimited
	}
	if err := t.send(data, to); err != nil {
		return err
	}
	counters.sent.Add(1)
	counters.sentBytes.Add(uint64(len(data)))
	return nil
}

// Counts returns the counts of each channel, and the number of received
// datagrams that were empty, too long or on a channel without a handler.
func (t *Transport) Counts() (byChannel map[Channel]ChannelCounts, unknown uint64) {
	byChannel = map[Channel]ChannelCounts{}
	for channel := ChannelGossip; channel < channelCount; channel++ {
		byChannel[channel] = t.counters[channel].snapshot()
	}
	return byChannel, t.unknownDatagrams.Load()
}
