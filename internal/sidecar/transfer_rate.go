package sidecar

import (
	"time"
)

// maxRequestBody is the longest body of a request in bytes.
const maxRequestBody = 32 << 20

// Limits of waiting for the other side of a body.
const (
	minTransferRate     = 64 << 10                // bytes a second that a client has to send or receive
	transferGracePeriod = 2500 * time.Millisecond // beside that: a client may pause for 2 s, and a misbehaving one is disconnected within 3 s
	maxClientStall      = 5 * time.Second         // a single wait for a client, however fast it was before
	discardInterval     = 10 * time.Millisecond   // between reads of discarded input, which is worth no processor time
)

// longAgo is a deadline that ends a read or write at once.
var longAgo = time.Unix(1, 0)

// transferRate limits how long one side of a body may be waited for, by what it has done so far and not by a total. Time spent
// on the other side does not count. The zero value is the rate of a body that has not started.
type transferRate struct {
	bytes   int64         // read or written
	elapsed time.Duration // waiting for that
}

// remaining returns the longest next wait. It is negative if the side is already too slow.
func (r *transferRate) remaining() time.Duration {
	earned := time.Duration(r.bytes) * time.Second / minTransferRate
	return min(maxClientStall, transferGracePeriod+earned-r.elapsed)
}

// add counts a read or write of n bytes that started at start and has just ended.
func (r *transferRate) add(n int, start time.Time) {
	r.bytes += int64(n)
	r.elapsed += time.Since(start)
}
