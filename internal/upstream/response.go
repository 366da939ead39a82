package upstream

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"bramblestand/internal/bodybuffer"
)

const (
	// responseBufferTime is how long a response of unknown length is buffered. A response that ends within this time is not streamed.
	responseBufferTime = 50 * time.Millisecond
	// streamMargin is how long before the request's deadline a response is no longer buffered, so that it is known to have begun then.
	streamMargin = 5 * time.Millisecond
)

// discardBody reads the body of a response that nobody needs, so that its connection can be reused. It fails if the body exceeds
// MaxBufferedBody.
func discardBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, MaxBufferedBody+1))
	if err == nil && n > MaxBufferedBody {
		err = fmt.Errorf("%w: over %d bytes", errBodyTooLong, MaxBufferedBody)
	}
	return err
}

// readBuffered reads the whole body of a response that is not streamed. It fails if the body exceeds MaxBufferedBody.
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

// readOrStream reads the body of a response. A body is streamed if it is too long to be buffered, if it has no length and does not
// end within responseBufferTime, or if there is no memory for it. Then readOrStream waits for the end of the stream and returns a nil
// body. The request's deadline limits the whole of a response whose length is told and short. Of any other, it limits the time to the
// head, and responseLimit the rest.
func (e *exchange) readOrStream(response *http.Response) ([]byte, error) {
	e.limitRead(math.MaxInt64) // buffering has its own limit; this one would also count the framing of small chunks
	body, stream, err := e.bufferOrStream(response)
	if stream != nil {
		body = nil
		if clientErr := <-stream.clientDone; clientErr != nil {
			err = clientErr // a failure of the client, or the endpoint's failure as the client's side saw it
		}
	}
	if err != nil {
		return nil, err
	}
	e.conn.setDeadline(e.ctx, time.Time{})
	return body, nil
}

// bufferOrStream buffers a body to its end, or starts a stream and returns it. Beside a stream, the error is nil or a failure of
// the endpoint; the client's failures arrive through stream.clientDone.
func (e *exchange) bufferOrStream(response *http.Response) (body []byte, stream *ResponseStream, err error) {
	if response.ContentLength >= 0 && response.ContentLength <= MaxBufferedBody {
		if !e.forwarding.memory().Reserve(response.ContentLength) {
			return nil, e.startStream(response, nil, e.noStart(), io.NopCloser(response.Body)), nil
		}
		body = make([]byte, response.ContentLength)
		if _, err = io.ReadFull(response.Body, body); err != nil {
			e.forwarding.memory().Unreserve(response.ContentLength, 0)
		}
		return body, nil, err
	}
	deadline, hasDeadline := e.ctx.Deadline()
	if !hasDeadline {
		deadline = time.Now().Add(maxEndpointStall)
	}
	if !e.liftDeadline() {
		return nil, nil, e.ctx.Err()
	}
	reader := &limitedBody{exchange: e, response: response, limit: responseLimit{deadline: deadline}}
	if response.ContentLength > MaxBufferedBody {
		reader.limit.isLong = true
		return nil, e.startStream(response, nil, e.noStart(), io.NopCloser(reader)), nil
	}
	return e.bufferOrStreamUnknownLength(reader)
}

// bufferOrStreamUnknownLength is bufferOrStream for a body of unknown length. It starts a stream if the body has not ended
// within responseBufferTime, or once the body is too long to be buffered. That time may pass during a read, and a body's reader
// is unusable after an interrupted read. Therefore the read continues, and its result and the rest of the body reach the
// client's goroutine through a pipe.
func (e *exchange) bufferOrStreamUnknownLength(reader *limitedBody) (body []byte, stream *ResponseStream, err error) {
	var pipe *io.PipeWriter
	start := e.noStart()
	e.conn.onReadTimeout = func() bool {
		if e.ctx.Err() != nil {
			return false
		}
		var remainder *io.PipeReader
		remainder, pipe = io.Pipe()
		stream = e.startStream(reader.response, body, start, remainder)
		body = nil // the client's goroutine drops it once it is written
		reader.bufferUntil = time.Time{}
		e.conn.setDeadline(e.ctx, reader.limit.until(time.Now()))
		return true
	}
	reader.bufferUntil = earliest(time.Now().Add(responseBufferTime), reader.limit.deadline.Add(-streamMargin))
	buffer := bodybuffer.NewAdaptive(e.forwarding.memory())
	defer buffer.Close()
	for hasMemory := true; hasMemory && len(body) <= MaxBufferedBody; {
		n, err := reader.Read(buffer.Bytes())
		if stream != nil {
			return nil, stream, copyToPipe(pipe, reader, buffer, n, err)
		}
		hasMemory = start.grow(len(body), n)
		body = append(body, buffer.Bytes()[:n]...)
		buffer.Adapt(n)
		if err != nil {
			e.conn.onReadTimeout = nil
		}
		if err == io.EOF && len(body) <= MaxBufferedBody {
			return body, nil, nil
		}
		if err != nil && err != io.EOF {
			start.giveBack()
			return nil, nil, err
		}
	}
	e.conn.onReadTimeout = nil // before the client's goroutine starts to read from the connection
	reader.bufferUntil = time.Time{}
	return nil, e.startStream(reader.response, body, start, io.NopCloser(reader)), nil
}

// noStart returns the memory of an empty start of a response.
func (e *exchange) noStart() startMemory { return startMemory{memory: e.forwarding.memory()} }

// liftDeadline removes the request's deadline, which does not limit the body of a response that is or may be too long to be buffered.
// It returns false if the exchange's context has already ended.
func (e *exchange) liftDeadline() bool {
	if !e.unwatchContext() {
		return false
	}
	e.watchContext(e.forwarding.StreamContext)
	return true
}
