package membership

import (
	"net"
	"time"
)

// Limits of verifying failures.
const (
	maxVerifyPings   = 4  // to one member, over its stabilization period, until it answers
	maxVerifications = 16 // members at a time
)

// verifyFailure pings a member that was declared dead, before the stable view
// goes by it: on a lossy network its refutation may be late. It runs in a
// goroutine that background counts.
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
			a.memberlist.Ping(m.Name, net.UDPAddrFromAddrPort(m.Address)) // onContact notes the answer, also a late one
		}()
		select {
		case <-time.After(a.options.StabilizationPeriod / (maxVerifyPings + 1)):
		case <-a.stopping:
			return
		}
	}
}

// needsVerification reports whether a member counts as failed and has not answered since.
func (a *Agent) needsVerification(name string) bool {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	m := a.members[name]
	return m != nil && m.State == StateFailed && !a.answeredSinceFailure(m)
}

// answeredSinceFailure reports whether a member that was declared dead has
// answered since, and so lives: it will refute its death. The caller holds membersMu.
func (a *Agent) answeredSinceFailure(m *MemberStatus) bool {
	lastAck := a.contacts[m.Address].lastAck
	if m.State != StateFailed || !lastAck.After(m.StateSince) {
		return false
	}
	if a.isAliveAt(m.Address) { // the answer was that of another member, which has its address now
		return false
	}
	return time.Since(lastAck) < a.options.StabilizationPeriod+2*maxMemberBackoff
}
