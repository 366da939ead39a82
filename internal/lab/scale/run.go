package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramblestand/internal/sidecar"
)

// Constants of the events.
const (
	machinesPerRack   = 30               // a rack's machines are in one zone
	lossDetectionTime = 10 * time.Second // time until the platform takes machines that crashed off the list
	partitionDuration = time.Hour        // between regions
	eventDuration     = 60 * time.Second // length of the phases of other events
	settleTimeout     = 60 * time.Second // for sidecars to have the right targets after a change
)

// Run carries out a run on the clock of the caller: the real one, or the virtual one of a synctest bubble (see RunVirtual).
func Run(spec Spec, costs Costs) (*Result, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	f := newFleet(&spec)
	f.costs = costs
	return f.run()
}

// run carries out the phases of the run: start, steady, and those of the event. Consistency checks that fail are in the
// result.
func (f *fleet) run() (*Result, error) {
	spec, costs := *f.spec, f.costs
	r := &Result{Spec: spec, Calls: map[string]int64{}, FailedChecks: []string{}, Costs: costs}
	heapBefore := heapMB()
	random := rand.New(rand.NewPCG(spec.Seed, 2))
	starts := make([]time.Duration, spec.Sidecars)
	for i := range starts {
		starts[i] = time.Duration(random.Int64N(int64(spec.StartSpread.Duration) + 1))
	}
	errs := make(chan error, spec.Sidecars)
	for i, at := range starts {
		go func() {
			time.Sleep(at)
			errs <- f.startSidecar(i)
		}()
	}
	r.Phases = append(r.Phases, f.runPhase("start", spec.StartDuration.Duration))
	for range starts {
		if err := <-errs; err != nil {
			f.shutDown()
			return nil, err
		}
	}
	f.sleepUntil(spec.WarmUp.Duration)
	r.Phases = append(r.Phases, f.runPhase("steady", spec.WarmUp.Duration+spec.SteadyDuration.Duration))
	r.HeapKB = (heapMB() - heapBefore) * 1024 / float64(spec.Sidecars)
	if err := f.collectEventCosts(r); err != nil {
		r.FailedChecks = append(r.FailedChecks, err.Error())
	}
	ready := make([]bool, spec.Servers)
	for j := range ready {
		ready[j] = true
	}
	if _, wrong := f.awaitTargets(ready, time.Second); wrong > 0 {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d processes have other targets than the ready servers at the end of the steady phase", wrong))
	}
	f.runEvent(r, ready)
	f.shutDown()
	r.FailedChecks = append(r.FailedChecks, f.failedChecks()...)
	for o, name := range outcomeNames {
		for s := range f.outcomesBySecond {
			r.Calls[name] += f.outcomesBySecond[s][o].Load()
		}
	}
	r.CPUSeconds, r.PeakMB = cpuSeconds(), peakMB()
	return r, nil
}

// collectEventCosts adds the processor time of the decision module's events, by kind, over all sidecars.
func (f *fleet) collectEventCosts(r *Result) error {
	r.EventCosts = map[string]EventCost{}
	var elapsed [len(sidecar.EventKindNames)]time.Duration
	for _, m := range f.sidecars {
		for _, p := range m.processes {
			costs, err := p.hollow.EventCosts()
			if err != nil {
				return fmt.Errorf("sidecar %d: %w", m.number, err)
			}
			for k, name := range sidecar.EventKindNames {
				elapsed[k] += costs.CPUTime[k]
				cost := r.EventCosts[name]
				cost.Events += costs.Events[k]
				cost.MicrosEach = float64(elapsed[k].Nanoseconds()) / 1e3 / float64(max(1, cost.Events))
				r.EventCosts[name] = cost
			}
		}
	}
	return nil
}

// shutDown stops all sidecars and waits for their goroutines.
func (f *fleet) shutDown() {
	for i := range f.sidecars {
		f.stopSidecar(i)
	}
	f.running.Wait()
	time.Sleep(time.Minute) // lets outstanding timers expire and messages in flight arrive
}

// failedChecks returns the consistency checks of the counters that fail. It must be called after shutDown. Every request that
// was sent must have been received or counted as undelivered, and each call must have one outcome.
func (f *fleet) failedChecks() (failures []string) {
	var sent, received [counterCount]int64
	for _, m := range f.sidecars {
		for k, n := range counterValues(&m.counters) {
			sent[k] += n
		}
	}
	for _, s := range f.net.servers {
		for k, n := range counterValues(&s.received) {
			received[k] += n
		}
	}
	for _, a := range f.net.agents {
		for k, n := range counterValues(&a.received) {
			received[k] += n
		}
	}
	if a, b := sent[probes]+sent[attempts], received[probes]+received[attempts]+sent[undelivered]; a != b {
		failures = append(failures, fmt.Sprintf("%d probes and attempts were sent, %d were received or lost", a, b))
	}
	for _, k := range []counter{probeConns, attemptConns, listBytes} {
		if sent[k] != received[k] {
			failures = append(failures, fmt.Sprintf("%s: the sidecars counted %d, their peers %d", counterNames[k], sent[k], received[k]))
		}
	}
	ended := int64(0)
	for s := range f.outcomesBySecond {
		for o := range f.outcomesBySecond[s] {
			ended += f.outcomesBySecond[s][o].Load()
		}
	}
	if callsSent := f.callsSent.Load(); callsSent != ended {
		failures = append(failures, fmt.Sprintf("%d calls, %d outcomes", callsSent, ended))
	}
	return failures
}

// loseMachines makes machines unreachable without notice: the servers of these numbers, and the sidecars beside them.
func (f *fleet) loseMachines(machines []int) {
	for _, i := range machines {
		f.stopSidecar(i)
		f.net.servers[i].unreachable.Store(true)
	}
}

// restoreMachines starts the servers and sidecars of machines again. The servers start cold.
func (f *fleet) restoreMachines(machines []int, r *Result) {
	for _, i := range machines {
		s := f.net.servers[i]
		s.incarnation.Add(1)
		s.Restart()
		s.unreachable.Store(false)
		s.down.Store(false)
		f.announce(i, "Ready", 1)
		if err := f.startSidecar(i); err != nil {
			r.FailedChecks = append(r.FailedChecks, err.Error())
		}
	}
}

// restartMachines restarts machines as planned: they are announced as terminating, stop a second later and start again after
// downtime.
func (f *fleet) restartMachines(machines []int, downtime time.Duration, ready []bool, r *Result) {
	for _, i := range machines {
		f.announce(i, "Terminating", 1)
		ready[i] = false
	}
	time.Sleep(time.Second)
	for _, i := range machines {
		f.stopSidecar(i)
		f.net.servers[i].down.Store(true)
		f.announce(i, "Gone", 1)
	}
	time.Sleep(downtime)
	f.restoreMachines(machines, r)
	for _, i := range machines {
		ready[i] = true
	}
}

// runEvent runs the phases of the event that follows the steady phase, if there is one.
func (f *fleet) runEvent(r *Result, ready []bool) {
	selectMachines := func(include func(i int) bool) (selected []int) {
		for i := range f.sidecars {
			if include(i) {
				selected = append(selected, i)
			}
		}
		return selected
	}
	// runDuring runs action during a phase of the given length, and adds what it observed to the phase.
	runDuring := func(name string, length time.Duration, action func(p *Phase)) {
		from := time.Since(f.started)
		var observed Phase
		done := make(chan struct{})
		go func() { defer close(done); action(&observed) }()
		p := f.runPhase(name, from+length)
		<-done
		p.Note, p.SettledSeconds, p.WrongProcesses = observed.Note, observed.SettledSeconds, observed.WrongProcesses
		p.RecoverySeconds = f.secondsUntilRecovered(from, time.Since(f.started))
		r.Phases = append(r.Phases, p)
	}
	// awaitSettled waits until all sidecars have the right targets.
	awaitSettled := func(p *Phase) {
		seconds, wrong := f.awaitTargets(ready, settleTimeout)
		if p.WrongProcesses += wrong; wrong > 0 {
			p.SettledSeconds = -1
		} else {
			p.SettledSeconds = max(p.SettledSeconds, seconds)
		}
	}
	// loseAndRestore makes machines unreachable, takes them off the list after detectionTime, and restores them after outage.
	loseAndRestore := func(selected []int, detectionTime time.Duration, outage time.Duration) {
		runDuring("lost", outage, func(p *Phase) {
			f.loseMachines(selected)
			time.Sleep(detectionTime)
			for _, i := range selected {
				f.announce(i, "Gone", 1)
				ready[i] = false
			}
			awaitSettled(p)
			p.Note = fmt.Sprintf("%d machines; taken off the list after %v", len(selected), detectionTime)
		})
		runDuring("back", eventDuration, func(p *Phase) {
			for _, i := range selected {
				ready[i] = true
			}
			f.restoreMachines(selected, r)
			awaitSettled(p)
			p.Note = fmt.Sprintf("%d machines, cold", len(selected))
		})
	}
	switch f.spec.Event {
	case "changes":
		runDuring("changes", time.Minute, func(p *Phase) {
			p.Note = "5 servers taken off the list and put back, 10 changes in a minute"
			for c := range 10 {
				at := time.Now()
				j := c / 2 * f.spec.Servers / 5
				ready[j] = !ready[j]
				f.announce(j, map[bool]string{true: "Ready", false: "Terminating"}[ready[j]], 1)
				awaitSettled(p)
				time.Sleep(5*time.Second - time.Since(at))
			}
		})
	case "restarts":
		runDuring("restarts", time.Minute, func(p *Phase) {
			p.Note = "10 machines in turn, 6 s apart, down for 3 s"
			for c := range 10 {
				at := time.Now()
				f.restartMachines([]int{c * f.spec.Servers / 10}, 2*time.Second, ready, r)
				awaitSettled(p)
				time.Sleep(6*time.Second - time.Since(at))
			}
		})
	case "tenth":
		runDuring("tenth", eventDuration, func(p *Phase) {
			selected := selectMachines(func(i int) bool { return i%10 == 3 })
			f.restartMachines(selected, 2*time.Second, ready, r)
			awaitSettled(p)
			p.Note = fmt.Sprintf("%d machines restarted at once, down for 3 s", len(selected))
		})
	case "rack":
		loseAndRestore(selectMachines(func(i int) bool { return f.spec.zoneOf(i) == 2 && i/f.spec.Zones < machinesPerRack }), lossDetectionTime, eventDuration)
	case "zone":
		loseAndRestore(selectMachines(func(i int) bool { return f.spec.zoneOf(i) == 2 }), lossDetectionTime, eventDuration)
	case "apart":
		runDuring("apart", partitionDuration, func(p *Phase) { f.net.partitioned.Store(true); p.Note = "nothing passes between the regions" })
		runDuring("together", eventDuration, func(p *Phase) { f.net.partitioned.Store(false); awaitSettled(p) })
	}
	if f.spec.Event != "" {
		runDuring("after", rateWindow, func(*Phase) {})
	}
}

// secondsUntilRecovered returns the time between from and the end of the last second before to in which 1 call in 100 or more
// was refused, failed or late; 0 if there is no such second.
func (f *fleet) secondsUntilRecovered(from, to time.Duration) float64 {
	last := from
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		bad := f.outcomesBySecond[s][refused].Load() + f.outcomesBySecond[s][failed].Load() + f.outcomesBySecond[s][late].Load()
		if total := bad + f.outcomesBySecond[s][served].Load(); bad*100 >= total && bad > 0 {
			last = time.Duration(s+1) * time.Second
		}
	}
	return (last - from).Seconds()
}
