package membership

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	stdlog "log"

	"github.com/hashicorp/memberlist"

	"bramblestand/internal/datagram"
)

// Settings of the failure detector. A crash is known to all members after about
// one probe interval, the suspicion (suspicionMultiplier x log10(members) x
// interval) and a few rounds of gossip.
const (
	probeTimeoutDivisor = 2 // of the probe interval: then other members are asked to ping
	gossipInterval      = 100 * time.Millisecond
	gossipNodes         = 3 // members gossiped to per interval
	suspicionMultiplier = 2
	pushPullProbes      = 75               // probe intervals between exchanges of the full list (more beyond 32 members)
	gossipToDeadPeriod  = 30 * time.Second // after a death, so that a living member can refute it
	streamTimeout       = 5 * time.Second
	maxPacketSize       = datagram.MaxSize - 1 - crcHeaderSize
	leaveTimeout        = 500 * time.Millisecond

	isolationProbes = 6  // probe intervals without a datagram from any member: isolated
	unprobedProbes  = 10 // probe intervals without a probe by any member: the others do not know this sidecar

	lostMemberRetention = time.Hour // a failed or left member is remembered, and a failed one looked for, so long
)

// Options of an Agent.
type Options struct {
	Self                Member
	Seeds               []netip.AddrPort // where other sidecars may be; may contain the own address
	Snapshot            Snapshot         // of an earlier process; zero for none
	StabilizationPeriod time.Duration    // how long a change must last, and the least time between stable views
	ProbeInterval       time.Duration    // of the failure detector
	MaxMembers          int              // known at once, failed and left ones included
	// OnChange is called with each new stable view and each change of Isolated, by the agent's goroutine. It must not
	// wait for the Agent. nil for none.
	OnChange func(StableView)
	Logger   *slog.Logger // nil discards

	rejoinDisabled bool // for tests: lost members are never looked for
}

// StableView is a view of the fleet that settings and decisions may depend on.
type StableView struct {
	Epoch     uint64    // of this sidecar; changes exactly when the set of names does
	Digest    uint64    // the same at any two sidecars with the same names
	Names     []string  // of the members, sorted, the own name included
	ChangedAt time.Time // when the set of names last changed
	Isolated  bool      // this sidecar hears almost nobody; the view is what it last believed
}

// State is a member's state.
type State string

// The states of a member.
const (
	StateAlive  State = "alive" // or suspected, and not yet declared dead
	StateFailed State = "failed"
	StateLeft   State = "left" // gracefully
)

// MemberStatus is a member and what this sidecar knows of it.
type MemberStatus struct {
	Member
	State       State
	StateSince  time.Time // when it came into this state at this sidecar
	LastContact time.Time // when the last datagram came from its address; zero for never
}

// Counters count what an operator should look into. They start at 0 with the process.
type Counters struct {
	NameConflicts    uint64 // reports of a second member with the name of another
	RejectedMembers  uint64 // not added because of Options.MaxMembers
	RejectedMessages uint64 // packets and streams that no member can have sent
	DroppedPackets   uint64 // valid, but too many at once
}

// Agent takes part in the fleet's membership for one process. It is safe for concurrent use.
//
// One goroutine (run) owns the stabilizer. Short ones verify failures and look
// for lost members; Close waits for all of them. memberlist's goroutines call
// the agent's delegate and end in Close, too.
type Agent struct {
	options    Options
	transport  *transport
	memberlist *memberlist.Memberlist

	wakeup      chan struct{} // a member's state changed
	stopping    chan struct{} // closed by Close
	stopped     chan struct{} // closed at run's end
	background  sync.WaitGroup
	verifySlots chan struct{} // holds one token per running verification

	stableView atomic.Pointer[StableView]

	membersMu      sync.Mutex // guards the fields below
	members        map[string]*MemberStatus
	contacts       map[netip.AddrPort]contact // of the addresses of members
	reports        map[string]statusReport    // what members were last reported to be
	lastContact    time.Time                  // with any member
	lastProbed     time.Time                  // when any member last probed this sidecar by its name
	rejoinAttempts map[netip.AddrPort]*rejoinAttempt
	closing        bool // no goroutine is to be added to background

	nameConflicts, rejectedMembers, rejectedMessages atomic.Uint64
}

// contact is when datagrams last came from an address.
type contact struct {
	last    time.Time // of any kind
	lastAck time.Time // an answer to a ping
}

// statusReport is the latest incarnation that was reported of a member, and whether it left in it.
type statusReport struct {
	incarnation uint32
	left        bool
}

// Open starts an agent on t, whose packet and stream channels it takes. From
// then on it can be found by others and looks for them, until Close.
func Open(t *datagram.Transport, o Options) (*Agent, error) {
	if err := o.Self.Validate(); err != nil {
		return nil, err
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.OnChange == nil {
		o.OnChange = func(StableView) {}
	}
	o.Snapshot = o.Snapshot.withoutInvalid(o.Logger)
	now := time.Now()
	a := &Agent{
		options:        o,
		wakeup:         make(chan struct{}, 1),
		stopping:       make(chan struct{}),
		stopped:        make(chan struct{}),
		verifySlots:    make(chan struct{}, maxVerifications),
		members:        map[string]*MemberStatus{},
		contacts:       map[netip.AddrPort]contact{},
		reports:        map[string]statusReport{},
		lastContact:    now,
		lastProbed:     now,
		rejoinAttempts: map[netip.AddrPort]*rejoinAttempt{},
	}
	isAlone := len(a.rejoinCandidates(nil)) == 0
	s := newStabilizer(o.Self.Name, o.StabilizationPeriod, o.Snapshot.names(), o.Snapshot.Epoch, isAlone, now)
	a.publish(s)
	a.transport = newTransport(t, o.Self.Address, o.MaxMembers, a)
	list, err := memberlist.Create(a.memberlistConfig())
	if err != nil {
		a.transport.Shutdown()
		return nil, fmt.Errorf("start membership as %q at %v: %w", o.Self.Name, o.Self.Address, err)
	}
	a.memberlist = list
	go a.run(s)
	return a, nil
}

// memberlistConfig returns the library's settings.
func (a *Agent) memberlistConfig() *memberlist.Config {
	o := a.options
	c := memberlist.DefaultLANConfig()
	c.Name = o.Self.Name
	c.Transport = a.transport
	c.Logger = stdlog.New(logWriter{o.Logger}, "", 0)
	c.AdvertisePort, c.BindPort = int(o.Self.Address.Port()), int(o.Self.Address.Port())
	c.UDPBufferSize, c.EnableCompression, c.DisableTcpPings = maxPacketSize, false, true
	c.ProbeInterval, c.ProbeTimeout = o.ProbeInterval, o.ProbeInterval/probeTimeoutDivisor
	c.SuspicionMult = suspicionMultiplier
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipInterval, gossipNodes, gossipToDeadPeriod
	c.PushPullInterval, c.TCPTimeout = pushPullProbes*o.ProbeInterval, streamTimeout
	c.DeadNodeReclaimTime = 1 // ns: a dead member may come back at another address at once
	d := delegate{a}
	c.Events, c.Alive, c.Conflict, c.Delegate = d, d, d, d
	return c
}

// Close ends the agent: with a graceful leave where the sidecar ends, without
// one where another process goes on as the same member.
func (a *Agent) Close(leave bool) {
	a.membersMu.Lock()
	a.closing = true
	a.membersMu.Unlock()
	close(a.stopping)
	<-a.stopped
	a.background.Wait()
	if leave {
		if err := a.memberlist.Leave(leaveTimeout); err != nil {
			a.options.Logger.Debug("membership leave not confirmed", "error", err)
		}
	}
	a.memberlist.Shutdown()
}

// StableView returns the current stable view.
func (a *Agent) StableView() StableView { return *a.stableView.Load() }

// Members returns all members that are known, by name: the living and, for a while, the failed and left ones.
func (a *Agent) Members() []MemberStatus {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	list := make([]MemberStatus, 0, len(a.members))
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := *a.members[name]
		m.LastContact = a.contacts[m.Address].last
		list = append(list, m)
	}
	return list
}

// Counters returns the counters.
func (a *Agent) Counters() Counters {
	return Counters{
		NameConflicts:    a.nameConflicts.Load(),
		RejectedMembers:  a.rejectedMembers.Load(),
		RejectedMessages: a.rejectedMessages.Load(),
		DroppedPackets:   a.transport.droppedPackets.Load(),
	}
}

// run steps the stabilizer and looks for lost members until Close.
func (a *Agent) run(s *stabilizer) {
	defer close(a.stopped)
	step := time.NewTimer(0)
	defer step.Stop()
	rejoin := time.NewTimer(0)
	defer rejoin.Stop()
	rejoining := make(chan struct{}, 1) // holds a token while a round runs

	for {
		select {
		case <-a.stopping:
			return
		case <-rejoin.C:
			if !a.options.rejoinDisabled {
				a.startRejoin(rejoining)
				rejoin.Reset(rejoinInterval/2 + rand.N(rejoinInterval))
			}
			continue
		case <-a.wakeup:
		case <-step.C:
		}
		step.Reset(a.updateStableView(s))
	}
}

// startRejoin starts a round of rejoining in the background, unless one runs.
func (a *Agent) startRejoin(rejoining chan struct{}) {
	select {
	case rejoining <- struct{}{}:
	default:
		return
	}
	a.background.Add(1)
	go func() {
		defer a.background.Done()
		a.rejoin()
		<-rejoining
	}()
}

// updateStableView steps the stabilizer with the members' states, reports a
// new view, and returns the time to the next step.
func (a *Agent) updateStableView(s *stabilizer) time.Duration {
	changed, next := s.step(a.observe(time.Now()))
	if changed {
		a.publish(s)
		view := a.StableView()
		a.options.Logger.Info("membership view changed", "epoch", view.Epoch, "members", len(view.Names),
			"digest", fmt.Sprintf("%016x", view.Digest), "isolated", view.Isolated)
		a.options.OnChange(view)
	}
	return max(next, time.Millisecond)
}

// observe returns which members live at now, and forgets those that are gone for longer than lostMemberRetention.
func (a *Agent) observe(now time.Time) observation {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	o := observation{now: now, living: map[string]bool{a.options.Self.Name: true}, left: map[string]bool{}}
	for name, m := range a.members {
		o.left[name] = m.State == StateLeft
		if m.State == StateAlive || a.answeredSinceFailure(m) {
			o.living[name] = true
		} else if now.Sub(m.StateSince) > lostMemberRetention {
			a.forget(m)
		}
	}
	o.hasContact = now.Sub(a.lastContact) < isolationProbes*a.options.ProbeInterval
	return o
}

// publish makes the stabilizer's state the current stable view.
func (a *Agent) publish(s *stabilizer) {
	names := s.sortedNames()
	a.stableView.Store(&StableView{
		Epoch:     s.epoch,
		Digest:    Digest(names),
		Names:     names,
		ChangedAt: s.changedAt,
		Isolated:  s.isolated,
	})
}

// forget removes a member. The caller holds membersMu.
func (a *Agent) forget(m *MemberStatus) {
	delete(a.members, m.Name)
	delete(a.contacts, m.Address)
}

// isAliveAt reports whether a living member has the address. The caller holds membersMu.
func (a *Agent) isAliveAt(address netip.AddrPort) bool {
	for _, m := range a.members {
		if m.State == StateAlive && m.Address == address {
			return true
		}
	}
	return false
}

// onReport takes what a message reports of a member, before memberlist does: memberlist does not pass on who left.
func (a *Agent) onReport(r memberReport) {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	last, isKnown := a.reports[r.name]
	if !isKnown && len(a.reports) >= 2*a.options.MaxMembers {
		clear(a.reports)
	}
	if r.incarnation >= last.incarnation {
		a.reports[r.name] = statusReport{r.incarnation, r.left}
	}
}

// onContact notes that a valid packet came from an address.
func (a *Agent) onContact(from netip.AddrPort, contents packetContents) {
	now := time.Now()
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	if contents.hasProbe {
		a.lastProbed = now
	}
	c, isMember := a.contacts[from]
	if !isMember {
		return
	}
	c.last = now
	if contents.hasAck {
		c.lastAck = now
	}
	a.contacts[from] = c
	a.lastContact = now
}

// onRejected counts a message that no member can have sent, and logs the 1st, 2nd, 4th ...
func (a *Agent) onRejected(from net.Addr, err error) {
	if n := a.rejectedMessages.Add(1); n&(n-1) == 0 {
		a.options.Logger.Warn("membership message rejected", "from", from, "error", err, "rejected", n)
	}
}
