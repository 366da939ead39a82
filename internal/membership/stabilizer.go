package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxBatchPeriods  = 5                // quiet periods that a change that is due waits for others that are not
	flapRetention    = time.Minute      // after which a member that went without a goodbye is as any other
	maxFlapPeriods   = 16               // quiet periods that one that comes and goes must last, at most
	largestRetention = 30 * time.Second // without a loss, after which the fleet is believed to be as small as it looks
	isolationDivisor = 5                // a sidecar that hears less than one part in so many of the fleet is cut off
	reconnectPeriods = 3                // quiet periods from the end of a cut-off to the next view
)

// stabilizer turns the members that live from one moment to the next into views
// that change seldom. It is given the time and what lives, and has no clock,
// lock or goroutine of its own.
type stabilizer struct {
	self   string
	period time.Duration // that a coming or going must last; also between views

	names     map[string]bool // the settled view; self is always in it
	epoch     uint64          // moves with every change of names, and never else
	changedAt time.Time       // of the last such move
	isolated  bool
	hasJoined bool // it has heard of another, or there is none to hear of

	pending     map[string]pendingChange // members whose coming or going is not settled yet
	flaps       map[string]flap          // members that were lost, not long ago
	largest     map[string]bool          // the largest set since the last calm, less who said goodbye
	lastFailure time.Time                // the last loss without a goodbye
}

// pendingChange is a member's change that waits for its quiet period.
type pendingChange struct{ since, effective time.Time }

type flap struct {
	count int
	last  time.Time
}

func newStabilizer(self string, quiet time.Duration, kept []string, epoch uint64, alone bool, now time.Time) *stabilizer {
	s := &stabilizer{self: self, period: quiet, names: map[string]bool{self: true}, epoch: epoch, changedAt: now, hasJoined: alone,
		pending: map[string]pendingChange{}, flaps: map[string]flap{}}
	for _, name := range kept {
		s.names[name] = true
	}
	s.largest, s.lastFailure = maps.Clone(s.names), now
	s.isolated = !alone
	return s
}

// step takes what lives at now (self among it), who of the others said
// goodbye, and whether anybody was heard lately. It tells whether the view or
// being cut off changed, and when to come again at the latest.
func (s *stabilizer) step(now time.Time, living map[string]bool, goodbye func(string) bool, hears bool) (changed bool, again time.Duration) {
	s.hasJoined = s.hasJoined || len(living) > 1
	for name := range s.largest {
		if !living[name] && goodbye(name) {
			delete(s.largest, name)
		}
	}
	if len(s.largest) > len(s.names) && now.Sub(s.lastFailure) > largestRetention && !s.isolated {
		s.largest = maps.Clone(s.names)
	}
	for name := range living {
		s.observe(now, name, true)
	}
	for name := range s.names {
		s.observe(now, name, living[name])
	}
	for name := range s.pending {
		if living[name] == s.names[name] {
			delete(s.pending, name)
		}
	}
	if cut := s.isIsolated(len(living), hears); cut != s.isolated {
		s.isolated, changed = cut, true
		if cut { // what was believed of others since the calm came of hearing too little
			if s.setNames(now, s.largest) {
				clear(s.pending)
			}
		} else {
			lasts := reconnectPeriods * s.period
			if len(s.names) == 1 { // it only comes
				lasts = s.period
			}
			for name := range s.pending {
				s.pending[name] = pendingChange{now, now.Add(lasts)}
			}
		}
	}
	if s.isolated {
		return changed, s.period
	}
	next, ripe, moving := s.period, time.Time{}, false
	for _, d := range s.pending {
		if wait := d.effective.Sub(now); wait > 0 {
			next = min(next, wait)
			moving = moving || now.Sub(d.since) < s.period
		} else if ripe.IsZero() || d.effective.Before(ripe) {
			ripe = d.effective
		}
	}
	if ripe.IsZero() || now.Sub(s.changedAt) < s.period || moving && now.Sub(ripe) < maxBatchPeriods*s.period {
		return changed, next
	}
	names := maps.Clone(s.names)
	for name, d := range s.pending {
		if d.effective.After(now) {
			continue
		}
		if names[name] = living[name]; !names[name] {
			delete(names, name)
			if !goodbye(name) {
				s.recordFailure(now, name)
			}
		}
		delete(s.pending, name)
	}
	return s.setNames(now, names) || changed, next
}

// observe begins a member's quiet period where it differs from the view.
func (s *stabilizer) observe(now time.Time, name string, lives bool) {
	if _, waits := s.pending[name]; waits || lives == s.names[name] {
		return
	}
	lasts := s.period
	if f := s.flaps[name]; lives && f.count > 1 {
		lasts = s.period * time.Duration(min(maxFlapPeriods, 1<<min(f.count-1, 10)))
	}
	s.pending[name] = pendingChange{now, now.Add(lasts)}
}

// recordFailure remembers that a member went without a goodbye.
func (s *stabilizer) recordFailure(now time.Time, name string) {
	for other, f := range s.flaps {
		if now.Sub(f.last) > flapRetention {
			delete(s.flaps, other)
		}
	}
	s.flaps[name] = flap{s.flaps[name].count + 1, now}
	s.lastFailure = now
}

// isIsolated tells whether this sidecar rather than the rest of the fleet is the one that is gone.
func (s *stabilizer) isIsolated(living int, hears bool) bool {
	if !s.hasJoined {
		return true
	}
	fleet := len(s.largest)
	return fleet >= 3 && (!hears || living < max(2, (fleet+isolationDivisor-1)/isolationDivisor))
}

// setNames settles on names, and tells whether that is another set.
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

// sortedNames gives the settled names in their stable order.
func (s *stabilizer) sortedNames() []string { return slices.Sorted(maps.Keys(s.names)) }

// Digest is the same for the same names in the same order: xxhash64 of each name after its length.
func Digest(names []string) uint64 {
	h := xxhash.New()
	for _, name := range names {
		h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		h.WriteString(name)
	}
	return h.Sum64()
}
