package membership

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// errTooManyMembers makes memberlist ignore a member beyond Options.MaxMembers.
var errTooManyMembers = errors.New("more members than fleet.members")

// delegate takes memberlist's events and answers its questions: it is its
// EventDelegate, AliveDelegate, ConflictDelegate and Delegate. memberlist calls
// it from its own goroutines, the first two under its lock.
type delegate struct{ agent *Agent }

// NotifyJoin takes a member that joined.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.setState(n, StateAlive) }

// NotifyUpdate takes a member with a changed address or metadata.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.setState(n, StateAlive) }

// NotifyLeave takes a member that left or was declared dead.
func (d delegate) NotifyLeave(n *memberlist.Node) { d.setState(n, StateFailed) }

// setState notes a member's state, has a failure verified and the stable view updated.
func (d delegate) setState(n *memberlist.Node, state State) {
	a := d.agent
	m, err := decodeMember(n.Name, n.Addr, n.Port, n.Meta)
	if err != nil { // the message checks let no such member through
		a.options.Logger.Error("member not valid", "member", n.Name, "error", err)
		return
	}
	a.membersMu.Lock()
	a.updateMember(m, state)
	a.membersMu.Unlock()
	select {
	case a.wakeup <- struct{}{}:
	default: // the agent is to wake up already
	}
}

// updateMember notes a member and its state. The caller holds membersMu.
func (a *Agent) updateMember(m Member, state State) {
	status := a.members[m.Name]
	if status == nil {
		status = &MemberStatus{}
		a.members[m.Name] = status
	} else if status.Address != m.Address {
		delete(a.contacts, status.Address)
	}
	if state == StateFailed && a.reports[m.Name].left {
		state = StateLeft
	}
	status.Member = m
	if status.State != state {
		status.State, status.StateSince = state, time.Now()
		if state == StateFailed && !a.closing {
			a.background.Add(1)
			go a.verifyFailure(m)
		}
	}
	if _, isKnown := a.contacts[m.Address]; !isKnown && m.Name != a.options.Self.Name {
		a.contacts[m.Address] = contact{}
	}
}

// NotifyAlive rejects a member beyond the limit.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	a := d.agent
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	status := a.members[n.Name]
	if status != nil {
		a.pingSoonIfFailed(status)
		return nil
	}
	if len(a.members) < a.options.MaxMembers || n.Name == a.options.Self.Name || a.evictOldest() {
		return nil
	}
	if rejected := a.rejectedMembers.Add(1); rejected&(rejected-1) == 0 {
		a.options.Logger.Warn("member rejected", "member", n.Name, "error", errTooManyMembers, "rejected", rejected)
	}
	return errTooManyMembers
}

// pingSoonIfFailed has a failed member pinged soon that somebody reports to
// live. If it does and the report is no news to memberlist, it must hear that
// it counts as dead here, to refute that. The caller holds membersMu.
func (a *Agent) pingSoonIfFailed(m *MemberStatus) {
	if m.State != StateFailed || time.Since(m.StateSince) <= aliveReportDelay {
		return
	}
	soon := time.Now().Add(rand.N(rejoinInterval))
	if attempt := a.rejoinAttempts[m.Address]; attempt != nil && attempt.next.After(soon) {
		attempt.next = soon
	}
}

// evictOldest forgets the member that is failed or left for the longest time,
// and reports whether there was one. The caller holds membersMu.
func (a *Agent) evictOldest() bool {
	var oldest *MemberStatus
	for _, m := range a.members {
		if m.State != StateAlive && (oldest == nil || m.StateSince.Before(oldest.StateSince)) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	a.forget(oldest)
	return true
}

// NotifyConflict counts a second member with the name of another; the first one stays.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	a := d.agent
	if n := a.nameConflicts.Add(1); n&(n-1) == 0 {
		a.options.Logger.Warn("two members have one name", "member", existing.Name, "address", existing.Address(),
			"other_address", other.Address(), "conflicts", n)
	}
}

// NodeMeta returns this sidecar's metadata.
func (d delegate) NodeMeta(int) []byte { return d.agent.options.Self.encodeMeta() }

// NotifyMsg is not used: the message checks let no user message through.
func (d delegate) NotifyMsg([]byte) {}

// GetBroadcasts returns nothing: there are no user messages.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing: there is no user state.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState is not used: there is no user state.
func (d delegate) MergeRemoteState(_ []byte, _ bool) {}

// logWriter takes memberlist's log lines: its errors become warnings, the rest
// debug lines, since what it calls information is none for operators.
type logWriter struct{ logger *slog.Logger }

// Write logs one line.
func (w logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.HasPrefix(text, "[ERR]") {
		w.logger.Warn("memberlist error", "detail", text)
	} else {
		w.logger.Debug("memberlist", "detail", text)
	}
	return len(line), nil
}
