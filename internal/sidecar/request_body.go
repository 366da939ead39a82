package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"bramblestand/internal/bodybuffer"
	"bramblestand/internal/upstream"
)

// requestBody reads the body of a client's request as it arrives. One goroutine reads; any may call abort, wasAborted and
// hasUnread.
type requestBody struct {
	reader        io.Reader
	controller    *http.ResponseController
	contentLength int64 // -1 if unknown
	rate          transferRate
	isConsumed    bool                  // bytes were read that are not buffered: the request cannot be sent again
	err           *upstream.ClientError // what ended reading, or nil

	mu         sync.Mutex // guards the fields below, and that abort's read deadline is not overwritten
	isComplete bool       // read to its end
	isAborted  bool       // what has not arrived yet is not waited for
}

// Read reads what has arrived. It fails with a *upstream.ClientError, the same from then on, if the client is too slow or breaks off, if
// the body is too long, and after abort.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	start := time.Now()
	if err := b.setReadDeadline(start); err != nil {
		return 0, b.fail(err)
	}
	n, err := b.reader.Read(p)
	b.rate.add(n, start)
	if b.rate.bytes > maxRequestBody {
		b.err = &upstream.ClientError{StatusCode: http.StatusRequestEntityTooLarge, Err: fmt.Errorf("the body is over %d bytes", maxRequestBody)}
		return 0, b.err
	}
	if err == io.EOF {
		err = b.complete()
	}
	if err != nil && err != io.EOF {
		return n, b.fail(err)
	}
	return n, err
}

// setReadDeadline limits a read that starts now.
func (b *requestBody) setReadDeadline(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	deadline := now.Add(b.rate.remaining())
	if b.isAborted {
		deadline = longAgo
	}
	return b.controller.SetReadDeadline(deadline)
}

// complete notes that the body was read to its end. It returns io.EOF, or an error of the connection.
func (b *requestBody) complete() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isComplete = true
	// From here on net/http reads only to notice that the client disconnects, however long the response takes.
	if err := b.controller.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return io.EOF
}

// fail ends reading and returns its *upstream.ClientError.
func (b *requestBody) fail(err error) error {
	status := http.StatusBadRequest
	if b.wasAborted() {
		status = http.StatusServiceUnavailable // no endpoint has all of it: it may be sent to another process
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		status = http.StatusRequestTimeout
	}
	b.err = &upstream.ClientError{StatusCode: status, Err: fmt.Errorf("the body could not be read: %w", err)}
	return b.err
}

// abort makes a current or next Read fail, unless the body was read to its end.
func (b *requestBody) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isComplete {
		b.isAborted = true
		b.controller.SetReadDeadline(longAgo) // fails on a closed connection, on which no read waits
	}
}

// wasAborted reports whether abort came before the end of the body.
func (b *requestBody) wasAborted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isAborted
}

// hasUnread reports whether part of the body was not read.
func (b *requestBody) hasUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isComplete
}

// buffer reads up to maxBytes and reports whether the body is complete with them. If it is not, the result is longer by what
// was read to find out.
func (b *requestBody) buffer(maxBytes int) (buffered []byte, isComplete bool, err error) {
	buffered, err = io.ReadAll(io.LimitReader(b, int64(maxBytes)))
	if err != nil || len(buffered) < maxBytes {
		return buffered, true, err
	}
	var next [1]byte
	n, err := io.ReadFull(b, next[:])
	if err == io.EOF {
		return buffered, true, nil
	}
	return append(buffered, next[:n]...), false, err
}

// memoryNeeded returns the bytes that a request holds in memory at most, its response included: what is buffered of its body
// or a buffer for forwarding it, and a buffer for the response.
func (b *requestBody) memoryNeeded() int64 {
	switch {
	case b.contentLength < 0:
		return upstream.MaxBufferedBody + 2*bodybuffer.Size
	case b.contentLength > upstream.MaxBufferedBody:
		return 2 * bodybuffer.Size
	default:
		return b.contentLength + bodybuffer.Size
	}
}

// unbufferedBody reads the part of a body that is not buffered. Once it was read from, the request cannot be sent again.
type unbufferedBody struct{ *requestBody }

// ContentLength returns the length of the whole body in bytes, -1 if unknown.
func (r unbufferedBody) ContentLength() int64 { return r.contentLength }

// IsConsumed reports whether something was read.
func (r unbufferedBody) IsConsumed() bool { return r.isConsumed }

// ClientError returns what ended reading, or nil.
func (r unbufferedBody) ClientError() *upstream.ClientError { return r.err }

// Read reads as requestBody.Read, and notes what is consumed.
func (r unbufferedBody) Read(p []byte) (int, error) {
	n, err := r.requestBody.Read(p)
	r.isConsumed = r.isConsumed || n > 0
	return n, err
}

// requestBodies is the registry of the bodies of requests in flight. It bounds the memory that they and their responses may
// take. Its methods may be called from any goroutine.
type requestBodies struct {
	mu         sync.Mutex // guards the fields below; held over requestBody.abort
	isAborted  bool
	maxBytes   int64
	usedBytes  int64
	incomplete map[*requestBody]struct{} // those of which something may still arrive
}

// add registers a body. If there is no memory for it, or after abort, it returns false and the Retry-After for the client.
func (b *requestBodies) add(body *requestBody) (retryAfter time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isAborted {
		return shutdownRetryAfter, false
	}
	if b.usedBytes+body.memoryNeeded() > b.maxBytes {
		return overloadRetryAfter, false
	}
	b.usedBytes += body.memoryNeeded()
	if b.incomplete == nil {
		b.incomplete = map[*requestBody]struct{}{}
	}
	if body.contentLength != 0 { // else nothing is to arrive that could be aborted
		b.incomplete[body] = struct{}{}
	}
	return 0, true
}

// remove drops a body whose add returned true, once its request is done.
func (b *requestBodies) remove(body *requestBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usedBytes -= body.memoryNeeded()
	delete(b.incomplete, body)
}

// setMaxBytes sets how much memory the bodies may take. Those registered stay.
func (b *requestBodies) setMaxBytes(maxBytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBytes = maxBytes
}

// abort aborts all bodies that are not complete, and lets no further one be added.
func (b *requestBodies) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isAborted = true
	for body := range b.incomplete {
		body.abort()
	}
}
