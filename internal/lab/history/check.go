package history

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// step is the effect of one event on the checked object: a write or read of its
// full value, or an add or removal of one element. The value of a set is its
// sorted elements, joined by commas.
type step struct {
	kind  string // write, add, remove, read
	value string
}

// unknownState is the state before a part of a history. The first write defines
// the state; a read before it may observe any value and defines the state too.
const unknownState = "\x00"

// model is an object that is both a register and a set: write and read use the full value, add and remove one element.
var model = porcupine.Model{
	Init: func() any { return unknownState },
	Step: func(state, input, _ any) (bool, any) {
		s, current := input.(step), state.(string)
		switch s.kind {
		case "write":
			return true, s.value
		case "read":
			return current == unknownState || current == s.value, s.value
		}
		if current == unknownState { // unknown elements stay unknown
			return true, current
		}
		elements := strings.FieldsFunc(current, func(r rune) bool { return r == ',' })
		at, found := slices.BinarySearch(elements, s.value)
		switch {
		case s.kind == "add" && !found:
			elements = slices.Insert(elements, at, s.value)
		case s.kind == "remove" && found:
			elements = slices.Delete(elements, at, at+1)
		}
		return true, strings.Join(elements, ",")
	},
}

// checkTimeout limits the search for a legal order of one history. If the search times out, the history counts as legal.
const checkTimeout = 5 * time.Second

// operations is a history in porcupine's form. events[i] is the event behind operations[i].
type operations struct {
	operations []porcupine.Operation
	events     []Event
}

func (l *operations) add(e Event, s step) {
	op := porcupine.Operation{ClientId: len(l.operations), Input: s, Call: e.Call, Return: e.Return}
	if e.Kind == Call && e.Outcome != OK {
		op.Return = math.MaxInt64 // it may take effect at any later time
	}
	l.operations, l.events = append(l.operations, op), append(l.events, e)
}

// isIllegal reports whether no order of the operations explains the reads.
func (l *operations) isIllegal() bool {
	return porcupine.CheckOperationsTimeout(model, l.operations, checkTimeout) == porcupine.Illegal
}

func (l *operations) filter(include func(i int) bool) *operations {
	filtered := &operations{}
	for i := range l.operations {
		if include(i) {
			filtered.operations, filtered.events = append(filtered.operations, l.operations[i]), append(filtered.events, l.events[i])
		}
	}
	return filtered
}

// shrink reduces an illegal history. It cuts the history to its shortest illegal
// prefix, then drops operations that ended before all others began, then drops
// reads that are not needed. No reduction makes a legal history illegal, so an
// illegal result proves that the full history is illegal.
func (l *operations) shrink() *operations {
	full := l
	ends := make([]int64, 0, len(l.operations))
	for _, e := range l.events {
		ends = append(ends, e.Return)
	}
	slices.Sort(ends)
	prefix := func(n int) *operations { // all that was called before the nth response; changes in flight may still take effect, reads in flight are left out
		cut := full.filter(func(i int) bool { return full.events[i].Call <= ends[n] })
		result := &operations{}
		for i, op := range cut.operations {
			if cut.events[i].Return > ends[n] {
				if op.Input.(step).kind == "read" {
					continue
				}
				op.Return = math.MaxInt64
			}
			result.operations, result.events = append(result.operations, op), append(result.events, cut.events[i])
		}
		return result
	}
	low, high := 0, len(ends)-1
	for low < high { // binary search: every longer prefix of an illegal prefix is illegal too
		if mid := (low + high) / 2; prefix(mid).isIllegal() {
			high = mid
		} else {
			low = mid + 1
		}
	}
	best := prefix(low)
	if !best.isIllegal() {
		return full
	}
	// Start at the latest call at which nothing else was in flight, apart from calls that may take effect at any time.
	slices.SortStableFunc(best.operations, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	slices.SortStableFunc(best.events, func(a, b Event) int { return cmp.Compare(a.Call, b.Call) })
	for i := len(best.operations) - 1; i > 0; i-- {
		from := best.operations[i].Call
		if slices.ContainsFunc(best.operations, func(o porcupine.Operation) bool {
			return o.Call < from && o.Return >= from && o.Return < math.MaxInt64
		}) {
			continue
		}
		part := best.filter(func(j int) bool { return best.operations[j].Return >= from })
		if len(part.operations) < len(best.operations) && part.isIllegal() {
			best = part
			break
		}
	}
	for i := len(best.operations) - 1; i >= 0; i-- {
		if best.operations[i].Input.(step).kind != "read" {
			continue
		}
		if part := best.filter(func(j int) bool { return j != i }); part.isIllegal() {
			best = part
		}
	}
	return best
}

// Register checks that one value, which is initial at first, is linearizable.
// stepOf returns what an event does to the value: "write" or "read" with the full
// value, for a set also "add" or "remove" with an element, or "" if the event is
// unrelated. Calls with outcome Rejected have no effect. Calls with outcome Unknown
// may take effect at any time after they were sent.
func Register(name, initial string, events []Event, stepOf func(Event) (kind, value string)) *Violation {
	l := &operations{}
	l.add(Event{Kind: Wipe, Key: "initial", Value: initial, Call: math.MinInt64, Return: math.MinInt64}, step{"write", initial})
	for _, e := range events {
		if e.Kind == Call && e.Outcome == Rejected {
			continue
		}
		if kind, value := stepOf(e); kind != "" {
			l.add(e, step{kind, value})
		}
	}
	if !l.isIllegal() {
		return nil
	}
	part := l.shrink()
	return &Violation{Check: "linearizable", What: name + ": no order of the calls explains what was observed", Events: part.events}
}

// OneHolder checks that no two sidecars hold a lease at the same time. field
// maps leases to fencing tokens. A sidecar that reports the same token of a
// lease in two consecutive observations is known to hold the lease from the
// first observation's response to the second observation's request.
func OneHolder(field string, events []Event) *Violation {
	type hold struct {
		from, to    int64
		first, last Event
	}
	type key struct {
		sidecar, lease string
		token          uint64
	}
	holds := map[string][]hold{} // by lease
	reported := map[key]Event{}
	for _, e := range events {
		if e.Kind != Observe || e.Key != field {
			continue
		}
		for k, before := range reported { // a lease that the sidecar no longer reports has no further hold
			if k.sidecar != e.Sidecar {
				continue
			}
			if token, still := e.Tokens[k.lease]; still && token == k.token {
				holds[k.lease] = append(holds[k.lease], hold{before.Return, e.Call, before, e})
			}
			delete(reported, k)
		}
		for lease, token := range e.Tokens {
			reported[key{e.Sidecar, lease, token}] = e
		}
	}
	for lease, list := range holds {
		slices.SortFunc(list, func(a, b hold) int { return int(a.from - b.from) })
		for i, a := range list {
			for _, b := range list[i+1:] {
				if b.from >= a.to {
					break
				}
				if a.first.Sidecar != b.first.Sidecar && b.from < b.to {
					return &Violation{Check: "one holder", What: fmt.Sprintf("%s and %s both hold %s", a.first.Sidecar, b.first.Sidecar, lease),
						Events: []Event{a.first, b.first, b.last, a.last}}
				}
			}
		}
	}
	return nil
}

// TokensIncrease checks that no sidecar reports a token of a lease after any sidecar has reported a larger token of it:
// the observation with the larger token must have ended before the other one began.
func TokensIncrease(field string, events []Event) *Violation {
	largest := map[string]Event{} // by lease: the ended observation with the largest token
	var pending []Event           // observations whose response came at or after the current request
	for _, e := range events {
		if e.Kind != Observe || e.Key != field {
			continue
		}
		pending = slices.DeleteFunc(pending, func(o Event) bool {
			if o.Return >= e.Call {
				return false
			}
			for lease, token := range o.Tokens {
				if token > largest[lease].Tokens[lease] {
					largest[lease] = o
				}
			}
			return true
		})
		for lease, token := range e.Tokens {
			if before := largest[lease]; before.Tokens[lease] > token {
				return &Violation{Check: "tokens grow", What: fmt.Sprintf("%s: token %d reported by %s after token %d by %s", lease, token, e.Sidecar, before.Tokens[lease], before.Sidecar),
					Events: []Event{before, e}}
			}
		}
		pending = append(pending, e)
	}
	return nil
}

// Converged checks that all observations of field that begin at least within
// after the last fault show the same value, until the end of the history, and
// that each observer made one of them.
func Converged(field string, observers []string, within time.Duration, events []Event) *Violation {
	var start int64
	for _, e := range events {
		if e.Kind == Fault {
			start = max(start, e.Call+within.Microseconds())
		}
	}
	reported := map[string]bool{}
	var first *Event
	for i, e := range events {
		if e.Kind != Observe || e.Key != field || e.Call < start {
			continue
		}
		reported[e.Sidecar] = true
		if first == nil {
			first = &events[i]
		} else if e.observedValue() != first.observedValue() {
			return &Violation{Check: "settled", What: fmt.Sprintf("%s: two different values later than %v after the last fault", field, within), Events: []Event{*first, e}}
		}
	}
	for _, o := range observers {
		if !reported[o] {
			return &Violation{Check: "settled", What: fmt.Sprintf("%s: nothing reported by %s later than %v after the last fault", field, o, within)}
		}
	}
	return nil
}

func (e Event) observedValue() string {
	return fmt.Sprint(e.Value, e.Set, e.Tokens)
}

// Durable checks that elements stay in the set field once their addition by a
// call of op add is confirmed. Each observation of any sidecar that begins later
// than within after the confirmation must contain the element, unless a call of
// op remove for the element was sent before the observation ended.
func Durable(field, add, remove string, within time.Duration, events []Event) *Violation {
	for i, call := range events {
		if call.Kind != Call || call.Op != add || call.Outcome != OK {
			continue
		}
		removedAt := int64(math.MaxInt64)
		for _, e := range events {
			if e.Kind == Call && e.Op == remove && e.Key == call.Key && e.Outcome != Rejected && e.Return >= call.Call {
				removedAt = min(removedAt, e.Call)
			}
		}
		for _, e := range events[i:] {
			if e.Kind == Observe && e.Key == field && e.Call > call.Return+within.Microseconds() && e.Return < removedAt && !slices.Contains(e.Set, call.Key) {
				return &Violation{Check: "kept", What: fmt.Sprintf("%s of %s was confirmed and is missing", add, call.Key), Events: []Event{call, e}}
			}
		}
	}
	return nil
}

// MaxSilence is the longest gap between two responses of a sidecar that still counts as up.
const MaxSilence = 1500 * time.Millisecond

// Dropped checks that no sidecar that has responded for at least within, without
// a gap longer than MaxSilence, is missing from the set field of more than half
// of the responding sidecars.
func Dropped(field string, within time.Duration, events []Event) *Violation {
	type state struct {
		respondingSince int64 // when it began to respond without a gap, in microseconds
		last            Event
	}
	states := map[string]*state{}
	for _, e := range events {
		if e.Kind != Observe || e.Key != field {
			continue
		}
		s := states[e.Sidecar]
		if s == nil || e.Call-s.last.Return > MaxSilence.Microseconds() {
			s = &state{respondingSince: e.Call}
			states[e.Sidecar] = s
		}
		s.last = e
		responding := slices.DeleteFunc(slices.Sorted(maps.Keys(states)), func(name string) bool {
			return e.Call-states[name].last.Return > MaxSilence.Microseconds()
		})
		for _, name := range responding {
			if slices.Contains(e.Set, name) || e.Call-states[name].respondingSince < within.Microseconds() {
				continue
			}
			var part []Event
			for _, other := range responding {
				if !slices.Contains(states[other].last.Set, name) {
					part = append(part, states[other].last)
				}
			}
			if 2*len(part) > len(responding) {
				return &Violation{Check: "dropped", What: name + " responds and is missing from the " + field + " of a majority", Events: part[:min(len(part), 3)]}
			}
		}
	}
	return nil
}
