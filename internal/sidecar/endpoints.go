package sidecar

import (
	"hash/fnv"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
	"bramblestand/internal/upstream"
)

// listedEndpoint is what discovery last said of an endpoint.
type listedEndpoint struct {
	discovery.Endpoint
	state balancer.EndpointState
}

// applyEndpointUpdate passes on a list and brings the targets in line with it.
func (l *eventLoop) applyEndpointUpdate(now balancer.Micros, kind balancer.UpdateKind, list discovery.List) {
	if kind == balancer.UpdateFailed {
		l.balancer.UpdateEndpoints(now, kind, nil)
		return
	}
	l.listVersion = &list.Version
	entries := make([]balancer.Endpoint, 0, len(list.Endpoints))
	named := map[uint32]bool{}
	for _, h := range list.Endpoints {
		id := l.endpointID(h.Name)
		named[id] = true
		e := balancer.Endpoint{ID: id, Zone: l.cfg.ZoneIndex(h.Zone), MachineType: l.cfg.MachineTypeIndex(h.MachineType),
			Pod: h.Pod, State: discovery.StateOf(h), Weight: h.Weight}
		if h.StartedAtMillis > 0 {
			e.StartTime = h.StartedAtMillis * 1000
		}
		entries = append(entries, e)
		l.updateTarget(id, listedEndpoint{h, e.State})
	}
	if kind != balancer.UpdateDelta {
		for id, old := range l.listedEndpoints {
			if !named[id] && old.state != balancer.Removed {
				l.updateTarget(id, listedEndpoint{state: balancer.Removed})
			}
		}
	}
	l.hasEndpoints.Store(len(l.targets) > 0)
	if kind != balancer.UpdateCached {
		l.listedAt = time.Now().UTC()
	}
	if kind != balancer.UpdateCached && !l.hasReceivedList {
		l.hasReceivedList = true
		close(l.listReceived)
	}
	l.balancer.UpdateEndpoints(now, kind, entries)
}

// endpointID gives a host's id: the same at every sidecar, so that they can speak of it to each other.
func (l *eventLoop) endpointID(name string) uint32 {
	id, ok := l.endpointIDs[name]
	if !ok {
		hash := fnv.New32a()
		hash.Write([]byte(name))
		// Where two names share a number, peers' messages on the later one go astray, and it alone is wronged.
		for id = hash.Sum32(); l.endpointNames[id] != ""; id++ {
		}
		l.endpointIDs[name], l.endpointNames[id] = id, name
	}
	return id
}

// updateTarget points an endpoint's id at where it is reached now. A target that drains, is gone, has restarted or is banned
// is closed, so that a send on its way does not start.
func (l *eventLoop) updateTarget(id uint32, to listedEndpoint) {
	l.listedEndpoints[id] = to
	wanted := to.state == balancer.Ready && !l.banned[id]
	t := l.targets[id]
	if t != nil && wanted && t.Address == to.Address && t.StartedAtMillis == to.StartedAtMillis {
		return
	}
	if t != nil {
		l.upstream.Retire(t)
		delete(l.targets, id)
	}
	if wanted {
		l.targets[id] = &upstream.Target{Address: to.Address, StartedAtMillis: to.StartedAtMillis}
	}
}

// setBans brings the endpoints out of use by hand in line with the names of hosts that are.
func (l *eventLoop) setBans(now balancer.Micros, names []string) {
	wanted := map[uint32]bool{}
	for _, name := range names {
		id := l.endpointID(name)
		wanted[id] = true
		if !l.banned[id] {
			l.banned[id] = true
			l.refreshTarget(id)
			l.balancer.Ban(now, id)
			l.log.Info("banned", "host", name, "endpoint", id)
		}
	}
	for id := range l.banned {
		if !wanted[id] {
			delete(l.banned, id)
			l.refreshTarget(id)
			l.balancer.Unban(now, id)
			l.log.Info("ban ended", "host", l.endpointNames[id], "endpoint", id)
		}
	}
}

// refreshTarget follows a change of the bans.
func (l *eventLoop) refreshTarget(id uint32) {
	if to, ok := l.listedEndpoints[id]; ok {
		l.updateTarget(id, to)
	}
}
