package sidecar

import (
	"time"

	"bramblestand/balancer"
)

// clock gives the balancer's time: microseconds that never run backwards, from
// the Unix time at the start on, so that discovery's times map onto it as they
// are.
type clock struct{ start time.Time }

func (c clock) now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

func (c clock) wallTime(at balancer.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}
