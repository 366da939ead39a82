package sidecar

import (
	"sync/atomic"
	"time"
)

// longestTime is the longest of several times. Its methods may be called from any goroutine.
type longestTime struct{ nanos atomic.Int64 }

// add counts a time.
func (l *longestTime) add(duration time.Duration) {
	for {
		longest := l.nanos.Load()
		if int64(duration) <= longest || l.nanos.CompareAndSwap(longest, int64(duration)) {
			return
		}
	}
}

// take returns the longest time since the last call.
func (l *longestTime) take() time.Duration { return time.Duration(l.nanos.Swap(0)) }
