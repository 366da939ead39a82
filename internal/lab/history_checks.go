package lab

import (
	"fmt"
	"slices"
	"time"

	"bramblestand/internal/lab/history"
)

// checkHistory returns the violations of the experiment's checks in the history, nil without operators. running are the
// names of the sidecars that run at the end.
func checkHistory(exp *Experiment, events []history.Event, running []string) []history.Violation {
	var violations []history.Violation
	add := func(v *history.Violation) {
		if v != nil {
			violations = append(violations, *v)
		}
	}
	if !exp.Ops.On {
		return nil
	}
	for i := range exp.Fleet.Sidecars {
		name := sidecarName(i)
		add(history.Register(name+" drained", "false", events, func(e history.Event) (string, string) {
			return registerStep(e, name, "drained")
		}))
		for j := range exp.Fleet.Servers {
			server := serverName(j)
			called := slices.ContainsFunc(events, func(e history.Event) bool {
				return e.Kind == history.Call && e.Key == server && e.Sidecar == name || slices.Contains(e.Set, server)
			})
			if called {
				add(history.Register(name+" ban of "+server, "false", events, func(e history.Event) (string, string) {
					return registerStep(e, name, server)
				}))
			}
		}
	}
	for _, c := range exp.Checks {
		switch c.Kind {
		case "holder":
			add(history.OneHolder(c.Field, events))
		case "tokens":
			add(history.TokensIncrease(c.Field, events))
		case "settled":
			add(history.Converged(c.Field, running, c.Within.Duration, events))
		case "dropped":
			add(history.Dropped(c.Field, c.Within.Duration, events))
		case "kept":
			add(history.Durable(c.Field, c.Op, c.Undo, c.Within.Duration, events))
		}
	}
	return violations
}

// registerStep returns the effect of an event on one register of a sidecar: whether it is drained (key is "drained"), or
// whether it bans a server (key is the server's name). The value of a register is "true" or "false". kind is "write" or
// "read", and empty for an event that does not concern the register.
func registerStep(e history.Event, sidecar, key string) (kind, value string) {
	switch {
	case e.Sidecar != sidecar:
	case e.Kind == history.Wipe:
		return "write", "false"
	case e.Kind == history.Call && e.Key == key:
		return "write", fmt.Sprint(e.Op == "ban" || e.Op == "drain")
	case e.Kind == history.Observe && e.Key == "drained" && key == "drained":
		return "read", e.Value
	case e.Kind == history.Observe && e.Key == "banned" && key != "drained":
		return "read", fmt.Sprint(slices.Contains(e.Set, key))
	}
	return "", ""
}

// requestsAfterBan finds the requests that reached a server longer than grace after their sidecar confirmed a ban of it,
// and before any call that may have ended the ban. The caller holds t.mu.
func (t *RequestTable) requestsAfterBan(events []history.Event, grace time.Duration) (found []string) {
	type key struct{ sidecar, server string }
	arrivals := map[key][]arrival{}
	for id, r := range t.records {
		for _, a := range r.arrivals {
			k := key{sidecarName(r.sidecar), a.server}
			a.id = id
			arrivals[k] = append(arrivals[k], a)
		}
	}
	for _, ban := range events {
		if ban.Kind != history.Call || ban.Op != "ban" || ban.Outcome != history.OK {
			continue
		}
		until := int64(1<<63 - 1)
		for _, e := range events {
			if e.Sidecar == ban.Sidecar && e.Return >= ban.Call && (e.Kind == history.Wipe || e.Kind == history.Call && e.Op == "enable" && e.Key == ban.Key && e.Outcome != history.Rejected) {
				until = min(until, e.Call)
			}
		}
		for _, a := range arrivals[key{ban.Sidecar, ban.Key}] {
			if a.at.Microseconds() > ban.Return+grace.Microseconds() && a.at.Microseconds() < until {
				found = append(found, fmt.Sprintf("%s:%s:%s", ban.Sidecar, ban.Key, a.id))
			}
		}
	}
	return found
}
