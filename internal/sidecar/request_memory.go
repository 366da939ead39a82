package sidecar

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// Memory in bytes that parts of a request take.
const (
	// maxHeadMemory is the most that a head may take. It allows several hundred lines beside upstream.MaxHeaderBytes.
	maxHeadMemory = 128 << 10
	// requestAllotment is what the head and body of a request may take without a reservation. It is part of connectionMemory.
	requestAllotment = 8 << 10
	// headLineMemory is what the parsed form of a line of a head takes beside the line itself.
	headLineMemory = 128
	// inFlightMemory is what a request in flight takes beside its head, body and response: its goroutines, the connection to the
	// endpoint, and a small buffer for each body that is forwarded as it arrives.
	inFlightMemory = 24 << 10
)

const (
	// incomingDivisor limits the memory of requests that were not read in full, with the spare memory in use, to that of all requests
	// divided by it, so that the rest is left to requests that are read in full.
	incomingDivisor = 2
	// revocationDivisor is the limit of the memory of requests in part divided by what is kept free of it for new ones.
	revocationDivisor = 4
	// lendingDivisor is the limit of the memory of all requests divided by the use up to which memory is lent.
	lendingDivisor = 2
	// minStallBeforeRevocation is how long a request in part must not have grown before its reservation may be revoked.
	minStallBeforeRevocation = 100 * time.Millisecond
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
	spareBytes    int64     // that are lent, or reserved as spare memory; part of usedBytes
	incoming      list.List // of *memoryReservation with incomingBytes, the one that has not grown for the longest first
}

// newRequestMemory returns a requestMemory whose limit is yet to be set; until then there is none.
func newRequestMemory() *requestMemory {
	return &requestMemory{maxBytes: math.MaxInt64}
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

// Borrow implements bodybuffer.Lender. It lends what is free while no more than a part of the memory is used, so that what is lent is
// never missing to a request that is read in full.
func (m *requestMemory) Borrow(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.borrowLocked(bytes)
}

// borrowLocked is Borrow for a caller that holds m.mu.
func (m *requestMemory) borrowLocked(bytes int64) bool {
	if m.usedBytes+bytes > m.maxBytes/lendingDivisor {
		return false
	}
	m.usedBytes += bytes
	m.spareBytes += bytes
	return true
}

// Return implements bodybuffer.Lender.
func (m *requestMemory) Return(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returnLocked(bytes)
}

// returnLocked is Return for a caller that holds m.mu.
func (m *requestMemory) returnLocked(bytes int64) {
	m.usedBytes -= bytes
	m.spareBytes -= bytes
}

// maxIncomingLocked returns the limit of incomingBytes. The caller holds m.mu.
func (m *requestMemory) maxIncomingLocked() int64 { return m.maxBytes/incomingDivisor - m.spareBytes }

// fitsLocked reports whether that much more may be used. If not, it revokes the reservations of stalled requests in part that take as
// much as is missing. The caller holds m.mu.
func (m *requestMemory) fitsLocked(more int64, isIncoming bool) bool {
	missing := m.usedBytes + more - m.maxBytes
	if isIncoming {
		missing = max(missing, m.incomingBytes+more-m.maxIncomingLocked())
	}
	if missing > 0 {
		m.revokeStalledLocked(m.incomingBytes - missing)
	}
	return missing <= 0
}

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

// enqueueLocked adds a reservation to the queue of requests in part, unless it is there. The caller holds m.mu.
func (m *requestMemory) enqueueLocked(r *memoryReservation) {
	if r.queued == nil {
		r.queued = m.incoming.PushBack(r)
	}
}
