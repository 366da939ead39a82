package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the stabilizer.
const (
	maxBatchPeriods      = 5                // stabilization periods that a ready change waits for others to become ready, at most
	flapRetention        = time.Minute      // a member's failures are forgotten if the last one is older than this
	maxFlapPeriods       = 16               // stabilization periods that a member with repeated failures must be alive to be added again, at most
	largestViewRetention = 30 * time.Second // time without a failure after which members that are gone no longer count as part of the fleet
	isolationDivisor     = 5                // this sidecar is isolated if fewer than one in this many members of the largest view are alive
	minIsolationFleet    = 3                // in a smaller fleet a member cannot tell whether it or the other one is isolated
	reconnectPeriods     = 3                // stabilization periods from the end of an isolation until pending changes may be applied
)

// stabilizer derives the stable view from the members that are alive at each
// moment. It is a state machine: each step gets the time and the alive members,
// and it uses no clock, lock or goroutine of its own.
//
// Invariants: names always contains self; epoch changes exactly when names
// does; while isolated, names does not change.
type stabilizer struct {
	self   string
	period time.Duration // stabilization period: how long a change must last, and the minimum time between changes of names

	names       map[string]bool // the stable view
	epoch       uint64
	changedAt   time.Time // when names last changed
	isolated    bool
	hasJoined   bool                     // another member was alive at some time, or none is known
	pending     map[string]pendingChange // alive members that are not in names, and members in names that are not alive
	flaps       map[string]flap          // recent failures, by member
	largestView map[string]bool          // names of the stable view now and in the recent past, without members that left; see updateLargestView
	lastFailed  time.Time                // when a member was last removed because it failed
}

// pendingChange is the addition or removal of a member that the stable view does not include yet.
type pendingChange struct {
	since     time.Time // when the change was observed
	effective time.Time // when it will have lasted long enough
}

// flap counts a member's recent failures.
type flap struct {
	count int
	last  time.Time
}

// observation is the stabilizer's input at one moment.
type observation struct {
	now        time.Time
	alive      map[string]bool // names of alive members, this sidecar's included
	left       map[string]bool // names of members that left gracefully
	hasContact bool            // whether a datagram was recently received from any member
}

// newStabilizer returns a stabilizer with a snapshot's names and epoch. isAlone
// means that no address of another sidecar is known; without it, the stabilizer
// is isolated until another member is alive.
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
	s.largestView = maps.Clone(s.names)
	return s
}

// step processes an observation. It returns whether the stable view or isolated
// changed, and the maximum time until the next step.
func (s *stabilizer) step(o observation) (changed bool, next time.Duration) {
	s.hasJoined = s.hasJoined || len(o.alive) > 1
	s.updateLargestView(o)
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

// updateLargestView removes members that left. After largestViewRetention without a failure, it removes all that are not
// in the stable view.
func (s *stabilizer) updateLargestView(o observation) {
	for name := range s.largestView {
		if !o.alive[name] && o.left[name] {
			delete(s.largestView, name)
		}
	}
	hasNoRecentFailure := !s.isolated && o.now.Sub(s.lastFailed) > largestViewRetention
	if hasNoRecentFailure && len(s.largestView) > len(s.names) {
		s.largestView = maps.Clone(s.names)
	}
}

// updatePending adds a pending change for each member whose state differs from the stable view, and drops the pending
// changes of members whose state no longer does.
func (s *stabilizer) updatePending(o observation) {
	for name := range o.alive {
		s.addPending(o.now, name, true)
	}
	for name := range s.names {
		s.addPending(o.now, name, o.alive[name])
	}
	for name := range s.pending {
		if o.alive[name] == s.names[name] {
			delete(s.pending, name)
		}
	}
}

// addPending adds a pending change if a member's state differs from the stable
// view and none is pending. A member that failed more than once must be alive
// for longer to be added again: the wait doubles with each further failure, up to
// maxFlapPeriods.
func (s *stabilizer) addPending(now time.Time, name string, isAlive bool) {
	if _, isPending := s.pending[name]; isPending || isAlive == s.names[name] {
		return
	}
	wait := s.period
	if failures := s.flaps[name].count; isAlive && failures > 1 {
		wait = s.period * time.Duration(min(maxFlapPeriods, 1<<min(failures-1, 10)))
	}
	s.pending[name] = pendingChange{now, now.Add(wait)}
}

// updateIsolated detects the beginning and the end of an isolation. It reports whether isolated changed.
func (s *stabilizer) updateIsolated(o observation) bool {
	isolated := s.isIsolated(len(o.alive), o.hasContact)
	if isolated == s.isolated {
		return false
	}
	s.isolated = isolated
	if isolated {
		// The recent removals were caused by the isolation of this sidecar: restore the largest view.
		if s.setNames(o.now, s.largestView) {
			clear(s.pending)
		}
		return true
	}
	wait := reconnectPeriods * s.period
	if len(s.names) == 1 { // the view has only this sidecar: no member can be removed too early
		wait = s.period
	}
	for name := range s.pending {
		s.pending[name] = pendingChange{o.now, o.now.Add(wait)}
	}
	return true
}

// isIsolated reports whether this sidecar is to be considered isolated, rather than the members that are not alive to be
// considered failed. hasContact says whether a datagram was recently received from any member.
func (s *stabilizer) isIsolated(aliveCount int, hasContact bool) bool {
	if !s.hasJoined {
		return true
	}
	fleet := len(s.largestView)
	if fleet < minIsolationFleet {
		return false
	}
	minAlive := max(2, (fleet+isolationDivisor-1)/isolationDivisor)
	return !hasContact || aliveCount < minAlive
}

// nextChange reports whether pending changes are to be applied now, and the time
// until the next check. To batch changes, one that has lasted long enough waits
// while others are pending that were observed less than a period ago. It waits
// for at most maxBatchPeriods.
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

// applyPending applies all changes that have lasted long enough, and reports whether names changed.
func (s *stabilizer) applyPending(o observation) bool {
	names := maps.Clone(s.names)
	for name, change := range s.pending {
		if change.effective.After(o.now) {
			continue
		}
		delete(s.pending, name)
		if o.alive[name] {
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

// recordFailure counts a failure of a member, and drops the counts of members without a recent failure.
func (s *stabilizer) recordFailure(now time.Time, name string) {
	for other, f := range s.flaps {
		if now.Sub(f.last) > flapRetention {
			delete(s.flaps, other)
		}
	}
	s.flaps[name] = flap{s.flaps[name].count + 1, now}
	s.lastFailed = now
}

// setNames sets the names of the stable view, and reports whether they changed.
func (s *stabilizer) setNames(now time.Time, names map[string]bool) bool {
	if maps.Equal(names, s.names) {
		return false
	}
	s.names = maps.Clone(names)
	s.names[s.self] = true
	for name := range s.names {
		s.largestView[name] = true
	}
	s.epoch++
	s.changedAt = now
	return true
}

// sortedNames returns the names of the stable view, sorted.
func (s *stabilizer) sortedNames() []string { return slices.Sorted(maps.Keys(s.names)) }

// Digest returns a hash of a list of names, which depends on their order: the
// xxhash64 of the names, each preceded by its length as a varint. Sidecars of
// different releases compare their digests, so it must not change.
func Digest(names []string) uint64 {
	h := xxhash.New()
	for _, name := range names {
		h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		h.WriteString(name)
	}
	return h.Sum64()
}
