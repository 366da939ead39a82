package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramblestand/internal/sidecar"
)

// Events' own figures.
const (
	rackSize  = 30
	toldAfter = 10 * time.Second // machines lost without a word: the platform's time to take them off the list
	apartFor  = time.Hour
	eventTail = 60 * time.Second // after an event
	settleFor = 60 * time.Second
)

// Play plays one rung on the clock that holds: a program's is virtual (see Child).
func Run(spec Spec, costs Costs) (*Result, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	f := newFleet(&spec)
	f.costs = costs
	return f.play()
}

func (f *fleet) play() (*Result, error) {
	spec, costs := *f.spec, f.costs
	r := &Result{Spec: spec, Calls: map[string]int64{}, FailedChecks: []string{}, Costs: costs}
	before := heapMB()
	random := rand.New(rand.NewPCG(spec.Seed, 2))
	starts := make([]time.Duration, spec.Sidecars)
	for i := range starts {
		starts[i] = time.Duration(random.Int64N(int64(spec.StartSpread.Duration) + 1))
	}
	errs := make(chan error, spec.Sidecars)
	for i, at := range starts {
		go func() {
			time.Sleep(at)
			errs <- f.start(i)
		}()
	}
	r.Phases = append(r.Phases, f.phase("start", spec.StartDuration.Duration))
	for range starts {
		if err := <-errs; err != nil {
			f.close()
			return nil, err
		}
	}
	f.until(spec.WarmUp.Duration)
	r.Phases = append(r.Phases, f.phase("steady", spec.WarmUp.Duration+spec.SteadyDuration.Duration))
	r.HeapKB = (heapMB() - before) * 1024 / float64(spec.Sidecars)
	if err := f.effort(r); err != nil {
		r.FailedChecks = append(r.FailedChecks, err.Error())
	}
	ready := make([]bool, spec.Servers)
	for j := range ready {
		ready[j] = true
	}
	if _, wrong := f.settle(ready, time.Second); wrong > 0 {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d processes do not hold the list at the end of the steady phase", wrong))
	}
	f.event(r, ready)
	f.close()
	r.FailedChecks = append(r.FailedChecks, f.check()...)
	for o, name := range outcomeNames {
		for s := range f.seconds {
			r.Calls[name] += f.seconds[s][o].Load()
		}
	}
	r.CPUSeconds, r.PeakMB = cpuSeconds(), peakMB()
	return r, nil
}

// effort asks all sidecars what the module's events took.
func (f *fleet) effort(r *Result) error {
	r.EventCosts = map[string]EventCost{}
	var elapsed [len(sidecar.EventKindNames)]time.Duration
	for _, m := range f.sidecars {
		for _, p := range m.procs {
			e, err := p.hollow.EventCosts()
			if err != nil {
				return fmt.Errorf("sidecar %d: %w", m.number, err)
			}
			for k, name := range sidecar.EventKindNames {
				elapsed[k] += e.CPUTime[k]
				all := r.EventCosts[name]
				all.Events += e.Events[k]
				all.MicrosEach = float64(elapsed[k].Nanoseconds()) / 1e3 / float64(max(1, all.Events))
				r.EventCosts[name] = all
			}
		}
	}
	return nil
}

// close ends all and waits for it.
func (f *fleet) close() {
	for i := range f.sidecars {
		f.stop(i)
	}
	f.running.Wait()
	time.Sleep(time.Minute) // timers run out, and what is on its way arrives
}

// check says which promises of the counts do not hold, once all has ended: what is sent is borne, or known to be lost,
// and each call has one outcome.
func (f *fleet) check() (broken []string) {
	var sent, borne [kinds]int64
	for _, m := range f.sidecars {
		for k, n := range counts(&m.sent) {
			sent[k] += n
		}
	}
	for _, s := range f.net.servers {
		for k, n := range counts(&s.borne) {
			borne[k] += n
		}
	}
	for _, a := range f.net.agents {
		for k, n := range counts(&a.borne) {
			borne[k] += n
		}
	}
	if a, b := sent[probes]+sent[attempts], borne[probes]+borne[attempts]+sent[unheard]; a != b {
		broken = append(broken, fmt.Sprintf("%d probes and attempts were sent, %d were borne or lost", a, b))
	}
	for _, k := range []kind{probeConns, attemptConns, listBytes} {
		if sent[k] != borne[k] {
			broken = append(broken, fmt.Sprintf("%s: %d on the sidecars' side, %d on the other", kindNames[k], sent[k], borne[k]))
		}
	}
	ended := int64(0)
	for s := range f.seconds {
		for o := range f.seconds[s] {
			ended += f.seconds[s][o].Load()
		}
	}
	if placed := f.placed.Load(); placed != ended {
		broken = append(broken, fmt.Sprintf("%d calls, %d outcomes", placed, ended))
	}
	return broken
}

// machines is what an event acts on: the servers of these numbers, and the sidecars beside them.
func (f *fleet) lose(machines []int) {
	for _, i := range machines {
		f.stop(i)
		f.net.servers[i].silent.Store(true)
	}
}

// back starts machines again, cold.
func (f *fleet) back(machines []int, r *Result) {
	for _, i := range machines {
		s := f.net.servers[i]
		s.life.Add(1)
		s.Restart()
		s.silent.Store(false)
		s.down.Store(false)
		f.tell(i, "Ready", 1)
		if err := f.start(i); err != nil {
			r.FailedChecks = append(r.FailedChecks, err.Error())
		}
	}
}

// restart takes machines through a planned restart: told as terminating, gone a second later, back after down more.
func (f *fleet) restart(machines []int, down time.Duration, ready []bool, r *Result) {
	for _, i := range machines {
		f.tell(i, "Terminating", 1)
		ready[i] = false
	}
	time.Sleep(time.Second)
	for _, i := range machines {
		f.stop(i)
		f.net.servers[i].down.Store(true)
		f.tell(i, "Gone", 1)
	}
	time.Sleep(down)
	f.back(machines, r)
	for _, i := range machines {
		ready[i] = true
	}
}

// event plays what happens after the steady phase.
func (f *fleet) event(r *Result, ready []bool) {
	all := func(take func(i int) bool) (list []int) {
		for i := range f.sidecars {
			if take(i) {
				list = append(list, i)
			}
		}
		return list
	}
	// during plays acts beside a phase and adds what they came to.
	during := func(name string, length time.Duration, act func(p *Phase)) {
		from := time.Since(f.began)
		var extra Phase
		done := make(chan struct{})
		go func() { defer close(done); act(&extra) }()
		p := f.phase(name, from+length)
		<-done
		p.Note, p.SettledSeconds, p.WrongProcesses = extra.Note, extra.SettledSeconds, extra.WrongProcesses
		p.RecoverySeconds = f.recovered(from, time.Since(f.began))
		r.Phases = append(r.Phases, p)
	}
	settle := func(p *Phase) {
		took, wrong := f.settle(ready, settleFor)
		if p.WrongProcesses += wrong; wrong > 0 {
			p.SettledSeconds = -1
		} else {
			p.SettledSeconds = max(p.SettledSeconds, took)
		}
	}
	machines := func(list []int, silent time.Duration, downFor time.Duration) {
		during("lost", downFor, func(p *Phase) {
			f.lose(list)
			time.Sleep(silent)
			for _, i := range list {
				f.tell(i, "Gone", 1)
				ready[i] = false
			}
			settle(p)
			p.Note = fmt.Sprintf("%d machines; taken off the list after %v", len(list), silent)
		})
		during("back", eventTail, func(p *Phase) {
			for _, i := range list {
				ready[i] = true
			}
			f.back(list, r)
			settle(p)
			p.Note = fmt.Sprintf("%d machines, cold", len(list))
		})
	}
	switch f.spec.Event {
	case "changes":
		during("changes", time.Minute, func(p *Phase) {
			p.Note = "5 servers taken off the list and put back, 10 changes in a minute"
			for c := range 10 {
				at := time.Now()
				j := c / 2 * f.spec.Servers / 5
				ready[j] = !ready[j]
				f.tell(j, map[bool]string{true: "Ready", false: "Terminating"}[ready[j]], 1)
				settle(p)
				time.Sleep(5*time.Second - time.Since(at))
			}
		})
	case "restarts":
		during("restarts", time.Minute, func(p *Phase) {
			p.Note = "10 machines in turn, 6 s apart, down for 3 s"
			for c := range 10 {
				at := time.Now()
				f.restart([]int{c * f.spec.Servers / 10}, 2*time.Second, ready, r)
				settle(p)
				time.Sleep(6*time.Second - time.Since(at))
			}
		})
	case "tenth":
		during("tenth", eventTail, func(p *Phase) {
			list := all(func(i int) bool { return i%10 == 3 })
			f.restart(list, 2*time.Second, ready, r)
			settle(p)
			p.Note = fmt.Sprintf("%d machines restarted at once, down for 3 s", len(list))
		})
	case "rack":
		machines(all(func(i int) bool { return f.spec.zone(i) == 2 && i/f.spec.Zones < rackSize }), toldAfter, eventTail)
	case "zone":
		machines(all(func(i int) bool { return f.spec.zone(i) == 2 }), toldAfter, eventTail)
	case "apart":
		during("apart", apartFor, func(p *Phase) { f.net.apart.Store(true); p.Note = "nothing passes between the regions" })
		during("together", eventTail, func(p *Phase) { f.net.apart.Store(false); settle(p) })
	}
	if f.spec.Event != "" {
		during("after", window, func(*Phase) {})
	}
}

// recovered gives the seconds from an instant until the last second with 1 call in 100 or more refused, failed or late
// had passed, before another instant.
func (f *fleet) recovered(from, to time.Duration) float64 {
	last := from
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		bad := f.seconds[s][refused].Load() + f.seconds[s][failed].Load() + f.seconds[s][late].Load()
		if all := bad + f.seconds[s][served].Load(); bad*100 >= all && bad > 0 {
			last = time.Duration(s+1) * time.Second
		}
	}
	return (last - from).Seconds()
}
