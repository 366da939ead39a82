package membership

import (
	"net"
	"time"
)

// Limits on the verification of failures.
const (
	maxVerifyPings   = 4  // pings of one member, spread over the stabilization period, until it answers
	maxVerifications = 16 // members verified at the same time; further ones are not verified
)

// verifyFailure pings a member that was declared dead, so that it stays in the
// stable view if it answers: on a lossy network, its refutation may be late. It
// runs in a goroutine that is counted in background.
func (a *Agent) verifyFailure(m Member) {
	defer a.background.Done()
	select {
	case a.verifySlots <- struct{}{}:
		defer func() { <-a.verifySlots }()
	default:
		return
	}
	for range maxVerifyPings {
		if !a.needsVerification(m.Name) {
			return
		}
		a.background.Add(1)
		go func() {
			defer a.background.Done()
			a.memberlist.Ping(m.Name, net.UDPAddrFromAddrPort(m.Address)) // onContact records the answer, even a late one
		}()
		select {
		case <-time.After(a.options.StabilizationPeriod / (maxVerifyPings + 1)):
		case <-a.stopping:
			return
		}
	}
}

// needsVerification reports whether a member counts as failed and has not answered since it failed.
func (a *Agent) needsVerification(name string) bool {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	m := a.members[name]
	return m != nil && m.State == StateFailed && !a.answeredSinceFailure(m)
}

// answeredSinceFailure reports whether a member that was declared dead has
// answered a ping since. It is then alive and expected to refute its death, so
// the answer counts only for a limited time. The caller holds membersMu.
func (a *Agent) answeredSinceFailure(m *MemberStatus) bool {
	lastAck := a.contacts[m.Address].lastAck
	if m.State != StateFailed || !lastAck.After(m.StateSince) {
		return false
	}
	if a.isAliveAt(m.Address) { // the answer came from another member, which now has this address
		return false
	}
	return time.Since(lastAck) < a.options.StabilizationPeriod+2*maxMemberBackoff
}
