//go:build go1.25

package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// kept waits for a while in which the nodes' views must not move.
func (s *sim) kept(what string, nodes []*simNode, lasts time.Duration) {
	s.t.Helper()
	before := map[int]uint64{}
	for _, n := range nodes {
		before[n.number] = n.view.StableView().Epoch
	}
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range nodes {
			if settled := n.view.StableView(); settled.Epoch != before[n.number] {
				s.t.Errorf("%s: the view of %s moved to %v", what, n.view.o.Self.Name, settled.Names)
				return
			}
		}
	}
}

const settleMost = 30 * time.Second

// A fleet finds itself by one seed, tells a crash from a goodbye, and takes back who returns with an empty disk, also
// at another address and where that one's former address is another's.
func TestJoinCrashGoodbyeReturn(t *testing.T) {
	inSim(t, 1, 12, func(s *sim) {
		for _, n := range s.nodes {
			n.start(Options{Seeds: []netip.AddrPort{s.nodes[0].addr}}) // the rest is in nobody's list
		}
		s.settles("by one seed", s.running(nil), settleMost)
		state := func(at int, name string) State {
			for _, k := range s.nodes[at].view.Members() {
				if k.Name == name {
					return k.State
				}
			}
			return ""
		}
		s.nodes[3].end(false)
		s.nodes[4].end(true)
		s.settles("one crashed, one left", s.running(nil), settleMost)
		if a, b := state(7, "s3"), state(7, "s4"); a != StateFailed || b != StateLeft {
			t.Errorf("the crashed is %v, the one that left %v", a, b)
		}
		s.nodes[3].addr, s.nodes[4].addr = s.nodes[4].addr, s.nodes[3].addr
		s.nodes[3].start(Options{})
		s.nodes[4].start(Options{})
		s.settles("both are back, each at the other's address", s.running(nil), settleMost)
		s.nodes[5].end(false)
		s.nodes[5].addr = netip.MustParseAddrPort("10.9.9.9:1")
		s.nodes[5].start(Options{}) // before anybody knows that it was gone
		s.settles("back at once, elsewhere", s.running(nil), settleMost)
		moved := func(n *simNode) bool {
			return slices.ContainsFunc(n.view.Members(), func(k MemberStatus) bool {
				return k.Name == "s5" && k.State == StateAlive && k.Address == s.nodes[5].addr
			})
		}
		for end := time.Now().Add(settleMost); !moved(s.nodes[8]); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("s5 is not known at its new address: %+v", s.nodes[8].view.Members())
			}
		}
		s.settles("all", s.running(nil), settleMost)
	})
}

// Half against half both settle, and again after the partition, be it shorter or longer than the dead are remembered; the rejoining is what does it.
func TestPartition(t *testing.T) {
	for _, lasts := range []time.Duration{10 * time.Second, 3 * time.Minute} {
		for _, stays := range []bool{false, true} {
			inSim(t, 2, 10, func(s *sim) {
				for _, n := range s.nodes {
					n.start(Options{staysApart: stays})
				}
				left := func(i int) bool { return i < 5 }
				if stays { // nobody would ever find another
					for _, n := range s.running(nil) {
						n.view.list.Join([]string{s.nodes[0].addr.String()})
					}
				}
				s.settles("start", s.running(nil), settleMost)
				s.set(func(a, b int) bool { return left(a) != left(b) }, s.bad)
				time.Sleep(lasts)
				if lasts > time.Minute {
					s.settles("one half", s.running(left), settleMost)
					s.settles("other half", s.running(func(i int) bool { return !left(i) }), settleMost)
				}
				s.set(nil, s.bad)
				switch {
				case !stays:
					s.settles(fmt.Sprintf("healed after %v", lasts), s.running(nil), settleMost)
				case lasts > time.Minute: // the check bites: without rejoining the halves never meet
					time.Sleep(settleMost)
					if n := len(s.nodes[0].view.StableView().Names); n != 5 {
						t.Errorf("without rejoining a view came to %d members", n)
					}
				}
			})
		}
	}
}

// Nobody is dropped for a link that is cut while others hear both ends, for one direction of it, or for a doubled, reordered and lossy network.
func TestOthersHearThem(t *testing.T) {
	for name, c := range map[string]struct {
		cut func(a, b int) bool
		bad impairment
	}{
		"two do not hear each other": {func(a, b int) bool { return a+b == 1 }, impairment{delay: time.Millisecond}},
		"one does not hear another":  {func(a, b int) bool { return a == 0 && b == 1 }, impairment{delay: time.Millisecond}},
		"a bad network":              {nil, impairment{loss: 0.05, duplicate: 0.1, delay: 100 * time.Millisecond}},
	} {
		inSim(t, 3, 6, func(s *sim) {
			s.startAll()
			s.settles(name, s.running(nil), settleMost)
			time.Sleep(5 * time.Second)
			s.set(c.cut, c.bad)
			s.kept(name, s.running(nil), 3*time.Minute)
		})
	}
}

// One that is alone says that it is cut off and goes on with what it knew, for however long; its old news afterwards
// brings back nobody who is gone, and the others never move but for it.
func TestCutOff(t *testing.T) {
	inSim(t, 4, 9, func(s *sim) {
		s.startAll()
		s.settles("start", s.running(nil), settleMost)
		alone := s.nodes[4]
		others := s.running(func(i int) bool { return i != 4 })
		s.set(func(a, b int) bool { return a == 4 || b == 4 }, s.bad)
		s.kept("alone", []*simNode{alone}, 5*time.Minute)
		if !alone.view.StableView().Isolated {
			t.Error("it does not say that it is cut off")
		}
		s.settles("the others", others, settleMost)
		s.nodes[8].end(false) // unheard of by the one alone
		others = others[:len(others)-1]
		s.settles("the others, one fewer", others, settleMost)
		s.set(nil, s.bad)
		s.settles("all", s.running(nil), settleMost)
	})
}

// After a crash of all, those that kept a view find each other by it, without any other seed; the epoch goes on.
func TestKeptView(t *testing.T) {
	inSim(t, 5, 6, func(s *sim) {
		s.startAll()
		s.settles("start", s.running(nil), settleMost)
		kept := make([]Snapshot, len(s.nodes))
		for i, n := range s.nodes {
			kept[i] = n.view.Snapshot()
			n.end(false)
		}
		for i, n := range s.nodes {
			n.start(Options{Snapshot: kept[i], Seeds: []netip.AddrPort{n.addr}})
			if settled := n.view.StableView(); len(settled.Names) != 6 || settled.Epoch != kept[i].Epoch || !settled.Isolated {
				t.Errorf("it begins with %+v, kept %+v", settled, kept[i])
			}
		}
		s.settles("again", s.running(nil), settleMost)
	})
}

// All restarted at once, and in waves, with empty disks: one view follows, and those not restarted stay in it.
func TestAllRestart(t *testing.T) {
	inSim(t, 9, 20, func(s *sim) {
		s.startAll()
		s.settles("start", s.running(nil), settleMost)
		for _, wave := range []int{20, 5} {
			for from := 0; from < len(s.nodes); from += wave {
				for _, n := range s.nodes[from : from+wave] {
					n.end(false)
				}
				for _, n := range s.nodes[from : from+wave] {
					n.start(Options{})
				}
				time.Sleep(2 * time.Second)
			}
			s.settles(fmt.Sprintf("restarted by %d", wave), s.running(nil), settleMost)
		}
	})
}

// Two sidecars of one name: the first stays, the trouble is counted, and the rest of the fleet does not move.
func TestTwoOfOneName(t *testing.T) {
	inSim(t, 6, 6, func(s *sim) {
		for _, n := range s.nodes[:5] {
			n.start(Options{})
		}
		s.settles("start", s.running(nil), settleMost)
		double := s.nodes[5]
		double.number = 2
		double.start(Options{})
		double.number = 5
		s.kept("a second s2", s.running(func(i int) bool { return i != 5 && i != 2 }), time.Minute)
		if conflicts, _, _, _ := s.nodes[0].view.Counters(); conflicts == 0 {
			t.Error("nobody noticed")
		}
	})
}

// The longest names, zones and versions fit the datagrams; members beyond the bound are refused and counted.
func TestBounds(t *testing.T) {
	inSim(t, 7, 8, func(s *sim) {
		s.most = 6
		s.name = func(i int) string { return fmt.Sprintf("%0*d", MaxNameLength, i) }
		s.zone = strings.Repeat("z", MaxZoneLength)
		for _, n := range s.nodes[:6] {
			n.start(Options{})
		}
		s.settles("start", s.running(nil), settleMost)
		s.nodes[6].start(Options{})
		s.kept("one too many", s.running(func(i int) bool { return i < 6 }), time.Minute)
		if _, full, _, _ := s.nodes[0].view.Counters(); full == 0 {
			t.Error("a member beyond the bound was not counted")
		}
		s.nodes[1].end(true)
		s.settles("room again", s.running(nil), time.Minute)
	})
}

// Datagrams of strangers, torn ones and ones of other versions are refused and counted, and the fleet does not move.
func TestRubbish(t *testing.T) {
	inSim(t, 8, 4, func(s *sim) {
		s.startAll()
		s.settles("start", s.running(nil), settleMost)
		random := rand.New(rand.NewPCG(8, 8))
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.spy = func(data []byte) []byte { // a torn or changed copy of what is said, sent to all
			torn := slices.Clone(data[:1+random.IntN(len(data))])
			for range 1 + random.IntN(3) {
				torn[random.IntN(len(torn))] = byte(random.Uint32())
			}
			return torn
		}
		s.mu.Unlock()
		s.kept("rubbish", s.running(nil), 2*time.Minute)
		if _, _, improper, _ := s.nodes[0].view.Counters(); improper == 0 {
			t.Error("nothing was refused")
		}
	})
}

// Whatever joins, leaves, crashes, cuts and losses come, one digest follows once they end.
func TestAnyFaultsEndInOneView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "sidecars")
		seed := rapid.Uint64().Draw(rt, "seed")
		type move struct{ kind, who, other, wait int }
		moves := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) move {
			return move{rapid.IntRange(0, 6).Draw(rt, "kind"), rapid.IntRange(0, n-1).Draw(rt, "who"), rapid.IntRange(0, n-1).Draw(rt, "other"), rapid.IntRange(0, 12).Draw(rt, "wait")}
		}), 1, 12).Draw(rt, "moves")
		failed := false
		inSim(t, seed, n, func(s *sim) {
			s.startAll()
			for _, m := range moves {
				node := s.nodes[m.who]
				switch {
				case m.kind <= 1 && node.view == nil:
					node.start(Options{})
				case m.kind <= 1:
					node.end(m.kind == 0)
				case m.kind == 2:
					s.set(func(a, b int) bool { return a == m.who }, s.bad) // one way
				case m.kind == 3:
					s.set(func(a, b int) bool { return a <= m.who != (b <= m.who) }, s.bad)
				case m.kind == 4:
					s.set(func(a, b int) bool { return a == m.who && b == m.other || a == m.other && b == m.who }, s.bad)
				case m.kind == 5:
					s.set(nil, impairment{loss: 0.3, duplicate: 0.1, delay: 200 * time.Millisecond})
				default:
					s.set(nil, impairment{delay: time.Millisecond})
				}
				time.Sleep(time.Duration(m.wait) * time.Second)
			}
			s.set(nil, impairment{delay: time.Millisecond})
			for _, node := range s.nodes {
				if node.view == nil {
					node.start(Options{})
				}
			}
			s.settles(fmt.Sprint("after ", moves), s.running(nil), 2*time.Minute)
			failed = t.Failed()
		})
		if failed {
			rt.Fatal("no one view")
		}
	})
}
