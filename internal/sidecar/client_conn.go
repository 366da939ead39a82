package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDrainTime is how long a connection that has ended may go on sending before it is reset. A bad client is owed
	// an end within 3 s of connecting; one that sent a proper request may first have to write a long body, and gets
	// the time that its pace earns.
	maxDrainTime           = 2 * time.Second
	disconnectPollInterval = 20 * time.Millisecond // between looks for clients that left where no read would tell
)

// clientListener wraps what it accepts, so that a connection tells more of what was read from it.
type clientListener struct {
	net.Listener
	clients *clients
}

// Accept waits for the next client.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Accepting was to end, and nobody waits: one who comes between this and the close is turned back.
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	if err != nil {
		return nil, err
	}
	return newClientConn(conn, l.clients)
}

// clientConn is a connection from a client. Whoever ends it, a handler, a sweep, a time-out or net/http itself, does so
// by Close: what was written is sent off, nothing that comes after that is read as a request, and the connection is
// closed once the client has closed its side, or after a while. It also tells when the client has left.
type clientConn struct {
	net.Conn                         // the system's; its own Read and Close pass by all that is said above
	rawConn          syscall.RawConn // the same
	owner            *clients
	disconnected     context.Context // ends when the client has left, or the connection has ended
	markDisconnected context.CancelFunc

	mu                 sync.Mutex // held over a read from the system and what it means, and over no close
	framing            requestFraming
	requestsTaken      int       // requests
	headStart          time.Time // when the first byte came of a head that is not whole yet
	isAwaitingResponse bool      // a request that is read to its end waits for its answer
	isClosing          bool      // nothing that comes is read as a request any more
	isInputEnded       bool      // all that the client sent was read, to its end or its reset
	hasValidRequest    bool      // a whole proper request has come on it
}

func newClientConn(conn net.Conn, owner *clients) (*clientConn, error) {
	own, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Join(errors.New("a client's connection is no socket"), conn.Close())
	}
	raw, err := own.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	c := &clientConn{Conn: conn, rawConn: raw, owner: owner, framing: newRequestFraming()}
	c.disconnected, c.markDisconnected = context.WithCancel(context.Background())
	return c, nil
}

// Read reads what has come, and notes it. That is one step for whoever would end the connection: either the bytes were
// read before, and are seen as a request on its way, or they never are.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	failed := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.isClosing {
			n, err = 0, io.EOF
			return true
		}
		n, err = readNonblocking(fd, p)
		switch {
		case err == syscall.EAGAIN:
			n, err = 0, nil
			return false
		case err != nil:
			n, err = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
		case n == 0:
			err = io.EOF
		default:
			c.observe(p[:n])
			return true
		}
		c.isInputEnded = true
		c.markDisconnected()
		return true
	})
	if failed != nil && err == nil && c.readsAreOver() {
		n, err = 0, io.EOF // the end woke it
	} else if failed != nil && err == nil {
		n, err = 0, failed
		var op *net.OpError
		if errors.As(failed, &op) {
			op.Op = "read" // net/http answers no error of that name
		}
	}
	return n, err
}

// Write writes to the client.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.owner.flow.AddSent(n, false)
	return n, err
}

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

// observe takes in what was read. It holds c.mu.
func (c *clientConn) observe(p []byte) {
	c.owner.flow.AddReceived(len(p), false)
	c.framing.observe(p)
	if !c.framing.isInHead {
		c.headStart = time.Time{}
	} else if c.headStart.IsZero() {
		c.headStart = time.Now()
	}
	if c.isAwaitingResponse { // net/http reads one byte past a request, and then no longer sees the client leave
		c.isAwaitingResponse = false
		c.owner.watch(c)
	}
}

// hasRequestInProgress says whether something of a request has come that was not taken yet. When it came does not tell: a client
// may begin its next request before the server knows that the last one is done.
func (c *clientConn) hasRequestInProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequestInProgressLocked()
}

func (c *clientConn) hasRequestInProgressLocked() bool {
	return c.framing.isInHead || c.framing.headsRead > c.requestsTaken
}

// takeRequest counts a request and says whether its head contradicted itself on where it ends.
func (c *clientConn) takeRequest() (conflict bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestsTaken++
	return c.requestsTaken == c.framing.conflictingHead
}

// watchDisconnect has the client's leaving told while a request waits for its answer, until done is called. Unread says that
// some of the request's body was not read.
func (c *clientConn) watchDisconnect(unread bool) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if unread || c.hasRequestInProgressLocked() || c.framing.isDone { // nobody reads on, or not far enough
		c.owner.watch(c)
	} else {
		c.isAwaitingResponse = true
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isAwaitingResponse = false
		c.owner.unwatch(c)
	}
}

// checkDisconnected asks the system whether the client has left, whatever it sent before that was not read.
func (c *clientConn) checkDisconnected() {
	c.rawConn.Control(func(fd uintptr) {
		at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(at, 0); err == nil && n > 0 { // an error or a hang-up is told unasked
			c.markDisconnected()
		}
	})
}

// Close ends the connection: see clientConn. It does not wait, and may come any number of times.
func (c *clientConn) Close() error {
	c.closeIf(func() bool { return true })
	return nil
}

// closeIdle ends the connection unless something of a request has come, read or not.
func (c *clientConn) closeIdle() {
	c.closeIf(func() bool { return !c.hasRequestInProgressLocked() && quiet(c.Conn) })
}

// closeIf ends the connection where this may be. What is asked of it holds until nothing is read any more.
func (c *clientConn) closeIf(may func() bool) {
	begun, gone, proper := c.beginClose(may)
	switch {
	case gone:
		c.closeSocket()
	case begun:
		go c.drainBeforeClose(proper)
	}
}

// beginClose begins the end, and says whether it did, and whether the client has nothing more to be told.
func (c *clientConn) beginClose(may func() bool) (begun, gone, proper bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing || !may() {
		return false, false, false
	}
	c.isClosing = true
	c.markDisconnected()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if c.isInputEnded || !ok || half.CloseWrite() != nil {
		return true, true, c.hasValidRequest
	}
	c.Conn.SetReadDeadline(longAgo) // whoever reads is to return
	return true, false, c.hasValidRequest
}

// drainBeforeClose reads and drops what still comes, until the client closes its side: closed over bytes that were not read, the
// connection would be reset, and an answer on its way be lost with it.
func (c *clientConn) drainBeforeClose(proper bool) {
	defer c.closeSocket()
	most := time.Now().Add(maxDrainTime)
	for p := (pace{}); p.bytes <= requestMost; time.Sleep(discardPause) {
		start := time.Now()
		until := start.Add(min(maxDrainTime, p.allows()))
		if !proper && most.Before(until) {
			until = most
		}
		if !start.Before(until) || c.Conn.SetReadDeadline(until) != nil {
			return
		}
		n := 0
		failed := c.rawConn.Read(func(fd uintptr) bool {
			buffer := buffers.Get().(*[bufferBytes]byte) // not held while nothing comes
			defer buffers.Put(buffer)
			var err error
			n, err = readNonblocking(fd, buffer[:])
			return err != syscall.EAGAIN
		})
		if failed != nil || n <= 0 {
			return // its end, or the client is too slow: there is nobody left to tell
		}
		p.note(n, start)
	}
}

// evict ends the connection at once to make room, unless a proper request is under way on it, and says whether it did.
// What the client has not read yet may be lost.
func (c *clientConn) evict(idle bool) bool {
	c.mu.Lock()
	busy := !c.isClosing && c.hasValidRequest && (!idle || c.hasRequestInProgressLocked())
	if !busy {
		c.isClosing = true
		c.markDisconnected()
	}
	c.mu.Unlock()
	if !busy {
		c.closeSocket()
	}
	return !busy
}

// markValidRequest notes that a whole proper request has come. It returns false if the connection has ended meanwhile, and
// the request with it.
func (c *clientConn) markValidRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasValidRequest = c.hasValidRequest || !c.isClosing
	return !c.isClosing
}

// closeSocket closes the system's connection. That waits for who reads, and who reads may wait for c.mu: nobody who holds it
// may call this.
func (c *clientConn) closeSocket() {
	c.Conn.Close()
	c.owner.remove(c)
}

// SetReadDeadline sets how long a read waits, unless the connection has ended.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(at)
}
