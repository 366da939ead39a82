package upstream

import "errors"

// Reasons for which the sidecar itself sends nothing.
var (
	ErrTargetRetired    = errors.New("the endpoint is draining or gone")
	ErrNoFreeConnection = errors.New("no connection is left")

	ErrRequestOver = errors.New("the request is over")
)

// errDeadlineExceeded marks what failed because the time was up.
var errDeadlineExceeded = errors.New("the time is up")

// notSentError says that the last byte of a request was never written.
type notSentError struct{ error }

// ClientError is a failure of the client's side of a body. It counts against no endpoint.
type ClientError struct {
	StatusCode int // of the response, where one can still be written; else 0
	Err        error
}

// Error returns the cause's text.
func (e *ClientError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ClientError) Unwrap() error { return e.Err }
