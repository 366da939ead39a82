package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/internal/bodybuffer"
	"bramblestand/internal/socket"
)

// maxDrainTime is how long a closed connection may go on sending before it is reset. A misbehaving client has to be
// disconnected within 3 s of connecting; one that sent a valid request may first have to write a long body, and gets the time
// that its transfer rate earns.
const maxDrainTime = 2 * time.Second

// clientListener accepts clients' connections as clientConn.
type clientListener struct {
	net.Listener
	clients *clientConns
}

// Accept waits for the next client.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline ends accepting. The listener is closed here, so that the system refuses clients from now on.
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	if err != nil {
		return nil, err
	}
	return newClientConn(conn, l.clients)
}

// clientConn is a connection from a client. Whoever ends it (a handler, the idle check, a timeout or net/http itself) calls
// Close: what was written is sent, nothing that arrives later is read as a request, and the socket is closed once the client
// has closed its side, or after a while. It also reports when the client has disconnected.
//
// All methods may be called from any goroutine.
type clientConn struct {
	net.Conn                         // the socket; its own Read and Close do none of the above
	rawConn          syscall.RawConn // the same socket
	owner            *clientConns
	disconnected     context.Context // ends when the client has disconnected or the connection is closed
	markDisconnected context.CancelFunc

	// mu guards the fields below. It is held over a read from the socket together with its evaluation, and never over
	// closeSocket.
	mu                 sync.Mutex
	framing            requestFraming
	requestsTaken      int       // by handlers
	headStart          time.Time // when the first byte of an incomplete head was read; zero without one
	isAwaitingResponse bool      // a request was read to its end and waits for its response
	isClosing          bool      // nothing more is read as a request
	isInputEnded       bool      // everything that the client sent was read, to its end or its reset
	hasValidRequest    bool      // a valid request was read in full
}

// newClientConn wraps a connection. It closes conn if it returns an error.
func newClientConn(conn net.Conn, owner *clientConns) (*clientConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("client connection %T has no socket", conn), conn.Close())
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("client connection: %w", err), conn.Close())
	}
	c := &clientConn{Conn: conn, rawConn: rawConn, owner: owner, framing: newRequestFraming()}
	c.disconnected, c.markDisconnected = context.WithCancel(context.Background())
	return c, nil
}

// Read reads from the socket and evaluates what was read in one step under mu. Whoever closes the connection therefore either
// sees the bytes as a request in progress, or they are never read.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.rawConn.Read(func(fd uintptr) (isDone bool) {
		n, isDone, err = c.readOnce(fd, p)
		return isDone
	})
	switch {
	case waitErr == nil || err != nil:
		return n, err
	case c.readsAreOver():
		return 0, io.EOF // Close interrupted the wait
	}
	var op *net.OpError
	if errors.As(waitErr, &op) {
		op.Op = "read" // for an error of this name net/http writes no response
	}
	return 0, waitErr
}

// readOnce reads what the socket holds. It is not done if there is nothing.
func (c *clientConn) readOnce(fd uintptr, p []byte) (n int, isDone bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return 0, true, io.EOF
	}
	n, err = readNonblocking(fd, p)
	switch {
	case err == syscall.EAGAIN:
		return 0, false, nil
	case err != nil:
		n, err = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		err = io.EOF
	default:
		c.observe(p[:n])
		return n, true, nil
	}
	c.isInputEnded = true
	c.markDisconnected()
	return n, true, err
}

// Write writes to the client.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.owner.traffic.AddSent(n, false)
	return n, err
}

// readsAreOver reports whether the connection is closed for reading.
func (c *clientConn) readsAreOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing
}

// readNonblocking reads from a socket without waiting.
func readNonblocking(fd uintptr, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
			return n, err
		}
	}
}

// observe evaluates what was read. The caller holds c.mu.
func (c *clientConn) observe(data []byte) {
	c.owner.traffic.AddReceived(len(data), false)
	c.framing.observe(data)
	if !c.framing.isInHead {
		c.headStart = time.Time{}
	} else if c.headStart.IsZero() {
		c.headStart = time.Now()
	}
	if c.isAwaitingResponse { // net/http reads one byte past a request, and then no longer sees the client disconnect
		c.isAwaitingResponse = false
		c.owner.disconnects.add(c)
	}
}

// hasRequestInProgress reports whether part of a request was read that no handler has taken yet. It may have been read before
// the last request was done: a client may send its next request as soon as it has the response.
func (c *clientConn) hasRequestInProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequestInProgressLocked()
}

// hasRequestInProgressLocked is hasRequestInProgress for a caller that holds c.mu.
func (c *clientConn) hasRequestInProgressLocked() bool {
	return c.framing.isInHead || c.framing.headsRead > c.requestsTaken
}

// takeRequest counts a request that a handler starts on, and reports whether its head contradicts itself on where it ends.
func (c *clientConn) takeRequest() (isConflicting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestsTaken++
	return c.requestsTaken == c.framing.conflictingHead
}

// watchDisconnect makes c.disconnected end if the client disconnects while a request waits for its response, until the handler
// calls stop. hasUnreadBody says that part of the request's body was not read.
func (c *clientConn) watchDisconnect(hasUnreadBody bool) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hasUnreadBody || c.hasRequestInProgressLocked() || c.framing.isDone { // nobody reads on, or not far enough
		c.owner.disconnects.add(c)
	} else {
		c.isAwaitingResponse = true
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isAwaitingResponse = false
		c.owner.disconnects.remove(c)
	}
}

// checkDisconnected asks the system whether the client has disconnected, even if data that it sent before was not read. It
// takes no lock.
func (c *clientConn) checkDisconnected() {
	c.rawConn.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 { // POLLERR and POLLHUP are always reported
			c.markDisconnected()
		}
	})
}

// Close closes the connection as described at clientConn. It does not wait, and may be called repeatedly.
func (c *clientConn) Close() error {
	c.closeIf(func() bool { return true })
	return nil
}

// closeIdle closes the connection unless part of a request has arrived, read or not.
func (c *clientConn) closeIdle() {
	c.closeIf(func() bool { return !c.hasRequestInProgressLocked() && socket.IsQuiet(c.Conn) })
}

// closeIf closes the connection if the condition holds, which is called under c.mu: nothing is read between the two.
func (c *clientConn) closeIf(condition func() bool) {
	switch hasValidRequest, next := c.beginClose(condition); next {
	case closeAtOnce:
		c.closeSocket()
	case closeAfterDrain:
		go c.drainBeforeClose(hasValidRequest)
	}
}

// closeStep is what remains to be done after beginClose.
type closeStep uint8

const (
	closeNothing    closeStep = iota // the condition does not hold, or the connection is closing already
	closeAtOnce                      // the client cannot be sent anything
	closeAfterDrain                  // the client's input has to be drained first
)

// beginClose stops reads and sends the client the end of the responses, if the condition holds.
func (c *clientConn) beginClose(condition func() bool) (hasValidRequest bool, next closeStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing || !condition() {
		return false, closeNothing
	}
	c.isClosing = true
	c.markDisconnected()
	writeCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if c.isInputEnded || !ok || writeCloser.CloseWrite() != nil {
		return c.hasValidRequest, closeAtOnce
	}
	c.Conn.SetReadDeadline(longAgo) // wakes a waiting Read
	return c.hasValidRequest, closeAfterDrain
}

// drainBeforeClose reads and discards what still arrives until the client closes its side, and closes the socket. If it were
// closed over unread bytes, the system would reset the connection, and a response on its way would be lost.
func (c *clientConn) drainBeforeClose(hasValidRequest bool) {
	defer c.closeSocket()
	limit := time.Now().Add(maxDrainTime)
	for p := (transferRate{}); p.bytes <= maxRequestBody; time.Sleep(discardInterval) {
		start := time.Now()
		deadline := start.Add(min(maxDrainTime, p.remaining()))
		if !hasValidRequest && limit.Before(deadline) {
			deadline = limit
		}
		if !start.Before(deadline) || c.Conn.SetReadDeadline(deadline) != nil {
			return
		}
		n := c.discardOnce()
		if n <= 0 {
			return // the client closed its side or is too slow: nobody is left to receive the response
		}
		p.add(n, start)
	}
}

// discardOnce waits for input, up to the read deadline, and discards it. It returns how many bytes that were, at most 0 at the
// end of input, on an error or after the deadline.
func (c *clientConn) discardOnce() int {
	n := 0
	waitErr := c.rawConn.Read(func(fd uintptr) bool {
		buffer := bodybuffer.Get() // not held while there is nothing to read
		defer bodybuffer.Put(buffer)
		var err error
		n, err = readNonblocking(fd, buffer[:])
		return err != syscall.EAGAIN
	})
	if waitErr != nil {
		return 0
	}
	return n
}

// evict closes the connection at once to make room, and reports whether it did. An open connection that had a valid request is
// spared; with isIdle, only if its next request is in progress. What the client has not received yet may be lost.
func (c *clientConn) evict(isIdle bool) bool {
	c.mu.Lock()
	isBusy := !c.isClosing && c.hasValidRequest && (!isIdle || c.hasRequestInProgressLocked())
	if !isBusy {
		c.isClosing = true
		c.markDisconnected()
	}
	c.mu.Unlock()
	if !isBusy {
		c.closeSocket()
	}
	return !isBusy
}

// markValidRequest notes that a valid request was read in full. It returns false if the connection was closed meanwhile, and
// the request with it.
func (c *clientConn) markValidRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasValidRequest = c.hasValidRequest || !c.isClosing
	return !c.isClosing
}

// closeSocket closes the socket. That waits for a Read in progress, which may wait for c.mu: the caller must not hold it.
func (c *clientConn) closeSocket() {
	c.Conn.Close()
	c.owner.remove(c)
}

// SetReadDeadline sets how long a read waits, unless the connection is closed.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(deadline)
}
