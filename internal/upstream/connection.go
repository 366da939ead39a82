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

// connection is a connection to an endpoint that carries one exchange at a time. During an exchange it is used by the goroutine
// of that exchange; an idle connection belongs to the pool.
type connection struct {
	net.Conn
	target        *Target
	reader        *bufio.Reader    // reads from limitedReader; nil on a simulated network
	limitedReader io.LimitedReader // reads from the socket; its limit counts the bytes of a response
	idleSince     time.Time        // zero until the end of the first exchange

	// onReadTimeout, if not nil, is called when the read deadline passes during a read, and is then reset to nil. If it returns
	// true, it has set another deadline and the read continues.
	onReadTimeout func() bool
}

func newConnection(raw net.Conn, target *Target) *connection {
	conn := &connection{Conn: raw, target: target}
	conn.limitedReader.R = resumableReader{conn}
	conn.reader = bufio.NewReader(&conn.limitedReader)
	return conn
}

// setDeadline sets the deadline of the next reads and writes. If ctx has ended, they fail at once.
func (c *connection) setDeadline(ctx context.Context, deadline time.Time) {
	c.SetDeadline(deadline)
	if ctx.Err() != nil { // the deadline that was set at the end of ctx may just have been overwritten
		c.SetDeadline(socket.LongAgo)
	}
}

// isQuiet reports whether the connection is open and has no data to read. An endpoint may close an idle connection at any time; a
// request written after that fails with status Reset and counts as one that may have run.
func (c *connection) isQuiet() bool {
	if simulated, ok := c.Conn.(simulatedConn); ok {
		return simulated.IsOpen()
	}
	return socket.IsQuiet(c.Conn)
}

// resumableReader reads from a connection's socket. A read whose deadline passes continues if onReadTimeout returns true.
type resumableReader struct{ *connection }

// Read implements io.Reader.
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

// uploadWriter writes a body to an endpoint while it arrives from the client. A write fails if the endpoint has not taken all of it
// by the request's deadline, within maxEndpointStall, or before sendBefore.
type uploadWriter struct {
	conn       *connection
	ctx        context.Context
	upload     Upload
	sendBefore time.Time // zero if there is no such time
}

// Write writes all of p.
func (w uploadWriter) Write(p []byte) (n int, err error) {
	stallLimit := time.Now().Add(maxEndpointStall)
	for {
		deadline := earliest(w.upload.Deadline(), stallLimit, w.sendBefore)
		w.conn.setDeadline(w.ctx, deadline)
		written, err := w.conn.Write(p[n:])
		n += written
		if !errors.Is(err, os.ErrDeadlineExceeded) || w.ctx.Err() != nil {
			return n, err
		}
		if !earliest(w.upload.Deadline(), stallLimit, w.sendBefore).After(deadline) {
			return n, err
		}
	}
}

// earliest returns the earliest of the times that are not zero, or zero if all are.
func earliest(times ...time.Time) (result time.Time) {
	for _, t := range times {
		if result.IsZero() || !t.IsZero() && t.Before(result) {
			result = t
		}
	}
	return result
}
