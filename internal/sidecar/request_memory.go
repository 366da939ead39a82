package sidecar

import (
	"container/list"
	"math"
	"sync"
	"time"

	"bramblestand/internal/bodybuffer"
)

// Memory in bytes that parts of a request take.
const (
	// maxHeadMemory is the most that a head may take. It allows several hundred lines beside upstream.MaxHeaderBytes.
	maxHeadMemory = 128 << 10
	// requestAllotment is what the head and body of a request may take without a reservation. It is part of connectionMemory.
	requestAllotment = 8 << 10
	// headLineMemory is what the parsed form of a line of a head takes beside the line itself.
	headLineMemory = 128
	// inFlightMemory is what a request in flight takes beside its head, body and response: its goroutines and the connection to
	// the endpoint.
	inFlightMemory = 24 << 10
	// forwardingMemory is what a body that is forwarded while it arrives takes: a buffer for each side of the sidecar.
	forwardingMemory = 2 * bodybuffer.Size
)

const (
	// incomingDivisor limits the memory of requests that were not read in full to that of all requests divided by it, so that
	// clients that send no complete request leave memory to those that do.
	incomingDivisor = 2
	// revocationDivisor is the limit of the memory of requests in part divided by what is kept free of it for new ones.
	revocationDivisor = 4
	// minStallBeforeRevocation is how long a request in part must not have grown before its reservation may be revoked.
	minStallBeforeRevocation = 100 * time.Millisecond
	// responseDecay is the number of responses over which the estimate of a response's memory falls to a lower one.
	responseDecay = 64
)

// requestMemory limits the memory that clients' requests take, from the first byte of a head to the end of the response. A request
// whose memory does not fit is rejected with 503. When memory becomes scarce, the reservations of incomplete requests that no longer
// grow are revoked, which ends those requests. Its methods may be called from any goroutine.
type requestMemory struct {
	mu            sync.Mutex // guards the fields below and those of the reservations
	maxBytes      int64
	usedBytes     int64     // of all reservations
	incomingBytes int64     // of requests that were not read in full; part of usedBytes
	revokedBytes  int64     // of requests that are about to end; part of incomingBytes
	incoming      list.List // of *memoryReservation with incomingBytes, the one that has not grown for the longest first
	responseBytes int64     // expected memory of a response
}

// newRequestMemory returns a requestMemory whose limit is yet to be set; until then there is none.
func newRequestMemory() *requestMemory {
	return &requestMemory{maxBytes: math.MaxInt64, responseBytes: bodybuffer.Size}
}

// setMaxBytes sets the limit. It does not affect memory that is reserved already.
func (m *requestMemory) setMaxBytes(maxBytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxBytes = maxBytes
}

// used returns the reserved memory in bytes.
func (m *requestMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usedBytes
}

// recordResponse learns from the memory that a response took. The estimate rises at once and falls slowly.
func (m *requestMemory) recordResponse(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes > m.responseBytes {
		m.responseBytes = bytes
	} else {
		m.responseBytes -= (m.responseBytes - bytes) / responseDecay
	}
}

// reservationState is the state of a request with a memoryReservation.
type reservationState uint8

const (
	requestIncoming reservationState = iota // it was not read in full
	requestRevoked                          // it was not read in full, and is about to end, since its memory is needed
	requestInFlight                         // it was read in full
)

// memoryReservation is the memory that is reserved for one request.
type memoryReservation struct {
	memory *requestMemory

	// The fields below are guarded by memory.mu.
	state    reservationState
	bytes    int64
	holders  int           // how many more calls of release end the reservation
	queued   *list.Element // in memory.incoming; nil if bytes is 0 or the state is not requestIncoming
	grownAt  time.Time     // when growTo was last called
	onRevoke func()        // ends the request; called in its own goroutine when the reservation is revoked
}

// newReservation returns a reservation of 0 bytes for a request of which nothing was read yet.
func (m *requestMemory) newReservation(onRevoke func()) *memoryReservation {
	return &memoryReservation{memory: m, holders: 1, onRevoke: onRevoke}
}

// setOnRevoke replaces the function that ends the request, and reports whether the reservation has been revoked already.
func (r *memoryReservation) setOnRevoke(onRevoke func()) (isRevoked bool) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.onRevoke = onRevoke
	return r.state == requestRevoked
}

// growTo reserves memory for a request in part, of which the head and the body that was read need the given number of bytes. It
// returns false if there is not enough memory.
func (r *memoryReservation) growTo(bytes int64) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.state == requestRevoked {
		return false
	}
	r.grownAt = time.Now()
	if r.queued != nil {
		m.incoming.MoveToBack(r.queued)
	}
	more := bytes - requestAllotment - r.bytes
	if more <= 0 {
		return true
	}
	if m.incomingBytes+more > m.maxIncomingLocked() || m.usedBytes+more > m.maxBytes {
		m.revokeStalledLocked(0)
		return false
	}
	if r.queued == nil {
		r.queued = m.incoming.PushBack(r)
	}
	r.bytes += more
	m.usedBytes += more
	m.incomingBytes += more
	m.revokeStalledLocked(m.maxIncomingLocked() / revocationDivisor * (revocationDivisor - 1))
	return true
}

// admit reserves the memory that a request takes from when it was read in full to the end of its response. isForwarded says that
// the rest of its body is forwarded while it arrives. It returns false if there is not enough memory.
func (r *memoryReservation) admit(isForwarded bool) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	more := inFlightMemory + m.responseBytes
	if isForwarded {
		more += forwardingMemory
	}
	if r.state == requestRevoked {
		return false
	}
	if m.usedBytes+more > m.maxBytes {
		m.revokeStalledLocked(0)
		return false
	}
	m.dequeueLocked(r)
	m.incomingBytes -= r.bytes
	r.state = requestInFlight
	r.bytes += more
	m.usedBytes += more
	return true
}

// retain adds a holder of the reservation, which has to call release, too.
func (r *memoryReservation) retain() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.holders++
}

// release ends the reservation if no other holder is left.
func (r *memoryReservation) release() {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.holders--; r.holders > 0 {
		return
	}
	m.dequeueLocked(r)
	m.usedBytes -= r.bytes
	if r.state != requestInFlight {
		m.incomingBytes -= r.bytes
	}
	if r.state == requestRevoked {
		m.revokedBytes -= r.bytes
	}
	r.bytes = 0
}

// maxIncomingLocked returns the limit of incomingBytes. The caller holds m.mu.
func (m *requestMemory) maxIncomingLocked() int64 { return m.maxBytes / incomingDivisor }

// revokeStalledLocked revokes the reservations of requests in part that have not grown for the longest, until those that are left
// take no more than maxBytes or none is stalled. Their memory is free once the requests have ended. The caller holds m.mu.
func (m *requestMemory) revokeStalledLocked(maxBytes int64) {
	for m.incomingBytes-m.revokedBytes > maxBytes {
		first := m.incoming.Front()
		if first == nil {
			return
		}
		stalled := first.Value.(*memoryReservation)
		if time.Since(stalled.grownAt) < minStallBeforeRevocation {
			return
		}
		m.dequeueLocked(stalled)
		stalled.state = requestRevoked
		m.revokedBytes += stalled.bytes
		go stalled.onRevoke()
	}
}

// dequeueLocked removes a reservation from the queue of requests in part, if it is there. The caller holds m.mu.
func (m *requestMemory) dequeueLocked(r *memoryReservation) {
	if r.queued != nil {
		m.incoming.Remove(r.queued)
		r.queued = nil
	}
}
