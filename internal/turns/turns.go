// Package turns shares the processor among clients.
//
// The Go scheduler runs a goroutine until it waits. A client that always has its next request ready never makes its goroutine wait, and a
// few of them keep the scheduler from polling the network, by which it finds out that others are ready. A goroutine that works for a
// client therefore takes turns: it works on a limited amount of input or output, and then waits until the network has been polled and
// whoever became ready has run.
package turns

import (
	"runtime"
	"sync"
	"time"
)

const (
	// turnsPerPoll is how many waiting goroutines get their next turn after each poll of the network. The others wait for further polls, so
	// that clients who are not waiting for turns are held up by this many turns at most each time they wait for the network.
	turnsPerPoll = 4
	// maxPollWait limits the wait for a poll of the network.
	maxPollWait = 10 * time.Millisecond
)

// Queue gives turns to goroutines in the order in which they ask. Its methods may be called from any goroutine.
type Queue struct {
	newBarrier func() (*pollBarrier, error)

	mu        sync.Mutex // guards the fields below
	waiting   []chan struct{}
	isServing bool // serve runs

	barrier *pollBarrier // used by serve alone; nil before the first turn, and if there can be none
}

// Queues of the process. Each gives turns after each poll of the network, however many goroutines wait in the others.
var (
	Clients = Queue{newBarrier: newPollBarrier} // for input and output of clients that are connected
	Accepts = Queue{newBarrier: newPollBarrier} // for accepting connections
)

// Await waits for the caller's next turn.
func (q *Queue) Await() {
	turn := make(chan struct{})
	q.mu.Lock()
	q.waiting = append(q.waiting, turn)
	if !q.isServing {
		q.isServing = true
		go q.serve()
	}
	q.mu.Unlock()
	<-turn
}

// Waiting returns how many goroutines wait for their turn.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// serve gives turns until nobody waits for one.
func (q *Queue) serve() {
	for {
		q.awaitPoll()
		if !q.giveTurns() {
			return
		}
	}
}

// awaitPoll waits until the network has been polled.
func (q *Queue) awaitPoll() {
	if q.barrier == nil {
		barrier, err := q.newBarrier()
		if err != nil { // for want of descriptors or memory, which may pass
			runtime.Gosched()
			return
		}
		q.barrier = barrier
	}
	q.barrier.wait(maxPollWait)
}

// giveTurns gives the next turns. It returns false if nobody waits any longer.
func (q *Queue) giveTurns() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := min(turnsPerPoll, len(q.waiting))
	for i := range count {
		close(q.waiting[(i+1)%count]) // the scheduler runs the goroutine first that is made runnable last
	}
	q.waiting = append(q.waiting[:0], q.waiting[count:]...)
	q.isServing = len(q.waiting) > 0
	return q.isServing
}
