package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// runScript steps a settler through seconds: "s1 s2" live with the sidecar itself, "-s2" said goodbye, "deaf" nobody is heard.
func runScript(s *stabilizer, start time.Time, seconds []string) (views []string) {
	goodbyes := map[string]bool{}
	for i, line := range seconds {
		living, hears := map[string]bool{s.self: true}, true
		for _, word := range strings.Fields(line) {
			switch name, gone := strings.CutPrefix(word, "-"); {
			case word == "deaf":
				hears = false
			case gone:
				goodbyes[name] = true
			default:
				living[name] = true
			}
		}
		for tenth := range 10 {
			s.step(start.Add(time.Duration(i)*time.Second+time.Duration(tenth)*100*time.Millisecond), living, func(name string) bool { return goodbyes[name] }, hears)
		}
		view := strings.Join(s.sortedNames(), " ")
		if s.isolated {
			view += " cut off"
		}
		if len(views) == 0 || views[len(views)-1] != view {
			views = append(views, view)
		}
	}
	return views
}

func TestSettler(t *testing.T) {
	for name, c := range map[string]struct {
		kept    string
		seconds []string
		views   []string
		epoch   uint64
	}{
		"all come at once": {"", []string{"", "b c", "b c", "b c"}, []string{"a cut off", "a", "a b c"}, 1},
		"one that flaps moves nothing": {"b c", []string{"b c", "b c", "b", "b c", "b", "b c", "b", "b c", "b c"},
			[]string{"a b c"}, 0},
		"a crash is one move, a return another": {"b c", []string{"b c", "b", "b", "b", "b c", "b c", "b c"}, []string{"a b c", "a b", "a b c"}, 2},
		"one that is lost again and again must last longer each time": {"b c", append(slices.Repeat([]string{"b", "b", "b", "b c", "b c", "b c"}, 4), "b c", "b c"),
			[]string{"a b c", "a b", "a b c", "a b", "a b c", "a b", "a b c"}, 6},
		"deaf: it is cut off, and then goes on with what it knew": {"b c d", []string{"b c d", "deaf b c d", "deaf b", "deaf", "deaf", "b", "b c d", "b c d", "b c d"},
			[]string{"a b c d", "a b c d cut off", "a b c d"}, 0},
		"the others die one by one: the largest view comes back": {"b c d e f", []string{"b c d e f", "b c d e", "b c d", "b c d", "b c", "b", "b", "", "", "", "b c d e f", "b c d e f", "b c d e f"},
			[]string{"a b c d e f", "a b c d", "a b", "a b c d e f cut off", "a b c d e f"}, 3},
		"the others say goodbye: the fleet is small": {"b c d e f", []string{"b c d e f", "-b -c -d -e f", "f", "f", "-f", "", "", ""},
			[]string{"a b c d e f", "a f", "a"}, 2},
		"one of two may be the last": {"b", []string{"b", "", "", ""}, []string{"a b", "a"}, 1},
	} {
		start := time.Unix(1_800_000_000, 0)
		s := newStabilizer("a", time.Second, strings.Fields(c.kept), 0, false, start.Add(-10*time.Second))
		if got := runScript(s, start, c.seconds); !slices.Equal(got, c.views) || s.epoch != c.epoch {
			t.Errorf("%s: epoch %d, views\n%s\nwant epoch %d,\n%s", name, s.epoch, strings.Join(got, "\n"), c.epoch, strings.Join(c.views, "\n"))
		}
	}
}

// The digest tells lists apart that run together the same.
func TestDigest(t *testing.T) {
	if Digest([]string{"ab", "c"}) == Digest([]string{"a", "bc"}) || Digest(nil) == Digest([]string{""}) {
		t.Error("two lists have one digest")
	}
	if fmt.Sprintf("%016x", Digest([]string{"s0", "s1"})) != "b3ef540f2075099a" {
		t.Errorf("the digest of s0, s1 is %016x: it must not change from release to release", Digest([]string{"s0", "s1"}))
	}
}
