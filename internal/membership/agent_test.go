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

// expectUnchanged fails the test if the stable view of any of the nodes changes within a duration.
func (s *simulation) expectUnchanged(situation string, nodes []*simulatedNode, duration time.Duration) {
	s.t.Helper()
	before := map[int]uint64{}
	for _, n := range nodes {
		before[n.number] = n.agent.StableView().Epoch
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range nodes {
			if view := n.agent.StableView(); view.Epoch != before[n.number] {
				s.t.Errorf("%s: the view of %s changed to %v", situation, n.agent.options.Self.Name, view.Names)
				return
			}
		}
	}
}

const stableTimeout = 30 * time.Second

// joinAll makes each node exchange the full list with the first node, in two rounds. In the second round the first node
// knows all others. After one round, the earlier nodes would know the later ones only by gossip, which is sent a limited
// number of times to randomly chosen members. What gossip misses is repaired by memberlist's own exchange of full lists,
// but only after half a minute or more.
func (s *simulation) joinAll() {
	s.t.Helper()
	for range 2 {
		for _, n := range s.nodes {
			if _, err := n.agent.memberlist.Join([]string{s.nodes[0].address.String()}); err != nil {
				s.t.Fatalf("join of %s: %v", n.agent.options.Self.Name, err)
			}
		}
	}
	for _, n := range s.nodes {
		if known := n.agent.memberlist.NumMembers(); known != len(s.nodes) {
			s.t.Fatalf("after joining %s knows %d members, want %d", n.agent.options.Self.Name, known, len(s.nodes))
		}
	}
}

// A fleet forms from a single seed and distinguishes a crash from a leave. It readmits a member that returns without a
// snapshot, also at another address, and also if its former address now belongs to another member.
func TestMembersJoinFailLeaveAndReturn(t *testing.T) {
	inSimulation(t, 1, 12, func(s *simulation) {
		for _, n := range s.nodes {
			n.start(Options{Seeds: []netip.AddrPort{s.nodes[0].address}}) // the seeds include no other node
		}
		s.awaitStable("by one seed", s.runningNodes(nil), stableTimeout)
		stateAt := func(node int, name string) State {
			for _, m := range s.nodes[node].agent.Members() {
				if m.Name == name {
					return m.State
				}
			}
			return ""
		}
		s.nodes[3].stop(false)
		s.nodes[4].stop(true)
		s.awaitStable("one crashed, one left", s.runningNodes(nil), stableTimeout)
		if crashed, left := stateAt(7, "s3"), stateAt(7, "s4"); crashed != StateFailed || left != StateLeft {
			t.Errorf("the crashed member is %v, the one that left is %v", crashed, left)
		}
		first, second := s.nodes[3].address, s.nodes[4].address
		s.setAddress(s.nodes[3], second)
		s.setAddress(s.nodes[4], first)
		s.nodes[3].start(Options{})
		s.nodes[4].start(Options{})
		s.awaitStable("both returned, each at the other's address", s.runningNodes(nil), stableTimeout)
		s.nodes[5].stop(false)
		s.setAddress(s.nodes[5], netip.MustParseAddrPort("10.9.9.9:1"))
		s.nodes[5].start(Options{}) // before any member knows of the crash
		s.awaitStable("returned at once at another address", s.runningNodes(nil), stableTimeout)
		knowsNewAddress := func(n *simulatedNode) bool {
			return slices.ContainsFunc(n.agent.Members(), func(m MemberStatus) bool {
				return m.Name == "s5" && m.State == StateAlive && m.Address == s.nodes[5].address
			})
		}
		for end := time.Now().Add(stableTimeout); !knowsNewAddress(s.nodes[8]); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("s5 is not known at its new address: %+v", s.nodes[8].agent.Members())
			}
		}
		s.awaitStable("all", s.runningNodes(nil), stableTimeout)
	})
}

// Both halves of a partitioned fleet become stable, and so does the whole fleet after the partition has healed, whether
// the partition is shorter or longer than the time for which memberlist gossips to the dead (gossipToDeadPeriod). After a
// longer partition, the halves do not find each other without rejoining.
func TestPartitionHealsByRejoining(t *testing.T) {
	for _, duration := range []time.Duration{10 * time.Second, 3 * time.Minute} {
		for _, rejoinDisabled := range []bool{false, true} {
			inSimulation(t, 2, 10, func(s *simulation) {
				for _, n := range s.nodes {
					n.start(Options{rejoinDisabled: rejoinDisabled})
				}
				inFirstHalf := func(i int) bool { return i < 5 }
				if rejoinDisabled { // otherwise no member would find another
					s.joinAll()
				}
				s.awaitStable("start", s.runningNodes(nil), stableTimeout)
				s.setNetwork(func(a, b int) bool { return inFirstHalf(a) != inFirstHalf(b) }, s.impairment)
				time.Sleep(duration)
				if duration > time.Minute {
					s.awaitStable("one half", s.runningNodes(inFirstHalf), stableTimeout)
					s.awaitStable("other half", s.runningNodes(func(i int) bool { return !inFirstHalf(i) }), stableTimeout)
				}
				s.setNetwork(nil, s.impairment)
				switch {
				case !rejoinDisabled:
					s.awaitStable(fmt.Sprintf("healed after %v", duration), s.runningNodes(nil), stableTimeout)
				case duration > time.Minute:
					time.Sleep(stableTimeout)
					if n := len(s.nodes[0].agent.StableView().Names); n != 5 {
						t.Errorf("without rejoining a view has %d members, want 5", n)
					}
				}
			})
		}
	}
}

// No member is removed because the link between two members is cut, in one direction or both, while the others reach
// both of them. Nor is one removed on a network that loses, duplicates and reorders datagrams.
func TestLinkFaultsRemoveNobody(t *testing.T) {
	for name, c := range map[string]struct {
		isCut      func(a, b int) bool
		impairment impairment
	}{
		"link cut in both directions": {func(a, b int) bool { return a+b == 1 }, impairment{delay: time.Millisecond}},
		"link cut in one direction":   {func(a, b int) bool { return a == 0 && b == 1 }, impairment{delay: time.Millisecond}},
		"lossy network":               {nil, impairment{loss: 0.05, duplicate: 0.1, delay: 100 * time.Millisecond}},
	} {
		inSimulation(t, 3, 6, func(s *simulation) {
			s.startAll()
			s.awaitStable(name, s.runningNodes(nil), stableTimeout)
			time.Sleep(5 * time.Second)
			s.setNetwork(c.isCut, c.impairment)
			s.expectUnchanged(name, s.runningNodes(nil), 3*time.Minute)
		})
	}
}

// An isolated sidecar reports that it is isolated and keeps its view, however long the isolation lasts. Its outdated
// member list does not bring back a member that crashed meanwhile.
func TestIsolatedSidecarKeepsItsView(t *testing.T) {
	inSimulation(t, 4, 9, func(s *simulation) {
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		isolated := s.nodes[4]
		others := s.runningNodes(func(i int) bool { return i != 4 })
		s.setNetwork(func(a, b int) bool { return a == 4 || b == 4 }, s.impairment)
		s.expectUnchanged("isolated", []*simulatedNode{isolated}, 5*time.Minute)
		if !isolated.agent.StableView().Isolated {
			t.Error("the isolated sidecar does not report that it is isolated")
		}
		s.awaitStable("the others", others, stableTimeout)
		s.nodes[8].stop(false) // the isolated sidecar does not learn of this crash
		others = others[:len(others)-1]
		s.awaitStable("the others, one fewer", others, stableTimeout)
		s.setNetwork(nil, s.impairment)
		s.awaitStable("all", s.runningNodes(nil), stableTimeout)
	})
}

// After all sidecars crash, they find each other by the addresses in their snapshots alone, and continue their epochs.
func TestSnapshotIsUsedAsViewAndSeeds(t *testing.T) {
	inSimulation(t, 5, 6, func(s *simulation) {
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		snapshots := make([]Snapshot, len(s.nodes))
		for i, n := range s.nodes {
			snapshots[i] = n.agent.Snapshot()
			n.stop(false)
		}
		for i, n := range s.nodes {
			n.start(Options{Snapshot: snapshots[i], Seeds: []netip.AddrPort{n.address}})
			if view := n.agent.StableView(); len(view.Names) != 6 || view.Epoch != snapshots[i].Epoch || !view.Isolated {
				t.Errorf("the first view is %+v, with snapshot %+v", view, snapshots[i])
			}
		}
		s.awaitStable("again", s.runningNodes(nil), stableTimeout)
	})
}

// All sidecars restart without snapshots, first at the same time and then in batches: afterwards all have the same view.
func TestRestartOfAllEndsInOneView(t *testing.T) {
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

// If two sidecars have the same name, the first one stays a member. The conflict is counted, and the views of the others
// do not change.
func TestNameConflictIsCounted(t *testing.T) {
	inSimulation(t, 6, 6, func(s *simulation) {
		for _, n := range s.nodes[:5] {
			n.start(Options{})
		}
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		duplicate := s.nodes[5]
		duplicate.number = 2
		duplicate.start(Options{})
		duplicate.number = 5
		s.expectUnchanged("a second s2", s.runningNodes(func(i int) bool { return i != 5 && i != 2 }), time.Minute)
		if s.nodes[0].agent.Counters().NameConflicts == 0 {
			t.Error("the conflict was not counted")
		}
	})
}

// Messages with the longest names, zones and versions fit the datagrams. Members beyond the limit are rejected and
// counted, and a new member is admitted after one has left.
func TestMembersAreLimited(t *testing.T) {
	inSimulation(t, 7, 8, func(s *simulation) {
		s.maxMembers = 6
		s.nodeName = func(i int) string { return fmt.Sprintf("%0*d", MaxNameLength, i) }
		s.zone = strings.Repeat("z", MaxZoneLength)
		for _, n := range s.nodes[:6] {
			n.start(Options{})
		}
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		s.nodes[6].start(Options{})
		s.expectUnchanged("one over the limit", s.runningNodes(func(i int) bool { return i < 6 }), time.Minute)
		if s.nodes[0].agent.Counters().RejectedMembers == 0 {
			t.Error("a member beyond the limit was not counted")
		}
		s.nodes[1].stop(true)
		s.awaitStable("after one left", s.runningNodes(nil), time.Minute)
	})
}

// Truncated and modified datagrams from an unknown address are rejected and counted, and the views do not change.
func TestForgedDatagramsAreRejected(t *testing.T) {
	inSimulation(t, 8, 4, func(s *simulation) {
		s.startAll()
		s.awaitStable("start", s.runningNodes(nil), stableTimeout)
		random := rand.New(rand.NewPCG(8, 8))
		time.Sleep(5 * time.Second)
		s.networkMu.Lock()
		s.forge = func(data []byte) []byte { // a truncated and modified copy
			forged := slices.Clone(data[:1+random.IntN(len(data))])
			for range 1 + random.IntN(3) {
				forged[random.IntN(len(forged))] = byte(random.Uint32())
			}
			return forged
		}
		s.networkMu.Unlock()
		s.expectUnchanged("forged datagrams", s.runningNodes(nil), 2*time.Minute)
		if s.nodes[0].agent.Counters().RejectedMessages == 0 {
			t.Error("nothing was rejected")
		}
	})
}

// After any sequence of starts, leaves, crashes, cut links and datagram loss, all sidecars have the same view once the
// faults have ended.
func TestAnyFaultsEndInOneView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "sidecars")
		seed := rapid.Uint64().Draw(rt, "seed")
		type step struct{ kind, node, other, seconds int }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				kind:    rapid.IntRange(0, 6).Draw(rt, "kind"),
				node:    rapid.IntRange(0, n-1).Draw(rt, "node"),
				other:   rapid.IntRange(0, n-1).Draw(rt, "other"),
				seconds: rapid.IntRange(0, 12).Draw(rt, "seconds"),
			}
		}), 1, 12).Draw(rt, "steps")
		failed := false
		inSimulation(t, seed, n, func(s *simulation) {
			s.startAll()
			for _, step := range steps {
				node := s.nodes[step.node]
				switch {
				case step.kind <= 1 && node.agent == nil:
					node.start(Options{})
				case step.kind <= 1:
					node.stop(step.kind == 0)
				case step.kind == 2:
					s.setNetwork(func(a, b int) bool { return a == step.node }, s.impairment) // in one direction
				case step.kind == 3:
					s.setNetwork(func(a, b int) bool { return a <= step.node != (b <= step.node) }, s.impairment)
				case step.kind == 4:
					s.setNetwork(func(a, b int) bool { return a == step.node && b == step.other || a == step.other && b == step.node }, s.impairment)
				case step.kind == 5:
					s.setNetwork(nil, impairment{loss: 0.3, duplicate: 0.1, delay: 200 * time.Millisecond})
				default:
					s.setNetwork(nil, impairment{delay: time.Millisecond})
				}
				time.Sleep(time.Duration(step.seconds) * time.Second)
			}
			s.setNetwork(nil, impairment{delay: time.Millisecond})
			for _, node := range s.nodes {
				if node.agent == nil {
					node.start(Options{})
				}
			}
			s.awaitStable(fmt.Sprint("after ", steps), s.runningNodes(nil), 2*time.Minute)
			failed = t.Failed()
		})
		if failed {
			rt.Fatal("the sidecars do not have the same view")
		}
	})
}
