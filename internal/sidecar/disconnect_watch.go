package sidecar

import (
	"sync"
	"time"
)

// disconnectPollInterval is the time between polls for clients that disconnected while nobody reads from them.
const disconnectPollInterval = 20 * time.Millisecond

// disconnectWatch polls connections whose clients' disconnecting no read would notice. A timer's goroutine polls while any
// connection is watched.
type disconnectWatch struct {
	mu              sync.Mutex // guards the fields below; held over checkDisconnected, which takes no lock
	conns           map[*clientConn]struct{}
	isPollScheduled bool
}

// add starts polling a connection, until remove.
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

// remove ends the polling of a connection, if it was polled.
func (w *disconnectWatch) remove(conn *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
}

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

// schedulePoll is called under mu.
func (w *disconnectWatch) schedulePoll() {
	w.isPollScheduled = true
	time.AfterFunc(disconnectPollInterval, w.poll)
}
