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
	probeTimeoutDivisor = 2 // part of the interval after which others are asked to ping
	gossipInterval      = 100 * time.Millisecond
	gossipNodes         = 3
	suspicionMultiplier = 2
	pushPullProbes      = 75 // probe intervals between exchanges of the whole list (longer beyond 32 members)
	gossipToDeadPeriod  = 30 * time.Second
	streamTimeout       = 5 * time.Second
	isolationProbes     = 6  // probe intervals without a word from anybody: it is cut off
	unprobedProbes      = 10 // probe intervals without a probe by anybody: the others do not know it
	maxPacketSize       = datagram.MaxSize - 1 - crcHeaderSize
	leaveTimeout        = 500 * time.Millisecond

	maxVerifyPings   = 4  // to a member that is said to be dead, over its quiet period, until it answers
	maxVerifications = 16 // members verified at a time

	rejoinInterval      = 500 * time.Millisecond
	maxRejoinPings      = 4                // addresses asked at a time
	minRejoinBackoff    = rejoinInterval   // between two asks of one address,
	maxMemberBackoff    = 4 * time.Second  // doubled up to this, for one that was a member,
	maxSeedBackoff      = 16 * time.Second // or to this for others: they may have no view
	lostMemberDelay     = 2 * time.Second  // from a loss to the first ask
	aliveReportDelay    = 5 * time.Second  // after a loss, one that others say lives is asked soon
	aliasBackoff        = time.Minute      // after a join of an address that is no member's: an alias, perhaps one's own
	lostMemberRetention = time.Hour        // a lost member is asked for so long
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

	rejoinDisabled bool // wrong on purpose, for tests: it never looks for who is lost
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
	options    Options
	transport  *transport
	memberlist *memberlist.Memberlist
	wakeup     chan struct{}
	stopping   chan struct{}
	stopped    chan struct{}

	stableView     atomic.Pointer[StableView]
	membersMu      sync.Mutex
	members        map[string]*MemberStatus
	contacts       map[netip.AddrPort]contact // of addresses that are members'
	reports        map[string]statusReport    // what members were last said to be
	lastContact    time.Time                  // when anybody of the view's was last heard
	lastProbed     time.Time                  // when anybody last probed this sidecar by its name
	rejoinAttempts map[netip.AddrPort]*rejoinAttempt

	verifySlots chan struct{} // a place each
	background  sync.WaitGroup
	closing     bool // nothing more is to become pending

	nameConflicts, rejectedMembers, rejectedMessages atomic.Uint64
}

// contact is when an address was last heard at all, and when it last answered.
type contact struct{ last, lastAck time.Time }

// statusReport is the latest incarnation told of a member, and whether it said goodbye in it.
type statusReport struct {
	incarnation uint32
	left        bool
}

// rejoinAttempt is the next time to ask an address, and how long to wait after it.
type rejoinAttempt struct {
	next    time.Time
	backoff time.Duration
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
		err := validateText(m.Name, 1, MaxNameLength)
		if err != nil {
			o.Logger.Warn("view: a kept member is not used", "name", m.Name, "error", err)
		} else {
			kept = append(kept, m.Name)
		}
		return err != nil
	})
	v := &Agent{options: o, wakeup: make(chan struct{}, 1), stopping: make(chan struct{}), stopped: make(chan struct{}),
		members: map[string]*MemberStatus{}, contacts: map[netip.AddrPort]contact{}, reports: map[string]statusReport{}, lastContact: now, lastProbed: now, rejoinAttempts: map[netip.AddrPort]*rejoinAttempt{},
		verifySlots: make(chan struct{}, maxVerifications)}
	s := newStabilizer(o.Self.Name, o.StabilizationPeriod, kept, o.Snapshot.Epoch, len(v.rejoinCandidates(nil)) == 0, now)
	v.publish(s)
	v.transport = newTransport(l, o.Self.Address, o.MaxMembers, v.recordReport, v.recordContact, v.countRejected)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger = o.Self.Name, v.transport, stdlog.New(logWriter{o.Logger}, "", 0)
	c.AdvertisePort, c.BindPort = int(o.Self.Address.Port()), int(o.Self.Address.Port())
	c.UDPBufferSize, c.EnableCompression, c.DisableTcpPings = maxPacketSize, false, true
	c.ProbeInterval, c.ProbeTimeout = o.ProbeInterval, o.ProbeInterval/probeTimeoutDivisor
	c.SuspicionMult = suspicionMultiplier
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipInterval, gossipNodes, gossipToDeadPeriod
	c.PushPullInterval, c.TCPTimeout = pushPullProbes*o.ProbeInterval, streamTimeout
	c.DeadNodeReclaimTime = 1 // a dead member may come back at another address at once
	c.Events, c.Alive, c.Conflict, c.Delegate = delegate{v}, delegate{v}, delegate{v}, delegate{v}
	var err error
	if v.memberlist, err = memberlist.Create(c); err != nil {
		v.transport.Shutdown()
		return nil, fmt.Errorf("view: %w", err)
	}
	go v.run(s)
	return v, nil
}

// Close ends the view: with a goodbye where the sidecar goes, without one where another process of it takes over.
func (v *Agent) Close(goodbye bool) {
	v.membersMu.Lock()
	v.closing = true
	v.membersMu.Unlock()
	close(v.stopping)
	<-v.stopped
	v.background.Wait()
	if goodbye {
		if err := v.memberlist.Leave(leaveTimeout); err != nil {
			v.options.Logger.Debug("view: goodbye", "error", err)
		}
	}
	v.memberlist.Shutdown()
}

// StableView is the last settled view.
func (v *Agent) StableView() StableView { return *v.stableView.Load() }

// Members lists all that is known of members, by name: the living and, for a while, the others.
func (v *Agent) Members() []MemberStatus {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	list := make([]MemberStatus, 0, len(v.members))
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		k := *v.members[name]
		k.LastContact = v.contacts[k.Address].last
		list = append(list, k)
	}
	return list
}

// Snapshot is what outlives this process: the settled view, with the addresses known of it.
func (v *Agent) Snapshot() Snapshot {
	s := v.StableView()
	k := Snapshot{Epoch: s.Epoch}
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	for _, name := range s.Names {
		m := SnapshotMember{Name: name}
		if known := v.members[name]; known != nil {
			m.Address = known.Address
		} else if i := slices.IndexFunc(v.options.Snapshot.Members, func(o SnapshotMember) bool { return o.Name == name }); i >= 0 {
			m.Address = v.options.Snapshot.Members[i].Address
		}
		k.Members = append(k.Members, m)
	}
	return k
}

// Counters counts what operators should look into: members of one name at two
// addresses, members refused for want of room, messages that cannot be a
// member's, packets dropped as too many came at once.
func (v *Agent) Counters() (conflicts, full, improper, dropped uint64) {
	return v.nameConflicts.Load(), v.rejectedMembers.Load(), v.rejectedMessages.Load(), v.transport.dropped.Load()
}

// run steps the settler and looks for lost members, until the view is closed.
func (v *Agent) run(s *stabilizer) {
	defer close(v.stopped)
	step := time.NewTimer(0)
	rejoin := time.NewTimer(0)
	defer step.Stop()
	defer rejoin.Stop()
	joining := make(chan struct{}, 1) // one round of asking at a time

	for {
		select {
		case <-v.stopping:
			return
		case <-v.wakeup:
		case <-step.C:
		case <-rejoin.C:
			if v.options.rejoinDisabled {
				continue
			}
			select {
			case joining <- struct{}{}:
				v.background.Add(1)
				go func() {
					defer v.background.Done()
					v.rejoin()
					<-joining
				}()
			default:
			}
			rejoin.Reset(rejoinInterval/2 + rand.N(rejoinInterval))
			continue
		}
		step.Reset(v.updateStableView(s))
	}
}

func (v *Agent) updateStableView(s *stabilizer) time.Duration {
	now := time.Now()
	v.membersMu.Lock()
	living, left := map[string]bool{}, map[string]bool{}
	for name, k := range v.members {
		left[name] = k.State == StateLeft
		if k.State == StateAlive || v.answeredSinceFailure(k) {
			living[name] = true
		} else if now.Sub(k.StateSince) > lostMemberRetention {
			delete(v.members, name)
			delete(v.contacts, k.Address)
		}
	}
	living[v.options.Self.Name] = true

	hears := now.Sub(v.lastContact) < isolationProbes*v.options.ProbeInterval
	v.membersMu.Unlock()
	changed, again := s.step(now, living, func(name string) bool { return left[name] }, hears)
	if changed {
		v.publish(s)
		settled := v.StableView()
		v.options.Logger.Info("view", "epoch", settled.Epoch, "members", len(settled.Names), "digest", fmt.Sprintf("%016x", settled.Digest), "cut_off", settled.Isolated)
		v.options.OnChange(settled)
	}
	return max(again, time.Millisecond)
}

func (v *Agent) publish(s *stabilizer) {
	names := s.sortedNames()
	v.stableView.Store(&StableView{Epoch: s.epoch, Digest: Digest(names), Names: names, ChangedAt: s.changedAt, Isolated: s.isolated})
}

// recordReport takes what a message says of a member, before memberlist does.
func (v *Agent) recordReport(name string, incarnation uint32, goodbye bool) {
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	w, known := v.reports[name]
	if !known && len(v.reports) >= 2*v.options.MaxMembers {
		clear(v.reports)
	}
	if incarnation >= w.incarnation {
		v.reports[name] = statusReport{incarnation, goodbye}
	}
}

// answeredSinceFailure tells whether a member that was said to be dead has answered since, and so lives: it will refute what is
// said of it. It holds the view's lock.
func (v *Agent) answeredSinceFailure(k *MemberStatus) bool {
	if k.State != StateFailed || !v.contacts[k.Address].lastAck.After(k.StateSince) {
		return false
	}
	if v.aliveAt(k.Address) { // another sidecar has its address
		return false
	}
	return time.Since(v.contacts[k.Address].lastAck) < v.options.StabilizationPeriod+2*maxMemberBackoff
}

// verifyFailure asks a member that was said to be dead itself, before the settled view goes by it: on a bad network
// its refutation may be late.
func (v *Agent) verifyFailure(m Member) {
	defer v.background.Done()
	select {
	case v.verifySlots <- struct{}{}:
		defer func() { <-v.verifySlots }()
	default:
		return
	}
	for range maxVerifyPings {
		v.membersMu.Lock()
		k := v.members[m.Name]
		done := k == nil || k.State != StateFailed || v.answeredSinceFailure(k)
		v.membersMu.Unlock()
		if done {
			return
		}
		v.background.Add(1)
		go func() {
			defer v.background.Done()
			v.memberlist.Ping(m.Name, net.UDPAddrFromAddrPort(m.Address)) // its answer is heard, also a late one
		}()
		select {
		case <-time.After(v.options.StabilizationPeriod / (maxVerifyPings + 1)):
		case <-v.stopping:
			return
		}
	}
}

// recordContact notes that a datagram of the view came from an address, and what was in it.
func (v *Agent) recordContact(from netip.AddrPort, what packetContents) {
	now := time.Now()
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	if what.hasProbe {
		v.lastProbed = now
	}
	if h, ok := v.contacts[from]; ok {
		if h.last = now; what.hasAck {
			h.lastAck = now
		}
		v.contacts[from], v.lastContact = h, now
	}
}

// countRejected counts what cannot be a member's message, and logs the 1st, 2nd, 4th ...
func (v *Agent) countRejected(from net.Addr, err error) {
	if n := v.rejectedMessages.Add(1); n&(n-1) == 0 {
		v.options.Logger.Warn("view: message refused", "from", from, "error", err, "refused", n)
	}
}

// rejoinCandidates lists where others may be that are none of the living, each address once, oneself left out.
func (v *Agent) rejoinCandidates(living map[netip.AddrPort]bool) []netip.AddrPort {
	var all []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a.IsValid() && a != v.options.Self.Address && !living[a] && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	for _, a := range v.options.Seeds {
		add(a)
	}
	for _, m := range v.options.Snapshot.Members {
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
	v.membersMu.Lock()
	living, were := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, k := range v.members {
		if k.State == StateAlive {
			living[k.Address] = true
		}
		were[k.Address] = k.State == StateFailed
	}
	var ready []netip.AddrPort
	seeds := v.rejoinCandidates(living)
	for _, k := range v.members {
		if k.State == StateFailed && v.rejoinAttempts[k.Address] == nil { // gossip to the dead and verify come first
			v.rejoinAttempts[k.Address] = &rejoinAttempt{next: k.StateSince.Add(lostMemberDelay + rand.N(maxMemberBackoff)), backoff: minRejoinBackoff}
		}
	}
	for _, a := range seeds {
		if v.rejoinAttempts[a] == nil || !v.rejoinAttempts[a].next.After(now) {
			ready = append(ready, a)
		}
	}
	for a := range v.rejoinAttempts {
		if !slices.Contains(seeds, a) { // it lives, or is forgotten
			delete(v.rejoinAttempts, a)
		}
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	ready = ready[:min(len(ready), maxRejoinPings)]
	unknown := netip.AddrPort{} // a member to tell of oneself: back at another address before its death was known, nobody probes it
	if now.Sub(v.lastProbed) > unprobedProbes*v.options.ProbeInterval {
		v.lastProbed = now // else it would ask at each turn
		for a := range living {
			if a != v.options.Self.Address {
				unknown = a
				break
			}
		}
	}
	for _, a := range ready {
		k := v.rejoinAttempts[a]
		if k == nil {
			k = &rejoinAttempt{backoff: minRejoinBackoff}
			v.rejoinAttempts[a] = k
		}
		k.next = now.Add(k.backoff/2 + rand.N(k.backoff))
		most := maxSeedBackoff
		if were[a] {
			most = maxMemberBackoff
		}
		k.backoff = min(2*k.backoff, most)
	}
	v.membersMu.Unlock()
	if unknown.IsValid() {
		v.memberlist.Join([]string{unknown.String()})
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
		v.membersMu.Lock()
		joined := v.aliveAt(a)
		v.membersMu.Unlock()
		if !a.IsValid() || joined {
			continue
		}
		if _, err := v.memberlist.Join([]string{a.String()}); err != nil {
			v.options.Logger.Debug("view: join", "address", a, "error", err)
			continue
		}
		v.membersMu.Lock()
		if k := v.rejoinAttempts[a]; k != nil && !v.aliveAt(a) {
			k.next = now.Add(aliasBackoff/2 + rand.N(aliasBackoff))
		}
		v.membersMu.Unlock()
	}
}

// ping asks whoever is at an address, and tells whether an answer came, be it a little late.
func (v *Agent) ping(a netip.AddrPort) bool {
	asked := time.Now()
	if _, err := v.memberlist.Ping("", net.UDPAddrFromAddrPort(a)); err == nil {
		return true
	}
	select {
	case <-time.After(v.options.ProbeInterval):
	case <-v.stopping:
	}
	v.membersMu.Lock()
	defer v.membersMu.Unlock()
	return v.contacts[a].lastAck.After(asked)
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

// delegate takes what memberlist tells and asks.
type delegate struct{ agent *Agent }

// NotifyJoin takes a member that came.
func (e delegate) NotifyJoin(n *memberlist.Node) { e.setState(n, StateAlive) }

// NotifyUpdate takes a member that tells otherwise of itself.
func (e delegate) NotifyUpdate(n *memberlist.Node) { e.setState(n, StateAlive) }

// NotifyLeave takes a member that went.
func (e delegate) NotifyLeave(n *memberlist.Node) { e.setState(n, StateFailed) }

func (e delegate) setState(n *memberlist.Node, state State) {
	m, err := decodeMember(n.Name, n.Addr, n.Port, n.Meta)
	if err != nil { // memberlist was given nothing of the kind
		e.agent.options.Logger.Error("view: member", "name", n.Name, "error", err)
		return
	}
	e.agent.membersMu.Lock()
	k := e.agent.members[m.Name]
	if k == nil {
		k = &MemberStatus{}
		e.agent.members[m.Name] = k
	} else if k.Address != m.Address {
		delete(e.agent.contacts, k.Address)
	}
	if state == StateFailed && e.agent.reports[m.Name].left {
		state = StateLeft
	}
	k.Member = m
	if k.State != state {
		k.State, k.StateSince = state, time.Now()
		if state == StateFailed && !e.agent.closing {
			e.agent.background.Add(1)
			go e.agent.verifyFailure(m)
		}
	}
	if m.Name == e.agent.options.Self.Name {
	} else if _, ok := e.agent.contacts[m.Address]; !ok {
		e.agent.contacts[m.Address] = contact{}
	}
	e.agent.membersMu.Unlock()
	select {
	case e.agent.wakeup <- struct{}{}:
	default:
	}
}

var errTooManyMembers = errors.New("more members than fleet.members")

// NotifyAlive refuses a member beyond the bound.
func (e delegate) NotifyAlive(n *memberlist.Node) error {
	e.agent.membersMu.Lock()
	defer e.agent.membersMu.Unlock()
	k := e.agent.members[n.Name]
	if k != nil && k.State == StateFailed && time.Since(k.StateSince) > aliveReportDelay {
		// Somebody thinks that it lives. If it does and this is no news to memberlist, it must hear that it is
		// thought dead here, to say otherwise.
		if soon := time.Now().Add(rand.N(rejoinInterval)); e.agent.rejoinAttempts[k.Address] != nil && e.agent.rejoinAttempts[k.Address].next.After(soon) {
			e.agent.rejoinAttempts[k.Address].next = soon
		}
	}
	if k == nil && len(e.agent.members) >= e.agent.options.MaxMembers && n.Name != e.agent.options.Self.Name {
		if !e.evictOldest() {
			if c := e.agent.rejectedMembers.Add(1); c&(c-1) == 0 {
				e.agent.options.Logger.Warn("view: member refused", "name", n.Name, "error", errTooManyMembers, "refused", c)
			}
			return errTooManyMembers
		}
	}
	return nil
}

// evictOldest forgets the member that is gone the longest, if there is one. It holds the view's lock.
func (e delegate) evictOldest() bool {
	var oldest *MemberStatus
	for _, k := range e.agent.members {
		if k.State != StateAlive && (oldest == nil || k.StateSince.Before(oldest.StateSince)) {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	delete(e.agent.members, oldest.Name)
	delete(e.agent.contacts, oldest.Address)
	return true
}

// NotifyConflict counts two members of one name: the one that was there first stays.
func (e delegate) NotifyConflict(existing, other *memberlist.Node) {
	if n := e.agent.nameConflicts.Add(1); n&(n-1) == 0 {
		e.agent.options.Logger.Warn("view: two members of one name", "name", existing.Name, "at", existing.Address(), "other", other.Address(), "times", n)
	}
}

// NodeMeta is what this sidecar tells of itself.
func (e delegate) NodeMeta(int) []byte { return e.agent.options.Self.encodeMeta() }

// NotifyMsg, GetBroadcasts, LocalState and MergeRemoteState are of no use here.
func (e delegate) NotifyMsg([]byte)                  {}
func (e delegate) GetBroadcasts(int, int) [][]byte   { return nil }
func (e delegate) LocalState(bool) []byte            { return nil }
func (e delegate) MergeRemoteState(_ []byte, _ bool) {}

// logWriter passes memberlist's lines on, as its levels say; what it calls information is debugging here.
type logWriter struct{ logger *slog.Logger }

func (l logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.HasPrefix(text, "[ERR]") {
		l.logger.Warn(text)
	} else {
		l.logger.Debug(text)
	}
	return len(line), nil
}
