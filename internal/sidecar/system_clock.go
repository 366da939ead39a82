package sidecar

import (
	"sync/atomic"
	"time"
)

// maxClockDifference is the most by which a time that the system reports for a socket may exceed the same time by this process's clock.
const maxClockDifference = 50 * time.Millisecond

// systemClockCheck compares the times that the system reports for sockets with the process's clock. A process whose clock is not the
// system's, as in a simulation, must not use them. Its methods may be called from any goroutine.
type systemClockCheck struct{ differs atomic.Bool }

// compare compares the time since the same event by both clocks.
func (c *systemClockCheck) compare(bySystem, byProcess time.Duration) {
	switch {
	case bySystem > byProcess+maxClockDifference:
		c.differs.Store(true)
	case byProcess > maxClockDifference:
		c.differs.Store(false)
	}
}

// lastWrite is the last write to a client, by which the system's clock is checked.
type lastWrite struct{ startedAt atomic.Int64 } // nanoseconds after writeEpoch; 0 if there was none

// writeEpoch is before all writes.
var writeEpoch = time.Now()

// begin records that a write starts.
func (w *lastWrite) begin() { w.startedAt.Store(int64(time.Since(writeEpoch))) }

// age returns the time since the last write started. ok is false if there was none.
func (w *lastWrite) age() (age time.Duration, ok bool) {
	startedAt := time.Duration(w.startedAt.Load())
	if startedAt == 0 {
		return 0, false
	}
	return time.Since(writeEpoch) - startedAt, true
}
