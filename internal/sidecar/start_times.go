package sidecar

import (
	"slices"
	"time"

	"bramblestand/balancer"
)

const (
	// minClockStep is by how much the wall clock must differ from what it was expected to be for that to count as a step.
	minClockStep = 2 * time.Second
	// maxClockSteps is how many steps are remembered.
	maxClockSteps = 8
	// maxStartSkew is how far in the future a start may lie because clocks differ.
	maxStartSkew = time.Second
)

// startTimes converts the start times of endpoints, which discovery tells in wall-clock time, to the loop's time. The loop's time does
// not follow steps of the wall clock, and an endpoint may have told its start before a step or after it. Only the event loop's goroutine
// may use it.
type startTimes struct {
	wallNow func() time.Time
	// offsets are the differences between the wall clock and the loop's time that have been seen, the current one last.
	offsets []balancer.Micros
}

func newStartTimes() startTimes {
	return startTimes{wallNow: time.Now, offsets: []balancer.Micros{0}}
}

// micros returns the loop's time of a start; 0 if the start is unknown. Of the times that it may have been, it returns the latest that is
// not in the future, since an endpoint that is taken for a warmer one than it is may be overloaded.
func (s *startTimes) micros(now balancer.Micros, startedAtMillis int64) balancer.Micros {
	if startedAtMillis <= 0 {
		return 0
	}
	s.observe(now)
	latest, found := now, false
	for _, offset := range s.offsets {
		at := startedAtMillis*microsPerMilli - offset
		if at <= now+maxStartSkew.Microseconds() && (!found || at > latest) {
			latest, found = at, true
		}
	}
	return latest
}

// observe remembers the wall clock's present difference from the loop's time.
func (s *startTimes) observe(now balancer.Micros) {
	offset := s.wallNow().UnixMicro() - now
	isKnown := func(known balancer.Micros) bool {
		return (time.Duration(offset-known) * time.Microsecond).Abs() < minClockStep
	}
	if slices.ContainsFunc(s.offsets, isKnown) {
		return
	}
	s.offsets = append(s.offsets, offset)
	if len(s.offsets) > maxClockSteps {
		s.offsets = s.offsets[1:]
	}
}
