package upstream

import "errors"

// Reasons why the sidecar itself does not send a request. Result.Err wraps them; the status is then balancer.NotSent.
var (
	ErrTargetRetired    = errors.New("the endpoint is draining or removed")
	ErrNoFreeConnection = errors.New("no connection is free")
	ErrRequestOver      = errors.New("the request is over")
)

// errDeadlineExceeded is wrapped by the error of an exchange whose deadline has passed.
var errDeadlineExceeded = errors.New("the deadline has passed")

// errBodyTooLong is wrapped by the error of a response that cannot be forwarded and is too long to be buffered.
var errBodyTooLong = errors.New("the response's body is too long")

// notSentError says that the last byte of a request was not written.
type notSentError struct{ error }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.error }

// ClientError is a failure of the client's side of a body. It counts against no endpoint.
type ClientError struct {
	StatusCode int // of the response, where one can still be written; else 0
	Err        error
}

// Error returns the cause's text.
func (e *ClientError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ClientError) Unwrap() error { return e.Err }
