package sidecar

import (
	"io"
	"time"

	"bramblestand/internal/upstream"
)

// upload is the part of a request's body that is not buffered and still arrives from the client. It implements upstream.Upload.
// One goroutine uses it at a time.
type upload struct {
	*requestBody
	timeLeft   time.Duration // from the last byte of the request to its deadline
	lastByte   lastByteBound
	isConsumed bool // bytes were read, so that the request cannot be sent again
}

// newUpload returns the rest of a body. The client had not sent all of it at sentAfter.
func newUpload(body *requestBody, input uploadInput, sentAfter time.Time, timeLeft time.Duration) *upload {
	lastByte := lastByteBound{input: input, contentLength: body.contentLength, sentAfter: sentAfter}
	return &upload{requestBody: body, timeLeft: timeLeft, lastByte: lastByte}
}

// ContentLength returns the length of the whole body in bytes, or -1 if it is unknown.
func (u *upload) ContentLength() int64 { return u.contentLength }

// IsConsumed reports whether any byte was read.
func (u *upload) IsConsumed() bool { return u.isConsumed }

// ClientError returns the error that ended reading, or nil.
func (u *upload) ClientError() *upstream.ClientError { return u.err }

// Read is requestBody.Read. It also records whether bytes were consumed, and moves the deadline on.
func (u *upload) Read(p []byte) (int, error) {
	u.memory.awaitInput()
	n, err := u.requestBody.Read(p)
	u.memory.inputArrived()
	u.isConsumed = u.isConsumed || n > 0
	if err == nil || err == io.EOF {
		u.lastByte.update(u.rate.bytes)
	}
	return n, err
}

// Deadline returns the request's deadline, which moves on while it is certain that the client has not sent the whole body.
func (u *upload) Deadline() time.Time {
	if u.hasUnread() {
		u.lastByte.update(u.rate.bytes)
	}
	return u.lastByte.sentAfter.Add(u.timeLeft)
}
