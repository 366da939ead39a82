package upstream

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"bramblestand/internal/bodybuffer"
)

// responseBufferTime is how long a response of unknown length is buffered, in the hope that it ends.
const responseBufferTime = 50 * time.Millisecond

// Forwarding is what an attempt needs to forward a request or a response that is too long to be buffered. The attempt's
// goroutine calls the functions.
type Forwarding struct {
	StreamContext context.Context // the attempt's, without a deadline

	// MayStart is called before the first byte is written. It reports whether the request is still wanted.
	MayStart func() bool
	// BodySent is called after the last byte of a body that was not buffered. It returns the request's deadline, which counts
	// from then on.
	BodySent func() time.Time
	// StartResponse hands over a response to be forwarded, with the buffered start of its body. It sets
	// ResponseStream.StopWatchingClient.
	StartResponse func(response *http.Response, buffered []byte, stream *ResponseStream)
}

// ResponseStream is a response that is forwarded while it arrives. The attempt's goroutine makes it; the goroutine of the
// client's request reads Remainder and calls End exactly once.
type ResponseStream struct {
	ContentLength      int64         // bytes; -1 if unknown
	Remainder          io.ReadCloser // the body beyond what is buffered
	StopWatchingClient func() bool   // from here on a disconnect of the client does not end the attempt

	clientDone chan error // receives End's error; has room for it
}

// End tells the attempt's goroutine how the client's side ended; nil means that the client has received everything.
func (s *ResponseStream) End(err error) {
	s.StopWatchingClient() // what follows closes the client's connection, which is no disconnect by the client
	s.Remainder.Close()
	s.clientDone <- err
}

// readBuffered reads the body of a response that is not forwarded while it arrives.
func readBuffered(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBufferedBody {
		return nil, fmt.Errorf("%w: over %d bytes", errBodyTooLong, MaxBufferedBody)
	}
	return body, nil
}

// readOrStream reads the body of a response. If it is too long to be buffered, or has no length and does not end soon, it hands
// over a stream, waits for the stream's end and returns nil.
func (e *exchange) readOrStream(response *http.Response) ([]byte, error) {
	e.limitRead(math.MaxInt64) // what is buffered limits itself, however small its chunks
	body, stream, err := e.bufferOrStart(response)
	if stream != nil {
		body = nil
		if clientErr := <-stream.clientDone; clientErr != nil {
			err = clientErr // the client's failure, or what the client was told of the endpoint's
		}
	}
	if err != nil {
		return nil, err
	}
	e.conn.setDeadline(e.ctx, time.Time{})
	return body, nil
}

// bufferOrStart buffers a body to its end, or returns the stream that it has started, with an error of the endpoint's side.
func (e *exchange) bufferOrStart(response *http.Response) (body []byte, stream *ResponseStream, err error) {
	switch {
	case response.ContentLength > MaxBufferedBody:
		if !e.liftDeadline() {
			return nil, nil, e.ctx.Err()
		}
		return nil, e.startStream(response, nil, io.NopCloser(e.remainder(response))), nil
	case response.ContentLength >= 0:
		body, err = io.ReadAll(response.Body)
		return body, nil, err
	default:
		return e.bufferOrStartUnknownLength(response)
	}
}

// bufferOrStartUnknownLength is bufferOrStart for a body whose end is not known in advance. It waits responseBufferTime for the
// end, which may pass during a read. A body's reader does not survive an interrupted read: therefore that read goes on, and
// what comes of it and after it goes through a pipe.
func (e *exchange) bufferOrStartUnknownLength(response *http.Response) (body []byte, stream *ResponseStream, err error) {
	var pipe *io.PipeWriter
	e.conn.onReadTimeout = func() bool {
		if e.ctx.Err() != nil || !e.liftDeadline() {
			return false
		}
		var remainder *io.PipeReader
		remainder, pipe = io.Pipe()
		stream = e.startStream(response, body, remainder)
		return true
	}
	e.conn.setDeadline(e.ctx, time.Now().Add(responseBufferTime))
	buffer := bodybuffer.Get()
	defer bodybuffer.Put(buffer)
	for len(body) < MaxBufferedBody {
		n, err := response.Body.Read(buffer[:])
		if stream != nil {
			return nil, stream, copyToPipe(pipe, e.remainder(response), buffer, n, err)
		}
		body = append(body, buffer[:n]...)
		if err != nil {
			e.conn.onReadTimeout = nil
		}
		if err == io.EOF {
			return body, nil, nil
		}
		if err != nil {
			return nil, nil, err
		}
	}
	e.conn.onReadTimeout = nil // before the client's goroutine reads here
	if !e.liftDeadline() {
		return nil, nil, e.ctx.Err()
	}
	return nil, e.startStream(response, body, io.NopCloser(e.remainder(response))), nil
}

// copyToPipe writes the result of a read, n bytes of the buffer and an error, and then the rest of a body. It returns the
// body's error, unless the pipe's reader was closed first: then ResponseStream.End tells why.
func copyToPipe(pipe *io.PipeWriter, body io.Reader, buffer *bodybuffer.Buffer, n int, err error) error {
	for {
		if _, writeErr := pipe.Write(buffer[:n]); writeErr != nil {
			return nil
		}
		if err == io.EOF {
			pipe.Close()
			return nil
		}
		if err != nil {
			pipe.CloseWithError(err)
			return err
		}
		n, err = body.Read(buffer[:])
	}
}

// remainder reads the rest of a body, as long as the endpoint does not stall.
func (e *exchange) remainder(response *http.Response) io.Reader {
	return &stallLimitedReader{e.conn, e.forwarding.StreamContext, response.Body}
}

// startStream hands over a response whose body is buffered up to remainder.
func (e *exchange) startStream(response *http.Response, buffered []byte, remainder io.ReadCloser) *ResponseStream {
	stream := &ResponseStream{
		ContentLength: response.ContentLength,
		Remainder:     remainder,
		clientDone:    make(chan error, 1),
	}
	e.forwarding.StartResponse(response, buffered, stream)
	return stream
}

// liftDeadline ends the request's deadline, which is one for the first bytes of a response that is streamed. It returns false
// if the exchange's context has ended before.
func (e *exchange) liftDeadline() bool {
	if !e.stopWatch() {
		return false
	}
	e.watch(e.forwarding.StreamContext)
	e.conn.setDeadline(e.ctx, time.Now().Add(maxEndpointStall))
	return true
}
