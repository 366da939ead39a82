package sidecar

import (
	"time"

	"bramblestand/internal/socket"
)

const (
	// httpReadBuffer is the size in bytes of the buffer through which net/http reads a connection.
	httpReadBuffer = 4 << 10
	// sampleInterval is how many bytes of a body of unknown length are read between two samples.
	sampleInterval = 1 << 20
)

const (
	// backlogSize is how many unread bytes may be a sign that the client's machine holds back more: half of the smallest receive
	// window.
	backlogSize = 32 << 10
	// settleTime is how long input that the client's machine held back may still be on its way once the backlog before it was read. It
	// allows for arrivals that are known by the system's resolution only.
	settleTime = 10*time.Millisecond + 2*systemTimeResolution
)

// inputWaits records when a client had sent none of the input that was read later. Input that arrives in an empty socket was just
// sent, unless the client's machine had held it back because the socket was full.
type inputWaits struct {
	lastAt        time.Time
	isBegun       bool      // a read found no input
	hadBacklog    bool      // a read has found a backlog since lastAt
	emptiedAt     time.Time // when a read first found no input after the backlog; zero if none has
	mayBeHeldBack bool      // the client's machine may have held back the input that was read last
}

// begin records that a read found no input at now.
func (w *inputWaits) begin(now time.Time) {
	w.isBegun = true
	if w.hadBacklog && w.emptiedAt.IsZero() {
		w.emptiedAt = now
	}
}

// end records that input was read that had arrived at arrivedAt, and whether it was part of a backlog.
func (w *inputWaits) end(arrivedAt time.Time, hasBacklog bool) {
	if w.isBegun && (!w.hadBacklog || arrivedAt.Sub(w.emptiedAt) >= settleTime) {
		w.lastAt, w.hadBacklog = arrivedAt, false
	}
	w.isBegun = false
	w.mayBeHeldBack = w.hadBacklog
	if hasBacklog {
		w.hadBacklog, w.emptiedAt = true, time.Time{}
	}
}

// remainingInput is how much input of a socket is left after a read.
type remainingInput struct {
	bytes   int64
	isKnown bool // the system tells
}

// unreadAfterRead returns how much input of a socket is left. mayHaveMore is false if the read has shown that there is none.
func unreadAfterRead(fd uintptr, mayHaveMore bool) remainingInput {
	if !mayHaveMore {
		return remainingInput{isKnown: true}
	}
	bytes, isKnown := socket.UnreadBytes(fd)
	return remainingInput{bytes, isKnown}
}

// isBacklog reports whether the input was part of a backlog before n bytes of it were read. It returns true if that is not known.
func (u remainingInput) isBacklog(n int) bool { return !u.isKnown || int64(n)+u.bytes >= backlogSize }

// uploadInput tells how a client's input arrives.
type uploadInput interface {
	// inputAwaitedAt returns the last time at which the client had sent none of the input that was read later.
	inputAwaitedAt() time.Time
	// unreadBytes returns how many bytes of input have arrived and were not read; ok is false if that is not known.
	unreadBytes() (n int64, ok bool)
}

// lastByteBound is a lower bound of the time at which a client sent the last byte of a body. The time to the request's deadline
// starts with that byte. If the endpoint takes the body slowly, the byte may wait in the system's buffers long before it is read.
//
// Two observations show that the client had not sent the whole body at a time: the input that was read later had not arrived, or
// more of the body was missing than the system can hold. Of a body of unknown length it is known only later, when so much more
// has been read, that this was missing; samples are kept until then.
type lastByteBound struct {
	input         uploadInput
	contentLength int64 // in bytes; -1 if unknown
	sentAfter     time.Time
	samples       []sentSample // of a body of unknown length, by time
	nextSample    int64        // bytes read at which the next sample is due
}

// sentSample is an upper bound of how many bytes of a body the client had sent at a time.
type sentSample struct {
	at      time.Time
	maxSent int64
}

// update raises the bound by what is observed after bytesRead bytes of the body.
func (b *lastByteBound) update(bytesRead int64) {
	b.raise(b.input.inputAwaitedAt())
	if b.contentLength < 0 {
		b.updateUnknownLength(bytesRead)
		return
	}
	if b.contentLength-bytesRead <= socket.MaxSendBuffer() {
		return // the client may have sent all of it
	}
	if sample, ok := b.sample(bytesRead); ok && sample.maxSent < b.contentLength {
		b.raise(sample.at)
	}
}

// updateUnknownLength evaluates the samples beyond whose bytes the body has been read, and takes a new one if it is due.
func (b *lastByteBound) updateUnknownLength(bytesRead int64) {
	for len(b.samples) > 0 && b.samples[0].maxSent < bytesRead {
		b.raise(b.samples[0].at)
		b.samples = b.samples[1:]
	}
	if bytesRead < b.nextSample {
		return
	}
	b.nextSample = bytesRead + sampleInterval
	if sample, ok := b.sample(bytesRead); ok {
		b.samples = append(b.samples, sample)
	}
}

// sample returns how much of the body the client can have sent by now. ok is false if that is not known.
func (b *lastByteBound) sample(bytesRead int64) (sample sentSample, ok bool) {
	at := time.Now() // before the count of unread bytes, which may grow meanwhile
	unread, ok := b.input.unreadBytes()
	return sentSample{at, bytesRead + httpReadBuffer + unread + socket.MaxSendBuffer()}, ok
}

// raise raises the bound to at, if that is later.
func (b *lastByteBound) raise(at time.Time) {
	if at.After(b.sentAfter) {
		b.sentAfter = at
	}
}
