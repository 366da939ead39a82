package sidecar

import (
	"container/list"
	"net/http"
	"time"

	"bramblestand/internal/mutant"
)

// evictionClass ranks connections for eviction. Connections of a lower class are evicted first.
type evictionClass uint8

const (
	classDraining evictionClass = iota // closed; its remaining input is being drained
	classSilent                        // open; no input was read yet
	classUnproven                      // input was read, but no valid request yet
	classIdle                          // between requests, after at least one valid request
	classBusy                          // serving a request, after at least one valid request was read; never evicted

	evictableClasses = classBusy // number of classes that may be evicted
)

// String returns the name of the class in the log.
func (c evictionClass) String() string {
	return [...]string{"draining", "silent", "unproven", "idle", "busy"}[c]
}

// evictionClass returns the class of a connection with state s.
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

// evictionQueues holds a queue of connections for each class, in the order in which they entered the class. It is guarded by the
// registry's lock.
type evictionQueues [evictableClasses]list.List

// evictionQueueEntry is a connection's entry in the queue of its class.
type evictionQueueEntry struct {
	class    evictionClass
	element  *list.Element // nil in classBusy
	queuedAt time.Time     // when the connection entered the class
}

// enqueue appends a connection to the queue of its class. queuedAt is when it entered the class.
func (q *evictionQueues) enqueue(conn *clientConn, class evictionClass, queuedAt time.Time) evictionQueueEntry {
	entry := evictionQueueEntry{class: class, queuedAt: queuedAt}
	if class < evictableClasses {
		entry.element = q[class].PushBack(conn)
	}
	return entry
}

// remove removes an entry from its queue, if it is in one.
func (q *evictionQueues) remove(entry evictionQueueEntry) {
	if entry.element != nil {
		q[entry.class].Remove(entry.element)
	}
}
