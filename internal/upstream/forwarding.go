package upstream

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bramblestand/internal/bodybuffer"
)

// Forwarding connects an attempt to the client's side, so that a request or a response that is too long to be buffered can be
// forwarded while it arrives. The attempt's goroutine calls the functions.
type Forwarding struct {
	StreamContext context.Context // the attempt's context, without a deadline

	// SendBefore is the time from which the last byte of the request must not be sent; zero if there is no such time.
	SendBefore time.Time
	// MayStart is called before the first byte is written. It reports whether the client still wants the request.
	MayStart func() bool
	// BodySent is called after the last byte of a body that was not buffered has been written, with the request's deadline, which
	// no longer moves.
	BodySent func(deadline time.Time)
	// StartResponse passes on a response to be forwarded, with the buffered start of its body. It must set
	// stream.StopWatchingClient.
	StartResponse func(response *http.Response, buffered []byte, stream *ResponseStream)
	// Memory is what bodies may take. If it is nil, there is no limit.
	Memory BodyMemory
}

// BodyMemory limits the memory of a request's bodies. Its methods may be called from any goroutine.
type BodyMemory interface {
	bodybuffer.Lender
	// Reserve reserves memory until the request's end, for a part of a response that is buffered. It reports whether there is
	// enough; if not, the response is forwarded as it arrives.
	Reserve(bytes int64) bool
	// ReserveSpare is like Reserve, but leaves free what requests need that are yet to come.
	ReserveSpare(bytes int64) bool
	// Unreserve ends reservations before the request's end: bytes of Reserve, and spareBytes of ReserveSpare.
	Unreserve(bytes, spareBytes int64)
}

// unlimitedMemory is a BodyMemory without a limit.
type unlimitedMemory struct{}

// Borrow implements bodybuffer.Lender.
func (unlimitedMemory) Borrow(int64) bool { return true }

// Return implements bodybuffer.Lender.
func (unlimitedMemory) Return(int64) {}

// Reserve implements BodyMemory.
func (unlimitedMemory) Reserve(int64) bool { return true }

// ReserveSpare implements BodyMemory.
func (unlimitedMemory) ReserveSpare(int64) bool { return true }

// Unreserve implements BodyMemory.
func (unlimitedMemory) Unreserve(_, _ int64) {}

// memory returns what the bodies of the exchange may take.
func (f *Forwarding) memory() BodyMemory {
	if f == nil || f.Memory == nil {
		return unlimitedMemory{}
	}
	return f.Memory
}

// sendBefore returns SendBefore. A nil Forwarding has none.
func (f *Forwarding) sendBefore() time.Time {
	if f == nil {
		return time.Time{}
	}
	return f.SendBefore
}

// isSendTooLate reports whether the last byte of the request must no longer be sent.
func (f *Forwarding) isSendTooLate() bool {
	limit := f.sendBefore()
	return !limit.IsZero() && !time.Now().Before(limit)
}

// explainNotSent wraps the error of a request that was not sent with ErrSendTooLate, if it is too late to send it.
func (f *Forwarding) explainNotSent(err error) error {
	if !f.isSendTooLate() {
		return err
	}
	return fmt.Errorf("%w: %w", ErrSendTooLate, err)
}
