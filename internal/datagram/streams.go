package datagram

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/xtaci/kcp-go/v5"
)

func init() {
	// kcp-go starts goroutines for its own sockets when it is imported. The streams here drive its state machine
	// with timers of their own, and a sidecar without streams must not pay for any goroutine.
	kcp.SystemTimedSched.Close()
}

// Limits of the streams of one transport.
const (
	maxOpenStreams = 64                 // dialed and accepted, not counting closed ones that still drain
	maxStreams     = 4 * maxOpenStreams // counting those
)

// The fields of a KCP segment's header that are read here.
const (
	segmentHeaderSize     = kcp.IKCP_OVERHEAD
	segmentCommandOffset  = 4
	segmentSequenceOffset = 12
)

// ErrTooManyStreams is returned by Dial when the limit of open streams is reached.
var ErrTooManyStreams = fmt.Errorf("more than %d streams", maxOpenStreams)

// errStreamExists is returned by add for a key that is in use.
var errStreamExists = errors.New("stream exists")

// streamKey identifies a stream: the peer's address, KCP's conversation number, and whether this side dialed.
type streamKey struct {
	peer         netip.AddrPort
	conversation uint32
	dialed       bool
}

// Streams are reliable byte streams (KCP) on a transport's two stream
// channels. There is no handshake: a stream begins with its first segment.
//
// Streams are safe for concurrent use and have no goroutine: they run on
// Deliver's caller and on timers that end with each stream.
type Streams struct {
	transport *Transport
	accepted  chan net.Conn

	// streamsMu guards the fields below. It may be taken while a stream's stateMu is held, never the other way round.
	streamsMu sync.Mutex
	streams   map[streamKey]*stream // by key, closed ones that still drain included
	openCount int                   // streams that their user has not closed
	closed    bool
}

// NewStreams sets the handlers of the transport's stream channels.
func NewStreams(t *Transport) *Streams {
	s := &Streams{transport: t, accepted: make(chan net.Conn, maxOpenStreams), streams: map[streamKey]*stream{}}
	t.Handle(ChannelToListener, func(from netip.AddrPort, data []byte) bool {
		return s.deliver(from, data[1:], false)
	})
	t.Handle(ChannelToDialer, func(from netip.AddrPort, data []byte) bool {
		return s.deliver(from, data[1:], true)
	})
	return s
}

// Accepted returns the channel of streams that peers opened.
func (s *Streams) Accepted() <-chan net.Conn { return s.accepted }

// Close ends all streams at once; what they have not sent is lost.
func (s *Streams) Close() {
	s.streamsMu.Lock()
	s.closed = true
	streams := s.streams
	s.streams = map[streamKey]*stream{}
	s.streamsMu.Unlock()
	for _, st := range streams {
		st.terminate(net.ErrClosed)
	}
}

// Dial opens a stream to a peer. Nothing is sent before the first Write. Its
// error is ErrTooManyStreams, or net.ErrClosed after Close.
func (s *Streams) Dial(to netip.AddrPort) (net.Conn, error) {
	for {
		st, err := s.add(streamKey{to, rand.Uint32(), true})
		switch {
		case err == nil:
			return st, nil
		case !errors.Is(err, errStreamExists):
			return nil, err
		}
	}
}

// add registers a new stream. Its error is net.ErrClosed, errStreamExists or ErrTooManyStreams.
func (s *Streams) add(key streamKey) (*stream, error) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	switch {
	case s.closed:
		return nil, net.ErrClosed
	case s.streams[key] != nil:
		return nil, errStreamExists
	case s.openCount >= maxOpenStreams || len(s.streams) >= maxStreams:
		return nil, ErrTooManyStreams
	}
	st := newStream(s, key)
	s.streams[key] = st
	s.openCount++
	return st, nil
}

// remove forgets a stream: a segment of it that comes later is rejected.
func (s *Streams) remove(key streamKey) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	delete(s.streams, key)
}

// releaseOpen makes room for another open stream. It may be called with a stream's stateMu held.
func (s *Streams) releaseOpen() {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.openCount--
}

// deliver takes the segments of one datagram. A segment that begins a stream
// opens it. It returns false for segments that are rejected.
func (s *Streams) deliver(from netip.AddrPort, segments []byte, dialed bool) bool {
	if len(segments) < segmentHeaderSize {
		return false
	}
	key := streamKey{from, binary.LittleEndian.Uint32(segments), dialed}
	s.streamsMu.Lock()
	st := s.streams[key]
	s.streamsMu.Unlock()
	if st != nil {
		return st.input(segments)
	}
	if dialed || !beginsStream(segments) {
		return false
	}
	st, err := s.add(key)
	if err != nil {
		return false
	}
	select {
	case s.accepted <- st:
		return st.input(segments)
	default: // nobody accepts
		st.terminate(net.ErrClosed)
		s.remove(key)
		return false
	}
}

// beginsStream reports whether the first segment has data from a stream's
// first window. Others are late segments of a stream that is forgotten.
func beginsStream(segments []byte) bool {
	return segments[segmentCommandOffset] == kcp.IKCP_CMD_PUSH &&
		binary.LittleEndian.Uint32(segments[segmentSequenceOffset:]) < windowSegments
}

// writeSegments returns KCP's output for one stream: it puts the channel byte before the segments and sends them.
// KCP calls it under the stream's stateMu.
func (s *Streams) writeSegments(key streamKey) func(segments []byte, size int) {
	buffer := [MaxSize]byte{byte(ChannelToListener)}
	if !key.dialed {
		buffer[0] = byte(ChannelToDialer)
	}
	return func(segments []byte, size int) {
		if size > maxSegmentSize || size < segmentHeaderSize { // KCP also flushes nothing
			return
		}
		length := 1 + copy(buffer[1:], segments[:size])
		s.transport.Send(key.peer, buffer[:length]) // a datagram that is not sent is retransmitted
	}
}

// newStream makes a stream that ends after maxStreamLifetime at the latest.
func newStream(s *Streams, key streamKey) *stream {
	st := &stream{streams: s, key: key, readable: make(chan struct{})}
	st.kcp = kcp.NewKCP(key.conversation, s.writeSegments(key))
	st.kcp.SetMtu(maxSegmentSize)
	st.kcp.NoDelay(1, flushIntervalMillis, fastResendAcks, 1)
	st.kcp.WndSize(windowSegments, windowSegments)
	st.flushTimer = time.AfterFunc(maxStreamLifetime, st.flush)
	st.lifetimeTimer = time.AfterFunc(maxStreamLifetime, st.expire)
	return st
}
