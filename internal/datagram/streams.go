package datagram

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/xtaci/kcp-go/v5"
)

func init() {
	// kcp-go starts goroutines for its own sockets when it is imported. The streams here drive its protocol
	// themselves; off must mean no goroutine.
	kcp.SystemTimedSched.Close()
}

const (
	maxSegmentSize      = MaxSize - 1 // bytes of a datagram after the channel's
	segmentHeaderSize   = kcp.IKCP_OVERHEAD
	windowSegments      = 32                 // segments in flight, and taken out of order
	flushIntervalMillis = 20                 // ms between a stream's looks at what is due
	drainPeriod         = 2 * time.Second    // a closed stream goes on acknowledging for so long, so that no late segment opens it anew,
	maxDrainPeriod      = 10 * time.Second   // and sending what is not acknowledged
	maxQueuedBytes      = 1 << 20            // bytes written and not yet acknowledged, and received and not yet read
	maxStreamLifetime   = 30 * time.Second   // a stream that nobody closes ends after
	maxOpenStreams      = 64                 // open at once, dialed and accepted, those that linger not counted
	maxStreams          = 4 * maxOpenStreams // those that linger counted
)

// streamKey tells streams apart: the other's address, the conversation's number, and which side dialed.
type streamKey struct {
	peer         netip.AddrPort
	conversation uint32
	dialed       bool
}

// Streams are reliable byte streams by KCP on a link's datagrams. There is no
// handshake: a stream begins with its first segment.
type Streams struct {
	transport *Transport
	accepted  chan net.Conn

	streamsMu sync.Mutex
	streams   map[streamKey]*stream
	openCount int
	closed    bool
}

// NewStreams takes over the link's channels of streams.
func NewStreams(l *Transport) *Streams {
	s := &Streams{transport: l, accepted: make(chan net.Conn, maxOpenStreams), streams: map[streamKey]*stream{}}
	l.Handle(ChannelToListener, func(from netip.AddrPort, data []byte) bool { return s.deliver(from, data[1:], false) })
	l.Handle(ChannelToDialer, func(from netip.AddrPort, data []byte) bool { return s.deliver(from, data[1:], true) })
	return s
}

// Accepted gives the streams that others open.
func (s *Streams) Accepted() <-chan net.Conn { return s.accepted }

// Close ends all streams at once.
func (s *Streams) Close() {
	s.streamsMu.Lock()
	s.closed = true
	all := s.streams
	s.streams = map[streamKey]*stream{}
	s.streamsMu.Unlock()
	for _, st := range all {
		st.terminate(net.ErrClosed)
	}
}

// Dial opens a stream. Nothing is sent before the first Write.
func (s *Streams) Dial(to netip.AddrPort) (net.Conn, error) {
	for {
		st, err := s.add(streamKey{to, rand.Uint32(), true})
		if st != nil || err != nil {
			return st, err
		}
	}
}

// ErrTooManyStreams says that too many streams are open.
var ErrTooManyStreams = fmt.Errorf("more than %d streams", maxOpenStreams)

// add makes a stream; nil without an error where there is one of that key.
func (s *Streams) add(key streamKey) (*stream, error) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	switch {
	case s.closed:
		return nil, net.ErrClosed
	case s.streams[key] != nil:
		return nil, nil
	case s.openCount >= maxOpenStreams || len(s.streams) >= maxStreams:
		return nil, ErrTooManyStreams
	}
	st := &stream{streams: s, key: key, readable: make(chan struct{})}
	out := [MaxSize]byte{byte(ChannelToListener)}
	if !key.dialed {
		out[0] = byte(ChannelToDialer)
	}
	st.kcp = kcp.NewKCP(key.conversation, func(segments []byte, size int) {
		if size > maxSegmentSize || size < segmentHeaderSize { // KCP flushes nothing, too
			return
		}
		s.transport.Send(key.peer, out[:1+copy(out[1:], segments[:size])]) // what is held back or lost is sent again
	})
	st.kcp.SetMtu(maxSegmentSize)
	st.kcp.NoDelay(1, flushIntervalMillis, 2, 1)
	st.kcp.WndSize(windowSegments, windowSegments)
	st.flushTimer = time.AfterFunc(maxStreamLifetime, st.flush)
	st.lifetimeTimer = time.AfterFunc(maxStreamLifetime, st.expire)
	s.streams[key] = st
	s.openCount++
	return st, nil
}

func (s *Streams) remove(key streamKey) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	delete(s.streams, key)
}

// deliver takes segments of a stream; one that begins a stream opens it.
func (s *Streams) deliver(from netip.AddrPort, data []byte, dialed bool) bool {
	if len(data) < segmentHeaderSize {
		return false
	}
	key := streamKey{from, binary.LittleEndian.Uint32(data), dialed}
	s.streamsMu.Lock()
	st := s.streams[key]
	s.streamsMu.Unlock()
	if st == nil {
		// Only data among a stream's first segments begins one; a late segment of one forgotten does not.
		if dialed || data[4] != kcp.IKCP_CMD_PUSH || binary.LittleEndian.Uint32(data[12:]) >= windowSegments {
			return false
		}
		var err error
		if st, err = s.add(key); err != nil || st == nil {
			return false
		}
		select {
		case s.accepted <- st:
		default:
			st.terminate(net.ErrClosed)
			s.remove(key)
			return false
		}
	}
	return st.input(data)
}

// stream is one KCP conversation as a net.Conn.
type stream struct {
	streams *Streams
	key     streamKey

	stateMu          sync.Mutex
	kcp              *kcp.KCP
	flushTimer       *time.Timer // the next look at what is due
	remainingFlushes int         // still to come though all is acknowledged: KCP acknowledges by them
	flushScheduled   bool
	lifetimeTimer    *time.Timer // its end, however it goes
	unread           []byte      // received and not yet read
	closed           bool
	closedAt         time.Time
	endErr           error // why it ended
	deadline         time.Time
	readable         chan struct{} // closed when reads may go on
}

// wakeReaders wakes the readers. It holds st.mu.
func (st *stream) wakeReaders() {
	close(st.readable)
	st.readable = make(chan struct{})
}

func (st *stream) input(data []byte) bool {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.endErr != nil {
		return false
	}
	if st.kcp.Input(data, true, false) < 0 {
		return false
	}
	for size := st.kcp.PeekSize(); size >= 0; size = st.kcp.PeekSize() {
		buf := make([]byte, size)
		st.kcp.Recv(buf)
		if !st.closed && len(st.unread) < maxQueuedBytes {
			st.unread = append(st.unread, buf...)
			st.wakeReaders()
		}
	}
	st.scheduleFlush()
	return true
}

// scheduleFlush has update look at what is due, twice: KCP sends at most once an interval. It holds st.mu.
func (st *stream) scheduleFlush() {
	st.remainingFlushes = 2
	if !st.flushScheduled {
		st.flushScheduled = true
		st.flushTimer.Reset(flushIntervalMillis * time.Millisecond / 2)
	}
}

// flush sends what is due, and comes again while anything is unacknowledged.
func (st *stream) flush() {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	st.flushScheduled = false
	if st.endErr != nil {
		return
	}
	st.kcp.Update()
	st.remainingFlushes--
	if st.remainingFlushes > 0 || st.kcp.WaitSnd() > 0 {
		st.flushScheduled = true
		st.flushTimer.Reset(flushIntervalMillis * time.Millisecond)
	}
}

// expire ends the stream for good, unless it is closed and has something left to send.
func (st *stream) expire() {
	st.stateMu.Lock()
	if st.closed && st.endErr == nil && st.kcp.WaitSnd() > 0 && time.Since(st.closedAt) < maxDrainPeriod {
		st.lifetimeTimer.Reset(drainPeriod)
		st.stateMu.Unlock()
		return
	}
	st.stateMu.Unlock()
	st.terminate(os.ErrDeadlineExceeded)
	st.streams.remove(st.key)
}

// terminate ends a stream for its user, at once.
func (st *stream) terminate(err error) {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.endErr != nil {
		return
	}
	st.endErr = err
	st.flushTimer.Stop()
	st.lifetimeTimer.Stop()
	st.wakeReaders()
	if !st.closed {
		st.closed = true
		st.streams.releaseOpen()
	}
}

// releaseOpen counts one open stream less. It may be called with a stream's lock held, never the other way round.
func (s *Streams) releaseOpen() {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.openCount--
}

// Read reads what has come.
func (st *stream) Read(b []byte) (int, error) {
	for {
		st.stateMu.Lock()
		if len(st.unread) > 0 {
			n := copy(b, st.unread)
			st.unread = st.unread[n:]
			st.stateMu.Unlock()
			return n, nil
		}
		changed, err, deadline := st.readable, st.endErr, st.deadline
		if st.closed && err == nil {
			err = net.ErrClosed
		}
		st.stateMu.Unlock()
		if err != nil {
			return 0, err
		}
		var expired <-chan time.Time
		if !deadline.IsZero() {
			left := time.Until(deadline)
			if left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			timer := time.NewTimer(left)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-changed:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// errQueueFull says that a stream holds too much that is not acknowledged.
var errQueueFull = errors.New("too many bytes not acknowledged")

// Write queues b whole, or nothing of it.
func (st *stream) Write(b []byte) (int, error) {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	switch {
	case st.endErr != nil:
		return 0, st.endErr
	case st.closed:
		return 0, io.ErrClosedPipe
	case st.kcp.WaitSnd()*maxSegmentSize+len(b) > maxQueuedBytes:
		return 0, errQueueFull
	}
	const most = maxSegmentSize - segmentHeaderSize
	for rest := b; len(rest) > 0; {
		n := min(len(rest), most)
		if st.kcp.Send(rest[:n]) < 0 {
			return len(b) - len(rest), errQueueFull
		}
		rest = rest[n:]
	}
	st.scheduleFlush()
	return len(b), nil
}

// Close ends the stream for its user. What is not yet acknowledged is sent for a while longer.
func (st *stream) Close() error {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.closed {
		return nil
	}
	st.closed, st.closedAt = true, time.Now()
	st.wakeReaders()
	st.lifetimeTimer.Reset(drainPeriod)
	st.streams.releaseOpen()
	return nil
}

func (st *stream) LocalAddr() net.Addr  { return streamAddress{} }
func (st *stream) RemoteAddr() net.Addr { return streamAddress{st.key.peer} }

// SetDeadline bounds reads; writes never wait.
func (st *stream) SetDeadline(t time.Time) error {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	st.deadline = t
	st.wakeReaders()
	return nil
}

func (st *stream) SetReadDeadline(t time.Time) error  { return st.SetDeadline(t) }
func (st *stream) SetWriteDeadline(t time.Time) error { return nil }

// streamAddress is a net.Addr.
type streamAddress struct{ netip.AddrPort }

func (a streamAddress) Network() string { return "udp" }

func (a streamAddress) String() string {
	if !a.IsValid() {
		return "peers"
	}
	return a.AddrPort.String()
}
