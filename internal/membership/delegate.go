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
var errTooManyMembers = errors.New("the limit fleet.members is reached")

// delegate implements memberlist's EventDelegate, AliveDelegate, ConflictDelegate
// and Delegate. memberlist calls them from its own goroutines, and the first two
// with its lock held.
type delegate struct{ agent *Agent }

// NotifyJoin is called when a member joined.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.setState(n, StateAlive) }

// NotifyUpdate is called when a member's address or metadata changed.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.setState(n, StateAlive) }

// NotifyLeave is called when a member left or was declared dead; updateMember tells which.
func (d delegate) NotifyLeave(n *memberlist.Node) { d.setState(n, StateFailed) }

// setState records a member's state and wakes up the agent to update the stable view.
func (d delegate) setState(n *memberlist.Node, state State) {
	a := d.agent
	m, err := decodeMember(n.Name, n.Addr, n.Port, n.Meta)
	if err != nil { // cannot happen: the message checks reject such members
		a.options.Logger.Error("member not valid", "member", n.Name, "error", err)
		return
	}
	a.membersMu.Lock()
	a.updateMember(m, state)
	a.membersMu.Unlock()
	select {
	case a.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// updateMember records a member and its state. A member that failed is marked as left if it reported so itself;
// otherwise its failure is verified in the background. The caller holds membersMu.
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

// NotifyAlive is called before memberlist processes an alive message. It rejects a new member beyond Options.MaxMembers,
// unless a failed or left one can be removed for it.
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

// pingSoonIfFailed schedules an early ping of a member that is reported alive
// and has been failed here for longer than aliveReportDelay. memberlist ignores such a report if its incarnation
// is not newer than the death. A member that is in fact alive must then learn
// that it counts as dead here, so that it can refute this. The caller holds
// membersMu.
func (a *Agent) pingSoonIfFailed(m *MemberStatus) {
	if m.State != StateFailed || time.Since(m.StateSince) <= aliveReportDelay {
		return
	}
	soon := time.Now().Add(rand.N(rejoinInterval))
	if attempt := a.rejoinAttempts[m.Address]; attempt != nil && attempt.next.After(soon) {
		attempt.next = soon
	}
}

// evictOldest removes the member that has been failed or left for the longest
// time, and reports whether there was one. The caller holds membersMu.
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

// NotifyConflict counts a second member with a name that is in use. The existing member stays.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	a := d.agent
	if n := a.nameConflicts.Add(1); n&(n-1) == 0 {
		a.options.Logger.Warn("two members have one name", "member", existing.Name, "address", existing.Address(),
			"other_address", other.Address(), "conflicts", n)
	}
}

// NodeMeta returns this sidecar's metadata.
func (d delegate) NodeMeta(int) []byte { return d.agent.options.Self.encodeMeta() }

// NotifyMsg does nothing: the message checks reject user messages.
func (d delegate) NotifyMsg([]byte) {}

// GetBroadcasts returns nil: there are no user messages.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nil: there is no user state.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing: there is no user state.
func (d delegate) MergeRemoteState(_ []byte, _ bool) {}

// logWriter forwards memberlist's log lines. Errors are logged at level Warn and
// all other lines at level Debug, since memberlist's informational lines are of
// no use to operators.
type logWriter struct{ logger *slog.Logger }

// Write logs line.
func (w logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.HasPrefix(text, "[ERR]") {
		w.logger.Warn("memberlist error", "detail", text)
	} else {
		w.logger.Debug("memberlist", "detail", text)
	}
	return len(line), nil
}
