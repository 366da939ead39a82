package sidecar

import (
	"container/list"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"bramblestand/internal/bodybuffer"
	"bramblestand/internal/mutant"
	"bramblestand/internal/socket"
)

// This file decides which connection is evicted when another one needs its place. The registry proposes connections by class and
// age, at a cost that does not grow with their number; the connection itself has the last word, under the lock that its reads hold:
// it is evicted only if no client is owed anything on it.

const (
	// minIdleBeforeEviction is how long a connection must have been idle before it may be evicted.
	minIdleBeforeEviction = 2 * time.Second
	// minUnprovenAge is how long a new connection may take to send its first bytes, and a request to become complete, before the
	// connection may be evicted: a client needs a moment between its connecting and its request.
	minUnprovenAge = 50 * time.Millisecond
	// minChunkedStall is how long nothing must have arrived of a body in chunks before it counts as incomplete.
	minChunkedStall = 100 * time.Millisecond
	// maxAcknowledgeDelay is how long a client's system may take to acknowledge a response that it has received.
	maxAcknowledgeDelay = 100 * time.Millisecond
	// endOfOutput is how much the end of a connection's sending side counts among the bytes that are not acknowledged.
	endOfOutput = 1
	// maxEvictionWait limits how long a new connection waits for others to become evictable.
	maxEvictionWait = time.Second
	// evictionRetryInterval is the time between attempts to evict one.
	evictionRetryInterval = time.Millisecond
	// maxEvictionCandidates is how many connections of a class one attempt looks at.
	maxEvictionCandidates = 16
)

// evictionClass is what an eviction has to know of a connection. A lower class is evicted first.
type evictionClass uint8

const (
	classDraining evictionClass = iota // closed, and only drained
	classSilent                        // open, and nothing was read on it
	classUnproven                      // something was read, but no valid request yet
	classIdle                          // between two requests, of which one was valid
	classBusy                          // a valid request was read on it and is being served; never evicted

	evictableClasses = classBusy // how many classes may be evicted
)

// String returns the class as the log names it.
func (c evictionClass) String() string {
	return [...]string{"draining", "silent", "unproven", "idle", "busy"}[c]
}

// evictionClass returns the class of a connection in this state.
func (s *clientConnState) evictionClass() evictionClass {
	switch {
	case s.httpState == http.StateClosed:
		return classDraining
	case !s.hasValidRequest && !s.hasInput:
		return classSilent
	case !s.hasValidRequest, mutant.EvictsRequests:
		return classUnproven
	case s.httpState == http.StateIdle:
		return classIdle
	}
	return classBusy
}

// evictionQueues hold the connections of each class in the order in which they came into it. They are guarded by the registry's
// lock.
type evictionQueues [evictableClasses]list.List

// evictionPlace is a connection's place in the queues.
type evictionPlace struct {
	class    evictionClass
	element  *list.Element // nil in classBusy
	queuedAt time.Time
}

// enqueue appends a connection to the queue of its class, in which it has been since queuedAt.
func (q *evictionQueues) enqueue(conn *clientConn, class evictionClass, queuedAt time.Time) evictionPlace {
	place := evictionPlace{class: class, queuedAt: queuedAt}
	if class < evictableClasses {
		place.element = q[class].PushBack(conn)
	}
	return place
}

// remove takes a connection out of its queue.
func (q *evictionQueues) remove(place evictionPlace) {
	if place.element != nil {
		q[place.class].Remove(place.element)
	}
}

// evictionResult is the outcome of an attempt to evict a connection.
type evictionResult uint8

const (
	evictedNone  evictionResult = iota // none may be evicted
	evictedLater                       // none may be evicted yet, but new connections will soon have been served or prove incomplete
	evictedOne
)

// makeRoom evicts a connection if there is no place for another one. Without it, clients that send nothing would leave no
// descriptor to accept others with. It may wait while the connections that hold the places are too new to be judged; the system
// queues other clients meanwhile. If none can be evicted, the next connection is beyond the limit, and its request is rejected.
func (c *clientConns) makeRoom() {
	deadline := time.Now().Add(maxEvictionWait)
	for c.available() <= 0 && c.evictOne() == evictedLater && time.Now().Before(deadline) {
		time.Sleep(evictionRetryInterval)
	}
}

// evictOne evicts one connection: of the lowest class that has an evictable one, the first in its queue.
func (c *clientConns) evictOne() evictionResult {
	result := evictedNone
	for class := range evictableClasses {
		if class >= classUnproven && result == evictedLater {
			break // requests on their way, and the connections of clients that sent valid ones, are worth the wait
		}
		switch c.evictOneOf(class) {
		case evictedOne:
			return evictedOne
		case evictedLater:
			result = evictedLater
		}
	}
	return result
}

// evictOneOf evicts one connection of a class.
func (c *clientConns) evictOneOf(class evictionClass) evictionResult {
	result := evictedNone
	for range maxEvictionCandidates {
		candidate := c.evictionCandidate(class)
		if candidate.isUndecided {
			result = evictedLater
		}
		if candidate.conn == nil {
			break
		}
		if candidate.conn.evict() {
			c.countEviction(class)
			return evictedOne
		}
	}
	return result
}

// evictionCandidate is a connection that may be evicted if it agrees.
type evictionCandidate struct {
	conn        *clientConn // nil if the class has none that is old enough
	isUndecided bool        // what the connection holds will soon be known, or delivered
}

// evictionCandidate returns the first connection of a class, if it is old enough. It moves it to the back of its queue, so that
// the next attempt looks at others.
func (c *clientConns) evictionCandidate(class evictionClass) evictionCandidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := &c.queues[class]
	first := queue.Front()
	if first == nil {
		return evictionCandidate{}
	}
	conn := first.Value.(*clientConn)
	age := time.Since(c.conns[conn].place.queuedAt)
	isUndecided := class == classSilent || class == classUnproven || class == classDraining && age < maxAcknowledgeDelay
	if age < c.minAge(class) {
		return evictionCandidate{isUndecided: isUndecided}
	}
	queue.MoveToBack(first)
	return evictionCandidate{conn, isUndecided}
}

// minAge returns how long a connection must have been in its class before it may be evicted. The caller holds c.mu.
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

// countEviction counts an eviction for the status log.
func (c *clientConns) countEviction(class evictionClass) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted[class]++
}

// connectedFor returns how long ago the client has connected, if it has sent nothing since: the connection may have waited for its
// accept. It is 0 where the system does not know.
func (c *clientConn) connectedFor() (duration time.Duration) {
	c.rawConn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			duration = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return duration
}

// evict closes the connection at once, unless its client is owed a response or has to receive one, and reports whether it did.
func (c *clientConn) evict() bool {
	return c.closeAtOnceIf(c.isEvictableLocked)
}

// closeAtOnceIf closes the connection without draining it if the condition holds, which is called under c.mu, and reports
// whether it did.
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

// isEvictableLocked reports whether nothing is owed to the client: no request was read in full, or may wait unread, that has no
// response, and all of the last response has reached the client's machine. The caller holds c.mu.
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

// mayHoldRequestLocked reports whether a request was read in full, or may have been, that has no response yet. The caller holds
// c.mu.
func (c *clientConn) mayHoldRequestLocked() bool {
	switch unanswered := c.framing.headsRead - c.requestsFinished; {
	case unanswered == 0:
		return false
	case unanswered > 1 || c.framing.isInHead:
		return true // what follows a body stands behind its end
	case c.framing.isDone: // the body is in chunks, whose end framing does not see
		return time.Since(c.lastRead) < minChunkedStall
	default:
		return c.framing.bodyRemaining == 0
	}
}

// isResponseDelivered discards what was received on a closing connection, and reports whether the client's system has
// acknowledged all that was sent. If so, no reset by a close of the socket can overtake the response.
func (c *clientConn) isResponseDelivered() (isDelivered bool) {
	c.rawConn.Control(func(fd uintptr) { // not Read: it would wait for drainBeforeClose
		buffer := bodybuffer.Get()
		defer bodybuffer.Put(buffer)
		readNonblocking(fd, buffer[:])
		unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		isDelivered = unacknowledged <= endOfOutput || err != nil
	})
	return isDelivered
}
