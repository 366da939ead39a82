package sidecar

import (
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
	"bramblestand/internal/mutant"
	"bramblestand/internal/upstream"
)

// listedEndpoint is the entry of an endpoint in the last list that contained it. If a later full list does not contain the
// endpoint, only the state is set, to Removed.
type listedEndpoint struct {
	discovery.Endpoint
	state     balancer.EndpointState
	startTime balancer.Micros // StartedAtMillis in the loop's time
}

// applyEndpointUpdate passes a list, or the failure to get one, to the balancer. It updates the targets first, so that the
// attempts that the balancer then starts go to the current addresses. The loop's goroutine calls it.
func (l *eventLoop) applyEndpointUpdate(now balancer.Micros, kind balancer.UpdateKind, list discovery.List) {
	if kind == balancer.UpdateFailed {
		l.balancer.UpdateEndpoints(now, kind, nil)
		return
	}
	l.listVersion = &list.Version
	entries := l.applyListedEndpoints(now, list.Endpoints)
	if kind != balancer.UpdateDelta {
		l.removeEndpointsExcept(entries)
	}
	l.updateHasEndpoints()
	if l.onEndpointCount != nil {
		l.onEndpointCount(len(l.listedEndpoints))
	}
	if kind != balancer.UpdateCached {
		l.recordListReceived()
	}
	l.balancer.UpdateEndpoints(now, kind, entries)
}

// applyListedEndpoints updates the targets of the listed endpoints and returns the balancer's entries for them.
func (l *eventLoop) applyListedEndpoints(now balancer.Micros, listed []discovery.Endpoint) []balancer.Endpoint {
	entries := make([]balancer.Endpoint, 0, len(listed))
	for _, endpoint := range listed {
		entry := l.balancerEndpoint(now, endpoint)
		entries = append(entries, entry)
		l.updateTarget(entry.ID, listedEndpoint{endpoint, entry.State, entry.StartTime})
	}
	return entries
}

// balancerEndpoint returns the balancer's entry for a listed endpoint. Its start time is 0 if the list gives none.
func (l *eventLoop) balancerEndpoint(now balancer.Micros, listed discovery.Endpoint) balancer.Endpoint {
	id := l.endpointIDs.assign(listed.Name)
	earlier := l.listedEndpoints[id]
	startTime := earlier.startTime // the same start has the same time, whatever the wall clock has done since
	if earlier.StartedAtMillis != listed.StartedAtMillis {
		startTime = l.startTimes.micros(now, listed.StartedAtMillis)
	}
	state := discovery.StateOf(listed)
	if mutant.IgnoresDraining && state == balancer.Draining {
		state = balancer.Ready
	}
	return balancer.Endpoint{
		ID:          id,
		Zone:        l.cfg.ZoneIndex(listed.Zone),
		MachineType: l.cfg.MachineTypeIndex(listed.MachineType),
		Pod:         listed.Pod,
		State:       state,
		Weight:      listed.Weight,
		StartTime:   startTime,
	}
}

// microsPerMilli converts the list's times, which are in milliseconds, to the balancer's.
const microsPerMilli = 1000

// removeEndpointsExcept removes the endpoints that a full list does not contain. entries are those of the list.
func (l *eventLoop) removeEndpointsExcept(entries []balancer.Endpoint) {
	isListed := make(map[uint32]bool, len(entries))
	for _, entry := range entries {
		isListed[entry.ID] = true
	}
	for id, earlier := range l.listedEndpoints {
		if !isListed[id] && earlier.state != balancer.Removed {
			l.updateTarget(id, listedEndpoint{state: balancer.Removed})
		}
	}
}

// recordListReceived records that discovery has sent a list, and when.
func (l *eventLoop) recordListReceived() {
	l.listedAt = time.Now().UTC()
	if !l.hasReceivedList {
		l.hasReceivedList = true
		close(l.listReceived)
	}
}

// updateTarget updates where requests to an endpoint are sent. The old target is retired if the endpoint is draining, removed or
// banned, has restarted, has another address or has moved to another zone or pod: an attempt that is still connecting to it then
// sends no request. The balancer has to decide anew whether one is safe there.
func (l *eventLoop) updateTarget(id uint32, to listedEndpoint) {
	from := l.listedEndpoints[id]
	l.listedEndpoints[id] = to
	isUsable := to.state == balancer.Ready && !l.banned[id]
	hasMoved := from.Zone != to.Zone || from.Pod != to.Pod
	t := l.targets[id]
	if t != nil && isUsable && !hasMoved && t.Address == to.Address && t.StartedAtMillis == to.StartedAtMillis {
		return
	}
	if t != nil {
		l.upstream.Retire(t)
		delete(l.targets, id)
	}
	if isUsable {
		l.targets[id] = &upstream.Target{Address: to.Address, StartedAtMillis: to.StartedAtMillis}
	}
}

// updateHasEndpoints updates hasEndpoints, on which readiness depends. It is called when a change of the targets is complete.
func (l *eventLoop) updateHasEndpoints() { l.hasEndpoints.Store(len(l.targets) > 0) }

// setBans bans the endpoints with these names and lifts all other bans. The loop's goroutine calls it.
func (l *eventLoop) setBans(now balancer.Micros, names []string) {
	isWanted := map[uint32]bool{}
	for _, name := range names {
		id := l.endpointIDs.assign(name)
		isWanted[id] = true
		if !l.banned[id] {
			l.ban(now, id)
		}
	}
	for id := range l.banned {
		if !isWanted[id] {
			l.liftBan(now, id)
		}
	}
	l.updateHasEndpoints()
}

func (l *eventLoop) ban(now balancer.Micros, id uint32) {
	l.banned[id] = true
	l.refreshTarget(id)
	l.balancer.Ban(now, id)
	l.log.Info("endpoint banned", "endpoint_name", l.endpointIDs.name(id), "endpoint", id)
}

func (l *eventLoop) liftBan(now balancer.Micros, id uint32) {
	delete(l.banned, id)
	l.refreshTarget(id)
	l.balancer.Unban(now, id)
	l.log.Info("endpoint ban lifted", "endpoint_name", l.endpointIDs.name(id), "endpoint", id)
}

// refreshTarget updates the target of an endpoint whose ban has changed. It does nothing if the endpoint was never listed.
func (l *eventLoop) refreshTarget(id uint32) {
	if listed, ok := l.listedEndpoints[id]; ok {
		l.updateTarget(id, listed)
	}
}
