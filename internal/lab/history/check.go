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

// step is what an event does to, or shows of, one value: a register's text or
// a set's elements (sorted, joined by commas).
type step struct {
	kind  string // write, add, remove, read
	value string
}

// anything is a state of which nothing is known: what the first step leaves
// or shows is taken as it is. It lets a part of a history stand for itself.
const anything = "\x00"

// model is a register and a set in one: writes and reads act on the whole, adds and removes on an element.
var model = porcupine.Model{
	Init: func() any { return anything },
	Step: func(state, input, _ any) (bool, any) {
		s, now := input.(step), state.(string)
		switch s.kind {
		case "write":
			return true, s.value
		case "read":
			return now == anything || now == s.value, s.value
		}
		if now == anything { // elements unknown stay so
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

// patience bounds the search for an order of one history; past it nothing is said of it.
const patience = 5 * time.Second

// linear is a history for porcupine, each operation with its event.
type linear struct {
	ops    []porcupine.Operation
	events []Event
}

func (l *linear) add(e Event, s step) {
	op := porcupine.Operation{ClientId: len(l.ops), Input: s, Call: e.Call, Return: e.Return}
	if e.Kind == Call && e.Outcome != OK {
		op.Return = math.MaxInt64 // it may take effect at any later time
	}
	l.ops, l.events = append(l.ops, op), append(l.events, e)
}

// illegal tells whether no order of the operations explains the reads.
func (l *linear) illegal() bool {
	return porcupine.CheckOperationsTimeout(model, l.ops, patience) == porcupine.Illegal
}

func (l *linear) keep(keep func(i int) bool) *linear {
	kept := &linear{}
	for i := range l.ops {
		if keep(i) {
			kept.ops, kept.events = append(kept.ops, l.ops[i]), append(kept.events, l.events[i])
		}
	}
	return kept
}

// shortest cuts an illegal history down: to its shortest prefix that is
// illegal, without what came before it and settled, without reads that it
// does not need. Every step of it is sound: a legal history stays legal.
func (l *linear) shortest() *linear {
	whole := l
	ends := make([]int64, 0, len(l.ops))
	for _, e := range l.events {
		ends = append(ends, e.Return)
	}
	slices.Sort(ends)
	until := func(n int) *linear { // what was called by the nth answer; what is out then may yet take effect
		cut := whole.keep(func(i int) bool { return whole.events[i].Call <= ends[n] })
		out := &linear{}
		for i, op := range cut.ops {
			if cut.events[i].Return > ends[n] {
				if op.Input.(step).kind == "read" {
					continue
				}
				op.Return = math.MaxInt64
			}
			out.ops, out.events = append(out.ops, op), append(out.events, cut.events[i])
		}
		return out
	}
	low, high := 0, len(ends)-1
	for low < high { // a longer prefix of an illegal one is illegal
		if mid := (low + high) / 2; until(mid).illegal() {
			high = mid
		} else {
			low = mid + 1
		}
	}
	best := until(low)
	if !best.illegal() {
		return whole
	}
	// From the latest point before which all had ended, but for calls that may take effect at any time.
	slices.SortStableFunc(best.ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	slices.SortStableFunc(best.events, func(a, b Event) int { return cmp.Compare(a.Call, b.Call) })
	for i := len(best.ops) - 1; i > 0; i-- {
		from := best.ops[i].Call
		if slices.ContainsFunc(best.ops, func(o porcupine.Operation) bool {
			return o.Call < from && o.Return >= from && o.Return < math.MaxInt64
		}) {
			continue
		}
		part := best.keep(func(j int) bool { return best.ops[j].Return >= from })
		if len(part.ops) < len(best.ops) && part.illegal() {
			best = part
			break
		}
	}
	for i := len(best.ops) - 1; i >= 0; i-- {
		if best.ops[i].Input.(step).kind != "read" {
			continue
		}
		if part := best.keep(func(j int) bool { return j != i }); part.illegal() {
			best = part
		}
	}
	return best
}

// Register checks that one value, at first initial, is linearizable: act
// gives what an event does to it ("write" and the value, "read" and what was
// seen; a set also "add" and "remove" with an element), or "" for an event
// that does not concern it. Calls answered No do nothing; those Unknown may
// take effect at any time from their call on.
func Register(name, initial string, events []Event, act func(Event) (kind, value string)) *Break {
	l := &linear{}
	l.add(Event{Kind: Wipe, Key: "initial", Value: initial, Call: math.MinInt64, Return: math.MinInt64}, step{"write", initial})
	for _, e := range events {
		if e.Kind == Call && e.Outcome == No {
			continue
		}
		if kind, value := act(e); kind != "" {
			l.add(e, step{kind, value})
		}
	}
	if !l.illegal() {
		return nil
	}
	part := l.shortest()
	return &Break{Check: "linearizable", What: name + ": no order of the calls explains what was observed", Part: part.events}
}

// OneHolder checks that no two sidecars hold one thing at a time. A sidecar
// that tells the same token for a thing in two observations in a row held it
// from the first one's answer to the second one's call.
func OneHolder(field string, events []Event) *Break {
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
		for k, before := range open { // one it no longer tells has ended
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
					return &Break{Check: "one holder", What: fmt.Sprintf("%s and %s both hold %s", a.first.Sidecar, b.first.Sidecar, thing),
						Part: []Event{a.first, b.first, b.last, a.last}}
				}
			}
		}
	}
	return nil
}

// TokensGrow checks that no token of a thing is told after a larger one was: by any sidecar, in real time.
func TokensGrow(field string, events []Event) *Break {
	largest := map[string]Event{} // by thing, among the observations that had ended
	var out []Event               // observations by their answers, not yet ended
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
				return &Break{Check: "tokens grow", What: fmt.Sprintf("%s: token %d of %s after %d of %s", thing, token, e.Sidecar, before.Tokens[thing], before.Sidecar),
					Part: []Event{before, e}}
			}
		}
		out = append(out, e)
	}
	return nil
}

// Settled checks that from within after the last fault on all observers tell
// one value of field, the same to the end, and that each of them tells one.
func Settled(field string, observers []string, within time.Duration, events []Event) *Break {
	var from int64
	for _, e := range events {
		if e.Kind == Fault {
			from = max(from, e.Call+within.Microseconds())
		}
	}
	told := map[string]bool{}
	var first *Event
	for i, e := range events {
		if e.Kind != Observe || e.Key != field || e.Call < from {
			continue
		}
		told[e.Sidecar] = true
		if first == nil {
			first = &events[i]
		} else if e.text() != first.text() {
			return &Break{Check: "settled", What: fmt.Sprintf("%s: two values later than %v after the last fault", field, within), Part: []Event{*first, e}}
		}
	}
	for _, o := range observers {
		if !told[o] {
			return &Break{Check: "settled", What: fmt.Sprintf("%s: nothing told by %s later than %v after the last fault", field, o, within)}
		}
	}
	return nil
}

func (e Event) text() string {
	return fmt.Sprint(e.Value, e.Set, e.Tokens)
}

// Kept checks that what a call of op add promised, answered OK, is in the set
// field of every observation called later than within after the answer, by
// any sidecar, unless a call of op remove for it was sent before that observation ended.
func Kept(field, add, remove string, within time.Duration, events []Event) *Break {
	for i, promise := range events {
		if promise.Kind != Call || promise.Op != add || promise.Outcome != OK {
			continue
		}
		ends := int64(math.MaxInt64)
		for _, e := range events {
			if e.Kind == Call && e.Op == remove && e.Key == promise.Key && e.Outcome != No && e.Return >= promise.Call {
				ends = min(ends, e.Call)
			}
		}
		for _, e := range events[i:] {
			if e.Kind == Observe && e.Key == field && e.Call > promise.Return+within.Microseconds() && e.Return < ends && !slices.Contains(e.Set, promise.Key) {
				return &Break{Check: "kept", What: fmt.Sprintf("%s of %s was answered yes and is missing", add, promise.Key), Part: []Event{promise, e}}
			}
		}
	}
	return nil
}

// UpGap is the longest silence of a sidecar that still counts as up.
const UpGap = 1500 * time.Millisecond

// Dropped checks that no sidecar that has answered for within, without a gap,
// is missing from what more than half of those that answer told last of field.
func Dropped(field string, within time.Duration, events []Event) *Break {
	type state struct {
		up   int64 // since when it answers
		last Event
	}
	all := map[string]*state{}
	for _, e := range events {
		if e.Kind != Observe || e.Key != field {
			continue
		}
		s := all[e.Sidecar]
		if s == nil || e.Call-s.last.Return > UpGap.Microseconds() {
			s = &state{up: e.Call}
			all[e.Sidecar] = s
		}
		s.last = e
		answering := slices.DeleteFunc(slices.Sorted(maps.Keys(all)), func(name string) bool {
			return e.Call-all[name].last.Return > UpGap.Microseconds()
		})
		for _, name := range answering {
			if slices.Contains(e.Set, name) || e.Call-all[name].up < within.Microseconds() {
				continue
			}
			var part []Event
			for _, other := range answering {
				if !slices.Contains(all[other].last.Set, name) {
					part = append(part, all[other].last)
				}
			}
			if 2*len(part) > len(answering) {
				return &Break{Check: "dropped", What: name + " answers and is missing from the " + field + " of a majority", Part: part[:min(len(part), 3)]}
			}
		}
	}
	return nil
}
