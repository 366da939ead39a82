package membership

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Pace of looking for lost members.
const (
	rejoinInterval   = 500 * time.Millisecond // on average
	maxRejoinPings   = 4                      // addresses pinged per round
	minRejoinBackoff = rejoinInterval         // between two pings of one address, doubled up to
	maxMemberBackoff = 4 * time.Second        // for an address that was a member's, or
	maxSeedBackoff   = 16 * time.Second       // for others, which may run without membership
	lostMemberDelay  = 2 * time.Second        // from a member's loss to the first ping
	aliveReportDelay = 5 * time.Second        // after a member's loss: then a report that it lives has it pinged soon
	aliasBackoff     = time.Minute            // after joining an address that is no member's: an alias, perhaps the own
)

// rejoinAttempt is when an address is pinged next, and how long after it not again.
type rejoinAttempt struct {
	next    time.Time
	backoff time.Duration
}

// rejoinPlan is what one round of rejoining does.
type rejoinPlan struct {
	ping []netip.AddrPort // join those that answer
	// announceTo is a living member to join again, since no member probes this sidecar: it came back at another
	// address before its death was known. Not valid for none.
	announceTo netip.AddrPort
}

// rejoin pings a few addresses at which other sidecars may be, and joins those
// that answer: memberlist forgets the dead, so that after a start, a partition
// or a pause nobody else would.
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

// planRejoin chooses the addresses of a round at now, and notes the attempts.
func (a *Agent) planRejoin(now time.Time) rejoinPlan {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	living, failed := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, m := range a.members {
		if m.State == StateAlive {
			living[m.Address] = true
		}
		failed[m.Address] = m.State == StateFailed
	}
	candidates := a.rejoinCandidates(living)
	a.scheduleLostMembers()
	plan := rejoinPlan{
		ping:       a.chooseReady(candidates, now),
		announceTo: a.chooseAnnounceTo(living, now),
	}
	for address := range a.rejoinAttempts {
		if !slices.Contains(candidates, address) { // its member lives, or is forgotten
			delete(a.rejoinAttempts, address)
		}
	}
	for _, address := range plan.ping {
		maxBackoff := maxSeedBackoff
		if failed[address] {
			maxBackoff = maxMemberBackoff
		}
		a.noteAttempt(address, now, maxBackoff)
	}
	return plan
}

// rejoinCandidates returns where other sidecars may be, each address once,
// without the own one and those of living members. The caller holds membersMu.
func (a *Agent) rejoinCandidates(living map[netip.AddrPort]bool) []netip.AddrPort {
	var candidates []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && address != a.options.Self.Address && !living[address] && !slices.Contains(candidates, address) {
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

// scheduleLostMembers delays the first ping of members that failed just now:
// gossip to the dead and verifyFailure come first. The caller holds membersMu.
func (a *Agent) scheduleLostMembers() {
	for _, m := range a.members {
		if m.State == StateFailed && a.rejoinAttempts[m.Address] == nil {
			next := m.StateSince.Add(lostMemberDelay + rand.N(maxMemberBackoff))
			a.rejoinAttempts[m.Address] = &rejoinAttempt{next: next, backoff: minRejoinBackoff}
		}
	}
}

// chooseReady returns up to maxRejoinPings candidates that may be pinged at now, at random. The caller holds membersMu.
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

// chooseAnnounceTo returns a living member to join again where no member has
// probed this sidecar for long, else an invalid address. The caller holds membersMu.
func (a *Agent) chooseAnnounceTo(living map[netip.AddrPort]bool, now time.Time) netip.AddrPort {
	if now.Sub(a.lastProbed) <= unprobedProbes*a.options.ProbeInterval {
		return netip.AddrPort{}
	}
	a.lastProbed = now // not again in each round
	for address := range living {
		if address != a.options.Self.Address {
			return address
		}
	}
	return netip.AddrPort{}
}

// noteAttempt sets when an address pinged at now is pinged next: after its
// backoff, give or take a half, which then doubles. The caller holds membersMu.
func (a *Agent) noteAttempt(address netip.AddrPort, now time.Time, maxBackoff time.Duration) {
	attempt := a.rejoinAttempts[address]
	if attempt == nil {
		attempt = &rejoinAttempt{backoff: minRejoinBackoff}
		a.rejoinAttempts[address] = attempt
	}
	attempt.next = now.Add(attempt.backoff/2 + rand.N(attempt.backoff))
	attempt.backoff = min(2*attempt.backoff, maxBackoff)
}

// joinAddress exchanges the full lists with the sidecar at an address that
// answered, unless it has become a living member's meanwhile.
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

// ping reports whether any sidecar answers at an address, within the probe
// timeout or one probe interval later.
func (a *Agent) ping(address netip.AddrPort) bool {
	start := time.Now()
	// With an empty name whoever is there answers.
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
