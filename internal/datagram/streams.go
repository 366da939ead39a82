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
	segmentMost = MaxSize - 1 // bytes of a datagram after the channel's
	headMost    = kcp.IKCP_OVERHEAD
	window      = 32               // segments in flight, and taken out of order
	kcpInterval = 20               // ms between a stream's looks at what is due
	linger      = 2 * time.Second  // a closed stream goes on acknowledging for so long, so that no late segment opens it anew,
	lingerMost  = 10 * time.Second // and sending what is not acknowledged
	queueMost   = 1 << 20          // bytes written and not yet acknowledged, and received and not yet read
	lifeMost    = 30 * time.Second // a stream that nobody closes ends after
	streamsMost = 64               // open at once, dialed and accepted, those that linger not counted
	totalMost   = 4 * streamsMost  // those that linger counted
)

// streamKey tells streams apart: the other's address, the conversation's number, and which side dialed.
type streamKey struct {
	peer   netip.AddrPort
	conv   uint32
	dialed bool
}

// Streams are reliable byte streams by KCP on a link's datagrams. There is no
// handshake: a stream begins with its first segment.
type Streams struct {
	link   *Transport
	accept chan net.Conn

	mu      sync.Mutex
	streams map[streamKey]*stream
	open    int
	closed  bool
}

// NewStreams takes over the link's channels of streams.
func NewStreams(l *Transport) *Streams {
	s := &Streams{link: l, accept: make(chan net.Conn, streamsMost), streams: map[streamKey]*stream{}}
	l.Handle(ChannelToListener, func(from netip.AddrPort, data []byte) bool { return s.deliver(from, data[1:], false) })
	l.Handle(ChannelToDialer, func(from netip.AddrPort, data []byte) bool { return s.deliver(from, data[1:], true) })
	return s
}

// Accepted gives the streams that others open.
func (s *Streams) Accepted() <-chan net.Conn { return s.accept }

// Close ends all streams at once.
func (s *Streams) Close() {
	s.mu.Lock()
	s.closed = true
	all := s.streams
	s.streams = map[streamKey]*stream{}
	s.mu.Unlock()
	for _, st := range all {
		st.end(net.ErrClosed)
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
var ErrTooManyStreams = fmt.Errorf("more than %d streams", streamsMost)

// add makes a stream; nil without an error where there is one of that key.
func (s *Streams) add(key streamKey) (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return nil, net.ErrClosed
	case s.streams[key] != nil:
		return nil, nil
	case s.open >= streamsMost || len(s.streams) >= totalMost:
		return nil, ErrTooManyStreams
	}
	st := &stream{owner: s, key: key, changed: make(chan struct{})}
	out := [MaxSize]byte{byte(ChannelToListener)}
	if !key.dialed {
		out[0] = byte(ChannelToDialer)
	}
	st.kcp = kcp.NewKCP(key.conv, func(segments []byte, size int) {
		if size > segmentMost || size < headMost { // KCP flushes nothing, too
			return
		}
		s.link.Send(key.peer, out[:1+copy(out[1:], segments[:size])]) // what is held back or lost is sent again
	})
	st.kcp.SetMtu(segmentMost)
	st.kcp.NoDelay(1, kcpInterval, 2, 1)
	st.kcp.WndSize(window, window)
	st.timer = time.AfterFunc(lifeMost, st.update)
	st.died = time.AfterFunc(lifeMost, st.die)
	s.streams[key] = st
	s.open++
	return st, nil
}

func (s *Streams) remove(key streamKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, key)
}

// deliver takes segments of a stream; one that begins a stream opens it.
func (s *Streams) deliver(from netip.AddrPort, data []byte, dialed bool) bool {
	if len(data) < headMost {
		return false
	}
	key := streamKey{from, binary.LittleEndian.Uint32(data), dialed}
	s.mu.Lock()
	st := s.streams[key]
	s.mu.Unlock()
	if st == nil {
		// Only data among a stream's first segments begins one; a late segment of one forgotten does not.
		if dialed || data[4] != kcp.IKCP_CMD_PUSH || binary.LittleEndian.Uint32(data[12:]) >= window {
			return false
		}
		var err error
		if st, err = s.add(key); err != nil || st == nil {
			return false
		}
		select {
		case s.accept <- st:
		default:
			st.end(net.ErrClosed)
			s.remove(key)
			return false
		}
	}
	return st.input(data)
}

// stream is one KCP conversation as a net.Conn.
type stream struct {
	owner *Streams
	key   streamKey

	mu       sync.Mutex
	kcp      *kcp.KCP
	timer    *time.Timer // the next look at what is due
	looks    int         // still to come though all is acknowledged: KCP acknowledges by them
	ticking  bool
	died     *time.Timer // its end, however it goes
	rest     []byte      // received and not yet read
	closed   bool
	closedAt time.Time
	err      error // why it ended
	deadline time.Time
	changed  chan struct{} // closed when reads may go on
}

// signal wakes the readers. It holds st.mu.
func (st *stream) signal() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *stream) input(data []byte) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.err != nil {
		return false
	}
	if st.kcp.Input(data, true, false) < 0 {
		return false
	}
	for size := st.kcp.PeekSize(); size >= 0; size = st.kcp.PeekSize() {
		buf := make([]byte, size)
		st.kcp.Recv(buf)
		if !st.closed && len(st.rest) < queueMost {
			st.rest = append(st.rest, buf...)
			st.signal()
		}
	}
	st.schedule()
	return true
}

// schedule has update look at what is due, twice: KCP sends at most once an interval. It holds st.mu.
func (st *stream) schedule() {
	st.looks = 2
	if !st.ticking {
		st.ticking = true
		st.timer.Reset(kcpInterval * time.Millisecond / 2)
	}
}

// update sends what is due, and comes again while anything is unacknowledged.
func (st *stream) update() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ticking = false
	if st.err != nil {
		return
	}
	st.kcp.Update()
	st.looks--
	if st.looks > 0 || st.kcp.WaitSnd() > 0 {
		st.ticking = true
		st.timer.Reset(kcpInterval * time.Millisecond)
	}
}

// die ends the stream for good, unless it is closed and has something left to send.
func (st *stream) die() {
	st.mu.Lock()
	if st.closed && st.err == nil && st.kcp.WaitSnd() > 0 && time.Since(st.closedAt) < lingerMost {
		st.died.Reset(linger)
		st.mu.Unlock()
		return
	}
	st.mu.Unlock()
	st.end(os.ErrDeadlineExceeded)
	st.owner.remove(st.key)
}

// end ends a stream for its user, at once.
func (st *stream) end(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.err != nil {
		return
	}
	st.err = err
	st.timer.Stop()
	st.died.Stop()
	st.signal()
	if !st.closed {
		st.closed = true
		st.owner.less()
	}
}

// less counts one open stream less. It may be called with a stream's lock held, never the other way round.
func (s *Streams) less() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// Read reads what has come.
func (st *stream) Read(b []byte) (int, error) {
	for {
		st.mu.Lock()
		if len(st.rest) > 0 {
			n := copy(b, st.rest)
			st.rest = st.rest[n:]
			st.mu.Unlock()
			return n, nil
		}
		changed, err, deadline := st.changed, st.err, st.deadline
		if st.closed && err == nil {
			err = net.ErrClosed
		}
		st.mu.Unlock()
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

// errQueue says that a stream holds too much that is not acknowledged.
var errQueue = errors.New("too many bytes not acknowledged")

// Write queues b whole, or nothing of it.
func (st *stream) Write(b []byte) (int, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case st.err != nil:
		return 0, st.err
	case st.closed:
		return 0, io.ErrClosedPipe
	case st.kcp.WaitSnd()*segmentMost+len(b) > queueMost:
		return 0, errQueue
	}
	const most = segmentMost - headMost
	for rest := b; len(rest) > 0; {
		n := min(len(rest), most)
		if st.kcp.Send(rest[:n]) < 0 {
			return len(b) - len(rest), errQueue
		}
		rest = rest[n:]
	}
	st.schedule()
	return len(b), nil
}

// Close ends the stream for its user. What is not yet acknowledged is sent for a while longer.
func (st *stream) Close() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.closed {
		return nil
	}
	st.closed, st.closedAt = true, time.Now()
	st.signal()
	st.died.Reset(linger)
	st.owner.less()
	return nil
}

func (st *stream) LocalAddr() net.Addr  { return address{} }
func (st *stream) RemoteAddr() net.Addr { return address{st.key.peer} }

// SetDeadline bounds reads; writes never wait.
func (st *stream) SetDeadline(t time.Time) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.deadline = t
	st.signal()
	return nil
}

func (st *stream) SetReadDeadline(t time.Time) error  { return st.SetDeadline(t) }
func (st *stream) SetWriteDeadline(t time.Time) error { return nil }

// address is a net.Addr.
type address struct{ netip.AddrPort }

func (a address) Network() string { return "udp" }

func (a address) String() string {
	if !a.IsValid() {
		return "peers"
	}
	return a.AddrPort.String()
}
