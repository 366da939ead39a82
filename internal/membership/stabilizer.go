package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	waitMost   = 5                // quiet periods that a change that is due waits for others that are not
	flapMemory = time.Minute      // after which a member that went without a goodbye is as any other
	holdMost   = 16               // quiet periods that one that comes and goes must last, at most
	peakMemory = 30 * time.Second // without a loss, after which the fleet is believed to be as small as it looks
	floorShare = 5                // a sidecar that hears less than one part in so many of the fleet is cut off
	backAfter  = 3                // quiet periods from the end of a cut-off to the next view
)

// settler turns the members that live from one moment to the next into views
// that change seldom. It is given the time and what lives, and has no clock,
// lock or goroutine of its own.
type settler struct {
	self  string
	quiet time.Duration // that a coming or going must last; also between views

	names  map[string]bool // the settled view; self is always in it
	epoch  uint64          // moves with every change of names, and never else
	since  time.Time       // of the last such move
	cutOff bool
	joined bool // it has heard of another, or there is none to hear of

	differ map[string]due  // members whose coming or going is not settled yet
	flaps  map[string]flap // members that were lost, not long ago
	peak   map[string]bool // the largest set since the last calm, less who said goodbye
	lostAt time.Time       // the last loss without a goodbye
}

// due is a member's change that waits for its quiet period.
type due struct{ since, at time.Time }

type flap struct {
	count int
	at    time.Time
}

func newSettler(self string, quiet time.Duration, kept []string, epoch uint64, alone bool, now time.Time) *settler {
	s := &settler{self: self, quiet: quiet, names: map[string]bool{self: true}, epoch: epoch, since: now, joined: alone,
		differ: map[string]due{}, flaps: map[string]flap{}}
	for _, name := range kept {
		s.names[name] = true
	}
	s.peak, s.lostAt = maps.Clone(s.names), now
	s.cutOff = !alone
	return s
}

// step takes what lives at now (self among it), who of the others said
// goodbye, and whether anybody was heard lately. It tells whether the view or
// being cut off changed, and when to come again at the latest.
func (s *settler) step(now time.Time, living map[string]bool, goodbye func(string) bool, hears bool) (changed bool, again time.Duration) {
	s.joined = s.joined || len(living) > 1
	for name := range s.peak {
		if !living[name] && goodbye(name) {
			delete(s.peak, name)
		}
	}
	if len(s.peak) > len(s.names) && now.Sub(s.lostAt) > peakMemory && !s.cutOff {
		s.peak = maps.Clone(s.names)
	}
	for name := range living {
		s.note(now, name, true)
	}
	for name := range s.names {
		s.note(now, name, living[name])
	}
	for name := range s.differ {
		if living[name] == s.names[name] {
			delete(s.differ, name)
		}
	}
	if cut := s.hearsNobody(len(living), hears); cut != s.cutOff {
		s.cutOff, changed = cut, true
		if cut { // what was believed of others since the calm came of hearing too little
			if s.set(now, s.peak) {
				clear(s.differ)
			}
		} else {
			lasts := backAfter * s.quiet
			if len(s.names) == 1 { // it only comes
				lasts = s.quiet
			}
			for name := range s.differ {
				s.differ[name] = due{now, now.Add(lasts)}
			}
		}
	}
	if s.cutOff {
		return changed, s.quiet
	}
	next, ripe, moving := s.quiet, time.Time{}, false
	for _, d := range s.differ {
		if wait := d.at.Sub(now); wait > 0 {
			next = min(next, wait)
			moving = moving || now.Sub(d.since) < s.quiet
		} else if ripe.IsZero() || d.at.Before(ripe) {
			ripe = d.at
		}
	}
	if ripe.IsZero() || now.Sub(s.since) < s.quiet || moving && now.Sub(ripe) < waitMost*s.quiet {
		return changed, next
	}
	names := maps.Clone(s.names)
	for name, d := range s.differ {
		if d.at.After(now) {
			continue
		}
		if names[name] = living[name]; !names[name] {
			delete(names, name)
			if !goodbye(name) {
				s.lost(now, name)
			}
		}
		delete(s.differ, name)
	}
	return s.set(now, names) || changed, next
}

// note begins a member's quiet period where it differs from the view.
func (s *settler) note(now time.Time, name string, lives bool) {
	if _, waits := s.differ[name]; waits || lives == s.names[name] {
		return
	}
	lasts := s.quiet
	if f := s.flaps[name]; lives && f.count > 1 {
		lasts = s.quiet * time.Duration(min(holdMost, 1<<min(f.count-1, 10)))
	}
	s.differ[name] = due{now, now.Add(lasts)}
}

// lost remembers that a member went without a goodbye.
func (s *settler) lost(now time.Time, name string) {
	for other, f := range s.flaps {
		if now.Sub(f.at) > flapMemory {
			delete(s.flaps, other)
		}
	}
	s.flaps[name] = flap{s.flaps[name].count + 1, now}
	s.lostAt = now
}

// hearsNobody tells whether this sidecar rather than the rest of the fleet is the one that is gone.
func (s *settler) hearsNobody(living int, hears bool) bool {
	if !s.joined {
		return true
	}
	fleet := len(s.peak)
	return fleet >= 3 && (!hears || living < max(2, (fleet+floorShare-1)/floorShare))
}

// set settles on names, and tells whether that is another set.
func (s *settler) set(now time.Time, names map[string]bool) bool {
	if maps.Equal(names, s.names) {
		return false
	}
	s.names = maps.Clone(names)
	s.names[s.self] = true
	for name := range s.names {
		s.peak[name] = true
	}
	s.epoch++
	s.since = now
	return true
}

// sorted gives the settled names in their stable order.
func (s *settler) sorted() []string { return slices.Sorted(maps.Keys(s.names)) }

// Digest is the same for the same names in the same order: xxhash64 of each name after its length.
func Digest(names []string) uint64 {
	h := xxhash.New()
	for _, name := range names {
		h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		h.WriteString(name)
	}
	return h.Sum64()
}
