package membership

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Intervals and limits of looking for lost members.
const (
	rejoinInterval   = 500 * time.Millisecond // between rounds of rejoining, on average
	maxRejoinPings   = 4                      // addresses pinged per round
	minRejoinBackoff = rejoinInterval         // average time between the first two pings of an address; doubles with each ping
	maxMemberBackoff = 4 * time.Second        // maximum of this backoff for the address of a failed member
	maxSeedBackoff   = 16 * time.Second       // maximum for other addresses, whose sidecar may run without membership
	lostMemberDelay  = 2 * time.Second        // minimum time from a member's failure to the first ping
	aliveReportDelay = 5 * time.Second        // from this long after a member's failure, a report that it is alive causes an early ping
	aliasBackoff     = time.Minute            // average backoff after joining an address that is no alive member's afterwards: an alias, perhaps of this sidecar
)

// rejoinAttempt holds the time of the next ping of an address, and the backoff after that ping.
type rejoinAttempt struct {
	next    time.Time
	backoff time.Duration
}

// rejoinPlan holds the actions of one round of rejoining.
type rejoinPlan struct {
	ping []netip.AddrPort // addresses to ping; those that answer are joined
	// announceTo is the address of an alive member to join again because no member probes this sidecar. This happens
	// if it restarted at another address before the others knew of its death. Invalid if there is no need to join.
	announceTo netip.AddrPort
}

// rejoin runs one round: it pings a few addresses at which other sidecars may be
// and joins those that answer. memberlist forgets dead members, so nothing else
// would find them after a start, a partition or a pause.
func (a *Agent) rejoin() {
	now := time.Now()
	plan := a.planRejoin(now)
	if plan.announceTo.IsValid() {
		a.memberlist.Join([]string{plan.announceTo.String()})
	}
	answered := make(chan netip.AddrPort, len(plan.ping))
	for _, address := range plan.ping {
		go func() {
			if !a.ping(address) {
				address = netip.AddrPort{}
			}
			answered <- address
		}()
	}
	for range plan.ping {
		if address := <-answered; address.IsValid() {
			a.joinAddress(address, now)
		}
	}
}

// planRejoin chooses the addresses of a round at now, and records the attempts.
func (a *Agent) planRejoin(now time.Time) rejoinPlan {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	alive, failed := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, m := range a.members {
		if m.State == StateAlive {
			alive[m.Address] = true
		}
		failed[m.Address] = m.State == StateFailed
	}
	candidates := a.rejoinCandidates(alive)
	a.scheduleLostMembers()
	plan := rejoinPlan{
		ping:       a.chooseReady(candidates, now),
		announceTo: a.chooseAnnounceTo(alive, now),
	}
	for address := range a.rejoinAttempts {
		if !slices.Contains(candidates, address) { // its member is alive again or was removed
			delete(a.rejoinAttempts, address)
		}
	}
	for _, address := range plan.ping {
		maxBackoff := maxSeedBackoff
		if failed[address] {
			maxBackoff = maxMemberBackoff
		}
		a.recordAttempt(address, now, maxBackoff)
	}
	return plan
}

// rejoinCandidates returns the addresses at which other sidecars may be: those
// of the seeds, the snapshot and the failed members, each once. It excludes the
// addresses of this sidecar and of alive members. The caller holds membersMu.
func (a *Agent) rejoinCandidates(alive map[netip.AddrPort]bool) []netip.AddrPort {
	var candidates []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && address != a.options.Self.Address && !alive[address] && !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	for _, address := range a.options.Seeds {
		add(address)
	}
	for _, m := range a.options.Snapshot.Members {
		add(m.Address)
	}
	for _, m := range a.members {
		if m.State == StateFailed {
			add(m.Address)
		}
	}
	return candidates
}

// scheduleLostMembers delays the first ping of members that have just failed, so
// that gossip to the dead and verifyFailure can find them first. The caller holds
// membersMu.
func (a *Agent) scheduleLostMembers() {
	for _, m := range a.members {
		if m.State == StateFailed && a.rejoinAttempts[m.Address] == nil {
			next := m.StateSince.Add(lostMemberDelay + rand.N(maxMemberBackoff))
			a.rejoinAttempts[m.Address] = &rejoinAttempt{next: next, backoff: minRejoinBackoff}
		}
	}
}

// chooseReady returns up to maxRejoinPings candidates that may be pinged at now, chosen at random. The caller holds
// membersMu.
func (a *Agent) chooseReady(candidates []netip.AddrPort, now time.Time) []netip.AddrPort {
	var ready []netip.AddrPort
	for _, address := range candidates {
		if attempt := a.rejoinAttempts[address]; attempt == nil || !attempt.next.After(now) {
			ready = append(ready, address)
		}
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return ready[:min(len(ready), maxRejoinPings)]
}

// chooseAnnounceTo returns the address of an alive member to join again if no
// member has probed this sidecar for unprobedIntervals probe intervals, otherwise
// an invalid address. The caller holds membersMu.
func (a *Agent) chooseAnnounceTo(alive map[netip.AddrPort]bool, now time.Time) netip.AddrPort {
	if now.Sub(a.lastProbed) <= unprobedIntervals*a.options.ProbeInterval {
		return netip.AddrPort{}
	}
	a.lastProbed = now // wait as long again before the next announcement
	for address := range alive {
		if address != a.options.Self.Address {
			return address
		}
	}
	return netip.AddrPort{}
}

// recordAttempt sets the time of the next ping of an address that is pinged at
// now: after 50% to 150% of its backoff, chosen at random. The backoff then
// doubles, up to maxBackoff. The caller holds membersMu.
func (a *Agent) recordAttempt(address netip.AddrPort, now time.Time, maxBackoff time.Duration) {
	attempt := a.rejoinAttempts[address]
	if attempt == nil {
		attempt = &rejoinAttempt{backoff: minRejoinBackoff}
		a.rejoinAttempts[address] = attempt
	}
	attempt.next = now.Add(attempt.backoff/2 + rand.N(attempt.backoff))
	attempt.backoff = min(2*attempt.backoff, maxBackoff)
}

// joinAddress exchanges the full member lists with the sidecar at an address that
// answered, unless the address has become that of an alive member.
func (a *Agent) joinAddress(address netip.AddrPort, now time.Time) {
	a.membersMu.Lock()
	isMember := a.isAliveAt(address)
	a.membersMu.Unlock()
	if isMember {
		return
	}
	if _, err := a.memberlist.Join([]string{address.String()}); err != nil {
		a.options.Logger.Debug("membership join failed", "address", address, "error", err)
		return
	}
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	if attempt := a.rejoinAttempts[address]; attempt != nil && !a.isAliveAt(address) {
		attempt.next = now.Add(aliasBackoff/2 + rand.N(aliasBackoff))
	}
}

// ping reports whether any sidecar answers at an address within the probe timeout
// plus one probe interval.
func (a *Agent) ping(address netip.AddrPort) bool {
	start := time.Now()
	// A ping without a name is answered by any sidecar at the address.
	if _, err := a.memberlist.Ping("", net.UDPAddrFromAddrPort(address)); err == nil {
		return true
	}
	select {
	case <-time.After(a.options.ProbeInterval):
	case <-a.stopping:
	}
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	return a.contacts[address].lastAck.After(start)
}
