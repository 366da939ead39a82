package sidecar

import (
	"errors"
	"log/slog"
	"os"
	"slices"
	"sort"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/discovery"
	"bramblestand/internal/handover"
	"bramblestand/internal/state"
)

// loadSnapshot reads what an earlier process of this sidecar persisted. It returns nil where there is nothing, or
// nothing usable: then it logs why.
func loadSnapshot(cfg *config.Config, log *slog.Logger) *state.Snapshot {
	if cfg.StateDir == "" {
		return nil
	}
	if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
		log.Error("state folder not created; nothing will be persisted", "error", err)
	}
	began := time.Now()
	s, err := state.Load(cfg.StateDir, cfg.Name)
	switch {
	case errors.Is(err, state.ErrNotFound):
		log.Info("no state snapshot found; starting empty", "folder", cfg.StateDir)
		return nil
	case err != nil:
		log.Error("state snapshot not usable; starting empty", "error", err)
		return nil
	}
	log.Info("state snapshot restored", "file", state.Path(cfg.StateDir, cfg.Name), "list_version", s.ListVersion,
		"endpoints", len(s.Endpoints), "banned", len(s.Admin.Banned), "drained", s.Admin.Drained, "listed_at", s.ListedAt,
		"duration", time.Since(began))
	return s
}

// restoreSnapshot gives the balancer what an earlier process persisted, before its first event: the bans whatever their age,
// and, as a cached list that is probed before it is trusted, the persisted list. It returns the list to begin with:
// the persisted one, or the configuration's where that is newer or the persisted one is too old or not valid.
func (l *eventLoop) restoreSnapshot(now balancer.Micros, persisted *state.Snapshot) discovery.List {
	known := l.cfg.KnownEndpoints
	if persisted == nil {
		return known
	}
	l.setBans(now, persisted.Admin.Banned)
	isFresh := state.IsFresh(persisted.ListedAt, time.Now(), l.cfg.MaxSnapshotAge)
	isOutdated := len(known.Endpoints) > 0 && persisted.ListVersion < known.Version
	if !isFresh || isOutdated {
		l.log.Info("persisted endpoint list not used", "listed_at", persisted.ListedAt, "list_version", persisted.ListVersion,
			"known_version", known.Version, "max_age", l.cfg.MaxSnapshotAge)
		return known
	}
	l.listedAt = persisted.ListedAt
	list := discovery.List{Version: persisted.ListVersion, IsFull: persisted.IsFullList, Endpoints: persisted.Endpoints}
	if err := list.Validate(); err != nil {
		l.log.Error("persisted endpoint list not valid; not used", "error", err)
		return known
	}
	return list
}

// restoreEndpointStates gives the balancer what was learned of the endpoints that it now lists.
func (l *eventLoop) restoreEndpointStates(now balancer.Micros, persisted *state.Snapshot) {
	if persisted == nil {
		return
	}
	endpoints := make([]balancer.EndpointSnapshot, 0, len(persisted.EndpointStates))
	for _, e := range persisted.EndpointStates {
		if id, ok := l.endpointIDs.lookup(e.Name); ok {
			endpoints = append(endpoints, balancer.EndpointSnapshot{ID: id, LatencyBaseline: e.LatencyBaseline,
				LatencyCurrent: e.LatencyCurrent, ServiceTime: e.ServiceTime, FailureRate: e.FailureRate})
		}
	}
	l.balancer.Restore(now, endpoints)
}

// persistAdminSettings saves the operators' settings, with the rest of a snapshot, and returns nil once they are on
// disk, or where no state is persisted. An operator's call waits for it; it returns admin.ErrBusy if the event loop does not get to
// it before the deadline.
func (l *eventLoop) persistAdminSettings(deadline time.Time, settings handover.State) error {
	if l.snapshots == nil {
		return nil
	}
	var s *state.Snapshot
	if err := l.postUrgentBefore(deadline, func(now balancer.Micros) { s = l.snapshot(now) }); err != nil {
		return err
	}
	s.Admin = state.AdminSettings(settings)
	_, err := state.Save(l.cfg.StateDir, s)
	return err
}

// snapshot returns what is to be persisted. The loop's goroutine calls it.
func (l *eventLoop) snapshot(now balancer.Micros) *state.Snapshot {
	s := &state.Snapshot{SidecarName: l.cfg.Name, ListedAt: l.listedAt, IsFullList: true, Membership: l.membershipSnapshot()}
	if l.listVersion != nil {
		s.ListVersion = *l.listVersion
	}
	for _, listed := range l.listedEndpoints {
		if listed.state != balancer.Removed {
			s.Endpoints = append(s.Endpoints, listed.Endpoint)
		}
	}
	sort.Slice(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].Name < s.Endpoints[j].Name })
	if l.adminSettings != nil {
		s.Admin = state.AdminSettings(*l.adminSettings())
	} else {
		s.Admin.Banned = l.bannedNames() // without operators the bans of an earlier process stay in force
	}
	for _, e := range l.balancer.Snapshot(now) {
		s.EndpointStates = append(s.EndpointStates, state.EndpointState{Name: l.endpointIDs.name(e.ID), LatencyBaseline: e.LatencyBaseline,
			LatencyCurrent: e.LatencyCurrent, ServiceTime: e.ServiceTime, FailureRate: e.FailureRate})
	}
	return s
}

// bannedNames returns the names of the banned endpoints, sorted; nil for none. The loop's goroutine calls it.
func (l *eventLoop) bannedNames() []string {
	var names []string
	for id := range l.banned {
		names = append(names, l.endpointIDs.name(id))
	}
	slices.Sort(names)
	return names
}
