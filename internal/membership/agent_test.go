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

// expectUnchanged waits for a while in which the nodes' views must not move.
func (s *simulation) expectUnchanged(what string, nodes []*simNode, lasts time.Duration) {
	s.t.Helper()
	before := map[int]uint64{}
	for _, n := range nodes {
		before[n.number] = n.agent.StableView().Epoch
	}
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range nodes {
			if settled := n.agent.StableView(); settled.Epoch != before[n.number] {
				s.t.Errorf("%s: the view of %s moved to %v", what, n.agent.options.Self.Name, settled.Names)
				return
			}
		}
	}
}

const stableTimeout = 30 * time.Second

// A fleet finds itself by one seed, tells a crash from a goodbye, and takes back who returns with an empty disk, also
// at another address and where that one's former address is another's.
func TestJoinCrashGoodbyeReturn(t *testing.T) {
	inSimulation(t, 1, 12, func(s *simulation) {
		for _, n := range s.nodes {
			n.start(Options{Seeds: []netip.AddrPort{s.nodes[0].address}}) // the rest is in nobody's list
		}
		s.awaitStable("by one seed", s.runningNodes(nil), stableTimeout)
		state := func(at int, name string) State {
			for _, k := range s.nodes[at].agent.Members() {
				if k.Name == name {
					return k.State
				}
			}
			return ""
		}
		s.nodes[3].stop(false)
		s.nodes[4].stop(true)
		s.awaitStable("one crashed, one left", s.runningNodes(nil), stableTimeout)
		if a, b := state(7, "s3"), state(7, "s4"); a != StateFailed || b != StateLeft {
			t.Errorf("the crashed is %v, the one that left %v", a, b)
		}
		s.nodes[3].address, s.nodes[4].address = s.nodes[4].address, s.nodes[3].address
		s.nodes[3].start(Options{})
		s.nodes[4].start(Options{})
		s.awaitStable("both are back, each at the other's address", s.runningNodes(nil), stableTimeout)
		s.nodes[5].stop(false)
		s.nodes[5].address = netip.MustParseAddrPort("10.9.9.9:1")
		s.nodes[5].start(Options{}) // before anybody knows that it was gone
		s.awaitStable("back at once, elsewhere", s.runningNodes(nil), stableTimeout)
		moved := func(n *simNode) bool {
			return slices.ContainsFunc(n.agent.Members(), func(k MemberStatus) bool {
				return k.Name == "s5" && k.State == StateAlive && k.Address == s.nodes[5].address
			})
		}
		for end := time.Now().Add(stableTimeout); !moved(s.nodes[8]); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("s5 is not known at its new address: %+v", s.nodes[8].agent.Members())
			}
		}
		s.awaitStable("all", s.runningNodes(nil), stableTimeout)
	})
}

// Half against half both settle, and again after the partition, be it shorter or longer than the dead are remembered; the rejoining is what does it.
func TestPartition(t *testing.T) {
	for _, lasts := range []time.Duration{10 * time.Second, 3 * time.Minute} {
		for _, stays := range []bool{false, true} {
			inSimulation(t, 2, 10, func(s *simulation) {
				for _, n := range s.nodes {
					n.start(Options{rejoinDisabled: stays})
				}
				left := func(i int) bool { return i < 5 }
				if stays { // nobody would ever find another
					for _, n := range s.runningNodes(nil) {
						n.agent.memberlist.Join([]string{s.nodes[0].address.String()})
					}
				}
				s.awaitStable("start", s.runningNodes(nil), stableTimeout)
				s.setNetwork(func(a, b int) bool { return left(a) != left(b) }, s.impairment)
				time.Sleep(lasts)
				if lasts > time.Minute {
					s.awaitStable("one half", s.runningNodes(left), stableTimeout)
					s.awaitStable("other half", s.runningNodes(func(i int) bool { return !left(i) }), stableTimeout)
				}
				s.setNetwork(nil, s.impairment)
				switch {
				case !stays:
					s.awaitStable(fmt.Sprintf("healed after %v", lasts), s.runningNodes(nil), stableTimeout)
				case lasts > time.Minute: // the check bites: without rejoining the halves never meet
					time.Sleep(stableTimeout)
					if n := len(s.nodes[0].agent.StableView().Names); n != 5 {
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
		inSimulation(t, 3, 6, func(s *simulation) {
			s.startAll()
			s.awaitStable(name, s.runningNodes(nil), stableTimeout)
			time.Sleep(5 * time.Second)
			s.setNetwork(c.cut, c.bad)
			s.expectUnchanged(name, s.runningNodes(nil), 3*time.Minute)
		})
	}
}

// One that is alone says that it is cut off and goes on with what it knew, for however long; its old news afterwards
// brings back nobody who is gone, and the others never move but for it.
func TestCutOff(t *testing.T) {
	inSimulation(t, 4, 9, func(s *simulation) {
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		alone := s.nodes[4]
		others := s.runningNodes(func(i int) bool { return i != 4 })
		s.setNetwork(func(a, b int) bool { return a == 4 || b == 4 }, s.impairment)
		s.expectUnchanged("alone", []*simNode{alone}, 5*time.Minute)
		if !alone.agent.StableView().Isolated {
			t.Error("it does not say that it is cut off")
		}
		s.awaitStable("the others", others, stableTimeout)
		s.nodes[8].stop(false) // unheard of by the one alone
		others = others[:len(others)-1]
		s.awaitStable("the others, one fewer", others, stableTimeout)
		s.setNetwork(nil, s.impairment)
		s.awaitStable("all", s.runningNodes(nil), stableTimeout)
	})
}

// After a crash of all, those that kept a view find each other by it, without any other seed; the epoch goes on.
func TestKeptView(t *testing.T) {
	inSimulation(t, 5, 6, func(s *simulation) {
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		kept := make([]Snapshot, len(s.nodes))
		for i, n := range s.nodes {
			kept[i] = n.agent.Snapshot()
			n.stop(false)
		}
		for i, n := range s.nodes {
			n.start(Options{Snapshot: kept[i], Seeds: []netip.AddrPort{n.address}})
			if settled := n.agent.StableView(); len(settled.Names) != 6 || settled.Epoch != kept[i].Epoch || !settled.Isolated {
				t.Errorf("it begins with %+v, kept %+v", settled, kept[i])
			}
		}
		s.awaitStable("again", s.runningNodes(nil), stableTimeout)
	})
}

// All restarted at once, and in waves, with empty disks: one view follows, and those not restarted stay in it.
func TestAllRestart(t *testing.T) {
	inSimulation(t, 9, 20, func(s *simulation) {
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		for _, wave := range []int{20, 5} {
			for from := 0; from < len(s.nodes); from += wave {
				for _, n := range s.nodes[from : from+wave] {
					n.stop(false)
				}
				for _, n := range s.nodes[from : from+wave] {
					n.start(Options{})
				}
				time.Sleep(2 * time.Second)
			}
			s.awaitStable(fmt.Sprintf("restarted by %d", wave), s.runningNodes(nil), stableTimeout)
		}
	})
}

// Two sidecars of one name: the first stays, the trouble is counted, and the rest of the fleet does not move.
func TestTwoOfOneName(t *testing.T) {
	inSimulation(t, 6, 6, func(s *simulation) {
		for _, n := range s.nodes[:5] {
			n.start(Options{})
		}
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		double := s.nodes[5]
		double.number = 2
		double.start(Options{})
		double.number = 5
		s.expectUnchanged("a second s2", s.runningNodes(func(i int) bool { return i != 5 && i != 2 }), time.Minute)
		if conflicts, _, _, _ := s.nodes[0].agent.Counters(); conflicts == 0 {
			t.Error("nobody noticed")
		}
	})
}

// The longest names, zones and versions fit the datagrams; members beyond the bound are refused and counted.
func TestBounds(t *testing.T) {
	inSimulation(t, 7, 8, func(s *simulation) {
		s.maxMembers = 6
		s.name = func(i int) string { return fmt.Sprintf("%0*d", MaxNameLength, i) }
		s.zone = strings.Repeat("z", MaxZoneLength)
		for _, n := range s.nodes[:6] {
			n.start(Options{})
		}
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		s.nodes[6].start(Options{})
		s.expectUnchanged("one too many", s.runningNodes(func(i int) bool { return i < 6 }), time.Minute)
		if _, full, _, _ := s.nodes[0].agent.Counters(); full == 0 {
			t.Error("a member beyond the bound was not counted")
		}
		s.nodes[1].stop(true)
		s.awaitStable("room again", s.runningNodes(nil), time.Minute)
	})
}

// Datagrams of strangers, torn ones and ones of other versions are refused and counted, and the fleet does not move.
func TestRubbish(t *testing.T) {
	inSimulation(t, 8, 4, func(s *simulation) {
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		random := rand.New(rand.NewPCG(8, 8))
		time.Sleep(5 * time.Second)
		s.networkMu.Lock()
		s.forge = func(data []byte) []byte { // a torn or changed copy of what is said, sent to all
			torn := slices.Clone(data[:1+random.IntN(len(data))])
			for range 1 + random.IntN(3) {
				torn[random.IntN(len(torn))] = byte(random.Uint32())
			}
			return torn
		}
		s.networkMu.Unlock()
		s.expectUnchanged("rubbish", s.runningNodes(nil), 2*time.Minute)
		if _, _, improper, _ := s.nodes[0].agent.Counters(); improper == 0 {
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
		inSimulation(t, seed, n, func(s *simulation) {
			s.startAll()
			for _, m := range moves {
				node := s.nodes[m.who]
				switch {
				case m.kind <= 1 && node.agent == nil:
					node.start(Options{})
				case m.kind <= 1:
					node.stop(m.kind == 0)
				case m.kind == 2:
					s.setNetwork(func(a, b int) bool { return a == m.who }, s.impairment) // one way
				case m.kind == 3:
					s.setNetwork(func(a, b int) bool { return a <= m.who != (b <= m.who) }, s.impairment)
				case m.kind == 4:
					s.setNetwork(func(a, b int) bool { return a == m.who && b == m.other || a == m.other && b == m.who }, s.impairment)
				case m.kind == 5:
					s.setNetwork(nil, impairment{loss: 0.3, duplicate: 0.1, delay: 200 * time.Millisecond})
				default:
					s.setNetwork(nil, impairment{delay: time.Millisecond})
				}
				time.Sleep(time.Duration(m.wait) * time.Second)
			}
			s.setNetwork(nil, impairment{delay: time.Millisecond})
			for _, node := range s.nodes {
				if node.agent == nil {
					node.start(Options{})
				}
			}
			s.awaitStable(fmt.Sprint("after ", moves), s.runningNodes(nil), 2*time.Minute)
			failed = t.Failed()
		})
		if failed {
			rt.Fatal("no one view")
		}
	})
}
