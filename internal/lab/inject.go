package lab

import (
	"context"
	"sync"
	"time"

	"bramblestand/internal/lab/history"
)

// discoveryOutages are the windows in which a link fault cut sidecars off from discovery, by sidecar and fault.
type discoveryOutages map[[2]int]window

func (b discoveryOutages) record(sidecar, fault int, ends bool, at time.Duration) {
	k := [2]int{sidecar, fault}
	if w, ok := b[k]; ok && ends {
		b[k] = window{w.from, at}
	} else if !ends {
		b[k] = window{at, openEnd}
	}
}

// overlaps reports whether a sidecar was cut off from discovery at any time in [from, to].
func (b discoveryOutages) overlaps(sidecar int, from, to time.Duration) bool {
	for k, w := range b {
		if k[0] == sidecar && w.from <= to && from <= w.to {
			return true
		}
	}
	return false
}

// Mark is the begin or end of a fault on the lab's clock, for reports.
type Mark struct {
	AtMs  float64 `json:"at_ms"`
	Label string  `json:"label"`
}

func (w *testbed) runSchedule(ctx context.Context, events []Event) []Mark {
	var marks []Mark
	begun := map[int]chan struct{}{} // by fault, closed when its begin was applied
	var acting sync.WaitGroup
	defer acting.Wait()
	for _, ev := range events {
		if !w.requests.waitUntil(ctx, ev.At) {
			return marks
		}
		if !ev.Quiet {
			marks = append(marks, Mark{AtMs: ms(w.requests.Elapsed()), Label: ev.Label()})
			w.log.Info("fault", "event", ev.Label(), "lab_ms", w.requests.Elapsed().Milliseconds())
		}
		at := w.requests.nowMicros()
		w.history.Add(history.Event{Kind: history.Fault, Op: ev.Label(), Call: at, Return: at})
		w.startEvent(ev, begun, &acting)
	}
	return marks
}

// startEvent begins or ends a fault. Links change at once and in order. Sidecars, machines and servers change
// concurrently with other events, since a kill or start may take long, but a fault's end waits for its begin.
func (w *testbed) startEvent(ev Event, begun map[int]chan struct{}, acting *sync.WaitGroup) {
	if rule, _ := (selectorResolver{w.exp}).linkRule(ev.Fault); rule != nil {
		w.applyLinkEvent(ev, rule)
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
		w.applyEvent(ev)
	}()
}

// applyLinkEvent activates or deactivates the rule of a fault.
func (w *testbed) applyLinkEvent(ev Event, rule *Rule) {
	if ev.Heal {
		if end := w.endRules[ev.ID]; end != nil {
			end()
		}
	} else {
		w.endRules[ev.ID] = w.network.Begin(rule)
	}
	discovery := (selectorResolver{w.exp}).discovery()
	if !rule.Cut {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.exp.Fleet.Sidecars {
		if e := endpoint(i); rule.Match(e, discovery) || rule.Match(discovery, e) {
			w.discoveryOutages.record(i, ev.ID, ev.Heal, w.requests.Elapsed())
		}
	}
}

func (w *testbed) applyEvent(ev Event) {
	f := ev.Fault
	var side sync.WaitGroup // several sidecars at a time, since each change waits for an exit or for readiness
	defer side.Wait()
	each := func(i int, do func(int)) {
		side.Add(1)
		go func() { defer side.Done(); do(i) }()
	}
	for _, i := range f.Sidecars {
		switch {
		case f.Kind == "join" && !ev.Heal:
			each(i, w.sidecars.Release)
		case f.Kind == "join": // the end of a temporary join
			each(i, w.sidecars.Terminate)
		case f.Kind == "upgrade" && !ev.Heal:
			each(i, w.sidecars.Upgrade)
		case f.Kind == "kill" && !ev.Heal:
			each(i, w.sidecars.Kill)
		case f.Kind == "term" && !ev.Heal:
			each(i, w.sidecars.Terminate)
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
			s.Listener.Reset(!ev.Heal)
		case f.Kind == "drain" && s.countDrain(!ev.Heal):
			if ev.Heal {
				s.SetDrained(time.Time{})
				w.discovery.Set(instanceOf(s, "Ready"), nil)
			} else { // removalGrace begins when discovery can report it
				w.discovery.Set(instanceOf(s, "Terminating"), func() { s.SetDrained(time.Now()) })
			}
		}
	}
	if f.Kind == "discovery" {
		if f.Mode == "down" {
			w.discovery.SetDown(!ev.Heal)
		} else {
			w.discovery.SetLag(f.Delay.Duration, !ev.Heal)
		}
	}
	for _, m := range f.Machines {
		w.applyMachineEvent(ev, m, each)
	}
}

// applyMachineEvent begins or ends a fault of one machine: of all its sidecars together, and its disk.
func (w *testbed) applyMachineEvent(ev Event, m int, each func(int, func(int))) {
	f := ev.Fault
	var mine []int
	for i := range w.exp.Fleet.Sidecars {
		if w.exp.machineOf(i) == m {
			mine = append(mine, i)
		}
	}
	d := w.disks[m]
	recordError := func(err error) {
		if err != nil {
			w.sidecars.recordFailure(mine[0], "machine %d: disk of the lab: %v", m, err)
		}
	}
	loses := f.Kind == "machine-replace" || f.Kind == "machine-kill" && !w.exp.Fleet.State // all settings that its sidecars had confirmed
	switch {
	case f.Kind == "disk" && f.Mode == "full":
		w.sidecars.SetFull(m, !ev.Heal)
	case f.Kind == "disk" && f.Mode == "readonly":
		recordError(d.setReadonly(!ev.Heal))
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
			w.wipedAt[ev.ID] = w.requests.nowMicros()
			w.mu.Unlock()
		}
		var processes []*sidecarProcess
		for _, i := range mine { // all at once
			processes = append(processes, w.sidecars.holdDown(i, true)...)
		}
		for _, process := range processes {
			<-process.exited
		}
		if f.Kind == "machine-replace" {
			recordError(d.replace())
		} else {
			recordError(d.reboot())
		}
	default:
		for _, i := range mine {
			if loses {
				w.mu.Lock()
				from := w.wipedAt[ev.ID]
				w.mu.Unlock()
				w.history.Add(history.Event{Kind: history.Wipe, Sidecar: sidecarName(i), Op: ev.Label(), Call: from, Return: w.requests.nowMicros()})
			}
			each(i, w.sidecars.Release)
		}
	}
}
