package lab

import (
	"context"
	"sync"
	"time"

	"bramblestand/internal/lab/history"
)

// discoveryOutages are the windows in which a link fault cut sidecars off from discovery, by sidecar and fault.
type discoveryOutages map[[2]int]window

// record records that a fault begins to cut a sidecar off from discovery, or with ends set, that it no longer does.
func (o discoveryOutages) record(sidecar, fault int, ends bool, at time.Duration) {
	k := [2]int{sidecar, fault}
	if w, ok := o[k]; ok && ends {
		o[k] = window{w.from, at}
	} else if !ends {
		o[k] = window{at, openEnd}
	}
}

// overlaps reports whether a sidecar was cut off from discovery at any time in [from, to].
func (o discoveryOutages) overlaps(sidecar int, from, to time.Duration) bool {
	for k, w := range o {
		if k[0] == sidecar && w.from <= to && from <= w.to {
			return true
		}
	}
	return false
}

// Mark is the begin or the end of a fault on the lab's clock, for reports.
type Mark struct {
	AtMs  float64 `json:"at_ms"`
	Label string  `json:"label"`
}

// runSchedule begins and ends the faults at their times, until ctx ends. It returns when all changes are applied.
func (bed *testbed) runSchedule(ctx context.Context, events []Event) []Mark {
	var marks []Mark
	faultsBegun := map[int]chan struct{}{} // by fault; a channel is closed when the fault's begin has been applied
	var changes sync.WaitGroup
	defer changes.Wait()
	for _, ev := range events {
		if !bed.requests.waitUntil(ctx, ev.At) {
			return marks
		}
		if !ev.Quiet {
			marks = append(marks, Mark{AtMs: ms(bed.requests.Elapsed()), Label: ev.Label()})
			bed.log.Info("fault", "event", ev.Label(), "lab_ms", bed.requests.Elapsed().Milliseconds())
		}
		at := bed.requests.nowMicros()
		bed.history.Add(history.Event{Kind: history.Fault, Op: ev.Label(), Call: at, Return: at})
		bed.startEvent(ev, faultsBegun, &changes)
	}
	return marks
}

// startEvent begins or ends a fault. Faults on links are applied before it returns, and so in the order of the events.
// Other faults are applied concurrently, since a kill or a start may take long, but a fault's end waits for its begin.
func (bed *testbed) startEvent(ev Event, faultsBegun map[int]chan struct{}, changes *sync.WaitGroup) {
	if rule, _ := (selectorResolver{bed.exp}).linkRule(ev.Fault); rule != nil {
		bed.applyLinkEvent(ev, rule)
		return
	}
	before, done := faultsBegun[ev.ID], make(chan struct{})
	if !ev.Heal {
		faultsBegun[ev.ID] = done
	}
	changes.Add(1)
	go func() {
		defer changes.Done()
		defer close(done)
		if ev.Heal {
			<-before
		}
		bed.applyEvent(ev)
	}()
}

// applyLinkEvent activates or deactivates the rule of a fault on links, and records which sidecars it cuts off from
// discovery.
func (bed *testbed) applyLinkEvent(ev Event, rule *Rule) {
	if ev.Heal {
		if end := bed.endRules[ev.ID]; end != nil {
			end()
		}
	} else {
		bed.endRules[ev.ID] = bed.network.Begin(rule)
	}
	discovery := (selectorResolver{bed.exp}).discovery()
	if !rule.Cut {
		return
	}
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for i := range bed.exp.Fleet.Sidecars {
		if e := endpoint(i); rule.Match(e, discovery) || rule.Match(discovery, e) {
			bed.discoveryOutages.record(i, ev.ID, ev.Heal, bed.requests.Elapsed())
		}
	}
}

// applyEvent begins or ends a fault that is not on links, and returns when that is done.
func (bed *testbed) applyEvent(ev Event) {
	var changes sync.WaitGroup // several sidecars at a time, since each change waits for an exit or for readiness
	defer changes.Wait()
	start := func(i int, change func(int)) {
		changes.Add(1)
		go func() {
			defer changes.Done()
			change(i)
		}()
	}
	for _, i := range ev.Fault.Sidecars {
		if ev.Heal {
			bed.endSidecarFault(ev.Fault.Kind, i, start)
		} else {
			bed.beginSidecarFault(ev.Fault.Kind, i, start)
		}
	}
	for _, i := range ev.Fault.Servers {
		bed.applyServerEvent(ev, bed.servers[i])
	}
	if ev.Fault.Kind == "discovery" {
		if ev.Fault.Mode == "down" {
			bed.discovery.SetDown(!ev.Heal)
		} else {
			bed.discovery.SetLag(ev.Fault.Delay.Duration, !ev.Heal)
		}
	}
	for _, m := range ev.Fault.Machines {
		bed.applyMachineEvent(ev, m, start)
	}
}

// beginSidecarFault begins a fault of sidecar i. It passes changes that take long to start, which runs them concurrently.
func (bed *testbed) beginSidecarFault(kind string, i int, start func(int, func(int))) {
	switch kind {
	case "join":
		start(i, bed.sidecars.Release)
	case "upgrade":
		start(i, bed.sidecars.Upgrade)
	case "kill":
		start(i, bed.sidecars.Kill)
	case "term":
		start(i, bed.sidecars.Terminate)
	case "pause":
		bed.sidecars.Pause(i)
	}
}

// endSidecarFault ends a fault of sidecar i. It passes changes that take long to start, which runs them concurrently.
func (bed *testbed) endSidecarFault(kind string, i int, start func(int, func(int))) {
	switch kind {
	case "join": // the end of a temporary join
		start(i, bed.sidecars.Terminate)
	case "kill", "term":
		start(i, bed.sidecars.Release)
	case "pause":
		start(i, bed.sidecars.Resume)
	}
}

// applyServerEvent begins or ends a fault of one server.
func (bed *testbed) applyServerEvent(ev Event, s *FakeServer) {
	switch {
	case ev.Fault.Kind == "reset":
		s.Listener.Reset(!ev.Heal)
	case ev.Fault.Kind == "drain" && s.countDrain(!ev.Heal):
		if ev.Heal {
			s.SetDrained(time.Time{})
			bed.discovery.Set(instanceOf(s, "Ready"), nil)
		} else { // removalGrace begins when callers of discovery can learn of the drain
			bed.discovery.Set(instanceOf(s, "Terminating"), func() { s.SetDrained(time.Now()) })
		}
	}
}

// applyMachineEvent begins or ends a fault of one machine, which affects all of its sidecars or its disk.
func (bed *testbed) applyMachineEvent(ev Event, m int, start func(int, func(int))) {
	var sidecars []int
	for i := range bed.exp.Fleet.Sidecars {
		if bed.exp.machineOf(i) == m {
			sidecars = append(sidecars, i)
		}
	}
	var err error
	switch kind := ev.Fault.Kind; {
	case kind == "disk":
		err = bed.applyDiskEvent(ev, m)
	case kind == "machine-pause" && !ev.Heal:
		for _, i := range sidecars {
			bed.sidecars.Pause(i)
		}
	case kind == "machine-pause":
		for _, i := range sidecars {
			start(i, bed.sidecars.Resume)
		}
	case !ev.Heal: // machine-kill, machine-replace
		err = bed.killMachine(ev, m, sidecars)
	default:
		bed.restartMachine(ev, sidecars, start)
	}
	if err != nil {
		bed.sidecars.recordFailure(sidecars[0], "machine %d: disk of the lab: %v", m, err)
	}
}

// applyDiskEvent begins or ends a fault of one machine's disk.
func (bed *testbed) applyDiskEvent(ev Event, m int) error {
	switch ev.Fault.Mode {
	case "full":
		bed.sidecars.SetFull(m, !ev.Heal)
		return nil
	case "readonly":
		return bed.disks[m].setReadonly(!ev.Heal)
	default:
		bed.disks[m].setSlow(ev.ID, ev.Fault.Delay.Duration, !ev.Heal)
		return nil
	}
}

// losesSettings reports whether a fault makes a machine's sidecars lose all settings that they confirmed.
func (bed *testbed) losesSettings(f Fault) bool {
	return f.Kind == "machine-replace" || f.Kind == "machine-kill" && !bed.exp.Fleet.State
}

// killMachine kills all sidecars of a machine at once, and clears its whole disk if the machine is replaced, otherwise
// only its TMPDIR.
func (bed *testbed) killMachine(ev Event, m int, sidecars []int) error {
	if bed.losesSettings(ev.Fault) {
		bed.mu.Lock()
		bed.wipedAt[ev.ID] = bed.requests.nowMicros()
		bed.mu.Unlock()
	}
	var processes []*sidecarProcess
	for _, i := range sidecars {
		processes = append(processes, bed.sidecars.holdDown(i, true)...)
	}
	for _, process := range processes {
		<-process.exited
	}
	if ev.Fault.Kind == "machine-replace" {
		return bed.disks[m].replace()
	}
	return bed.disks[m].reboot()
}

// restartMachine starts the sidecars of a machine that was killed. If they lost their settings, it records that in the
// history.
func (bed *testbed) restartMachine(ev Event, sidecars []int, start func(int, func(int))) {
	for _, i := range sidecars {
		if bed.losesSettings(ev.Fault) {
			bed.mu.Lock()
			wipedAt := bed.wipedAt[ev.ID]
			bed.mu.Unlock()
			bed.history.Add(history.Event{Kind: history.Wipe, Sidecar: sidecarName(i), Op: ev.Label(), Call: wipedAt, Return: bed.requests.nowMicros()})
		}
		start(i, bed.sidecars.Release)
	}
}
