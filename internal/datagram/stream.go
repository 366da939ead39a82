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
	maxSegmentSize      = MaxSize - 1                        // bytes of a datagram after the channel byte; KCP's MTU
	maxSegmentData      = maxSegmentSize - segmentHeaderSize // payload bytes of one segment
	windowSegments      = 32                                 // KCP's send and receive window: segments in flight, and segments accepted out of order
	fastResendAcks      = 2                                  // a segment is retransmitted without waiting for its timeout after so many acknowledgements of later segments
	flushIntervalMillis = 20
	flushInterval       = flushIntervalMillis * time.Millisecond
	maxQueuedBytes      = 1 << 20          // limit on bytes written but not acknowledged, and on bytes received but not read
	maxStreamLifetime   = 30 * time.Second // after this a stream that was not closed is terminated
	drainPeriod         = 2 * time.Second  // a closed stream keeps acknowledging for this long, so that a late segment does not open it again
	maxDrainPeriod      = 10 * time.Second // limit on draining while the stream's own data is not acknowledged
)

// errQueueFull is returned by Write when accepting the data would exceed the limit on unacknowledged bytes.
var errQueueFull = errors.New("send queue full: too many unacknowledged bytes")

// stream is a net.Conn on one KCP conversation. It is driven by two timers:
// flushTimer runs while there is data or an acknowledgement to send, and
// lifetimeTimer runs until the stream ends.
type stream struct {
	streams *Streams
	key     streamKey

	stateMu          sync.Mutex // guards the fields below
	kcp              *kcp.KCP
	flushTimer       *time.Timer
	flushScheduled   bool
	remainingFlushes int         // flushes to run even if all sent data is acknowledged: KCP sends its own acknowledgements in them
	lifetimeTimer    *time.Timer // calls expire
	unread           []byte      // received but not read
	closed           bool        // closed by its user, or terminated
	closedAt         time.Time
	endErr           error // why the stream was terminated; nil until then
	deadline         time.Time
	readable         chan struct{} // closed to wake up waiting Reads, then replaced
}

// notifyReaders wakes up waiting Reads, so that they check the stream's state again. The caller holds stateMu.
func (st *stream) notifyReaders() {
	close(st.readable)
	st.readable = make(chan struct{})
}

// input passes received segments to KCP and appends the data to unread. It returns false for rejected segments.
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

// scheduleFlush schedules two runs of flush: the first may be too early to send, because KCP sends at most once per
// interval. The caller holds stateMu.
func (st *stream) scheduleFlush() {
	st.remainingFlushes = 2
	if !st.flushScheduled {
		st.flushScheduled = true
		st.flushTimer.Reset(flushInterval / 2)
	}
}

// flush lets KCP send pending segments and acknowledgements. It schedules itself again while sent data is not
// acknowledged. It is called by flushTimer.
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

// expire terminates the stream and removes it. If the stream is closed and has
// unacknowledged data, it first drains for up to maxDrainPeriod after the close.
// It is called by lifetimeTimer.
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

// terminate ends the stream immediately. Write then returns err, and so does Read once all received data has been read.
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
		st.streams.decrementOpenCount()
	}
}

// Read returns received data. Without any it waits until data arrives, the
// stream ends or the deadline passes. Data received before the stream ended can
// still be read.
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

// readWait holds what a Read waits for when there is no data.
type readWait struct {
	readable <-chan struct{}
	deadline time.Time // zero for no deadline
}

// await waits until the stream's state changed, and then returns nil. At the deadline it returns os.ErrDeadlineExceeded.
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

// readNow reads without waiting. If there is no data and the stream has not ended, it returns a readWait to wait on
// before the next call.
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

// Write queues b for sending. It never waits: if b does not fit the queue, it returns an error.
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

// Close closes the stream for reading and writing. Unacknowledged data is still sent for up to maxDrainPeriod.
func (st *stream) Close() error {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.closed {
		return nil
	}
	st.closed, st.closedAt = true, time.Now()
	st.notifyReaders()
	st.lifetimeTimer.Reset(drainPeriod)
	st.streams.decrementOpenCount()
	return nil
}

// LocalAddr returns a placeholder, since the transport may have no socket.
func (st *stream) LocalAddr() net.Addr { return streamAddress{} }

// RemoteAddr returns the peer's address.
func (st *stream) RemoteAddr() net.Addr { return streamAddress{st.key.peer} }

// SetDeadline sets the deadline of Reads; zero means none. Writes never wait.
func (st *stream) SetDeadline(deadline time.Time) error {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	st.deadline = deadline
	st.notifyReaders()
	return nil
}

// SetReadDeadline sets the deadline of Reads; zero means none.
func (st *stream) SetReadDeadline(deadline time.Time) error { return st.SetDeadline(deadline) }

// SetWriteDeadline does nothing: Writes never wait.
func (st *stream) SetWriteDeadline(time.Time) error { return nil }

// streamAddress is the net.Addr of a stream's peer; its zero value stands for the local side.
type streamAddress struct{ netip.AddrPort }

// Network returns "udp", the network that carries the streams.
func (a streamAddress) Network() string { return "udp" }

// String returns the address, or "peers" for the local side.
func (a streamAddress) String() string {
	if !a.IsValid() {
		return "peers"
	}
	return a.AddrPort.String()
}
