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

// step is one operation on a register's text or a set's elements (sorted,
// joined by commas), as an event changes or observes it.
type step struct {
	kind  string // write, add, remove, read
	value string
}

// unknownState is the state before a part of a history: the first step defines
// or observes any value.
const unknownState = "\x00"

// model is both a register and a set: writes and reads are of the full value, adds and removes of an element.
var model = porcupine.Model{
	Init: func() any { return unknownState },
	Step: func(state, input, _ any) (bool, any) {
		s, now := input.(step), state.(string)
		switch s.kind {
		case "write":
			return true, s.value
		case "read":
			return now == unknownState || now == s.value, s.value
		}
		if now == unknownState { // unknown elements stay unknown
			return true, now
		}
		elements := strings.FieldsFunc(now, func(r rune) bool { return r == ',' })
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

// checkTimeout limits the search for an order of one history, which counts as legal after it.
const checkTimeout = 5 * time.Second

// operations is a history for porcupine, with the event of each operation.
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

// shortest reduces an illegal history to its shortest illegal prefix, without
// the operations that ended before all others began, and without unneeded
// reads. Every step keeps a legal history legal.
func (l *operations) shortest() *operations {
	full := l
	ends := make([]int64, 0, len(l.operations))
	for _, e := range l.events {
		ends = append(ends, e.Return)
	}
	slices.Sort(ends)
	until := func(n int) *operations { // what was called before the nth response; operations in flight may still take effect
		cut := full.filter(func(i int) bool { return full.events[i].Call <= ends[n] })
		out := &operations{}
		for i, op := range cut.operations {
			if cut.events[i].Return > ends[n] {
				if op.Input.(step).kind == "read" {
					continue
				}
				op.Return = math.MaxInt64
			}
			out.operations, out.events = append(out.operations, op), append(out.events, cut.events[i])
		}
		return out
	}
	low, high := 0, len(ends)-1
	for low < high { // a longer prefix of an illegal one is illegal
		if mid := (low + high) / 2; until(mid).isIllegal() {
			high = mid
		} else {
			low = mid + 1
		}
	}
	best := until(low)
	if !best.isIllegal() {
		return full
	}
	// From the latest point before which all had ended, except calls that may take effect at any time.
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

// Register checks that one value, which begins with initial, is linearizable.
// act returns the operation of an event on it ("write" or "read" with the
// value; for a set also "add" and "remove" with an element), or "" for an
// unrelated event. Calls with outcome No have no effect; those with Unknown may
// take effect at any time after their call.
func Register(name, initial string, events []Event, act func(Event) (kind, value string)) *Violation {
	l := &operations{}
	l.add(Event{Kind: Wipe, Key: "initial", Value: initial, Call: math.MinInt64, Return: math.MinInt64}, step{"write", initial})
	for _, e := range events {
		if e.Kind == Call && e.Outcome == No {
			continue
		}
		if kind, value := act(e); kind != "" {
			l.add(e, step{kind, value})
		}
	}
	if !l.isIllegal() {
		return nil
	}
	part := l.shortest()
	return &Violation{Check: "linearizable", What: name + ": no order of the calls explains what was observed", Events: part.events}
}

// OneHolder checks that no two sidecars hold one lease at a time. A sidecar that
// reports the same token of a lease in two consecutive observations held it
// from the first one's response to the second one's request.
func OneHolder(field string, events []Event) *Violation {
	type claim struct {
		from, to    int64
		first, last Event
	}
	type key struct {
		sidecar, thing string
		token          uint64
	}
	claims := map[string][]claim{} // by thing
	open := map[key]Event{}
	for _, e := range events {
		if e.Kind != Observe || e.Key != field {
			continue
		}
		for k, before := range open { // one that is no longer reported has ended
			if k.sidecar != e.Sidecar {
				continue
			}
			if token, still := e.Tokens[k.thing]; still && token == k.token {
				claims[k.thing] = append(claims[k.thing], claim{before.Return, e.Call, before, e})
			}
			delete(open, k)
		}
		for thing, token := range e.Tokens {
			open[key{e.Sidecar, thing, token}] = e
		}
	}
	for thing, list := range claims {
		slices.SortFunc(list, func(a, b claim) int { return int(a.from - b.from) })
		for i, a := range list {
			for _, b := range list[i+1:] {
				if b.from >= a.to {
					break
				}
				if a.first.Sidecar != b.first.Sidecar && b.from < b.to {
					return &Violation{Check: "one holder", What: fmt.Sprintf("%s and %s both hold %s", a.first.Sidecar, b.first.Sidecar, thing),
						Events: []Event{a.first, b.first, b.last, a.last}}
				}
			}
		}
	}
	return nil
}

// TokensIncrease checks that no token of a lease is reported after a larger one, by any sidecar, in real time.
func TokensIncrease(field string, events []Event) *Violation {
	largest := map[string]Event{} // by lease, among the observations that had ended
	var out []Event               // observations by their responses, not yet ended
	for _, e := range events {
		if e.Kind != Observe || e.Key != field {
			continue
		}
		out = slices.DeleteFunc(out, func(o Event) bool {
			if o.Return >= e.Call {
				return false
			}
			for thing, token := range o.Tokens {
				if token > largest[thing].Tokens[thing] {
					largest[thing] = o
				}
			}
			return true
		})
		for thing, token := range e.Tokens {
			if before := largest[thing]; before.Tokens[thing] > token {
				return &Violation{Check: "tokens grow", What: fmt.Sprintf("%s: token %d of %s after %d of %s", thing, token, e.Sidecar, before.Tokens[thing], before.Sidecar),
					Events: []Event{before, e}}
			}
		}
		out = append(out, e)
	}
	return nil
}

// Converged checks that later than within after the last fault all observers
// report one value of field, the same until the end, and that each reports one.
func Converged(field string, observers []string, within time.Duration, events []Event) *Violation {
	var from int64
	for _, e := range events {
		if e.Kind == Fault {
			from = max(from, e.Call+within.Microseconds())
		}
	}
	reported := map[string]bool{}
	var first *Event
	for i, e := range events {
		if e.Kind != Observe || e.Key != field || e.Call < from {
			continue
		}
		reported[e.Sidecar] = true
		if first == nil {
			first = &events[i]
		} else if e.text() != first.text() {
			return &Violation{Check: "settled", What: fmt.Sprintf("%s: two values later than %v after the last fault", field, within), Events: []Event{*first, e}}
		}
	}
	for _, o := range observers {
		if !reported[o] {
			return &Violation{Check: "settled", What: fmt.Sprintf("%s: nothing reported by %s later than %v after the last fault", field, o, within)}
		}
	}
	return nil
}

func (e Event) text() string {
	return fmt.Sprint(e.Value, e.Set, e.Tokens)
}

// Durable checks that an element that a confirmed call of op add added is in the
// set field of every observation later than within after the response, by any
// sidecar, unless a call of op remove for it was sent before that observation ended.
func Durable(field, add, remove string, within time.Duration, events []Event) *Violation {
	for i, call := range events {
		if call.Kind != Call || call.Op != add || call.Outcome != OK {
			continue
		}
		ends := int64(math.MaxInt64)
		for _, e := range events {
			if e.Kind == Call && e.Op == remove && e.Key == call.Key && e.Outcome != No && e.Return >= call.Call {
				ends = min(ends, e.Call)
			}
		}
		for _, e := range events[i:] {
			if e.Kind == Observe && e.Key == field && e.Call > call.Return+within.Microseconds() && e.Return < ends && !slices.Contains(e.Set, call.Key) {
				return &Violation{Check: "kept", What: fmt.Sprintf("%s of %s was confirmed and is missing", add, call.Key), Events: []Event{call, e}}
			}
		}
	}
	return nil
}

// MaxSilence is the longest time between two responses of a sidecar that counts as up.
const MaxSilence = 1500 * time.Millisecond

// Dropped checks that no sidecar that has responded for within, without a gap,
// is missing from the field of more than half of the responding sidecars.
func Dropped(field string, within time.Duration, events []Event) *Violation {
	type state struct {
		up   int64 // since when it responds
		last Event
	}
	all := map[string]*state{}
	for _, e := range events {
		if e.Kind != Observe || e.Key != field {
			continue
		}
		s := all[e.Sidecar]
		if s == nil || e.Call-s.last.Return > MaxSilence.Microseconds() {
			s = &state{up: e.Call}
			all[e.Sidecar] = s
		}
		s.last = e
		responding := slices.DeleteFunc(slices.Sorted(maps.Keys(all)), func(name string) bool {
			return e.Call-all[name].last.Return > MaxSilence.Microseconds()
		})
		for _, name := range responding {
			if slices.Contains(e.Set, name) || e.Call-all[name].up < within.Microseconds() {
				continue
			}
			var part []Event
			for _, other := range responding {
				if !slices.Contains(all[other].last.Set, name) {
					part = append(part, all[other].last)
				}
			}
			if 2*len(part) > len(responding) {
				return &Violation{Check: "dropped", What: name + " responds and is missing from the " + field + " of a majority", Events: part[:min(len(part), 3)]}
			}
		}
	}
	return nil
}
