package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"
)

// responseBufferTime is how long a response of unknown length is buffered, in the hope that it ends.
const responseBufferTime = 50 * time.Millisecond

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

// pacedWriter writes to a client and flushes. It fails with a *clientError if the client is too slow or has disconnected.
type pacedWriter struct {
	writer     io.Writer
	controller *http.ResponseController
	pace       pace
}

// Write writes and flushes data.
func (w *pacedWriter) Write(data []byte) (int, error) {
	start := time.Now()
	defer func() { w.pace.add(len(data), start) }()
	if err := w.controller.SetWriteDeadline(start.Add(w.pace.remaining())); err != nil {
		return 0, &ClientError{error: err}
	}
	if n, err := w.writer.Write(data); err != nil {
		return n, &ClientError{error: err}
	}
	if err := w.controller.Flush(); err != nil {
		return len(data), &ClientError{error: err}
	}
	return len(data), nil
}

// forwardResponse writes the buffered start of a body and then the remainder while it arrives. It returns nil once the client
// was sent everything, a *clientError if the client's side failed, and else the endpoint's error.
func forwardResponse(w http.ResponseWriter, controller *http.ResponseController, buffered []byte, stream *ResponseStream) error {
	client := &pacedWriter{writer: w, controller: controller}
	if _, err := client.Write(buffered); err != nil {
		return err
	}
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, readErr := stream.Remainder.Read(buffer[:])
		if n > 0 {
			if _, err := client.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
