package datagram

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/xtaci/kcp-go/v5"
)

// Settings and limits of one stream.
const (
	maxSegmentSize      = MaxSize - 1                        // bytes of a datagram after the channel byte
	maxSegmentData      = maxSegmentSize - segmentHeaderSize // bytes of one segment's payload
	windowSegments      = 32                                 // segments in flight, and accepted out of order
	fastResendAcks      = 2                                  // acknowledgements of later segments after which one is retransmitted at once
	flushIntervalMillis = 20
	flushInterval       = flushIntervalMillis * time.Millisecond
	maxQueuedBytes      = 1 << 20          // written and not acknowledged; also received and not read
	maxStreamLifetime   = 30 * time.Second // ends a stream that nobody closes
	drainPeriod         = 2 * time.Second  // a closed stream acknowledges so long, so that no late segment opens it anew
	maxDrainPeriod      = 10 * time.Second // and so long while its own data is not acknowledged
)

// errQueueFull is returned by Write when the stream holds too much that is not acknowledged.
var errQueueFull = errors.New("too many bytes not acknowledged")

// stream is one KCP conversation as a net.Conn. Two timers drive it: flushTimer
// while anything is due, lifetimeTimer until its end.
type stream struct {
	streams *Streams
	key     streamKey

	stateMu          sync.Mutex // guards the fields below
	kcp              *kcp.KCP
	flushTimer       *time.Timer
	flushScheduled   bool
	remainingFlushes int         // still due when all is acknowledged: KCP sends its acknowledgements in them
	lifetimeTimer    *time.Timer // calls expire
	unread           []byte      // received and not read
	closed           bool        // by its user, or terminated
	closedAt         time.Time
	endErr           error // why the stream was terminated; nil until then
	deadline         time.Time
	readable         chan struct{} // closed when a waiting Read should check again
}

// notifyReaders makes waiting Reads check again. The caller holds stateMu.
func (st *stream) notifyReaders() {
	close(st.readable)
	st.readable = make(chan struct{})
}

// input takes received segments; false means that they are rejected.
func (st *stream) input(segments []byte) bool {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.endErr != nil {
		return false
	}
	if st.kcp.Input(segments, true, false) < 0 {
		return false
	}
	for size := st.kcp.PeekSize(); size >= 0; size = st.kcp.PeekSize() {
		data := make([]byte, size)
		st.kcp.Recv(data)
		if !st.closed && len(st.unread) < maxQueuedBytes {
			st.unread = append(st.unread, data...)
			st.notifyReaders()
		}
	}
	st.scheduleFlush()
	return true
}

// scheduleFlush has flush run twice: KCP sends at most once per interval. The caller holds stateMu.
func (st *stream) scheduleFlush() {
	st.remainingFlushes = 2
	if !st.flushScheduled {
		st.flushScheduled = true
		st.flushTimer.Reset(flushInterval / 2)
	}
}

// flush sends what is due, and runs again while anything is not acknowledged. It is the flush timer's function.
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
		st.flushTimer.Reset(flushInterval)
	}
}

// expire terminates the stream, unless it is closed and still has data to
// deliver. It is the lifetime timer's function.
func (st *stream) expire() {
	st.stateMu.Lock()
	isDraining := st.closed && st.endErr == nil && st.kcp.WaitSnd() > 0 && time.Since(st.closedAt) < maxDrainPeriod
	if isDraining {
		st.lifetimeTimer.Reset(drainPeriod)
	}
	st.stateMu.Unlock()
	if isDraining {
		return
	}
	st.terminate(os.ErrDeadlineExceeded)
	st.streams.remove(st.key)
}

// terminate ends the stream at once; Read and Write return err from then on.
func (st *stream) terminate(err error) {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.endErr != nil {
		return
	}
	st.endErr = err
	st.flushTimer.Stop()
	st.lifetimeTimer.Stop()
	st.notifyReaders()
	if !st.closed {
		st.closed = true
		st.streams.releaseOpen()
	}
}

// Read reads received data, and waits for some until the deadline. Data that
// came before the stream ended is still read.
func (st *stream) Read(b []byte) (int, error) {
	for {
		n, wait, err := st.readNow(b)
		if wait == nil {
			return n, err
		}
		if err := wait.await(); err != nil {
			return 0, err
		}
	}
}

// readWait is what a Read without data waits for.
type readWait struct {
	readable <-chan struct{}
	deadline time.Time // zero for none
}

// await returns nil when there may be data, and os.ErrDeadlineExceeded at the deadline.
func (w *readWait) await() error {
	var expired <-chan time.Time
	if !w.deadline.IsZero() {
		remaining := time.Until(w.deadline)
		if remaining <= 0 {
			return os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.readable:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// readNow reads what is there. With neither data nor an end it returns what to wait for before the next call.
func (st *stream) readNow(b []byte) (int, *readWait, error) {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if len(st.unread) > 0 {
		n := copy(b, st.unread)
		st.unread = st.unread[n:]
		return n, nil, nil
	}
	switch {
	case st.endErr != nil:
		return 0, nil, st.endErr
	case st.closed:
		return 0, nil, net.ErrClosed
	}
	return 0, &readWait{st.readable, st.deadline}, nil
}

// Write queues all of b, or fails; it never waits.
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
	for remaining := b; len(remaining) > 0; {
		size := min(len(remaining), maxSegmentData)
		if st.kcp.Send(remaining[:size]) < 0 {
			return len(b) - len(remaining), errQueueFull
		}
		remaining = remaining[size:]
	}
	st.scheduleFlush()
	return len(b), nil
}

// Close ends the stream for its user. What is not acknowledged is sent for a while longer.
func (st *stream) Close() error {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.closed {
		return nil
	}
	st.closed, st.closedAt = true, time.Now()
	st.notifyReaders()
	st.lifetimeTimer.Reset(drainPeriod)
	st.streams.releaseOpen()
	return nil
}

// LocalAddr returns an address without a value: the transport may have no socket.
func (st *stream) LocalAddr() net.Addr { return streamAddress{} }

// RemoteAddr returns the peer's address.
func (st *stream) RemoteAddr() net.Addr { return streamAddress{st.key.peer} }

// SetDeadline limits Reads; Writes never wait.
func (st *stream) SetDeadline(deadline time.Time) error {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	st.deadline = deadline
	st.notifyReaders()
	return nil
}

// SetReadDeadline limits Reads.
func (st *stream) SetReadDeadline(deadline time.Time) error { return st.SetDeadline(deadline) }

// SetWriteDeadline does nothing: Writes never wait.
func (st *stream) SetWriteDeadline(time.Time) error { return nil }

// streamAddress is a net.Addr.
type streamAddress struct{ netip.AddrPort }

// Network returns "udp", which carries the streams.
func (a streamAddress) Network() string { return "udp" }

// String returns the address, "peers" for the local one.
func (a streamAddress) String() string {
	if !a.IsValid() {
		return "peers"
	}
	return a.AddrPort.String()
}
