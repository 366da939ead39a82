package sidecar

import (
	"errors"
	"log/slog"
	"os"
	"sort"
	"sync/atomic"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/state"
)

const (
	stateAge   = 10 * time.Minute // the oldest kept list served from, unless state_max_age_s says otherwise
	keepEvery  = time.Second      // between snapshots,
	keepBudget = 20               // or this many times as long as the last one took: it costs at most 5% of a core
)

// loadSnapshot reads what an earlier process of this sidecar kept. It returns nil where there is nothing to
// recall; a file that cannot be read is logged by name and record, and set aside by the state package.
func loadSnapshot(cfg *Config, log *slog.Logger) *state.Snapshot {
	if cfg.StateDir == "" {
		return nil
	}
	if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
		log.Error("state: the folder cannot be made; nothing is kept", "error", err)
	}
	began := time.Now()
	kept, err := state.Load(cfg.StateDir, cfg.Name)
	switch {
	case errors.Is(err, state.ErrNotFound):
		log.Info("state: nothing kept; starting cold", "dir", cfg.StateDir)
		return nil
	case err != nil:
		log.Error("state: not used; starting cold", "error", err)
		return nil
	}
	log.Info("state: recalled", "file", state.Path(cfg.StateDir, cfg.Name), "seq", kept.ListVersion, "hosts", len(kept.Endpoints),
		"banned", len(kept.Banned), "drained", kept.Drained, "written", kept.ListedAt, "took", time.Since(began))
	return kept
}

// restore gives the balancer what was kept: bans whatever their age, a list no older than the stated age and newer
// than the one the platform gave, as a cached list that is probed before it is trusted, and the baselines of the
// servers on it. It returns the list to begin with.
func (l *loop) restore(now balancer.Micros, kept *state.Snapshot) registry {
	list := l.cfg.known
	if kept == nil {
		return list
	}
	l.setBans(now, kept.Banned)
	fresh := state.IsFresh(kept.ListedAt, time.Now(), l.cfg.StateAge)
	if !fresh || (len(list.Hosts) > 0 && kept.ListVersion < list.Seq) {
		l.log.Info("state: the kept list is not used", "written", kept.ListedAt, "seq", kept.ListVersion, "known_seq", list.Seq,
			"max_age", l.cfg.StateAge)
		return list
	}
	l.listedAt = kept.ListedAt
	list = registry{Seq: kept.ListVersion, Whole: kept.IsFullList, Hosts: kept.Endpoints}
	if err := list.validate(); err != nil {
		l.log.Error("state: the kept list is not valid; not used", "error", err)
		return l.cfg.known
	}
	return list
}

// restoreEndpointStates hands the balancer the kept figures of servers it now lists.
func (l *loop) restoreEndpointStates(now balancer.Micros, kept *state.Snapshot) {
	if kept == nil {
		return
	}
	figures := make([]balancer.EndpointSnapshot, 0, len(kept.EndpointStates))
	for _, s := range kept.EndpointStates {
		if id, ok := l.ids[s.Name]; ok {
			figures = append(figures, balancer.EndpointSnapshot{ID: id, LatencyBaseline: s.LatencyBaseline, LatencyCurrent: s.LatencyCurrent, ServiceTime: s.ServiceTime, FailureRate: s.FailureRate})
		}
	}
	l.balancer.Restore(now, figures)
}

// snapshotWriter writes snapshots away from the loop, the latest only where it falls behind.
type snapshotWriter struct {
	dir  string
	log  *slog.Logger
	next chan *state.Snapshot
	took atomic.Int64 // nanoseconds the last save took, for the loop's cadence
}

func newSnapshotWriter(dir string, log *slog.Logger) *snapshotWriter {
	k := &snapshotWriter{dir: dir, log: log, next: make(chan *state.Snapshot, 1)}
	go k.run()
	return k
}

// offer hands a snapshot over without waiting; one not yet written gives way to it. The loop alone calls it.
func (k *snapshotWriter) offer(s *state.Snapshot) {
	select {
	case k.next <- s:
	default:
		select {
		case <-k.next:
		default:
		}
		k.next <- s
	}
}

func (k *snapshotWriter) run() {
	failing := false
	for s := range k.next {
		began := time.Now()
		_, err := state.Save(k.dir, s)
		took := time.Since(began)
		k.took.Store(int64(took))
		if err != nil != failing { // once when it begins to fail, once when it works again
			failing = err != nil
			if failing {
				k.log.Error("state: not saved; the last snapshot saved stays", "error", err)
			} else {
				k.log.Info("state: saved again", "took", took)
			}
		}
	}
}

// keepOrders has what operators ordered on disk, with all else that is kept, when it returns nil.
func (l *loop) keepOrders(orders shared) error {
	if l.snapshots == nil {
		return nil
	}
	var s *state.Snapshot
	if err := l.urge(func(now balancer.Micros) { s = l.snapshot(now) }); err != nil {
		return err
	}
	order(s, orders)
	_, err := state.Save(l.cfg.StateDir, s)
	return err
}

// order puts what operators ordered into a snapshot.
func order(s *state.Snapshot, orders shared) {
	s.AdminRevision, s.Banned, s.Drained = orders.Seq, orders.Banned, orders.Drained
}

// snapshot is what the loop knows now that is worth keeping.
func (l *loop) snapshot(now balancer.Micros) *state.Snapshot {
	s := &state.Snapshot{SidecarName: l.cfg.Name, ListedAt: l.listedAt, IsFullList: true}
	if l.seq != nil {
		s.ListVersion = *l.seq
	}
	for _, to := range l.listings {
		if to.state != balancer.Removed {
			s.Endpoints = append(s.Endpoints, to.host)
		}
	}
	sort.Slice(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].Name < s.Endpoints[j].Name })
	if l.orders != nil {
		order(s, *l.orders())
	} else { // no operators here; those of an earlier process hold
		for id := range l.banned {
			s.Banned = append(s.Banned, l.names[id])
		}
		sort.Strings(s.Banned)
	}
	s.Membership = l.keepView()
	for _, k := range l.balancer.Snapshot(now) {
		s.EndpointStates = append(s.EndpointStates, state.EndpointState{Name: l.names[k.ID], LatencyBaseline: k.LatencyBaseline, LatencyCurrent: k.LatencyCurrent, ServiceTime: k.ServiceTime, FailureRate: k.FailureRate})
	}
	return s
}

// keepCadence is the time to the next snapshot after one that took took.
func keepCadence(took time.Duration) time.Duration { return max(keepEvery, keepBudget*took) }
