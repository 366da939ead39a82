package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// runScript steps a stabilizer through seconds, with ten steps each, and returns its distinct consecutive views. A script
// line lists the members that are alive besides the sidecar itself. "-c" means that c has left, from this second on, and
// "silence" that no datagram was recently received from any member.
func runScript(s *stabilizer, start time.Time, seconds []string) (views []string) {
	left := map[string]bool{}
	for i, line := range seconds {
		o := observation{alive: map[string]bool{s.self: true}, left: left, hasContact: true}
		for _, word := range strings.Fields(line) {
			switch name, hasLeft := strings.CutPrefix(word, "-"); {
			case word == "silence":
				o.hasContact = false
			case hasLeft:
				left[name] = true
			default:
				o.alive[name] = true
			}
		}
		for tenth := range 10 {
			o.now = start.Add(time.Duration(i)*time.Second + time.Duration(tenth)*100*time.Millisecond)
			s.step(o)
		}
		view := strings.Join(s.sortedNames(), " ")
		if s.isolated {
			view += " isolated"
		}
		if len(views) == 0 || views[len(views)-1] != view {
			views = append(views, view)
		}
	}
	return views
}

func TestStabilizer(t *testing.T) {
	for name, c := range map[string]struct {
		snapshot string
		seconds  []string
		views    []string
		epoch    uint64
	}{
		"all join at once": {"", []string{"", "b c", "b c", "b c"}, []string{"a isolated", "a", "a b c"}, 1},
		"a member that flaps changes nothing": {"b c", []string{"b c", "b c", "b", "b c", "b", "b c", "b", "b c", "b c"},
			[]string{"a b c"}, 0},
		"a crash is one change, a return another": {"b c", []string{"b c", "b", "b", "b", "b c", "b c", "b c"}, []string{"a b c", "a b", "a b c"}, 2},
		"a member that fails again and again must live longer each time": {"b c", append(slices.Repeat([]string{"b", "b", "b", "b c", "b c", "b c"}, 4), "b c", "b c"),
			[]string{"a b c", "a b", "a b c", "a b", "a b c", "a b", "a b c"}, 6},
		"without contact it is isolated, and afterwards continues with its view": {"b c d", []string{"b c d", "silence b c d", "silence b", "silence", "silence", "b", "b c d", "b c d", "b c d"},
			[]string{"a b c d", "a b c d isolated", "a b c d"}, 0},
		"the others disappear one by one: the largest view is restored": {"b c d e f", []string{"b c d e f", "b c d e", "b c d", "b c d", "b c", "b", "b", "", "", "", "b c d e f", "b c d e f", "b c d e f"},
			[]string{"a b c d e f", "a b c d", "a b", "a b c d e f isolated", "a b c d e f"}, 3},
		"the others leave: the fleet is small": {"b c d e f", []string{"b c d e f", "-b -c -d -e f", "f", "f", "-f", "", "", ""},
			[]string{"a b c d e f", "a f", "a"}, 2},
		"one of two may be the only one": {"b", []string{"b", "", "", ""}, []string{"a b", "a"}, 1},
	} {
		start := time.Unix(1_800_000_000, 0)
		s := newStabilizer("a", time.Second, strings.Fields(c.snapshot), 0, false, start.Add(-10*time.Second))
		if got := runScript(s, start, c.seconds); !slices.Equal(got, c.views) || s.epoch != c.epoch {
			t.Errorf("%s: epoch %d, views\n%s\nwant epoch %d,\n%s", name, s.epoch, strings.Join(got, "\n"), c.epoch, strings.Join(c.views, "\n"))
		}
	}
}

// The digest differs for lists whose names are equal when concatenated, and does not change between releases.
func TestDigest(t *testing.T) {
	if Digest([]string{"ab", "c"}) == Digest([]string{"a", "bc"}) || Digest(nil) == Digest([]string{""}) {
		t.Error("two lists have the same digest")
	}
	if fmt.Sprintf("%016x", Digest([]string{"s0", "s1"})) != "b3ef540f2075099a" {
		t.Errorf("the digest of s0, s1 is %016x: it must not change from release to release", Digest([]string{"s0", "s1"}))
	}
}
