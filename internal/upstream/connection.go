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

// connection is a connection that carries one exchange at a time. The goroutine of that exchange uses it; while it is idle the
// pool owns it.
type connection struct {
	net.Conn
	target        *Target
	reader        *bufio.Reader    // reads limitedReader; nil on a simulated network
	limitedReader io.LimitedReader // reads the socket; its limit counts a response's bytes
	idleSince     time.Time        // zero until the first exchange has ended

	// onReadTimeout, if set, is called once when the read deadline passes during a read. The read goes on if it returns true,
	// having set another deadline.
	onReadTimeout func() bool
}

func newConnection(raw net.Conn, target *Target) *connection {
	conn := &connection{Conn: raw, target: target}
	conn.limitedReader.R = resumableReader{conn}
	conn.reader = bufio.NewReader(&conn.limitedReader)
	return conn
}

// setDeadline sets the deadline of what is read and written next, unless ctx has ended.
func (c *connection) setDeadline(ctx context.Context, deadline time.Time) {
	c.SetDeadline(deadline)
	if ctx.Err() != nil { // the deadline that the end of ctx sets may have been overwritten
		c.SetDeadline(socket.LongAgo)
	}
}

// isQuiet reports whether the connection is open and nothing waits to be read from it. An endpoint may close an idle
// connection at any time, and a request written after that is lost as a reset that may have run.
func (c *connection) isQuiet() bool {
	if simulated, ok := c.Conn.(simulatedConn); ok {
		return simulated.IsOpen()
	}
	return socket.IsQuiet(c.Conn)
}

// resumableReader reads from a connection's socket. A read whose deadline passes goes on if onReadTimeout says so.
type resumableReader struct{ *connection }

// Read reads what has arrived, or waits for it.
func (r resumableReader) Read(p []byte) (int, error) {
	for {
		n, err := r.Conn.Read(p)
		onTimeout := r.onReadTimeout
		if n > 0 || onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		r.onReadTimeout = nil
		if !onTimeout() {
			return n, err
		}
	}
}

// stallLimitedWriter writes a body to an endpoint. A write fails if the endpoint does not take all of it within
// maxEndpointStall.
type stallLimitedWriter struct {
	conn *connection
	ctx  context.Context
}

// Write writes all of p.
func (w stallLimitedWriter) Write(p []byte) (int, error) {
	w.conn.setDeadline(w.ctx, time.Now().Add(maxEndpointStall))
	return w.conn.Write(p)
}

// stallLimitedReader reads a response's body from an endpoint. A read fails if the endpoint sends nothing for maxEndpointStall.
type stallLimitedReader struct {
	conn *connection
	ctx  context.Context
	body io.Reader
}

// Read reads what has arrived, or waits for it.
func (r *stallLimitedReader) Read(p []byte) (int, error) {
	r.conn.setDeadline(r.ctx, time.Now().Add(maxEndpointStall))
	return r.body.Read(p)
}
