package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	requestMost  = 32 << 20                // bytes of a request's body
	bufferBytes  = 32 << 10                // of a body on its way, each way
	paceLeast    = 64 << 10                // bytes a second that a client has to take or give
	paceSlack    = 2500 * time.Millisecond // beside that: a client may take 2 s, an improper peer is owed an end in 3 s
	stallMost    = 5 * time.Second         // a single wait for a client, however much it has done before
	stallServer  = 10 * time.Second        // a single wait for an endpoint amid a body
	discardPause = 10 * time.Millisecond   // between reads of what nobody needs: it is worth no processor time
	keepFor      = 50 * time.Millisecond   // an answer of unknown length is kept so long in the hope that it ends
)

// buffers are for bodies on their way. Not io.Copy between sockets: it would splice.
var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// pace bounds how long one side of a body may be waited for: by what it has done, not by the whole. Time spent on
// the other side does not count.
type pace struct {
	bytes int64
	spent time.Duration
}

// allows is the longest wait from now on.
func (p *pace) allows() time.Duration {
	earned := time.Duration(p.bytes) * time.Second / paceLeast
	return min(stallMost, paceSlack+earned-p.spent)
}

// note counts a read or write that has ended.
func (p *pace) note(n int, since time.Time) {
	p.bytes += int64(n)
	p.spent += time.Since(since)
}

// clientError is a failure of the client's side of a body: no endpoint's fault.
type clientError struct {
	code int // of the answer, where one can still be given
	error
}

func (e *clientError) Unwrap() error { return e.error }

// clientBody reads the body of a client's request as it comes.
type clientBody struct {
	in      io.Reader
	control *http.ResponseController
	length  int64 // -1 where the client did not tell
	pace    pace
	taken   bool // bytes were read that are not kept
	err     *clientError

	mu    sync.Mutex
	whole bool // it was read to its end
	cut   bool // what still comes is not waited for
}

// Read reads what has come, and gives a client up that is too slow.
func (b *clientBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	start := time.Now()
	b.mu.Lock()
	until := start.Add(b.pace.allows())
	if b.cut {
		until = longAgo
	}
	err := b.control.SetReadDeadline(until)
	b.mu.Unlock()
	if err != nil {
		return 0, b.failed(err)
	}
	n, err := b.in.Read(p)
	b.pace.note(n, start)
	if b.pace.bytes > requestMost {
		b.err = &clientError{http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", requestMost)}
		return 0, b.err
	}
	if err == io.EOF {
		err = b.end()
	}
	if err != nil && err != io.EOF {
		return n, b.failed(err)
	}
	return n, err
}

// end notes that the body is whole.
func (b *clientBody) end() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.whole = true
	// From here on a read only watches for the client's going, however long the answer takes.
	if err := b.control.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return io.EOF
}

func (b *clientBody) failed(err error) error {
	code := http.StatusBadRequest
	if b.isCut() {
		code = http.StatusServiceUnavailable // nobody has seen it to its end: it may be sent to another process
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		code = http.StatusRequestTimeout
	}
	b.err = &clientError{code, fmt.Errorf("the body could not be read: %w", err)}
	return b.err
}

// cutOff ends the wait for a body that has not come whole.
func (b *clientBody) cutOff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.whole {
		b.cut = true
		b.control.SetReadDeadline(longAgo) // a connection that is gone has nothing to wait for
	}
}

func (b *clientBody) isCut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// unread says whether some of the body was not read.
func (b *clientBody) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.whole
}

// bodies are the request bodies in hand, and the memory that they and their answers may take.
type bodies struct {
	mu   sync.Mutex
	cut  bool
	most int64 // bytes
	used int64
	open map[*clientBody]struct{} // those that still come in
}

// takes is the most that a request holds in memory at once, with its answer: what is kept of its body, or passes
// through, and a buffer for the answer.
func (b *clientBody) takes() int64 {
	switch {
	case b.length < 0:
		return bodyMost + 2*bufferBytes
	case b.length > bodyMost:
		return 2 * bufferBytes
	default:
		return b.length + bufferBytes
	}
}

// add takes in a body. Where there is no room for it, or none is waited for any more, it says when to come back.
func (b *bodies) add(body *clientBody) (retry time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cut {
		return turnedRetry, false
	}
	if b.used+body.takes() > b.most {
		return busyRetry, false
	}
	b.used += body.takes()
	if b.open == nil {
		b.open = map[*clientBody]struct{}{}
	}
	if body.length != 0 { // else nothing is to come that could be cut off
		b.open[body] = struct{}{}
	}
	return 0, true
}

// remove ends a request that was added.
func (b *bodies) remove(body *clientBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= body.takes()
	delete(b.open, body)
}

// bound sets how many bytes there may be.
func (b *bodies) bound(most int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
}

// cutOff ends the wait for all that have not come whole, and for any further one.
func (b *bodies) cutOff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = true
	for body := range b.open {
		body.cutOff()
	}
}

// keep reads up to so many bytes; whole says that these are all.
func (b *clientBody) keep(most int) (kept []byte, whole bool, err error) {
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

// rest reads what was not kept; from then on the request cannot be sent again.
type rest struct{ *clientBody }

func (r rest) Read(p []byte) (int, error) {
	n, err := r.clientBody.Read(p)
	r.taken = r.taken || n > 0
	return n, err
}

// stream is an answer that is passed on as it comes.
type stream struct {
	length int64         // -1 where the endpoint did not tell
	more   io.ReadCloser // beyond what is kept in the answer
	done   chan error    // has room for the one
	free   func() bool   // takes back that the client's leaving ends the attempt
}

// end tells the endpoint's side how the client's side ended.
func (s *stream) end(err error) {
	s.free() // what follows ends the connection, which is no client's leaving
	s.more.Close()
	s.done <- err
}

// passage is what an attempt needs to pass on more than it can keep.
type passage struct {
	life     context.Context  // the attempt's, without a deadline
	begin    func() bool      // asked before the first byte is written: whether the request is still wanted
	uploaded func() time.Time // tells that the last byte of a body is written; returns the request's deadline
	answer   func(h *http.Response, kept []byte, s *stream)
}

// endpointBody reads an answer's body from an endpoint.
type endpointBody struct {
	conn *conn
	life context.Context
	in   io.Reader
}

// Read reads what has come, and gives an endpoint up that has fallen silent.
func (b *endpointBody) Read(p []byte) (int, error) {
	b.conn.until(b.life, time.Now().Add(stallServer))
	return b.in.Read(p)
}

// passOn writes an answer as it comes. A nil error means that the client has all of it.
func passOn(w http.ResponseWriter, control *http.ResponseController, kept []byte, s *stream) error {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	var p pace
	write := func(data []byte) error {
		start := time.Now()
		err := control.SetWriteDeadline(start.Add(p.allows()))
		if err == nil {
			if _, err = w.Write(data); err == nil {
				err = control.Flush()
			}
		}
		p.note(len(data), start)
		if err != nil {
			return &clientError{error: err}
		}
		return nil
	}
	if err := write(kept); err != nil {
		return err
	}
	for {
		n, err := s.more.Read(buffer[:])
		if n > 0 {
			if failed := write(buffer[:n]); failed != nil {
				return failed
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
