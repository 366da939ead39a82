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

// Settings of the failure detector. All members know of a crash after about one
// probe interval, the suspicion timeout (suspicionMultiplier x log10(members) x
// probe interval) and a few rounds of gossip.
const (
	probeTimeoutDivisor = 2 // probe interval / probe timeout; after the timeout other members are asked to ping
	gossipInterval      = 100 * time.Millisecond
	gossipNodes         = 3 // members gossiped to per gossip interval
	suspicionMultiplier = 2
	pushPullIntervals   = 75               // probe intervals between exchanges of the full list (more in fleets of over 32 members)
	gossipToDeadPeriod  = 30 * time.Second // how long a member declared dead still gets gossip, so that it can refute this if it is alive
	streamTimeout       = 5 * time.Second
	maxPacketSize       = datagram.MaxSize - 1 - crcHeaderSize
	leaveTimeout        = 500 * time.Millisecond

	isolationIntervals = 6  // this sidecar is isolated after so many probe intervals without a datagram from any member
	unprobedIntervals  = 10 // this sidecar assumes that the others do not know it after so many probe intervals without a probe by any member

	lostMemberRetention = time.Hour // how long a failed or left member is listed, and a failed one looked for
)

// Options configures an Agent.
type Options struct {
	Self                Member
	Seeds               []netip.AddrPort // addresses at which other sidecars may be reached; may include this sidecar's address
	Snapshot            Snapshot         // snapshot of an earlier process; zero for none
	StabilizationPeriod time.Duration    // how long a change must last to enter the stable view, and minimum time between stable views
	ProbeInterval       time.Duration    // probe interval of the failure detector
	MaxMembers          int              // limit on known members, including failed and left ones
	// OnChange is called with each new stable view, and when Isolated changes. It runs in the agent's goroutine and must
	// not wait for the Agent. nil for none.
	OnChange func(StableView)
	Logger   *slog.Logger // nil discards log lines

	rejoinDisabled bool // for tests: do not look for lost members
}

// StableView is the debounced view of the fleet, for settings and decisions that must not follow short-lived changes.
type StableView struct {
	Epoch     uint64    // local to this sidecar; changes exactly when the set of names does
	Digest    uint64    // equal at any two sidecars with the same names
	Names     []string  // names of the members, sorted, this sidecar's included
	ChangedAt time.Time // when the set of names last changed
	Isolated  bool      // this sidecar receives from too few members; names are those of the last view
}

// State is a member's state.
type State string

// The states of a member.
const (
	StateAlive  State = "alive" // includes suspected members that are not declared dead yet
	StateFailed State = "failed"
	StateLeft   State = "left" // left gracefully
)

// MemberStatus is a member and its state as this sidecar knows it.
type MemberStatus struct {
	Member
	State       State
	StateSince  time.Time // when this sidecar last changed State
	LastContact time.Time // when the last datagram from its address was received; zero for never
}

// Counters counts events that an operator should investigate. They start at 0 with the process.
type Counters struct {
	NameConflicts    uint64 // reports of a second member with a name that is in use
	RejectedMembers  uint64 // members not added because of Options.MaxMembers
	RejectedMessages uint64 // packets and streams that cannot come from a valid member
	DroppedPackets   uint64 // valid packets that were dropped because the queue was full
}

// Agent takes part in the fleet's membership for one process. It is safe for concurrent use.
//
// One goroutine (run) owns the stabilizer. Short-lived ones verify failures and
// look for lost members. Close waits for all of them. memberlist's goroutines
// call the agent's delegate; Close ends them as well.
type Agent struct {
	options    Options
	transport  *transport
	memberlist *memberlist.Memberlist

	wakeup      chan struct{} // signals run that a member's state changed
	stopping    chan struct{} // closed by Close
	stopped     chan struct{} // closed when run returns
	background  sync.WaitGroup
	verifySlots chan struct{} // holds one token per running verification

	stableView atomic.Pointer[StableView]

	membersMu      sync.Mutex // guards the fields below
	members        map[string]*MemberStatus
	contacts       map[netip.AddrPort]contact // one entry per address of a member
	reports        map[string]statusReport    // latest report of each member, by name
	lastContact    time.Time                  // when any member's address last sent a valid packet
	lastProbed     time.Time                  // when any member last probed this sidecar by its name
	rejoinAttempts map[netip.AddrPort]*rejoinAttempt
	closing        bool // no goroutine may be added to background any more

	nameConflicts, rejectedMembers, rejectedMessages atomic.Uint64
}

// contact holds the times at which packets were last received from an address.
type contact struct {
	last    time.Time // any packet
	lastAck time.Time // an ack, which answers a ping
}

// statusReport holds the highest incarnation reported for a member, and whether the member left in that incarnation.
type statusReport struct {
	incarnation uint32
	left        bool
}

// Open starts an agent on t. It sets the handlers of t's packet and stream
// channels. Until Close, other sidecars can find it and it looks for them.
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

// memberlistConfig returns the configuration of memberlist.
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
	c.PushPullInterval, c.TCPTimeout = pushPullIntervals*o.ProbeInterval, streamTimeout
	c.DeadNodeReclaimTime = 1 // ns, the minimum: a dead member may return at another address immediately
	d := delegate{a}
	c.Events, c.Alive, c.Conflict, c.Delegate = d, d, d, d
	return c
}

// Close stops the agent. With leave, it announces that this sidecar leaves the
// fleet. Without leave, another process may continue as the same member.
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

// Members returns all known members, sorted by name. Failed and left ones are included for up to lostMemberRetention.
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

// Counters returns the current values of the counters.
func (a *Agent) Counters() Counters {
	return Counters{
		NameConflicts:    a.nameConflicts.Load(),
		RejectedMembers:  a.rejectedMembers.Load(),
		RejectedMessages: a.rejectedMessages.Load(),
		DroppedPackets:   a.transport.droppedPackets.Load(),
	}
}

// run updates the stable view and starts rounds of rejoining until Close.
func (a *Agent) run(s *stabilizer) {
	defer close(a.stopped)
	step := time.NewTimer(0)
	defer step.Stop()
	rejoin := time.NewTimer(0)
	defer rejoin.Stop()
	rejoining := make(chan struct{}, 1) // holds a token while a round of rejoining runs

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

// startRejoin starts a round of rejoining in the background, unless one is running.
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

// updateStableView steps the stabilizer with the members' current states. If the
// stable view changed, it publishes and reports the new one. It returns the time
// until the next step.
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

// observe returns which members are alive and which have left at now. It removes members that have been failed or left
// for longer than lostMemberRetention.
func (a *Agent) observe(now time.Time) observation {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	o := observation{now: now, alive: map[string]bool{a.options.Self.Name: true}, left: map[string]bool{}}
	for name, m := range a.members {
		o.left[name] = m.State == StateLeft
		if m.State == StateAlive || a.answeredSinceFailure(m) {
			o.alive[name] = true
		} else if now.Sub(m.StateSince) > lostMemberRetention {
			a.forget(m)
		}
	}
	o.hasContact = now.Sub(a.lastContact) < isolationIntervals*a.options.ProbeInterval
	return o
}

// publish stores the stabilizer's state as the current stable view.
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

// forget removes a member and its contact times. The caller holds membersMu.
func (a *Agent) forget(m *MemberStatus) {
	delete(a.members, m.Name)
	delete(a.contacts, m.Address)
}

// isAliveAt reports whether an alive member has the address. The caller holds membersMu.
func (a *Agent) isAliveAt(address netip.AddrPort) bool {
	for _, m := range a.members {
		if m.State == StateAlive && m.Address == address {
			return true
		}
	}
	return false
}

// onReport records what a message reports of a member, before memberlist processes the message: memberlist's events do
// not tell whether a member left or failed.
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

// onContact records that a valid packet was received from an address.
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

// onRejected counts a message that failed the checks. It logs the 1st, 2nd, 4th, 8th and so on.
func (a *Agent) onRejected(from net.Addr, err error) {
	if n := a.rejectedMessages.Add(1); n&(n-1) == 0 {
		a.options.Logger.Warn("membership message rejected", "from", from, "error", err, "rejected", n)
	}
}
