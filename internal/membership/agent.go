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
	packetBytes   = datagram.DatagramMost - 1 - crcHead
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
	Self  Member
	Seeds []netip.AddrPort // others that may be there, perhaps oneself among them
	Kept  Kept             // what an earlier process knew; zero for nothing
	Quiet time.Duration    // that a change must last, and between views
	Probe time.Duration    // interval of the failure detector's probes
	Most  int              // members known at once, the dead included
	// Changed is told of each settled view and of being cut off, one at a time. It must not wait for the View.
	Changed func(Settled)
	Log     *slog.Logger

	staysApart bool // wrong on purpose, for tests: it never looks for who is lost
}

// Kept is what outlives a process: the last settled view.
type Kept struct {
	Epoch   uint64       `json:"epoch"`
	Members []KeptMember `json:"members"`
}

// KeptMember is a member's name and address.
type KeptMember struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
}

// Settled is a view that all that depends on the fleet may use.
type Settled struct {
	Epoch  uint64    // of this sidecar's; moves only when the set of names does
	Digest uint64    // the same at two sidecars with the same names
	Names  []string  // sorted, the own among them
	Since  time.Time // when the set last changed
	CutOff bool      // it hears almost nobody, and this is what it believed before
}

// State of a member.
type State string

// The states.
const (
	Alive  State = "alive" // or suspected, and not given up
	Failed State = "failed"
	Left   State = "left" // said goodbye
)

// Known is a member and what is known of it.
type Known struct {
	Member
	State   State
	Changed time.Time // when it came into this state here
	Heard   time.Time // when a datagram of its address last came; zero for never
}

// View is one sidecar's list of the fleet.
type View struct {
	o     Options
	way   *transport
	list  *memberlist.Memberlist
	wake  chan struct{}
	stop  chan struct{}
	ended chan struct{}

	settled atomic.Pointer[Settled]
	mu      sync.Mutex
	members map[string]*Known
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
func Open(l *datagram.Link, o Options) (*View, error) {
	if err := o.Self.Validate(); err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Changed == nil {
		o.Changed = func(Settled) {}
	}
	now := time.Now()
	var kept []string
	o.Kept.Members = slices.DeleteFunc(slices.Clone(o.Kept.Members), func(m KeptMember) bool {
		err := checkText(m.Name, 1, NameMost)
		if err != nil {
			o.Log.Warn("view: a kept member is not used", "name", m.Name, "error", err)
		} else {
			kept = append(kept, m.Name)
		}
		return err != nil
	})
	v := &View{o: o, wake: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{}),
		members: map[string]*Known{}, heard: map[netip.AddrPort]heard{}, words: map[string]word{}, heardAt: now, probed: now, asked: map[netip.AddrPort]*ask{},
		verifying: make(chan struct{}, verifyMost)}
	s := newSettler(o.Self.Name, o.Quiet, kept, o.Kept.Epoch, len(v.seeds(nil)) == 0, now)
	v.publish(s)
	v.way = newTransport(l, o.Self.Addr, o.Most, v.said, v.hear, v.refused)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger = o.Self.Name, v.way, stdlog.New(logLines{o.Log}, "", 0)
	c.AdvertisePort, c.BindPort = int(o.Self.Addr.Port()), int(o.Self.Addr.Port())
	c.UDPBufferSize, c.EnableCompression, c.DisableTcpPings = packetBytes, false, true
	c.ProbeInterval, c.ProbeTimeout = o.Probe, o.Probe/probeTimeout
	c.SuspicionMult = suspicionMult
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipEvery, gossipTo, deadKept
	c.PushPullInterval, c.TCPTimeout = pushPullEvery*o.Probe, streamTimeout
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
func (v *View) Close(goodbye bool) {
	v.mu.Lock()
	v.closing = true
	v.mu.Unlock()
	close(v.stop)
	<-v.ended
	v.pending.Wait()
	if goodbye {
		if err := v.list.Leave(goodbyeWait); err != nil {
			v.o.Log.Debug("view: goodbye", "error", err)
		}
	}
	v.list.Shutdown()
}

// Settled is the last settled view.
func (v *View) Settled() Settled { return *v.settled.Load() }

// Members lists all that is known of members, by name: the living and, for a while, the others.
func (v *View) Members() []Known {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Known, 0, len(v.members))
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		k := *v.members[name]
		k.Heard = v.heard[k.Addr].any
		list = append(list, k)
	}
	return list
}

// Keep is what outlives this process: the settled view, with the addresses known of it.
func (v *View) Keep() Kept {
	s := v.Settled()
	k := Kept{Epoch: s.Epoch}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range s.Names {
		m := KeptMember{Name: name}
		if known := v.members[name]; known != nil {
			m.Addr = known.Addr
		} else if i := slices.IndexFunc(v.o.Kept.Members, func(o KeptMember) bool { return o.Name == name }); i >= 0 {
			m.Addr = v.o.Kept.Members[i].Addr
		}
		k.Members = append(k.Members, m)
	}
	return k
}

// Troubles counts what operators should look into: members of one name at two
// addresses, members refused for want of room, messages that cannot be a
// member's, packets dropped as too many came at once.
func (v *View) Troubles() (conflicts, full, improper, dropped uint64) {
	return v.conflicts.Load(), v.full.Load(), v.improper.Load(), v.way.dropped.Load()
}

// run steps the settler and looks for lost members, until the view is closed.
func (v *View) run(s *settler) {
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

func (v *View) step(s *settler) time.Duration {
	now := time.Now()
	v.mu.Lock()
	living, left := map[string]bool{}, map[string]bool{}
	for name, k := range v.members {
		left[name] = k.State == Left
		if k.State == Alive || v.answers(k) {
			living[name] = true
		} else if now.Sub(k.Changed) > lostKept {
			delete(v.members, name)
			delete(v.heard, k.Addr)
		}
	}
	living[v.o.Self.Name] = true

	hears := now.Sub(v.heardAt) < hearWithin*v.o.Probe
	v.mu.Unlock()
	changed, again := s.step(now, living, func(name string) bool { return left[name] }, hears)
	if changed {
		v.publish(s)
		settled := v.Settled()
		v.o.Log.Info("view", "epoch", settled.Epoch, "members", len(settled.Names), "digest", fmt.Sprintf("%016x", settled.Digest), "cut_off", settled.CutOff)
		v.o.Changed(settled)
	}
	return max(again, time.Millisecond)
}

func (v *View) publish(s *settler) {
	names := s.sorted()
	v.settled.Store(&Settled{Epoch: s.epoch, Digest: Digest(names), Names: names, Since: s.since, CutOff: s.cutOff})
}

// said takes what a message says of a member, before memberlist does.
func (v *View) said(name string, incarnation uint32, goodbye bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w, known := v.words[name]
	if !known && len(v.words) >= 2*v.o.Most {
		clear(v.words)
	}
	if incarnation >= w.incarnation {
		v.words[name] = word{incarnation, goodbye}
	}
}

// answers tells whether a member that was said to be dead has answered since, and so lives: it will refute what is
// said of it. It holds the view's lock.
func (v *View) answers(k *Known) bool {
	if k.State != Failed || !v.heard[k.Addr].ack.After(k.Changed) {
		return false
	}
	if v.aliveAt(k.Addr) { // another sidecar has its address
		return false
	}
	return time.Since(v.heard[k.Addr].ack) < v.o.Quiet+2*rejoinMost
}

// verify asks a member that was said to be dead itself, before the settled view goes by it: on a bad network
// its refutation may be late.
func (v *View) verify(m Member) {
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
		done := k == nil || k.State != Failed || v.answers(k)
		v.mu.Unlock()
		if done {
			return
		}
		v.pending.Add(1)
		go func() {
			defer v.pending.Done()
			v.list.Ping(m.Name, net.UDPAddrFromAddrPort(m.Addr)) // its answer is heard, also a late one
		}()
		select {
		case <-time.After(v.o.Quiet / (verifyPings + 1)):
		case <-v.stop:
			return
		}
	}
}

// hear notes that a datagram of the view came from an address, and what was in it.
func (v *View) hear(from netip.AddrPort, what contents) {
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
func (v *View) refused(from net.Addr, err error) {
	if n := v.improper.Add(1); n&(n-1) == 0 {
		v.o.Log.Warn("view: message refused", "from", from, "error", err, "refused", n)
	}
}

// seeds lists where others may be that are none of the living, each address once, oneself left out.
func (v *View) seeds(living map[netip.AddrPort]bool) []netip.AddrPort {
	var all []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a.IsValid() && a != v.o.Self.Addr && !living[a] && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	for _, a := range v.o.Seeds {
		add(a)
	}
	for _, m := range v.o.Kept.Members {
		add(m.Addr)
	}
	for _, k := range v.members {
		if k.State == Failed {
			add(k.Addr)
		}
	}
	return all
}

// rejoin asks a few addresses at which others may be, and joins those that
// answer: after a start, a partition or a pause nobody else would.
func (v *View) rejoin() {
	now := time.Now()
	v.mu.Lock()
	living, were := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, k := range v.members {
		if k.State == Alive {
			living[k.Addr] = true
		}
		were[k.Addr] = k.State == Failed
	}
	var ready []netip.AddrPort
	seeds := v.seeds(living)
	for _, k := range v.members {
		if k.State == Failed && v.asked[k.Addr] == nil { // gossip to the dead and verify come first
			v.asked[k.Addr] = &ask{at: k.Changed.Add(rejoinLost + rand.N(rejoinMost)), wait: rejoinLeast}
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
	if now.Sub(v.probed) > probedWithin*v.o.Probe {
		v.probed = now // else it would ask at each turn
		for a := range living {
			if a != v.o.Self.Addr {
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
			v.o.Log.Debug("view: join", "address", a, "error", err)
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
func (v *View) ping(a netip.AddrPort) bool {
	asked := time.Now()
	if _, err := v.list.Ping("", net.UDPAddrFromAddrPort(a)); err == nil {
		return true
	}
	select {
	case <-time.After(v.o.Probe):
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.heard[a].ack.After(asked)
}

// aliveAt tells whether a living member is at an address. It holds the view's lock.
func (v *View) aliveAt(a netip.AddrPort) bool {
	for _, k := range v.members {
		if k.State == Alive && k.Addr == a {
			return true
		}
	}
	return false
}

// events takes what memberlist tells and asks.
type events struct{ v *View }

// NotifyJoin takes a member that came.
func (e events) NotifyJoin(n *memberlist.Node) { e.become(n, Alive) }

// NotifyUpdate takes a member that tells otherwise of itself.
func (e events) NotifyUpdate(n *memberlist.Node) { e.become(n, Alive) }

// NotifyLeave takes a member that went.
func (e events) NotifyLeave(n *memberlist.Node) { e.become(n, Failed) }

func (e events) become(n *memberlist.Node, state State) {
	m, err := readMember(n.Name, n.Addr, n.Port, n.Meta)
	if err != nil { // memberlist was given nothing of the kind
		e.v.o.Log.Error("view: member", "name", n.Name, "error", err)
		return
	}
	e.v.mu.Lock()
	k := e.v.members[m.Name]
	if k == nil {
		k = &Known{}
		e.v.members[m.Name] = k
	} else if k.Addr != m.Addr {
		delete(e.v.heard, k.Addr)
	}
	if state == Failed && e.v.words[m.Name].goodbye {
		state = Left
	}
	k.Member = m
	if k.State != state {
		k.State, k.Changed = state, time.Now()
		if state == Failed && !e.v.closing {
			e.v.pending.Add(1)
			go e.v.verify(m)
		}
	}
	if m.Name == e.v.o.Self.Name {
	} else if _, ok := e.v.heard[m.Addr]; !ok {
		e.v.heard[m.Addr] = heard{}
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
	if k != nil && k.State == Failed && time.Since(k.Changed) > rejoinNews {
		// Somebody thinks that it lives. If it does and this is no news to memberlist, it must hear that it is
		// thought dead here, to say otherwise.
		if soon := time.Now().Add(rand.N(rejoinEvery)); e.v.asked[k.Addr] != nil && e.v.asked[k.Addr].at.After(soon) {
			e.v.asked[k.Addr].at = soon
		}
	}
	if k == nil && len(e.v.members) >= e.v.o.Most && n.Name != e.v.o.Self.Name {
		if !e.forgetOne() {
			if c := e.v.full.Add(1); c&(c-1) == 0 {
				e.v.o.Log.Warn("view: member refused", "name", n.Name, "error", errFull, "refused", c)
			}
			return errFull
		}
	}
	return nil
}

// forgetOne forgets the member that is gone the longest, if there is one. It holds the view's lock.
func (e events) forgetOne() bool {
	var oldest *Known
	for _, k := range e.v.members {
		if k.State != Alive && (oldest == nil || k.Changed.Before(oldest.Changed)) {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	delete(e.v.members, oldest.Name)
	delete(e.v.heard, oldest.Addr)
	return true
}

// NotifyConflict counts two members of one name: the one that was there first stays.
func (e events) NotifyConflict(existing, other *memberlist.Node) {
	if n := e.v.conflicts.Add(1); n&(n-1) == 0 {
		e.v.o.Log.Warn("view: two members of one name", "name", existing.Name, "at", existing.Address(), "other", other.Address(), "times", n)
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
