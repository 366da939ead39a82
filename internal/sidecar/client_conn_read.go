package sidecar

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"bramblestand/internal/mutant"
	"bramblestand/internal/turns"
)

// headRejected is the error of a read that is not passed on to net/http, since the head takes too much memory.
type headRejected struct{ response []byte } // the response to the client

// Error describes the error.
func (e *headRejected) Error() string { return "the head of a request takes too much memory" }

// Read reads from the socket and evaluates the bytes without releasing mu in between. Bytes that arrive while the connection is
// being closed are therefore either visible to the closing goroutine as a request in progress, or never read.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	var waitErr error
	for {
		err = nil // the callback is not called if the wait fails at once
		waitErr = c.rawConn.Read(func(fd uintptr) (isDone bool) {
			n, isDone, err = c.readOnce(fd, p)
			return isDone
		})
		if err != errTurnOver {
			break
		}
		turns.Clients.Await()
		c.beginTurn()
	}
	var rejected *headRejected
	switch {
	case errors.As(err, &rejected):
		c.rejectHead(rejected.response)
		return 0, c.readError(err)
	case waitErr == nil || err != nil:
		return n, err
	case c.readsAreOver():
		return 0, io.EOF // Close interrupted the wait
	}
	var op *net.OpError
	if errors.As(waitErr, &op) {
		op.Op = "read" // net/http writes no error response for a failed "read"
	}
	return 0, waitErr
}

// beginTurn begins the client's next turn of the processor.
func (c *clientConn) beginTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn = inputTurn{}
}

// readOnce reads available input, up to len(p) bytes, without waiting. isDone is false if none is available. It fails with errTurnOver if
// some is available and the client's turn is over.
func (c *clientConn) readOnce(fd uintptr, p []byte) (n int, isDone bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return 0, true, io.EOF
	}
	headsRead := c.framing.headsRead
	n, mayHaveMore, err := c.readInTurn(fd, p)
	switch {
	case err == syscall.EAGAIN:
		c.inputWaits.begin(time.Now())
		c.turn = inputTurn{}
		return 0, false, nil
	case err == errTurnOver:
		return 0, true, err
	case err != nil:
		n, err = 0, c.readError(os.NewSyscallError("read", err))
	case n == 0:
		err = io.EOF
	case c.framing.headMemory() > maxHeadMemory:
		return 0, true, &headRejected{headTooLarge}
	case !c.reservation.growTo(c.framing.headMemory()):
		return 0, true, &headRejected{noHeadMemory}
	default:
		c.turn.add(n, c.framing.headsRead > headsRead)
		c.recordInput(n)
		unread := unreadAfterRead(fd, mayHaveMore)
		c.arrivals.add(n, c.lastRead, func() inputSample { return c.sampleInput(fd, unread) })
		c.inputWaits.end(c.arrivals.knownAt, mayHaveMore && unread.isBacklog(n))
		c.recordArrival(c.framing.headsRead > headsRead)
		return n, true, nil
	}
	c.isInputEnded = true
	if !mutant.IgnoresDisconnects {
		c.markDisconnected()
	}
	return n, true, err
}

// readError returns an error of a read, for which net/http writes no error response.
func (c *clientConn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// readInTurn is readPart, but fails with errTurnOver if input is available and the client's turn is over. The caller holds c.mu.
func (c *clientConn) readInTurn(fd uintptr, p []byte) (n int, mayHaveMore bool, err error) {
	if _, isInBody := c.framing.bodyRest(); c.turn.isOver(isInBody) {
		available, err := peekNonblocking(fd, p[:1])
		if err == syscall.EAGAIN {
			return 0, false, err
		}
		if available > 0 {
			return 0, false, errTurnOver
		}
	}
	return c.readPart(fd, p)
}

// readPart reads available input without waiting, but not beyond the end of the current head or body, so that net/http does not
// get ahead of the framing. mayHaveMore reports that more input may be available. The caller holds c.mu.
func (c *clientConn) readPart(fd uintptr, p []byte) (n int, mayHaveMore bool, err error) {
	if rest, ok := c.framing.bodyRest(); ok {
		p = p[:min(int64(len(p)), rest)]
		if n, err = readNonblocking(fd, p); n > 0 {
			c.framing.observe(p[:n])
		}
		return n, n == len(p), err
	}
	available, err := peekNonblocking(fd, p) // where the head ends is known only from the input
	if available <= 0 || err != nil {
		return 0, false, err
	}
	n, err = readNonblocking(fd, p[:c.framing.observe(p[:available])])
	return n, n < available || available == len(p), err
}

// readsAreOver reports whether Close or an eviction has ended reads.
func (c *clientConn) readsAreOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing
}

// readNonblocking reads from a socket without waiting. It fails with EAGAIN if no input is available.
func readNonblocking(fd uintptr, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
			return n, err
		}
	}
}

// peekNonblocking is readNonblocking, but leaves the input to be read again.
func peekNonblocking(fd uintptr, p []byte) (n int, err error) {
	for {
		if n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return n, err
		}
	}
}

// recordInput updates the connection's state after n bytes were read and processed by c.framing. The caller holds c.mu.
func (c *clientConn) recordInput(n int) {
	c.owner.traffic.AddReceived(n, false)
	if c.lastRead.IsZero() {
		c.owner.markInput(c)
	}
	c.lastRead = time.Now()
	if !c.framing.isInHead {
		c.headStartedAt = time.Time{}
	} else if c.headStartedAt.IsZero() {
		c.headStartedAt = c.lastRead
	}
	// While a handler runs, net/http reads one byte past the request to notice a disconnect. Once that byte has arrived it no
	// longer reads, so the disconnect has to be polled for.
	if c.isAwaitingResponse {
		c.isAwaitingResponse = false
		c.owner.disconnects.add(c)
	}
}

// recordArrival records when what was read of the current request had arrived. isHead tells that the last read ended a head. The caller holds
// c.mu.
func (c *clientConn) recordArrival(isHead bool) {
	c.owner.unread.add(c.lastRead.Sub(c.arrivals.knownAt))
	switch {
	case c.framing.hasReadAhead(): // the input belongs to the next request
	case isHead, !c.inputWaits.mayBeHeldBack:
		c.requestArrived = c.arrivals.knownAt
	}
	// Else the client may have sent this part of a body with the one before, and its machine held it back until some of that was read.
}
