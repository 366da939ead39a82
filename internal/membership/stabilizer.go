package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rules of the stabilizer.
const (
	maxBatchPeriods   = 5                // stabilization periods that a settled change waits for others to settle
	flapRetention     = time.Minute      // a failure is forgotten after so long
	maxFlapPeriods    = 16               // stabilization periods that a member which fails again and again must live, at most
	largestRetention  = 30 * time.Second // without a failure: then the fleet is as small as it looks
	isolationDivisor  = 5                // hearing less than one member in so many of the largest view means isolated
	minIsolationFleet = 3                // with fewer members none can say which one is gone
	reconnectPeriods  = 3                // stabilization periods from the end of an isolation to the next change
)

// stabilizer turns the members that live at each moment into a view that
// changes seldom. It is a state machine: it gets the time and what lives, and
// has no clock, lock or goroutine.
//
// Invariants: names always contains self; epoch changes exactly when names
// does; while isolated, names does not change.
type stabilizer struct {
	self   string
	period time.Duration // that a change must last; also the least time between changes of names

	names      map[string]bool // the stable view
	epoch      uint64
	changedAt  time.Time // when names last changed
	isolated   bool
	hasJoined  bool                     // another member was seen, or there is none to see
	pending    map[string]pendingChange // members that live and are not in names, or the reverse
	flaps      map[string]flap          // members that failed not long ago
	largest    map[string]bool          // all names since nothing was pending last, without those that left
	lastFailed time.Time                // when a member was last removed that had not left
}

// pendingChange is a join or loss that is not in the stable view yet.
type pendingChange struct {
	since     time.Time
	effective time.Time // when it has lasted long enough
}

// flap counts a member's failures.
type flap struct {
	count int
	last  time.Time
}

// observation is what the stabilizer gets at one moment.
type observation struct {
	now        time.Time
	living     map[string]bool // the own name among them
	left       map[string]bool // gracefully
	hasContact bool            // a datagram of any member came lately
}

// newStabilizer begins with a snapshot's names and epoch; isAlone says that
// there is nobody to join.
func newStabilizer(self string, period time.Duration, names []string, epoch uint64, isAlone bool, now time.Time) *stabilizer {
	s := &stabilizer{
		self:       self,
		period:     period,
		names:      map[string]bool{self: true},
		epoch:      epoch,
		changedAt:  now,
		isolated:   !isAlone,
		hasJoined:  isAlone,
		pending:    map[string]pendingChange{},
		flaps:      map[string]flap{},
		lastFailed: now,
	}
	for _, name := range names {
		s.names[name] = true
	}
	s.largest = maps.Clone(s.names)
	return s
}

// step takes an observation. It returns whether the view or isolated changed,
// and the time to the next step at the latest.
func (s *stabilizer) step(o observation) (changed bool, next time.Duration) {
	s.hasJoined = s.hasJoined || len(o.living) > 1
	s.updateLargest(o)
	s.updatePending(o)
	changed = s.updateIsolated(o)
	if s.isolated {
		return changed, s.period
	}
	isReady, next := s.nextChange(o.now)
	if !isReady {
		return changed, next
	}
	return s.applyPending(o) || changed, next
}

// updateLargest removes members that left, and after a calm all that are not in the view.
func (s *stabilizer) updateLargest(o observation) {
	for name := range s.largest {
		if !o.living[name] && o.left[name] {
			delete(s.largest, name)
		}
	}
	isCalm := !s.isolated && o.now.Sub(s.lastFailed) > largestRetention
	if isCalm && len(s.largest) > len(s.names) {
		s.largest = maps.Clone(s.names)
	}
}

// updatePending begins the period of members that differ from the view, and drops those that no longer do.
func (s *stabilizer) updatePending(o observation) {
	for name := range o.living {
		s.observe(o.now, name, true)
	}
	for name := range s.names {
		s.observe(o.now, name, o.living[name])
	}
	for name := range s.pending {
		if o.living[name] == s.names[name] {
			delete(s.pending, name)
		}
	}
}

// observe begins a member's period where it differs from the view. A member
// that failed more than once must live the longer, the more often it failed.
func (s *stabilizer) observe(now time.Time, name string, isLiving bool) {
	if _, isPending := s.pending[name]; isPending || isLiving == s.names[name] {
		return
	}
	wait := s.period
	if failures := s.flaps[name].count; isLiving && failures > 1 {
		wait = s.period * time.Duration(min(maxFlapPeriods, 1<<min(failures-1, 10)))
	}
	s.pending[name] = pendingChange{now, now.Add(wait)}
}

// updateIsolated notes the beginning and end of an isolation, and reports whether either is now.
func (s *stabilizer) updateIsolated(o observation) bool {
	isolated := s.isIsolated(len(o.living), o.hasContact)
	if isolated == s.isolated {
		return false
	}
	s.isolated = isolated
	if isolated {
		// The failures since the last calm came of hearing too little: they are taken back.
		if s.setNames(o.now, s.largest) {
			clear(s.pending)
		}
		return true
	}
	wait := reconnectPeriods * s.period
	if len(s.names) == 1 { // there is nobody to drop too early
		wait = s.period
	}
	for name := range s.pending {
		s.pending[name] = pendingChange{o.now, o.now.Add(wait)}
	}
	return true
}

// isIsolated reports whether this sidecar, rather than the rest of the fleet, is the one that is gone.
func (s *stabilizer) isIsolated(living int, hasContact bool) bool {
	if !s.hasJoined {
		return true
	}
	fleet := len(s.largest)
	if fleet < minIsolationFleet {
		return false
	}
	minLiving := max(2, (fleet+isolationDivisor-1)/isolationDivisor)
	return !hasContact || living < minLiving
}

// nextChange reports whether the view is to change now, and when to look again.
// A change that has lasted long enough waits for others that began within a period, so that
// many changes become one, but not longer than maxBatchPeriods.
func (s *stabilizer) nextChange(now time.Time) (isReady bool, next time.Duration) {
	next = s.period
	var firstReady time.Time
	hasRecent := false
	for _, change := range s.pending {
		if wait := change.effective.Sub(now); wait > 0 {
			next = min(next, wait)
			hasRecent = hasRecent || now.Sub(change.since) < s.period
		} else if firstReady.IsZero() || change.effective.Before(firstReady) {
			firstReady = change.effective
		}
	}
	switch {
	case firstReady.IsZero():
		return false, next
	case now.Sub(s.changedAt) < s.period:
		return false, next
	case hasRecent && now.Sub(firstReady) < maxBatchPeriods*s.period:
		return false, next
	}
	return true, next
}

// applyPending makes all changes that have lasted long enough, and reports whether names changed.
func (s *stabilizer) applyPending(o observation) bool {
	names := maps.Clone(s.names)
	for name, change := range s.pending {
		if change.effective.After(o.now) {
			continue
		}
		delete(s.pending, name)
		if o.living[name] {
			names[name] = true
			continue
		}
		delete(names, name)
		if !o.left[name] {
			s.recordFailure(o.now, name)
		}
	}
	return s.setNames(o.now, names)
}

// recordFailure notes that a member was removed without having left.
func (s *stabilizer) recordFailure(now time.Time, name string) {
	for other, f := range s.flaps {
		if now.Sub(f.last) > flapRetention {
			delete(s.flaps, other)
		}
	}
	s.flaps[name] = flap{s.flaps[name].count + 1, now}
	s.lastFailed = now
}

// setNames makes names the stable view, and reports whether it is another set.
func (s *stabilizer) setNames(now time.Time, names map[string]bool) bool {
	if maps.Equal(names, s.names) {
		return false
	}
	s.names = maps.Clone(names)
	s.names[s.self] = true
	for name := range s.names {
		s.largest[name] = true
	}
	s.epoch++
	s.changedAt = now
	return true
}

// sortedNames returns the stable view's names in order.
func (s *stabilizer) sortedNames() []string { return slices.Sorted(maps.Keys(s.names)) }

// Digest returns the same number for the same names in the same order: the
// xxhash64 of each name after its length. It is compared between releases.
func Digest(names []string) uint64 {
	h := xxhash.New()
	for _, name := range names {
		h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		h.WriteString(name)
	}
	return h.Sum64()
}
