package sidecar

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"bramblestand/internal/bodybuffer"
	"bramblestand/internal/socket"
)

// maxDrainTime is how long input is discarded after a connection is closed. Then the socket is closed, and a client that is still
// sending gets a reset: misbehaving clients have to be disconnected within 3 s of connecting. A client that sent a valid request
// may first have to write the rest of a long body. For it, maxDrainTime limits each wait for input, and transferRate the total.
const maxDrainTime = 2 * time.Second

// maxIdleDrainTime replaces maxDrainTime for a connection that was closed while it was idle, if no input arrives in this time and
// the client's machine has acknowledged all output. A request that was sent while the connection was being closed is discarded;
// its client sees the end of the connection and sends the request again elsewhere.
const maxIdleDrainTime = 200 * time.Millisecond

// Close closes the connection as described at clientConn. It does not wait for the client, and may be called repeatedly. Its
// result is always nil.
func (c *clientConn) Close() error {
	c.closeIf(func() bool { return true })
	return nil
}

// Responses to requests whose head net/http has not got in full.
var (
	// headTooLarge answers a head that takes more than maxHeadMemory.
	headTooLarge = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	// noHeadMemory answers a head for which there is not enough memory now.
	noHeadMemory = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\n",
		overloadRetryAfter.Seconds())
)

// headResponseTimeout limits the write of such a response. The socket's buffer has room for it unless the client reads nothing.
const headResponseTimeout = 10 * time.Millisecond

// rejectHead answers a request that no handler has taken, and closes the connection. It does nothing if a response is outstanding.
func (c *clientConn) rejectHead(response []byte) {
	c.closeIf(func() bool {
		if c.requestsTaken > c.requestsFinished {
			return false
		}
		c.Conn.SetWriteDeadline(time.Now().Add(headResponseTimeout))
		c.Write(response)
		c.owner.countHeadRejection()
		return true
	})
}

// closeIdle closes the connection unless part of a request without a response has arrived, whether it was read or not. The check
// is needed here because a request may have arrived since the registry found the connection idle.
func (c *clientConn) closeIdle() {
	c.closeAndDrainIf(func() bool { return !c.isInUseLocked() && socket.IsQuiet(c.Conn) }, maxIdleDrainTime)
}

// closeIf closes the connection if the condition holds. It calls condition with c.mu held, so that no input is read between the
// check and the close.
func (c *clientConn) closeIf(condition func() bool) { c.closeAndDrainIf(condition, maxDrainTime) }

// closeAndDrainIf is closeIf with its own limit, maxSilence, to the drain time of a client that sends nothing and whose machine
// has acknowledged all output. A limit of maxDrainTime or more has no effect.
func (c *clientConn) closeAndDrainIf(condition func() bool, maxSilence time.Duration) {
	switch hasValidRequest, next := c.beginClose(condition); next {
	case closeAtOnce:
		c.closeSocket()
	case closeAfterDrain:
		go c.drainBeforeClose(hasValidRequest, maxSilence)
	}
}

// closeStep is the step of a close that follows beginClose.
type closeStep uint8

const (
	closeNothing    closeStep = iota // the condition does not hold, or the connection is closing already
	closeAtOnce                      // the socket can be closed: the input has ended, or the client cannot be sent the end of the output
	closeAfterDrain                  // the client's input has to be drained before the socket is closed
)

// beginClose ends reads and shuts down the sending side of the socket, if the condition holds.
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
	c.Conn.SetReadDeadline(socket.LongAgo) // wakes a waiting Read
	return c.hasValidRequest, closeAfterDrain
}

// drainBeforeClose reads and discards input until the client closes its side or a limit is reached, and closes the socket. If the
// socket were closed with unread input, the system would reset the connection, and a response in flight would be lost.
func (c *clientConn) drainBeforeClose(hasValidRequest bool, maxSilence time.Duration) {
	defer c.closeSocket()
	if maxSilence < maxDrainTime && c.isSilentFor(maxSilence) && c.isResponseDelivered() {
		return
	}
	limit := time.Now().Add(maxDrainTime)
	for rate := (transferRate{}); rate.bytes <= maxRequestBody; time.Sleep(discardInterval) {
		start := time.Now()
		deadline := start.Add(min(maxDrainTime, rate.remaining()))
		if !hasValidRequest && limit.Before(deadline) {
			deadline = limit
		}
		if !start.Before(deadline) || c.Conn.SetReadDeadline(deadline) != nil {
			return
		}
		n, err := c.discardOnce()
		if n <= 0 || err != nil {
			return // the client closed its side, its connection failed, or it is too slow
		}
		rate.add(n, start)
	}
}

// isSilentFor waits until input arrives, which it discards, or the input ends. It reports whether neither happened within
// duration.
func (c *clientConn) isSilentFor(duration time.Duration) bool {
	if c.Conn.SetReadDeadline(time.Now().Add(duration)) != nil {
		return false
	}
	_, err := c.discardOnce()
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// discardOnce waits for input, up to the read deadline, and discards it. n is the number of bytes discarded; it is 0 or negative
// at the end of the input and on a read error. err is set if the wait failed or reached the deadline.
func (c *clientConn) discardOnce() (n int, err error) {
	err = c.rawConn.Read(func(fd uintptr) bool {
		buffer := bodybuffer.Get() // taken for each read, so that none is held while waiting for input
		defer bodybuffer.Put(buffer)
		var readErr error
		n, readErr = readNonblocking(fd, buffer[:])
		return readErr != syscall.EAGAIN
	})
	return n, err
}

// closeSocket closes the socket and removes the connection from the registry. The caller must not hold c.mu: the close waits for
// a Read in progress, which may wait for c.mu.
func (c *clientConn) closeSocket() {
	c.Conn.Close()
	c.owner.remove(c)
}
