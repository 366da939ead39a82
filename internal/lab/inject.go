package lab

import (
	"context"
	"sync"
	"time"

	"bramblestand/internal/lab/history"
)

// blinds are the spells in which a link fault kept sidecars from hearing discovery, by sidecar and fault.
type blinds map[[2]int]window

func (b blinds) note(sidecar, fault int, ends bool, at time.Duration) {
	k := [2]int{sidecar, fault}
	if w, ok := b[k]; ok && ends {
		b[k] = window{w.from, at}
	} else if !ends {
		b[k] = window{at, stillDown}
	}
}

// within tells whether a sidecar could not hear discovery at some time in [from, to].
func (b blinds) within(sidecar int, from, to time.Duration) bool {
	for k, w := range b {
		if k[0] == sidecar && w.from <= to && from <= w.to {
			return true
		}
	}
	return false
}

// Mark is a fault as played, on the lab's clock, for reports.
type Mark struct {
	AtMs  float64 `json:"at_ms"`
	Label string  `json:"label"`
}

func (w *world) play(ctx context.Context, events []Event) []Mark {
	var marks []Mark
	begun := map[int]chan struct{}{} // by fault, closed when its begin was acted on
	var acting sync.WaitGroup
	defer acting.Wait()
	for _, ev := range events {
		if !w.ledger.until(ctx, ev.At) {
			return marks
		}
		if !ev.Quiet {
			marks = append(marks, Mark{AtMs: ms(w.ledger.Since()), Label: ev.Label()})
			w.log.Info("fault", "event", ev.Label(), "lab_ms", w.ledger.Since().Milliseconds())
		}
		at := w.ledger.micros()
		w.history.Add(history.Event{Kind: history.Fault, Op: ev.Label(), Call: at, Return: at})
		w.do(ev, begun, &acting)
	}
	return marks
}

// do begins or ends a fault: links at once and in order; sidecars, machines
// and servers beside other events, which a slow kill or start must not hold up, but not before the fault's own begin is done.
func (w *world) do(ev Event, begun map[int]chan struct{}, acting *sync.WaitGroup) {
	if rule, _ := (names{w.exp}).rule(ev.Fault); rule != nil {
		w.link(ev, rule)
		return
	}
	before, done := begun[ev.ID], make(chan struct{})
	if !ev.Heal {
		begun[ev.ID] = done
	}
	acting.Add(1)
	go func() {
		defer acting.Done()
		defer close(done)
		if ev.Heal {
			<-before
		}
		w.act(ev)
	}()
}

// link puts the rule of a fault on, or takes it off.
func (w *world) link(ev Event, rule *Rule) {
	if ev.Heal {
		if end := w.rules[ev.ID]; end != nil {
			end()
		}
	} else {
		w.rules[ev.ID] = w.network.Begin(rule)
	}
	discovery := (names{w.exp}).discovery()
	if !rule.Cut {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.exp.Fleet.Sidecars {
		if e := endpoint(i); rule.Match(e, discovery) || rule.Match(discovery, e) {
			w.blind.note(i, ev.ID, ev.Heal, w.ledger.Since())
		}
	}
}

func (w *world) act(ev Event) {
	f := ev.Fault
	var side sync.WaitGroup // on several sidecars side by side: each waits for its own end or yes
	defer side.Wait()
	each := func(i int, do func(int)) {
		side.Add(1)
		go func() { defer side.Done(); do(i) }()
	}
	for _, i := range f.Sidecars {
		switch {
		case f.Kind == "join" && !ev.Heal:
			each(i, w.sidecars.Release)
		case f.Kind == "join": // one that joined for a while only
			each(i, w.sidecars.Term)
		case f.Kind == "upgrade" && !ev.Heal:
			each(i, w.sidecars.Upgrade)
		case f.Kind == "kill" && !ev.Heal:
			each(i, w.sidecars.Kill)
		case f.Kind == "term" && !ev.Heal:
			each(i, w.sidecars.Term)
		case f.Kind == "kill" || f.Kind == "term":
			each(i, w.sidecars.Release)
		case f.Kind == "pause" && !ev.Heal:
			w.sidecars.Pause(i)
		case f.Kind == "pause":
			each(i, w.sidecars.Resume)
		}
	}
	for _, i := range f.Servers {
		s := w.servers[i]
		switch {
		case f.Kind == "reset":
			s.Faults.Reset(!ev.Heal)
		case f.Kind == "drain" && s.drain(!ev.Heal):
			if ev.Heal {
				s.SetDrained(time.Time{})
				w.disco.Set(host(s, "Ready"), nil)
			} else { // the 1.5 s run from when discovery can tell it
				w.disco.Set(host(s, "Terminating"), func() { s.SetDrained(time.Now()) })
			}
		}
	}
	if f.Kind == "discovery" {
		if f.Mode == "down" {
			w.disco.SetDown(!ev.Heal)
		} else {
			w.disco.SetLag(f.Delay.Duration, !ev.Heal)
		}
	}
	for _, m := range f.Machines {
		w.machine(ev, m, each)
	}
}

// machine acts on one machine: all its sidecars together, and its disk.
func (w *world) machine(ev Event, m int, each func(int, func(int))) {
	f := ev.Fault
	var mine []int
	for i := range w.exp.Fleet.Sidecars {
		if w.exp.machine(i) == m {
			mine = append(mine, i)
		}
	}
	d := w.disks[m]
	trouble := func(err error) {
		if err != nil {
			w.sidecars.trouble(mine[0], "machine %d: the lab's disk: %v", m, err)
		}
	}
	loses := f.Kind == "machine-replace" || f.Kind == "machine-kill" && !w.exp.Fleet.State // all that its sidecars were promised to keep
	switch {
	case f.Kind == "disk" && f.Mode == "full":
		w.sidecars.SetFull(m, !ev.Heal)
	case f.Kind == "disk" && f.Mode == "readonly":
		trouble(d.setReadonly(!ev.Heal))
	case f.Kind == "disk":
		d.setSlow(ev.ID, f.Delay.Duration, !ev.Heal)
	case f.Kind == "machine-pause" && !ev.Heal:
		for _, i := range mine {
			w.sidecars.Pause(i)
		}
	case f.Kind == "machine-pause":
		for _, i := range mine {
			each(i, w.sidecars.Resume)
		}
	case !ev.Heal: // machine-kill, machine-replace
		if loses {
			w.mu.Lock()
			w.wiped[ev.ID] = w.ledger.micros()
			w.mu.Unlock()
		}
		var lives []*life
		for _, i := range mine { // all at once
			lives = append(lives, w.sidecars.hold(i, true)...)
		}
		for _, l := range lives {
			<-l.exited
		}
		if f.Kind == "machine-replace" {
			trouble(d.replace())
		} else {
			trouble(d.reboot())
		}
	default:
		for _, i := range mine {
			if loses {
				w.mu.Lock()
				from := w.wiped[ev.ID]
				w.mu.Unlock()
				w.history.Add(history.Event{Kind: history.Wipe, Sidecar: sidecarName(i), Op: ev.Label(), Call: from, Return: w.ledger.micros()})
			}
			each(i, w.sidecars.Release)
		}
	}
}
