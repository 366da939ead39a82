package sidecar

import (
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/internal/bodybuffer"
	"bramblestand/internal/mutant"
	"bramblestand/internal/socket"
)

// This file decides which connection is evicted when the registry is full and a client connects. The registry selects candidates
// by class and age, at a cost that does not grow with the number of connections. The candidate itself then checks, under the lock
// that its reads hold, that no response to its client is outstanding. Only then is it evicted.

const (
	// minIdleBeforeEviction is how long a connection must have been idle before it may be evicted.
	minIdleBeforeEviction = 2 * time.Second
	// minUnprovenAge is how long a connection must have been silent, and then how long it must have been unproven, before it may
	// be evicted: a client needs some time to send its request after connecting.
	minUnprovenAge = 50 * time.Millisecond
	// minChunkedStall is how long no part of a chunked body must have arrived before the body counts as incomplete.
	minChunkedStall = 100 * time.Millisecond
	// maxAcknowledgeDelay is how long a client's system may take to acknowledge a response that it has received.
	maxAcknowledgeDelay = 100 * time.Millisecond
	// finLength is what a FIN adds to the number of unacknowledged bytes: it occupies one TCP sequence number.
	finLength = 1
	// maxEvictionWait is the maximum time for which a new connection waits for another one to become evictable. All that connect after
	// it wait as well.
	maxEvictionWait = 100 * time.Millisecond
	// evictionRetryInterval is the time between attempts to evict a connection.
	evictionRetryInterval = time.Millisecond
	// maxEvictionCandidates is the maximum number of connections of each class that one attempt considers.
	maxEvictionCandidates = 16
)

// evictionResult is the outcome of an attempt to evict a connection.
type evictionResult uint8

const (
	evictionImpossible evictionResult = iota // no connection may be evicted
	evictionPending                          // no connection may be evicted yet, but one is likely to become evictable soon
	evictionDone                             // one connection was evicted
)

// makeRoom evicts connections until the registry has room for another one. Without it, clients that send nothing would use up the
// descriptors that are needed to accept others. If the connections are too new to decide which one to evict, makeRoom waits; the system
// queues other clients meanwhile. If none can be evicted, the next connection exceeds the limit, and requests are rejected until there
// is room again.
func (c *clientConns) makeRoom() {
	deadline := time.Now().Add(maxEvictionWait)
	for c.available() <= 0 {
		switch c.evictOne() {
		case evictionImpossible:
			return
		case evictionPending:
			if !time.Now().Before(deadline) {
				return
			}
			time.Sleep(evictionRetryInterval)
		}
	}
}

// evictOne evicts one connection. It takes the lowest class that has an evictable connection, and the first such connection in the
// queue of that class.
func (c *clientConns) evictOne() evictionResult {
	result := evictionImpossible
	for class := range evictableClasses {
		if class >= classUnproven && result == evictionPending {
			// Rather wait for a lower class: these connections carry incomplete requests, or their clients have sent valid ones.
			break
		}
		switch c.evictOneOf(class) {
		case evictionDone:
			return evictionDone
		case evictionPending:
			result = evictionPending
		}
	}
	return result
}

// evictOneOf evicts one connection of the given class.
func (c *clientConns) evictOneOf(class evictionClass) evictionResult {
	result := evictionImpossible
	for range maxEvictionCandidates {
		candidate := c.evictionCandidate(class)
		if candidate.conn != nil && candidate.conn.evict() {
			c.countEviction(class)
			return evictionDone
		}
		if candidate.mayBeEvictableSoon() {
			result = evictionPending
		}
		if candidate.conn == nil {
			break
		}
	}
	return result
}

// evictionCandidate is a connection that is old enough to be evicted. Its evict method has still to check whether it may be.
type evictionCandidate struct {
	conn      *clientConn // nil if no connection of the class is old enough
	decidedAt time.Time   // when it is clear whether the first connection of the class may be evicted; zero if there is none
}

// mayBeEvictableSoon reports whether the first connection of the class, if not evictable now, will soon reach the minimum age, complete
// its request or have its response acknowledged.
func (e evictionCandidate) mayBeEvictableSoon() bool {
	return time.Now().Before(e.decidedAt) && (e.conn == nil || !e.conn.isBodyActiveUntil(e.decidedAt))
}

// evictionCandidate returns the first connection of a class, if it is old enough, and moves it to the back of the queue, so that
// the next attempt considers others.
func (c *clientConns) evictionCandidate(class evictionClass) evictionCandidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := &c.queues[class]
	first := queue.Front()
	if first == nil {
		return evictionCandidate{}
	}
	conn := first.Value.(*clientConn)
	queuedAt := c.conns[conn].queueEntry.queuedAt
	decidedAt := queuedAt.Add(c.maxDecisionAge(class))
	if time.Since(queuedAt) < c.minAge(class) {
		return evictionCandidate{decidedAt: decidedAt}
	}
	queue.MoveToBack(first)
	return evictionCandidate{conn, decidedAt}
}

// minAge returns the minimum time in a class before a connection may be evicted. The caller holds c.mu.
func (c *clientConns) minAge(class evictionClass) time.Duration {
	switch class {
	case classDraining:
		return 0
	case classIdle:
		return c.minIdle
	default:
		return c.minUnproven
	}
}

// maxDecisionAge returns the time in a class after which it is clear whether a connection may be evicted. One that may not be then is in
// use, for example by a body in chunks that goes on. The caller holds c.mu.
func (c *clientConns) maxDecisionAge(class evictionClass) time.Duration {
	switch class {
	case classDraining:
		return maxAcknowledgeDelay
	case classSilent:
		return c.minUnproven
	case classUnproven:
		return c.minUnproven + minChunkedStall
	default:
		return 0 // idle connections are not waited for
	}
}

// countEviction adds one to the evictions of a class, which the status line reports.
func (c *clientConns) countEviction(class evictionClass) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.evicted[class]++
}

// connectedFor returns the time since the client connected or last sent something. It includes the time for which the connection
// waited to be accepted. It returns 0 if the system does not report it.
func (c *clientConn) connectedFor() (duration time.Duration) {
	c.rawConn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			duration = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return duration
}

// evict closes the connection at once, unless a response to its client is outstanding or not acknowledged, and reports whether it
// did.
func (c *clientConn) evict() bool {
	return c.closeAtOnceIf(c.isEvictableLocked)
}

// closeAtOnceIf closes the connection without draining it if the condition holds, and reports whether it did. It calls condition
// with c.mu held.
func (c *clientConn) closeAtOnceIf(condition func() bool) bool {
	c.mu.Lock()
	isClosed := condition()
	if isClosed {
		c.isClosing = true
		c.markDisconnected()
	}
	c.mu.Unlock()
	if isClosed {
		c.closeSocket()
	}
	return isClosed
}

// isEvictableLocked reports whether no response to the client is outstanding. The caller holds c.mu.
//
//   - An open connection is evictable if no input is unread and every request that may have been read in full has its response.
//     After a valid request, part of the next request keeps it as well.
//   - A closing connection is evictable once the client's system has acknowledged all output.
func (c *clientConn) isEvictableLocked() bool {
	switch {
	case mutant.EvictsRequests:
		return true
	case c.isClosing:
		return c.isResponseDelivered()
	case c.hasValidRequest:
		return !c.isInUseLocked() && socket.IsQuiet(c.Conn)
	default:
		return !c.mayHoldRequestLocked() && socket.IsQuiet(c.Conn)
	}
}

// mayHoldRequestLocked reports whether a request without a response was, or may have been, read in full. The caller holds c.mu.
func (c *clientConn) mayHoldRequestLocked() bool {
	switch unanswered := c.framing.headsRead - c.requestsFinished; {
	case unanswered == 0:
		return false
	case unanswered > 1 || c.framing.isInHead:
		return true // a further head was read, so that the request before it is complete
	case c.framing.isDone: // the body is chunked, and framing does not find its end
		return time.Now().Before(c.stalledAtLocked())
	default:
		return c.framing.bodyRemaining == 0
	}
}

// isBodyActiveUntil reports whether a chunked body arrives on the connection that cannot count as incomplete before t.
func (c *clientConn) isBodyActiveUntil(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isClosing && c.framing.head.hasTransferCoding && t.Before(c.stalledAtLocked())
}

// stalledAtLocked returns when the chunked body on the connection counts as incomplete if no more of it arrives. The caller holds c.mu.
func (c *clientConn) stalledAtLocked() time.Time { return c.lastRead.Add(minChunkedStall) }

// isResponseDelivered discards the available input of a closing connection, and reports whether the client's system has
// acknowledged all output. If so, a reset that the close of the socket may cause cannot overtake the response. The FIN need not be
// acknowledged.
func (c *clientConn) isResponseDelivered() (isDelivered bool) {
	c.rawConn.Control(func(fd uintptr) { // not rawConn.Read, which would wait for the read of drainBeforeClose
		buffer := bodybuffer.Get()
		defer bodybuffer.Put(buffer)
		readNonblocking(fd, buffer[:])
		unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		isDelivered = unacknowledged <= finLength || err != nil
	})
	return isDelivered
}
