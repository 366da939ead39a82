package sidecar

import (
	"sync"
	"time"
)

const (
	maxRequestBody     = 32 << 20                // bytes of a request's body
	copyBufferSize     = 32 << 10                // of a body on its way, each way
	minPace            = 64 << 10                // bytes a second that a client has to take or give
	paceGrace          = 2500 * time.Millisecond // beside that: a client may take 2 s, an improper peer is owed an end in 3 s
	maxClientStall     = 5 * time.Second         // a single wait for a client, however much it has done before
	maxEndpointStall   = 10 * time.Second        // a single wait for an endpoint amid a body
	discardInterval    = 10 * time.Millisecond   // between reads of what nobody needs: it is worth no processor time
	responseBufferTime = 50 * time.Millisecond   // an answer of unknown length is kept so long in the hope that it ends
)

// copyBuffers are for bodies on their way. Not io.Copy between sockets: it would splice.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// pace bounds how long one side of a body may be waited for: by what it has done, not by the whole. Time spent on
// the other side does not count.
type pace struct {
	bytes int64
	spent time.Duration
}

// remaining is the longest wait from now on.
func (p *pace) remaining() time.Duration {
	earned := time.Duration(p.bytes) * time.Second / minPace
	return min(maxClientStall, paceGrace+earned-p.spent)
}

// add counts a read or write that has ended.
func (p *pace) add(n int, since time.Time) {
	p.bytes += int64(n)
	p.spent += time.Since(since)
}
