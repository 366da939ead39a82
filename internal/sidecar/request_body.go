package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// clientError is a failure of the client's side of a body: no endpoint's fault.
type clientError struct {
	status int // of the answer, where one can still be given
	error
}

func (e *clientError) Unwrap() error { return e.error }

// requestBody reads the body of a client's request as it comes.
type requestBody struct {
	reader        io.Reader
	controller    *http.ResponseController
	contentLength int64 // -1 where the client did not tell
	pace          pace
	isConsumed    bool // bytes were read that are not kept
	err           *clientError

	mu         sync.Mutex
	isComplete bool // it was read to its end
	isAborted  bool // what still comes is not waited for
}

// Read reads what has come, and gives a client up that is too slow.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	start := time.Now()
	b.mu.Lock()
	until := start.Add(b.pace.remaining())
	if b.isAborted {
		until = longAgo
	}
	err := b.controller.SetReadDeadline(until)
	b.mu.Unlock()
	if err != nil {
		return 0, b.fail(err)
	}
	n, err := b.reader.Read(p)
	b.pace.add(n, start)
	if b.pace.bytes > maxRequestBody {
		b.err = &clientError{http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", maxRequestBody)}
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

// complete notes that the body is whole.
func (b *requestBody) complete() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isComplete = true
	// From here on a read only watches for the client's going, however long the answer takes.
	if err := b.controller.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return io.EOF
}

func (b *requestBody) fail(err error) error {
	code := http.StatusBadRequest
	if b.wasAborted() {
		code = http.StatusServiceUnavailable // nobody has seen it to its end: it may be sent to another process
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		code = http.StatusRequestTimeout
	}
	b.err = &clientError{code, fmt.Errorf("the body could not be read: %w", err)}
	return b.err
}

// abort ends the wait for a body that has not come whole.
func (b *requestBody) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isComplete {
		b.isAborted = true
		b.controller.SetReadDeadline(longAgo) // a connection that is gone has nothing to wait for
	}
}

func (b *requestBody) wasAborted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isAborted
}

// hasUnread says whether some of the body was not read.
func (b *requestBody) hasUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isComplete
}

// requestBodies are the request bodies in hand, and the memory that they and their answers may take.
type requestBodies struct {
	mu         sync.Mutex
	isAborted  bool
	maxBytes   int64 // bytes
	usedBytes  int64
	incomplete map[*requestBody]struct{} // those that still come in
}

// memoryNeeded is the most that a request holds in memory at once, with its answer: what is kept of its body, or passes
// through, and a buffer for the answer.
func (b *requestBody) memoryNeeded() int64 {
	switch {
	case b.contentLength < 0:
		return maxBufferedBody + 2*copyBufferSize
	case b.contentLength > maxBufferedBody:
		return 2 * copyBufferSize
	default:
		return b.contentLength + copyBufferSize
	}
}

// add takes in a body. Where there is no room for it, or none is waited for any more, it says when to come back.
func (b *requestBodies) add(body *requestBody) (retry time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isAborted {
		return turnedRetry, false
	}
	if b.usedBytes+body.memoryNeeded() > b.maxBytes {
		return busyRetry, false
	}
	b.usedBytes += body.memoryNeeded()
	if b.incomplete == nil {
		b.incomplete = map[*requestBody]struct{}{}
	}
	if body.contentLength != 0 { // else nothing is to come that could be cut off
		b.incomplete[body] = struct{}{}
	}
	return 0, true
}

// remove ends a request that was added.
func (b *requestBodies) remove(body *requestBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usedBytes -= body.memoryNeeded()
	delete(b.incomplete, body)
}

// setMaxBytes sets how many bytes there may be.
func (b *requestBodies) setMaxBytes(most int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBytes = most
}

// abort ends the wait for all that have not come whole, and for any further one.
func (b *requestBodies) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isAborted = true
	for body := range b.incomplete {
		body.abort()
	}
}

// buffer reads up to so many bytes; whole says that these are all.
func (b *requestBody) buffer(most int) (kept []byte, whole bool, err error) {
	kept, err = io.ReadAll(io.LimitReader(b, int64(most)))
	if err != nil || len(kept) < most {
		return kept, true, err
	}
	var more [1]byte
	n, err := io.ReadFull(b, more[:])
	if err == io.EOF {
		return kept, true, nil
	}
	return append(kept, more[:n]...), false, err
}

// unbufferedBody reads what was not kept; from then on the request cannot be sent again.
type unbufferedBody struct{ *requestBody }

func (r unbufferedBody) Read(p []byte) (int, error) {
	n, err := r.requestBody.Read(p)
	r.isConsumed = r.isConsumed || n > 0
	return n, err
}
