package sidecar

import (
	"time"

	"bramblestand/balancer"
)

// clock gives the balancer's time: microseconds since the Unix epoch by the wall clock at the process's start, counted on by the
// monotonic clock. It never runs backwards, and the start times of endpoints, which discovery gives by the wall clock, are
// comparable with it.
type clock struct{ start time.Time }

// now returns the balancer's time.
func (c clock) now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// wallTime returns the time.Time of a balancer's time, for deadlines.
func (c clock) wallTime(at balancer.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}
