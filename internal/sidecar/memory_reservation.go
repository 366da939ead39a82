package sidecar

import (
	"container/list"
	"time"
)

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
	state      reservationState
	bytes      int64         // without spareBytes
	spareBytes int64         // reserved as spare memory
	holders    int           // how many more calls of release end the reservation
	queued     *list.Element // in memory.incoming; nil if the reservation is not to be revoked
	grownAt    time.Time     // when growTo was last called
	onRevoke   func()        // ends the request; called in its own goroutine when the reservation is revoked
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
	if !m.fitsLocked(more, true) {
		return false
	}
	r.addLocked(more)
	m.enqueueLocked(r)
	m.revokeStalledLocked(m.maxIncomingLocked() / revocationDivisor * (revocationDivisor - 1))
	return true
}

// admit reserves the memory that a request takes from when its head was read to the end of its response, beside its body and its
// response. isComplete says that it was read in full; else the rest of its body is forwarded while it arrives. admit returns false
// if there is not enough memory.
func (r *memoryReservation) admit(isComplete bool) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.state == requestRevoked || !m.fitsLocked(inFlightMemory, !isComplete) {
		return false
	}
	m.dequeueLocked(r)
	if isComplete {
		r.completeLocked()
	}
	r.addLocked(inFlightMemory)
	return true
}

// complete records that the request was read in full.
func (r *memoryReservation) complete() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.completeLocked()
}

// completeLocked is complete for a caller that holds memory.mu.
func (r *memoryReservation) completeLocked() {
	if r.state != requestIncoming {
		return
	}
	r.memory.dequeueLocked(r)
	r.memory.incomingBytes -= r.bytes
	r.state = requestInFlight
}

// awaitInput records that the rest of a body is awaited from the client. Until inputArrived the reservation may be revoked.
func (r *memoryReservation) awaitInput() {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	r.grownAt = time.Now()
	if r.state == requestIncoming && r.bytes > 0 {
		m.enqueueLocked(r)
	}
}

// inputArrived ends awaitInput: the endpoint takes what has arrived, and the client is not to blame for the time of that.
func (r *memoryReservation) inputArrived() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.dequeueLocked(r)
}

// Reserve implements upstream.BodyMemory.
func (r *memoryReservation) Reserve(bytes int64) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fitsLocked(bytes, false) {
		return false
	}
	r.addLocked(bytes)
	return true
}

// ReserveSpare implements upstream.BodyMemory.
func (r *memoryReservation) ReserveSpare(bytes int64) bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if !r.memory.borrowLocked(bytes) {
		return false
	}
	r.spareBytes += bytes
	return true
}

// Unreserve implements upstream.BodyMemory.
func (r *memoryReservation) Unreserve(bytes, spareBytes int64) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.addLocked(-bytes)
	r.spareBytes -= spareBytes
	r.memory.returnLocked(spareBytes)
}

// Borrow implements bodybuffer.Lender.
func (r *memoryReservation) Borrow(bytes int64) bool { return r.memory.Borrow(bytes) }

// Return implements bodybuffer.Lender.
func (r *memoryReservation) Return(bytes int64) { r.memory.Return(bytes) }

// addLocked adds to the reserved memory. The caller holds memory.mu.
func (r *memoryReservation) addLocked(bytes int64) {
	r.bytes += bytes
	r.memory.usedBytes += bytes
	if r.state != requestInFlight {
		r.memory.incomingBytes += bytes
	}
	if r.state == requestRevoked {
		r.memory.revokedBytes += bytes
	}
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
	m.returnLocked(r.spareBytes)
	r.bytes, r.spareBytes = 0, 0
}
