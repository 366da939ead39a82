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
	// kcp-go starts goroutines for its own sockets when it is imported. This package drives KCP's state machine with
	// timers of its own, and a sidecar without streams must not run goroutines that it does not need.
	kcp.SystemTimedSched.Close()
}

// Limits of the streams of one transport.
const (
	maxOpenStreams = 64                 // dialed and accepted streams, not counting closed ones that still drain
	maxStreams     = 4 * maxOpenStreams // all streams, draining ones included
)

// Size and field offsets of a KCP segment's header, in bytes.
const (
	segmentHeaderSize     = kcp.IKCP_OVERHEAD
	segmentCommandOffset  = 4
	segmentSequenceOffset = 12
)

// ErrTooManyStreams is returned by Dial when the limit of open streams, or of all streams including draining ones, is
// reached.
var ErrTooManyStreams = fmt.Errorf("too many streams (at most %d open)", maxOpenStreams)

// errStreamExists is returned by add for a key that is in use.
var errStreamExists = errors.New("stream key is in use")

// streamKey identifies a stream: the peer's address, KCP's conversation number, and whether this side dialed.
type streamKey struct {
	peer         netip.AddrPort
	conversation uint32
	dialed       bool
}

// Streams manages reliable byte streams (KCP) on a transport's two stream
// channels. There is no handshake: a stream begins with its first segment.
//
// Streams is safe for concurrent use and starts no goroutine. Its code runs in
// the goroutine that calls Transport.Deliver and in timers, which stop when
// their stream ends.
type Streams struct {
	transport *Transport
	accepted  chan net.Conn

	// streamsMu guards the fields below. It may be locked while a stream's stateMu is held, but stateMu must not be
	// locked while streamsMu is held.
	streamsMu sync.Mutex
	streams   map[streamKey]*stream // closed ones that still drain included
	openCount int                   // streams that are neither closed nor terminated
	closed    bool
}

// NewStreams returns the streams of a transport. It sets the handlers of the two stream channels.
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

// Accepted returns the channel that delivers the streams opened by peers.
func (s *Streams) Accepted() <-chan net.Conn { return s.accepted }

// Close terminates all streams immediately. Data that they have not sent is lost. No stream can be opened afterwards.
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

// Dial opens a stream to a peer. Nothing is sent before the first Write. It
// returns ErrTooManyStreams when a limit is reached, and net.ErrClosed after Close.
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

// add creates and registers a stream. It returns net.ErrClosed, errStreamExists or ErrTooManyStreams if it cannot.
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

// remove unregisters a stream. Segments that arrive for it later are rejected, unless one of them opens it again
// (see beginsStream).
func (s *Streams) remove(key streamKey) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	delete(s.streams, key)
}

// decrementOpenCount makes room for another open stream. It may be called with a stream's stateMu held.
func (s *Streams) decrementOpenCount() {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.openCount--
}

// deliver passes the segments of one datagram to their stream. If the stream is
// not known and the first segment begins one, deliver opens and accepts it.
// dialed says whether this side dialed the stream. It returns false for rejected
// segments.
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
	default: // the queue of accepted streams is full
		st.terminate(net.ErrClosed)
		s.remove(key)
		return false
	}
}

// beginsStream reports whether the first segment carries data from a stream's
// first window. Any other segment is a late one of a stream that was removed.
func beginsStream(segments []byte) bool {
	return segments[segmentCommandOffset] == kcp.IKCP_CMD_PUSH &&
		binary.LittleEndian.Uint32(segments[segmentSequenceOffset:]) < windowSegments
}

// writeSegments returns KCP's output function for one stream. It sends the segments in a datagram, after the channel
// byte. KCP calls it with the stream's stateMu held.
func (s *Streams) writeSegments(key streamKey) func(segments []byte, size int) {
	buffer := [MaxSize]byte{byte(ChannelToListener)}
	if !key.dialed {
		buffer[0] = byte(ChannelToDialer)
	}
	return func(segments []byte, size int) {
		if size > maxSegmentSize || size < segmentHeaderSize { // KCP also calls it with nothing to send
			return
		}
		length := 1 + copy(buffer[1:], segments[:size])
		s.transport.Send(key.peer, buffer[:length]) // KCP retransmits the segments if sending fails
	}
}

// newStream returns a stream that is not registered yet. It is terminated after maxStreamLifetime unless it is closed
// before.
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
