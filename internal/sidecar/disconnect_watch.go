package sidecar

import (
	"sync"
	"time"
)

// disconnectPollInterval is the time between polls of watched connections.
const disconnectPollInterval = 20 * time.Millisecond

// disconnectWatch polls connections on which no read is in progress that would notice the client's disconnect. A timer runs as
// long as any connection is watched.
type disconnectWatch struct {
	mu              sync.Mutex // guards the fields below; held over checkDisconnected, which takes no lock
	conns           map[*clientConn]struct{}
	isPollScheduled bool
}

// add starts polling a connection.
func (w *disconnectWatch) add(conn *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns == nil {
		w.conns = map[*clientConn]struct{}{}
	}
	w.conns[conn] = struct{}{}
	if !w.isPollScheduled {
		w.schedulePoll()
	}
}

// remove stops polling a connection, if it is polled.
func (w *disconnectWatch) remove(conn *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
}

// poll checks all watched connections once, and schedules the next poll if there are any.
func (w *disconnectWatch) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.checkDisconnected()
	}
	w.isPollScheduled = false
	if len(w.conns) > 0 {
		w.schedulePoll()
	}
}

// schedulePoll runs poll after disconnectPollInterval. The caller holds mu.
func (w *disconnectWatch) schedulePoll() {
	w.isPollScheduled = true
	time.AfterFunc(disconnectPollInterval, w.poll)
}
