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

// recallState reads what an earlier process of this sidecar kept. It returns nil where there is nothing to
// recall; a file that cannot be read is logged by name and record, and set aside by the state package.
func recallState(cfg *Config, log *slog.Logger) *state.Snapshot {
	if cfg.StateDir == "" {
		return nil
	}
	if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
		log.Error("state: the folder cannot be made; nothing is kept", "error", err)
	}
	began := time.Now()
	kept, err := state.Load(cfg.StateDir, cfg.Name)
	switch {
	case errors.Is(err, state.ErrNone):
		log.Info("state: nothing kept; starting cold", "dir", cfg.StateDir)
		return nil
	case err != nil:
		log.Error("state: not used; starting cold", "error", err)
		return nil
	}
	log.Info("state: recalled", "file", state.Path(cfg.StateDir, cfg.Name), "seq", kept.Seq, "hosts", len(kept.Hosts),
		"banned", len(kept.Banned), "drained", kept.Drained, "written", kept.Written, "took", time.Since(began))
	return kept
}

// recall gives the balancer what was kept: bans whatever their age, a list no older than the stated age and newer
// than the one the platform gave, as a cached list that is probed before it is trusted, and the baselines of the
// servers on it. It returns the list to begin with.
func (l *loop) recall(now balancer.Micros, kept *state.Snapshot) registry {
	list := l.cfg.known
	if kept == nil {
		return list
	}
	l.setBans(now, kept.Banned)
	fresh := state.Fresh(kept.Written, time.Now(), l.cfg.StateAge)
	if !fresh || (len(list.Hosts) > 0 && kept.Seq < list.Seq) {
		l.log.Info("state: the kept list is not used", "written", kept.Written, "seq", kept.Seq, "known_seq", list.Seq,
			"max_age", l.cfg.StateAge)
		return list
	}
	l.listedAt = kept.Written
	list = registry{Seq: kept.Seq, Whole: kept.Whole, Hosts: kept.Hosts}
	if err := list.validate(); err != nil {
		l.log.Error("state: the kept list is not valid; not used", "error", err)
		return l.cfg.known
	}
	return list
}

// recallBaselines hands the balancer the kept figures of servers it now lists.
func (l *loop) recallBaselines(now balancer.Micros, kept *state.Snapshot) {
	if kept == nil {
		return
	}
	figures := make([]balancer.EndpointSnapshot, 0, len(kept.Servers))
	for _, s := range kept.Servers {
		if id, ok := l.ids[s.Host]; ok {
			figures = append(figures, balancer.EndpointSnapshot{ID: id, LatencyBaseline: s.Base, LatencyCurrent: s.Current, ServiceTime: s.Pace, FailureRate: s.Errs})
		}
	}
	l.balancer.Restore(now, figures)
}

// keeper writes snapshots away from the loop, the latest only where it falls behind.
type keeper struct {
	dir  string
	log  *slog.Logger
	next chan *state.Snapshot
	took atomic.Int64 // nanoseconds the last save took, for the loop's cadence
}

func newKeeper(dir string, log *slog.Logger) *keeper {
	k := &keeper{dir: dir, log: log, next: make(chan *state.Snapshot, 1)}
	go k.run()
	return k
}

// offer hands a snapshot over without waiting; one not yet written gives way to it. The loop alone calls it.
func (k *keeper) offer(s *state.Snapshot) {
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

func (k *keeper) run() {
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
	if l.keeper == nil {
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
	s.OpsSeq, s.Banned, s.Drained = orders.Seq, orders.Banned, orders.Drained
}

// snapshot is what the loop knows now that is worth keeping.
func (l *loop) snapshot(now balancer.Micros) *state.Snapshot {
	s := &state.Snapshot{Name: l.cfg.Name, Written: l.listedAt, Whole: true}
	if l.seq != nil {
		s.Seq = *l.seq
	}
	for _, to := range l.listings {
		if to.state != balancer.Removed {
			s.Hosts = append(s.Hosts, to.host)
		}
	}
	sort.Slice(s.Hosts, func(i, j int) bool { return s.Hosts[i].Name < s.Hosts[j].Name })
	if l.orders != nil {
		order(s, *l.orders())
	} else { // no operators here; those of an earlier process hold
		for id := range l.banned {
			s.Banned = append(s.Banned, l.names[id])
		}
		sort.Strings(s.Banned)
	}
	s.View = l.keepView()
	for _, k := range l.balancer.Snapshot(now) {
		s.Servers = append(s.Servers, state.Server{Host: l.names[k.ID], Base: k.LatencyBaseline, Current: k.LatencyCurrent, Pace: k.ServiceTime, Errs: k.FailureRate})
	}
	return s
}

// keepCadence is the time to the next snapshot after one that took took.
func keepCadence(took time.Duration) time.Duration { return max(keepEvery, keepBudget*took) }
