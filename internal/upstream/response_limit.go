package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// Limits of a response's body. While 64 KiB or less of a body of unknown length have come it is undecided whether that is a short
// response, whose end is due by the request's deadline, or a long one, which may go on.
const (
	// undecidedGrace is how long after the deadline an undecided response may go on, whatever has come of it. The platform allows half a
	// second, of which the response's way to the client takes a part.
	undecidedGrace = 350 * time.Millisecond
	// minUndecidedRate, in bytes per second, is the mean rate from which on an undecided response may go on beyond that.
	minUndecidedRate = 16 << 10
	// maxUndecidedPause is the longest wait for the next part of such a response.
	maxUndecidedPause = time.Second
	// maxEndpointStall is the longest wait for the next part of a long body, in either direction.
	maxEndpointStall = 10 * time.Second
	// minEndpointRate, in bytes per second, is the mean rate below which a long response ends.
	minEndpointRate = 4 << 10
	// maxUnknownLength is how many bytes a response may have that does not tell its length. Longer than any that the platform sends.
	maxUnknownLength = 64 << 20
)

// responseLimit limits the time that an endpoint takes to give the body of a response. Only the time spent waiting for the endpoint
// counts, since a client that reads slowly says nothing about it.
type responseLimit struct {
	deadline time.Time // of the request; applies while the response is undecided
	isLong   bool      // the body is known to be longer than MaxBufferedBody
	bytes    int64     // of the body that were read
	waited   time.Duration
}

// until returns the time until which a read that starts at now may wait.
func (l *responseLimit) until(now time.Time) time.Time {
	if l.isLong {
		return now.Add(min(maxEndpointStall, maxEndpointStall+l.earned(minEndpointRate)-l.waited))
	}
	ends := l.deadline.Add(undecidedGrace)
	if goesOn := now.Add(min(maxUndecidedPause, l.earned(minUndecidedRate)-l.waited)); goesOn.After(ends) {
		return goesOn
	}
	return ends
}

// earned returns how long an endpoint may take at the given rate for what it has sent.
func (l *responseLimit) earned(bytesPerSecond int64) time.Duration {
	return time.Duration(l.bytes) * time.Second / time.Duration(bytesPerSecond)
}

// add counts a read of n bytes that started at start and has just ended.
func (l *responseLimit) add(n int, start time.Time) {
	l.bytes += int64(n)
	l.waited += time.Since(start)
	l.isLong = l.isLong || l.bytes > MaxBufferedBody
}

// limitedBody reads the body of a response that is streamed, or may have to be, within its responseLimit.
type limitedBody struct {
	exchange    *exchange
	response    *http.Response
	limit       responseLimit
	bufferUntil time.Time // when buffering ends; zero if the body is not buffered
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	start := time.Now()
	conn, ctx := b.exchange.conn, b.exchange.ctx
	conn.setDeadline(ctx, earliest(b.limit.until(start), b.bufferUntil))
	n, err := b.response.Body.Read(p)
	b.limit.add(n, start)
	switch {
	case b.response.ContentLength < 0 && b.limit.bytes > maxUnknownLength:
		return n, errEndlessBody
	case errors.Is(err, os.ErrDeadlineExceeded) && !b.limit.isLong && ctx.Err() == nil:
		return n, fmt.Errorf("%w: %w", ErrDeadlineExceeded, err)
	}
	return n, err
}
