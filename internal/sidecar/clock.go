package sidecar

import (
	"time"

	"bramblestand/balancer"
)

// clock gives the balancer's time in microseconds since the Unix epoch. It reads the wall clock once, at the process's start, and
// adds the time that has passed since then by the monotonic clock. So it never runs backwards, and it can be compared with the
// start times of endpoints, which discovery reports in wall-clock time.
type clock struct{ start time.Time }

// now returns the current time.
func (c clock) now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// micros converts a time.Time to a time of this clock.
func (c clock) micros(at time.Time) balancer.Micros {
	return c.start.UnixMicro() + at.Sub(c.start).Microseconds()
}

// wallTime converts a time of this clock to a time.Time, for deadlines.
func (c clock) wallTime(at balancer.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}
