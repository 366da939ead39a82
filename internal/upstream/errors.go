package upstream

import (
	"errors"
	"slices"
	"syscall"
)

// Reasons why the sidecar itself does not send a request. Result.Err wraps them, and the status is balancer.NotSent.
var (
	ErrTargetRetired    = errors.New("endpoint is draining, removed, banned or restarted")
	ErrNoFreeConnection = errors.New("connection limit reached and no idle connection to close")
	ErrRequestOver      = errors.New("request ended before it was sent")
	ErrSendTooLate      = errors.New("the time in which the request may be sent is over")
)

// ErrDeadlineExceeded is wrapped by the error of an exchange whose deadline has passed.
var ErrDeadlineExceeded = errors.New("deadline exceeded")

// errBodyTooLong is wrapped by the error of a response that is too long to be buffered and cannot be forwarded.
var errBodyTooLong = errors.New("response body too long to buffer")

// errEndlessBody is the error of a response of unknown length that has more than maxUnknownLength bytes.
var errEndlessBody = errors.New("response body without an end")

// notSentError means that the last byte of a request was not written, so that the request never ran.
type notSentError struct{ error }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.error }

// ClientError means that a request's body cannot be read from the client or that a response's body cannot be written to it. It
// counts against no endpoint.
type ClientError struct {
	StatusCode int // of the response to the client, if one can still be written; else 0
	Err        error
}

// Error returns the cause's text.
func (e *ClientError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ClientError) Unwrap() error { return e.Err }

// localFaults are the errors of a dial that the sidecar's own machine causes: it is out of descriptors, ports or memory.
var localFaults = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// errHeldUp is wrapped by the error of a dial that took longer than its timeout, so that the process itself was held up.
var errHeldUp = errors.New("the process was held up")

// isLocalFault reports whether the sidecar's own machine has caused an error, so that it says nothing about the endpoint.
func isLocalFault(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, errHeldUp) || errors.As(err, &errno) && slices.Contains(localFaults, errno)
}
