package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"bramblestand/internal/bodybuffer"
)

// readOrStream reads the body of an answer: all of it, or, if it is too long to be kept or neither has a length nor ends
// soon, as much as is handed on with the beginning of a stream. Lift ends the request's deadline for that.
func (c *connection) readOrStream(ctx context.Context, response *http.Response, p *Forwarding, lift func() bool) (kept []byte, s *ResponseStream, err error) {
	rest := &endpointBody{c, p.StreamContext, response.Body}
	begin := func(more io.ReadCloser) {
		s = &ResponseStream{ContentLength: response.ContentLength, Remainder: more, clientDone: make(chan error, 1)}
		p.StartResponse(response, kept, s)
	}
	if response.ContentLength > MaxBufferedBody {
		if !lift() {
			return nil, nil, ctx.Err()
		}
		begin(io.NopCloser(rest))
		return nil, s, nil
	}
	if response.ContentLength >= 0 {
		kept, err = io.ReadAll(response.Body)
		return kept, nil, err
	}
	// The wait may end amid a read, which a body's reader does not survive: what comes of that read goes on through
	// a pipe.
	var out *io.PipeWriter
	c.onReadTimeout = func() bool {
		if ctx.Err() != nil || !lift() {
			return false
		}
		var in *io.PipeReader
		in, out = io.Pipe()
		begin(in)
		return true
	}
	c.setDeadline(ctx, time.Now().Add(responseBufferTime))
	buffer := bodybuffer.Get()
	defer bodybuffer.Put(buffer)
	for body := io.Reader(response.Body); ; {
		n, err := body.Read(buffer[:])
		if s == nil {
			kept = append(kept, buffer[:n]...)
		} else {
			body = rest
			if _, failed := out.Write(buffer[:n]); failed != nil {
				return kept, s, nil // the client's end tells why
			}
		}
		if err != nil || s == nil && len(kept) >= MaxBufferedBody {
			c.onReadTimeout = nil // before anyone else reads here
		}
		switch {
		case err == io.EOF:
			if out != nil {
				out.Close()
			}
			return kept, s, nil
		case err != nil:
			if out != nil {
				out.CloseWithError(err)
			}
			return kept, s, err
		case s == nil && len(kept) >= MaxBufferedBody:
			if !lift() {
				return nil, nil, ctx.Err()
			}
			begin(io.NopCloser(rest))
			return kept, s, nil
		}
	}
}

// endpointBody reads a response's body from an endpoint. It fails if the endpoint sends nothing for maxEndpointStall.
type endpointBody struct {
	conn   *connection
	ctx    context.Context
	reader io.Reader
}

// Read reads what has arrived, or waits for it.
func (b *endpointBody) Read(p []byte) (int, error) {
	b.conn.setDeadline(b.ctx, time.Now().Add(maxEndpointStall))
	return b.reader.Read(p)
}

// ResponseStream is a response that is forwarded while it arrives. The attempt's goroutine makes it; the goroutine of the
// client's request reads remainder and calls end exactly once.
type ResponseStream struct {
	ContentLength      int64         // -1 if unknown
	Remainder          io.ReadCloser // the body beyond what is buffered
	clientDone         chan error    // receives end's error; has room for it
	StopWatchingClient func() bool   // from here on a disconnect of the client does not end the attempt
}

// End tells the attempt's goroutine how the client's side ended; nil means that the client has received everything.
func (s *ResponseStream) End(err error) {
	s.StopWatchingClient() // what follows closes the client's connection, which is no disconnect by the client
	s.Remainder.Close()
	s.clientDone <- err
}

// Forwarding is what an attempt needs to forward a request or a response that is too long to be buffered. The attempt's
// goroutine calls the functions.
type Forwarding struct {
	StreamContext context.Context // the attempt's, without a deadline

	// MayStart is called before the first byte is written. It reports whether the request is still wanted.
	MayStart func() bool
	// BodySent is called after the last byte of a body that was not buffered. It returns the request's deadline, which counts
	// from then on.
	BodySent func() time.Time
	// StartResponse hands over a response to be forwarded, with the buffered start of its body.
	StartResponse func(response *http.Response, buffered []byte, stream *ResponseStream)
}

// responseBufferTime is how long a response of unknown length is buffered, in the hope that it ends.
const responseBufferTime = 50 * time.Millisecond
