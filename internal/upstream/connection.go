package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"bramblestand/internal/socket"
)

// connection is a connection that carries one request at a time.
type connection struct {
	net.Conn
	target        *Target
	reader        *bufio.Reader
	limitedReader io.LimitedReader // of an answer
	idleSince     time.Time
	onReadTimeout func() bool // if set, a read whose deadline passes goes on if this says so
}

// setDeadline sets a deadline for what is read and written next, unless the attempt is over.
func (c *connection) setDeadline(ctx context.Context, at time.Time) {
	c.SetDeadline(at)
	if ctx.Err() != nil { // what wakes the connection then may have come before
		c.SetDeadline(longAgo)
	}
}

var longAgo = time.Unix(1, 0)

// stallGuardedWriter writes a body to an endpoint, which has to take some of it now and again.
type stallGuardedWriter struct {
	conn *connection
	ctx  context.Context
}

// Write writes all of p.
func (w stallGuardedWriter) Write(p []byte) (int, error) {
	w.conn.setDeadline(w.ctx, time.Now().Add(maxEndpointStall))
	return w.conn.Write(p)
}

// connect returns the connection to t that was used last, or opens one.
func (u *Client) connect(ctx context.Context, t *Target) (*connection, error) {
	c, err := u.takeIdle(t)
	if c != nil || err != nil {
		return c, err
	}
	var raw net.Conn
	if u.Network == nil {
		raw, err = u.Dialer.DialContext(ctx, "tcp", t.Address)
	} else {
		raw, err = u.dialSimulated(ctx, t)
	}
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c = &connection{Conn: raw, target: t}
	if u.Network != nil {
		return c, nil // nothing is read from it
	}
	c.limitedReader.R = resumableReader{c}
	c.reader = bufio.NewReader(&c.limitedReader)
	return c, nil
}

// isQuiet reports whether the connection is open and nothing waits to be read from it. An endpoint may close an idle
// one at any time, and a request written after that is lost as a reset that may have run.
func (c *connection) isQuiet() bool {
	if simulated, ok := c.Conn.(simulatedConn); ok {
		return simulated.IsOpen()
	}
	return socket.IsQuiet(c.Conn)
}

// resumableReader reads from a connection. A wait that ends may not be the end of the read.
type resumableReader struct{ *connection }

func (r resumableReader) Read(p []byte) (int, error) {
	for {
		n, err := r.Conn.Read(p)
		waited := r.onReadTimeout
		if n > 0 || waited == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if r.onReadTimeout = nil; !waited() {
			return n, err
		}
	}
}
