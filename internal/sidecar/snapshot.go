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

// loadSnapshot loads the state that an earlier process of this sidecar persisted. It returns nil if there is none or it is not
// usable, and logs why; it logs nothing if the configuration persists no state.
func loadSnapshot(cfg *config.Config, log *slog.Logger) *state.Snapshot {
	if cfg.StateDir == "" {
		return nil
	}
	if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
		log.Error("state folder not created; nothing will be persisted", "error", err)
	}
	startedAt := time.Now()
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
		"duration", time.Since(startedAt))
	return s
}

// restoreSnapshot restores the persisted bans, however old they are, and returns the endpoint list to start with. That is the
// persisted list, or the configured one if it is newer or if the persisted list is missing, too old or not valid. The caller
// passes it to the balancer as a cached list, whose endpoints are probed before they are trusted. All this happens before
// the balancer's first event.
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

// restoreEndpointStates passes to the balancer what an earlier process has learned about the endpoints that are known now.
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

// persistAdminSettings saves the operators' settings as part of a snapshot, for an operator's call that waits for it. It returns
// nil once the snapshot is on disk, or if no state is persisted. It returns admin.ErrBusy if the event loop has not started to
// take the snapshot by the deadline.
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

// snapshot returns the state to persist. The loop's goroutine calls it.
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
		s.Admin.Banned = l.bannedNames() // without an admin address the bans of an earlier process stay in force
	}
	for _, e := range l.balancer.Snapshot(now) {
		s.EndpointStates = append(s.EndpointStates, state.EndpointState{Name: l.endpointIDs.name(e.ID), LatencyBaseline: e.LatencyBaseline,
			LatencyCurrent: e.LatencyCurrent, ServiceTime: e.ServiceTime, FailureRate: e.FailureRate})
	}
	return s
}

// bannedNames returns the names of the banned endpoints, sorted, or nil if there are none. The loop's goroutine calls it.
func (l *eventLoop) bannedNames() []string {
	var names []string
	for id := range l.banned {
		names = append(names, l.endpointIDs.name(id))
	}
	slices.Sort(names)
	return names
}
