// Package membership keeps one sidecar's list of the fleet: members by
// hashicorp/memberlist (SWIM: incarnations, suspicion that the living refute,
// indirect pings, awareness of one's own slowness, goodbyes) over a link's
// datagrams, and from them a settled view that changes once per quiet period.
// See docs/design-fleet.md.
package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	stdlog "log"

	"github.com/hashicorp/memberlist"

	"bramblestand/internal/datagram"
)

// Timing and bounds of the failure detector. A crash is known to all after
// about a probe's interval, the suspicion (2 x log10(members) x
// interval) and a few turns of gossip.
const (
	probeTimeout  = 2 // part of the interval after which others are asked to ping
	gossipEvery   = 100 * time.Millisecond
	gossipTo      = 3
	suspicionMult = 2
	pushPullEvery = 75 // probe intervals between exchanges of the whole list (longer beyond 32 members)
	deadKept      = 30 * time.Second
	streamTimeout = 5 * time.Second
	hearWithin    = 6  // probe intervals without a word from anybody: it is cut off
	probedWithin  = 10 // probe intervals without a probe by anybody: the others do not know it
	packetBytes   = datagram.MaxSize - 1 - crcHead
	goodbyeWait   = 500 * time.Millisecond

	verifyPings = 4  // to a member that is said to be dead, over its quiet period, until it answers
	verifyMost  = 16 // members verified at a time

	rejoinEvery  = 500 * time.Millisecond
	rejoinPings  = 4                // addresses asked at a time
	rejoinLeast  = rejoinEvery      // between two asks of one address,
	rejoinMost   = 4 * time.Second  // doubled up to this, for one that was a member,
	rejoinSeeds  = 16 * time.Second // or to this for others: they may have no view
	rejoinLost   = 2 * time.Second  // from a loss to the first ask
	rejoinNews   = 5 * time.Second  // after a loss, one that others say lives is asked soon
	rejoinInVain = time.Minute      // after a join of an address that is no member's: an alias, perhaps one's own
	lostKept     = time.Hour        // a lost member is asked for so long
)

// Options of a View.
type Options struct {
	Self                Member
	Seeds               []netip.AddrPort // others that may be there, perhaps oneself among them
	Snapshot            Snapshot         // what an earlier process knew; zero for nothing
	StabilizationPeriod time.Duration    // that a change must last, and between views
	ProbeInterval       time.Duration    // interval of the failure detector's probes
	MaxMembers          int              // members known at once, the dead included
	// OnChange is told of each settled view and of being cut off, one at a time. It must not wait for the View.
	OnChange func(StableView)
	Logger   *slog.Logger

	staysApart bool // wrong on purpose, for tests: it never looks for who is lost
}

// Snapshot is what outlives a process: the last settled view.
type Snapshot struct {
	Epoch   uint64           `json:"epoch"`
	Members []SnapshotMember `json:"members"`
}

// SnapshotMember is a member's name and address.
type SnapshotMember struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"addr"`
}

// StableView is a view that all that depends on the fleet may use.
type StableView struct {
	Epoch     uint64    // of this sidecar's; moves only when the set of names does
	Digest    uint64    // the same at two sidecars with the same names
	Names     []string  // sorted, the own among them
	ChangedAt time.Time // when the set last changed
	Isolated  bool      // it hears almost nobody, and this is what it believed before
}

// State of a member.
type State string

// The states.
const (
	StateAlive  State = "alive" // or suspected, and not given up
	StateFailed State = "failed"
	StateLeft   State = "left" // said goodbye
)

// MemberStatus is a member and what is known of it.
type MemberStatus struct {
	Member
	State       State
	StateSince  time.Time // when it came into this state here
	LastContact time.Time // when a datagram of its address last came; zero for never
}

// Agent is one sidecar's list of the fleet.
type Agent struct {
	o     Options
	way   *transport
	list  *memberlist.Memberlist
	wake  chan struct{}
	stop  chan struct{}
	ended chan struct{}

	settled atomic.Pointer[StableView]
	mu      sync.Mutex
	members map[string]*MemberStatus
	heard   map[netip.AddrPort]heard // of addresses that are members'
	words   map[string]word          // what members were last said to be
	heardAt time.Time                // when anybody of the view's was last heard
	probed  time.Time                // when anybody last probed this sidecar by its name
	asked   map[netip.AddrPort]*ask

	verifying chan struct{} // a place each
	pending   sync.WaitGroup
	closing   bool // nothing more is to become pending

	conflicts, full, improper atomic.Uint64
}

// heard is when an address was last heard at all, and when it last answered.
type heard struct{ any, ack time.Time }

// word is the latest incarnation told of a member, and whether it said goodbye in it.
type word struct {
	incarnation uint32
	goodbye     bool
}

// ask is the next time to ask an address, and how long to wait after it.
type ask struct {
	at   time.Time
	wait time.Duration
}

// Open begins a view over l, whose channels of the view it takes. It is found by others, and finds them, from then on.
func Open(l *datagram.Transport, o Options) (*Agent, error) {
	if err := o.Self.Validate(); err != nil {
		return nil, err
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.OnChange == nil {
		o.OnChange = func(StableView) {}
	}
	now := time.Now()
	var kept []string
	o.Snapshot.Members = slices.DeleteFunc(slices.Clone(o.Snapshot.Members), func(m SnapshotMember) bool {
		err := checkText(m.Name, 1, MaxNameLength)
		if err != nil {
			o.Logger.Warn("view: a kept member is not used", "name", m.Name, "error", err)
		} else {
			kept = append(kept, m.Name)
		}
		return err != nil
	})
	v := &Agent{o: o, wake: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{}),
		members: map[string]*MemberStatus{}, heard: map[netip.AddrPort]heard{}, words: map[string]word{}, heardAt: now, probed: now, asked: map[netip.AddrPort]*ask{},
		verifying: make(chan struct{}, verifyMost)}
	s := newSettler(o.Self.Name, o.StabilizationPeriod, kept, o.Snapshot.Epoch, len(v.seeds(nil)) == 0, now)
	v.publish(s)
	v.way = newTransport(l, o.Self.Address, o.MaxMembers, v.said, v.hear, v.refused)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger = o.Self.Name, v.way, stdlog.New(logLines{o.Logger}, "", 0)
	c.AdvertisePort, c.BindPort = int(o.Self.Address.Port()), int(o.Self.Address.Port())
	c.UDPBufferSize, c.EnableCompression, c.DisableTcpPings = packetBytes, false, true
	c.ProbeInterval, c.ProbeTimeout = o.ProbeInterval, o.ProbeInterval/probeTimeout
	c.SuspicionMult = suspicionMult
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipEvery, gossipTo, deadKept
	c.PushPullInterval, c.TCPTimeout = pushPullEvery*o.ProbeInterval, streamTimeout
	c.DeadNodeReclaimTime = 1 // a dead member may come back at another address at once
	c.Events, c.Alive, c.Conflict, c.Delegate = events{v}, events{v}, events{v}, events{v}
	var err error
	if v.list, err = memberlist.Create(c); err != nil {
		v.way.Shutdown()
		return nil, fmt.Errorf("view: %w", err)
	}
	go v.run(s)
	return v, nil
}

// Close ends the view: with a goodbye where the sidecar goes, without one where another process of it takes over.
func (v *Agent) Close(goodbye bool) {
	v.mu.Lock()
	v.closing = true
	v.mu.Unlock()
	close(v.stop)
	<-v.ended
	v.pending.Wait()
	if goodbye {
		if err := v.list.Leave(goodbyeWait); err != nil {
			v.o.Logger.Debug("view: goodbye", "error", err)
		}
	}
	v.list.Shutdown()
}

// StableView is the last settled view.
func (v *Agent) StableView() StableView { return *v.settled.Load() }

// Members lists all that is known of members, by name: the living and, for a while, the others.
func (v *Agent) Members() []MemberStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]MemberStatus, 0, len(v.members))
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		k := *v.members[name]
		k.LastContact = v.heard[k.Address].any
		list = append(list, k)
	}
	return list
}

// Snapshot is what outlives this process: the settled view, with the addresses known of it.
func (v *Agent) Snapshot() Snapshot {
	s := v.StableView()
	k := Snapshot{Epoch: s.Epoch}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range s.Names {
		m := SnapshotMember{Name: name}
		if known := v.members[name]; known != nil {
			m.Address = known.Address
		} else if i := slices.IndexFunc(v.o.Snapshot.Members, func(o SnapshotMember) bool { return o.Name == name }); i >= 0 {
			m.Address = v.o.Snapshot.Members[i].Address
		}
		k.Members = append(k.Members, m)
	}
	return k
}

// Counters counts what operators should look into: members of one name at two
// addresses, members refused for want of room, messages that cannot be a
// member's, packets dropped as too many came at once.
func (v *Agent) Counters() (conflicts, full, improper, dropped uint64) {
	return v.conflicts.Load(), v.full.Load(), v.improper.Load(), v.way.dropped.Load()
}

// run steps the settler and looks for lost members, until the view is closed.
func (v *Agent) run(s *settler) {
	defer close(v.ended)
	step := time.NewTimer(0)
	rejoin := time.NewTimer(0)
	defer step.Stop()
	defer rejoin.Stop()
	joining := make(chan struct{}, 1) // one round of asking at a time

	for {
		select {
		case <-v.stop:
			return
		case <-v.wake:
		case <-step.C:
		case <-rejoin.C:
			if v.o.staysApart {
				continue
			}
			select {
			case joining <- struct{}{}:
				v.pending.Add(1)
				go func() {
					defer v.pending.Done()
					v.rejoin()
					<-joining
				}()
			default:
			}
			rejoin.Reset(rejoinEvery/2 + rand.N(rejoinEvery))
			continue
		}
		step.Reset(v.step(s))
	}
}

func (v *Agent) step(s *settler) time.Duration {
	now := time.Now()
	v.mu.Lock()
	living, left := map[string]bool{}, map[string]bool{}
	for name, k := range v.members {
		left[name] = k.State == StateLeft
		if k.State == StateAlive || v.answers(k) {
			living[name] = true
		} else if now.Sub(k.StateSince) > lostKept {
			delete(v.members, name)
			delete(v.heard, k.Address)
		}
	}
	living[v.o.Self.Name] = true

	hears := now.Sub(v.heardAt) < hearWithin*v.o.ProbeInterval
	v.mu.Unlock()
	changed, again := s.step(now, living, func(name string) bool { return left[name] }, hears)
	if changed {
		v.publish(s)
		settled := v.StableView()
		v.o.Logger.Info("view", "epoch", settled.Epoch, "members", len(settled.Names), "digest", fmt.Sprintf("%016x", settled.Digest), "cut_off", settled.Isolated)
		v.o.OnChange(settled)
	}
	return max(again, time.Millisecond)
}

func (v *Agent) publish(s *settler) {
	names := s.sorted()
	v.settled.Store(&StableView{Epoch: s.epoch, Digest: Digest(names), Names: names, ChangedAt: s.since, Isolated: s.cutOff})
}

// said takes what a message says of a member, before memberlist does.
func (v *Agent) said(name string, incarnation uint32, goodbye bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w, known := v.words[name]
	if !known && len(v.words) >= 2*v.o.MaxMembers {
		clear(v.words)
	}
	if incarnation >= w.incarnation {
		v.words[name] = word{incarnation, goodbye}
	}
}

// answers tells whether a member that was said to be dead has answered since, and so lives: it will refute what is
// said of it. It holds the view's lock.
func (v *Agent) answers(k *MemberStatus) bool {
	if k.State != StateFailed || !v.heard[k.Address].ack.After(k.StateSince) {
		return false
	}
	if v.aliveAt(k.Address) { // another sidecar has its address
		return false
	}
	return time.Since(v.heard[k.Address].ack) < v.o.StabilizationPeriod+2*rejoinMost
}

// verify asks a member that was said to be dead itself, before the settled view goes by it: on a bad network
// its refutation may be late.
func (v *Agent) verify(m Member) {
	defer v.pending.Done()
	select {
	case v.verifying <- struct{}{}:
		defer func() { <-v.verifying }()
	default:
		return
	}
	for range verifyPings {
		v.mu.Lock()
		k := v.members[m.Name]
		done := k == nil || k.State != StateFailed || v.answers(k)
		v.mu.Unlock()
		if done {
			return
		}
		v.pending.Add(1)
		go func() {
			defer v.pending.Done()
			v.list.Ping(m.Name, net.UDPAddrFromAddrPort(m.Address)) // its answer is heard, also a late one
		}()
		select {
		case <-time.After(v.o.StabilizationPeriod / (verifyPings + 1)):
		case <-v.stop:
			return
		}
	}
}

// hear notes that a datagram of the view came from an address, and what was in it.
func (v *Agent) hear(from netip.AddrPort, what contents) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if what.probe {
		v.probed = now
	}
	if h, ok := v.heard[from]; ok {
		if h.any = now; what.ack {
			h.ack = now
		}
		v.heard[from], v.heardAt = h, now
	}
}

// refused counts what cannot be a member's message, and logs the 1st, 2nd, 4th ...
func (v *Agent) refused(from net.Addr, err error) {
	if n := v.improper.Add(1); n&(n-1) == 0 {
		v.o.Logger.Warn("view: message refused", "from", from, "error", err, "refused", n)
	}
}

// seeds lists where others may be that are none of the living, each address once, oneself left out.
func (v *Agent) seeds(living map[netip.AddrPort]bool) []netip.AddrPort {
	var all []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a.IsValid() && a != v.o.Self.Address && !living[a] && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	for _, a := range v.o.Seeds {
		add(a)
	}
	for _, m := range v.o.Snapshot.Members {
		add(m.Address)
	}
	for _, k := range v.members {
		if k.State == StateFailed {
			add(k.Address)
		}
	}
	return all
}

// rejoin asks a few addresses at which others may be, and joins those that
// answer: after a start, a partition or a pause nobody else would.
func (v *Agent) rejoin() {
	now := time.Now()
	v.mu.Lock()
	living, were := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, k := range v.members {
		if k.State == StateAlive {
			living[k.Address] = true
		}
		were[k.Address] = k.State == StateFailed
	}
	var ready []netip.AddrPort
	seeds := v.seeds(living)
	for _, k := range v.members {
		if k.State == StateFailed && v.asked[k.Address] == nil { // gossip to the dead and verify come first
			v.asked[k.Address] = &ask{at: k.StateSince.Add(rejoinLost + rand.N(rejoinMost)), wait: rejoinLeast}
		}
	}
	for _, a := range seeds {
		if v.asked[a] == nil || !v.asked[a].at.After(now) {
			ready = append(ready, a)
		}
	}
	for a := range v.asked {
		if !slices.Contains(seeds, a) { // it lives, or is forgotten
			delete(v.asked, a)
		}
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	ready = ready[:min(len(ready), rejoinPings)]
	unknown := netip.AddrPort{} // a member to tell of oneself: back at another address before its death was known, nobody probes it
	if now.Sub(v.probed) > probedWithin*v.o.ProbeInterval {
		v.probed = now // else it would ask at each turn
		for a := range living {
			if a != v.o.Self.Address {
				unknown = a
				break
			}
		}
	}
	for _, a := range ready {
		k := v.asked[a]
		if k == nil {
			k = &ask{wait: rejoinLeast}
			v.asked[a] = k
		}
		k.at = now.Add(k.wait/2 + rand.N(k.wait))
		most := rejoinSeeds
		if were[a] {
			most = rejoinMost
		}
		k.wait = min(2*k.wait, most)
	}
	v.mu.Unlock()
	if unknown.IsValid() {
		v.list.Join([]string{unknown.String()})
	}
	answered := make(chan netip.AddrPort, len(ready))
	for _, a := range ready {
		go func() {
			if !v.ping(a) {
				a = netip.AddrPort{}
			}
			answered <- a
		}()
	}
	for range ready {
		a := <-answered
		v.mu.Lock()
		joined := v.aliveAt(a)
		v.mu.Unlock()
		if !a.IsValid() || joined {
			continue
		}
		if _, err := v.list.Join([]string{a.String()}); err != nil {
			v.o.Logger.Debug("view: join", "address", a, "error", err)
			continue
		}
		v.mu.Lock()
		if k := v.asked[a]; k != nil && !v.aliveAt(a) {
			k.at = now.Add(rejoinInVain/2 + rand.N(rejoinInVain))
		}
		v.mu.Unlock()
	}
}

// ping asks whoever is at an address, and tells whether an answer came, be it a little late.
func (v *Agent) ping(a netip.AddrPort) bool {
	asked := time.Now()
	if _, err := v.list.Ping("", net.UDPAddrFromAddrPort(a)); err == nil {
		return true
	}
	select {
	case <-time.After(v.o.ProbeInterval):
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.heard[a].ack.After(asked)
}

// aliveAt tells whether a living member is at an address. It holds the view's lock.
func (v *Agent) aliveAt(a netip.AddrPort) bool {
	for _, k := range v.members {
		if k.State == StateAlive && k.Address == a {
			return true
		}
	}
	return false
}

// events takes what memberlist tells and asks.
type events struct{ v *Agent }

// NotifyJoin takes a member that came.
func (e events) NotifyJoin(n *memberlist.Node) { e.become(n, StateAlive) }

// NotifyUpdate takes a member that tells otherwise of itself.
func (e events) NotifyUpdate(n *memberlist.Node) { e.become(n, StateAlive) }

// NotifyLeave takes a member that went.
func (e events) NotifyLeave(n *memberlist.Node) { e.become(n, StateFailed) }

func (e events) become(n *memberlist.Node, state State) {
	m, err := readMember(n.Name, n.Addr, n.Port, n.Meta)
	if err != nil { // memberlist was given nothing of the kind
		e.v.o.Logger.Error("view: member", "name", n.Name, "error", err)
		return
	}
	e.v.mu.Lock()
	k := e.v.members[m.Name]
	if k == nil {
		k = &MemberStatus{}
		e.v.members[m.Name] = k
	} else if k.Address != m.Address {
		delete(e.v.heard, k.Address)
	}
	if state == StateFailed && e.v.words[m.Name].goodbye {
		state = StateLeft
	}
	k.Member = m
	if k.State != state {
		k.State, k.StateSince = state, time.Now()
		if state == StateFailed && !e.v.closing {
			e.v.pending.Add(1)
			go e.v.verify(m)
		}
	}
	if m.Name == e.v.o.Self.Name {
	} else if _, ok := e.v.heard[m.Address]; !ok {
		e.v.heard[m.Address] = heard{}
	}
	e.v.mu.Unlock()
	select {
	case e.v.wake <- struct{}{}:
	default:
	}
}

var errFull = errors.New("more members than fleet.members")

// NotifyAlive refuses a member beyond the bound.
func (e events) NotifyAlive(n *memberlist.Node) error {
	e.v.mu.Lock()
	defer e.v.mu.Unlock()
	k := e.v.members[n.Name]
	if k != nil && k.State == StateFailed && time.Since(k.StateSince) > rejoinNews {
		// Somebody thinks that it lives. If it does and this is no news to memberlist, it must hear that it is
		// thought dead here, to say otherwise.
		if soon := time.Now().Add(rand.N(rejoinEvery)); e.v.asked[k.Address] != nil && e.v.asked[k.Address].at.After(soon) {
			e.v.asked[k.Address].at = soon
		}
	}
	if k == nil && len(e.v.members) >= e.v.o.MaxMembers && n.Name != e.v.o.Self.Name {
		if !e.forgetOne() {
			if c := e.v.full.Add(1); c&(c-1) == 0 {
				e.v.o.Logger.Warn("view: member refused", "name", n.Name, "error", errFull, "refused", c)
			}
			return errFull
		}
	}
	return nil
}

// forgetOne forgets the member that is gone the longest, if there is one. It holds the view's lock.
func (e events) forgetOne() bool {
	var oldest *MemberStatus
	for _, k := range e.v.members {
		if k.State != StateAlive && (oldest == nil || k.StateSince.Before(oldest.StateSince)) {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	delete(e.v.members, oldest.Name)
	delete(e.v.heard, oldest.Address)
	return true
}

// NotifyConflict counts two members of one name: the one that was there first stays.
func (e events) NotifyConflict(existing, other *memberlist.Node) {
	if n := e.v.conflicts.Add(1); n&(n-1) == 0 {
		e.v.o.Logger.Warn("view: two members of one name", "name", existing.Name, "at", existing.Address(), "other", other.Address(), "times", n)
	}
}

// NodeMeta is what this sidecar tells of itself.
func (e events) NodeMeta(int) []byte { return e.v.o.Self.meta() }

// NotifyMsg, GetBroadcasts, LocalState and MergeRemoteState are of no use here.
func (e events) NotifyMsg([]byte)                  {}
func (e events) GetBroadcasts(int, int) [][]byte   { return nil }
func (e events) LocalState(bool) []byte            { return nil }
func (e events) MergeRemoteState(_ []byte, _ bool) {}

// logLines passes memberlist's lines on, as its levels say; what it calls information is debugging here.
type logLines struct{ log *slog.Logger }

func (l logLines) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.HasPrefix(text, "[ERR]") {
		l.log.Warn(text)
	} else {
		l.log.Debug(text)
	}
	return len(line), nil
}
