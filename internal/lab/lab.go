package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramblestand/internal/lab/history"
)

// Run carries out an experiment: stand-ins and sidecars up, the load
// and the schedule played, everything ended, and the result reckoned. The
// folder receives the sidecars' configurations and logs, their machines'
// disks and, with operators, history.jsonl. Run leaves no
// process behind, also when ctx ends early. It refuses what this process has
// too few file descriptors for.
func Run(ctx context.Context, exp *Experiment, program, folder string, log *slog.Logger) (*Result, error) {
	if err := exp.CheckDescriptors(1); err != nil {
		return nil, err
	}
	w, err := newWorld(exp, program, folder, log)
	if err != nil {
		return nil, err
	}
	defer w.close()
	schedule := exp.Schedule()
	for _, ev := range schedule {
		for _, i := range ev.Fault.Sidecars {
			if ev.Fault.Kind == "join" && !ev.Heal {
				w.sidecars.hold(i, false)
			}
		}
	}
	started, carried := time.Now(), loopback()
	sampling, sampled := context.WithCancel(ctx)
	defer sampled()
	samples := make(chan []Borne, 1)
	go func() { samples <- w.sampleBorne(sampling) }()
	if err := w.sidecars.startAll(); err != nil {
		return nil, err
	}
	log.Info("the fleet is up", "sidecars", exp.Fleet.Sidecars, "servers", exp.Fleet.Servers, "discovery", w.disco.Address())
	w.ledger.start = time.Now() // the lab's clock starts with the load
	late := newLateness(w.ledger)
	runCtx, cancel := context.WithTimeout(ctx, exp.Duration.Duration+exp.Load.Deadline.Duration+10*time.Second)
	defer cancel()
	go late.watch(runCtx)
	var played []Mark
	done := make(chan struct{})
	go func() { played = w.play(runCtx, schedule); close(done) }()
	var load sync.WaitGroup
	for i := range exp.Fleet.Sidecars {
		load.Add(1)
		go func() {
			defer load.Done()
			newClient(i, exp, w.ledger, w.sidecars, late).run(runCtx, exp.Arrivals(i))
		}()
	}
	var control *Control
	if exp.Ops.On {
		operators := newOperatorsLab(exp, w.sidecars, w.ledger, w.history)
		load.Add(2)
		go func() { defer load.Done(); operators.run(runCtx) }()
		go func() { defer load.Done(); control = operators.controlWatch(runCtx, carried) }()
	}
	load.Wait()
	cancel()
	<-done
	var running []string
	for i := range exp.Fleet.Sidecars {
		if w.sidecars.Accepting(i) {
			running = append(running, sidecarName(i))
		}
	}
	events := w.history.Events()
	result := reckon(exp, w.ledger, late, w.blind, played, w.sidecars.Restarts(), events)
	if exp.Fleet.View && exp.Ops.On {
		result.Views = settlings(events, played, started, w.ledger.start)
	}
	result.Control = control
	result.Broken, result.Troubles = check(exp, events, running), w.sidecars.Troubles()
	sampled()
	result.Borne = <-samples
	for i := range result.Borne {
		result.Borne[i].At = result.Borne[i].at.Sub(w.ledger.start).Seconds()
	}
	result.SidecarCPUSeconds, result.SidecarMeanMB, result.SidecarPeakMB = w.sidecars.Cost()
	result.LabCPUSeconds, result.LabPeakMB = selfCost()
	if w.peers != nil {
		result.Datagrams.Relayed, result.Datagrams.Dropped, result.Datagrams.Oversize, result.Datagrams.Strange = w.peers.Counts()
	}
	if exp.Ops.On {
		file, err := os.Create(filepath.Join(folder, "history.jsonl"))
		if err != nil {
			return nil, err
		}
		if err := errors.Join(history.Write(file, events), file.Close()); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// newWorld brings up all that an experiment needs but its sidecars, which the caller starts.
func newWorld(exp *Experiment, program, folder string, log *slog.Logger) (w *world, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return nil, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	w = &world{exp: exp, network: NewNetwork(exp.Seed), ledger: NewLedger(), history: &history.Log{}, log: log,
		rules: map[int]func(){}, wiped: map[int]int64{}, blind: blinds{}}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	w.ledger.arrivals = exp.Ops.On
	sub, call := newSubnet(), names{exp}
	listener, err := w.network.Listen(call.discovery(), sub)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	w.disco = NewDiscovery(exp.Seed, listener)
	for i := range exp.Fleet.Servers {
		listener, err := w.network.Listen(call.server(i), sub)
		if err != nil {
			return nil, fmt.Errorf("pin server %d: %w", i, err)
		}
		s := NewPinServer(serverName(i), exp.Fleet.Zones[i%len(exp.Fleet.Zones)], exp.Server, w.ledger, exp.Seed+uint64(i), listener)
		w.servers = append(w.servers, s)
		w.disco.Set(host(s, "Ready"), nil)
	}
	if exp.Fleet.datagrams() {
		if w.peers, err = NewPeers(exp.Fleet.Sidecars, w.network, sub); err != nil {
			return nil, err
		}
	}
	for m := range exp.machines() {
		d, err := newDisk(filepath.Join(folder, fmt.Sprintf("m%d", m)))
		if err != nil {
			return nil, err
		}
		w.disks = append(w.disks, d)
	}
	w.sidecars = newSidecars(program, folder, exp, sub, w.disco, w.peers, w.disks, w.ledger, log)
	return w, nil
}

// close ends everything, the sidecars first.
func (w *world) close() {
	if w.sidecars != nil {
		w.sidecars.Stop()
	}
	for _, d := range w.disks {
		d.close()
	}
	if w.peers != nil {
		w.peers.Close()
	}
	for _, s := range w.servers {
		s.Close()
	}
	if w.disco != nil {
		w.disco.Close()
	}
}

// startAll starts the fleet, all sidecars side by side.
func (s *Sidecars) startAll() error {
	var starting sync.WaitGroup
	errs := make([]error, len(s.procs))
	for i := range s.procs {
		starting.Add(1)
		go func() { defer starting.Done(); errs[i] = s.Start(i) }()
	}
	starting.Wait()
	return errors.Join(errs...)
}

var subnets atomic.Int32

// newSubnet picks another part of the loopback range for each lab of this process, and likely others for other processes.
func newSubnet() subnet { return subnet(16 + (os.Getpid()*7+int(subnets.Add(1)))%200) }

func host(s *PinServer, health string) Host {
	return Host{Host: s.Name, Dial: s.Address(), Site: s.Zone, Class: "m", Health: health, Share: 1, BornMs: s.Born().UnixMilli()}
}

// world is what the schedule acts on.
type world struct {
	exp      *Experiment
	network  *Network
	disco    *Discovery
	servers  []*PinServer
	peers    *Peers // nil without
	disks    []*disk
	sidecars *Sidecars
	ledger   *Ledger
	history  *history.Log
	log      *slog.Logger

	mu    sync.Mutex
	rules map[int]func() // by fault, what ends it
	wiped map[int]int64  // by fault, when it took machines' disks (microseconds)
	blind blinds
}

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

// MergeLogs writes every JSON log line of the folder's *.log files into one
// file, ordered by their "time" fields, each with "file" added. Lines that are
// not JSON objects are kept, under "text", at the time of the line before.
func MergeLogs(folder, out string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return err
	}
	type line struct {
		at   time.Time
		text []byte
	}
	var lines []line
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var last time.Time
		for _, raw := range bytes.Split(data, []byte("\n")) {
			if len(bytes.TrimSpace(raw)) == 0 {
				continue
			}
			fields := map[string]any{}
			if json.Unmarshal(raw, &fields) != nil {
				fields = map[string]any{"text": string(raw)}
			}
			if at, ok := fields["time"].(string); ok {
				if t, err := time.Parse(time.RFC3339Nano, at); err == nil {
					last = t
				}
			}
			fields["file"] = filepath.Base(path)
			text, _ := json.Marshal(fields)
			lines = append(lines, line{last, text})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	var merged bytes.Buffer
	for _, l := range lines {
		merged.Write(l.text)
		merged.WriteByte('\n')
	}
	return os.WriteFile(out, merged.Bytes(), 0o644)
}
