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

// MaxSize is the protocol's limit on a datagram, in bytes, its channel byte included.
const MaxSize = 256

// Channel is the first byte of a datagram. It says which part of the sidecar the datagram is for.
type Channel byte

// The channels. The version of a gossip message is its first byte, so that
// gossip looks on the wire as it did before there were other channels.
const (
	ChannelGossip     Channel = 1 // the balancer's messages
	ChannelPackets    Channel = 2 // memberlist packets
	ChannelToListener Channel = 3 // stream segments to the side that accepted the stream
	ChannelToDialer   Channel = 4 // stream segments to the side that dialed it

	channelCount = 5 // channel 0 is not used
)

const (
	sendTimeout    = 10 * time.Millisecond  // a datagram that the socket does not take in this time counts as lost
	readErrorPause = 100 * time.Millisecond // keeps a failing socket from filling the log
	burstDuration  = 4 * time.Second        // of the rate limit, which a start or a healed partition may spend at once
)

// ErrRateLimited is returned by Send for a datagram over the rate limit.
var ErrRateLimited = errors.New("over the rate limit of datagrams")

// ErrInvalidDatagram is wrapped by Send's error for a datagram that is empty, too long or of no known channel.
var ErrInvalidDatagram = errors.New("invalid datagram")

// ChannelCounts counts the datagrams of one channel since the start. Bytes are
// payload: UDP and IP headers are not counted.
type ChannelCounts struct {
	SentDatagrams, SentBytes         uint64
	ReceivedDatagrams, ReceivedBytes uint64
	RateLimited                      uint64 // not sent because of the rate limit
	Rejected                         uint64 // received, and not accepted by the channel's handler
}

// channelCounters is ChannelCounts while they are counted.
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

// Options of a Transport. The zero value is usable.
type Options struct {
	// MaxRate limits all channels but ChannelGossip, in datagrams per second:
	// half for packets, half for streams. 0 means no limit.
	MaxRate float64
	// ControlSocket sets options of the socket before it is bound; nil for none.
	ControlSocket func(network, address string, raw syscall.RawConn) error
	Logger        *slog.Logger // nil discards
}

// SendFunc carries one datagram to an address. It must not keep data.
type SendFunc func(data []byte, to netip.AddrPort) error

// Handler takes a received datagram, channel byte included. It may keep data,
// and returns false for a datagram that it rejects.
type Handler func(from netip.AddrPort, data []byte) bool

// Transport is one sidecar's end of the path. All methods but Handle are safe for concurrent use.
type Transport struct {
	send             SendFunc
	limiters         [channelCount]*rate.Limiter // nil for no limit
	counters         [channelCount]channelCounters
	unknownDatagrams atomic.Uint64         // received with an invalid size or no handler for the channel
	handlers         [channelCount]Handler // written by Handle, before the first Deliver
	logger           *slog.Logger
	conn             *net.UDPConn // nil for a transport made by New
}

// New returns a transport without a socket: send carries its datagrams, and
// its owner hands received ones to Deliver.
func New(send SendFunc, o Options) *Transport {
	t := &Transport{send: send, logger: o.Logger}
	if t.logger == nil {
		t.logger = slog.New(slog.DiscardHandler)
	}
	if o.MaxRate > 0 {
		// Two limiters, so that membership lists sent to many members leave room for answering pings.
		t.limiters[ChannelPackets] = newLimiter(o.MaxRate / 2)
		streams := newLimiter(o.MaxRate / 2)
		t.limiters[ChannelToListener] = streams
		t.limiters[ChannelToDialer] = streams
	}
	return t
}

// newLimiter allows perSecond datagrams per second, with a burst of burstDuration.
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

// Conn returns the transport's socket, nil for a transport made by New.
func (t *Transport) Conn() *net.UDPConn { return t.conn }

// Handle sets the handler of a channel. It is called before Serve and before the first Deliver.
func (t *Transport) Handle(channel Channel, handler Handler) { t.handlers[channel] = handler }

// Serve reads datagrams from the socket and delivers them until the socket is
// closed. It runs in a goroutine of the transport's owner.
func (t *Transport) Serve() {
	buffer := make([]byte, MaxSize+1) // one byte more shows that a datagram is too long
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

// isValid reports whether data has the size of a datagram and a known channel.
func isValid(data []byte) bool {
	return len(data) > 0 && len(data) <= MaxSize && data[0] < channelCount
}

// countDropped counts a received datagram that was dropped, and logs the 1st, 2nd, 4th, 8th ... of its counter.
func (t *Transport) countDropped(count *atomic.Uint64, from netip.AddrPort, data []byte) {
	if n := count.Add(1); n&(n-1) == 0 {
		t.logger.Warn("datagram dropped", "from", from, "bytes", len(data), "dropped", n)
	}
}

// Send sends one datagram, channel byte included. Its error is ErrRateLimited,
// wraps ErrInvalidDatagram, or is the socket's; callers may treat each as a lost datagram.
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
// datagrams that were empty, too long or of a channel without a handler.
func (t *Transport) Counts() (byChannel map[Channel]ChannelCounts, unknown uint64) {
	byChannel = map[Channel]ChannelCounts{}
	for channel := ChannelGossip; channel < channelCount; channel++ {
		byChannel[channel] = t.counters[channel].snapshot()
	}
	return byChannel, t.unknownDatagrams.Load()
}
