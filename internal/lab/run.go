package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
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
	w, err := newTestbed(exp, program, folder, log)
	if err != nil {
		return nil, err
	}
	defer w.close()
	schedule := exp.Schedule()
	for _, ev := range schedule {
		for _, i := range ev.Fault.Sidecars {
			if ev.Fault.Kind == "join" && !ev.Heal {
				w.sidecars.holdDown(i, false)
			}
		}
	}
	started, carried := time.Now(), loopbackSent()
	sampling, sampled := context.WithCancel(ctx)
	defer sampled()
	samples := make(chan []ReceivedLoad, 1)
	go func() { samples <- w.sampleReceivedLoad(sampling) }()
	if err := w.sidecars.startAll(); err != nil {
		return nil, err
	}
	log.Info("the fleet is up", "sidecars", exp.Fleet.Sidecars, "servers", exp.Fleet.Servers, "discovery", w.discovery.Address())
	w.requests.start = time.Now() // the lab's clock starts with the load
	late := newLateness(w.requests)
	runCtx, cancel := context.WithTimeout(ctx, exp.Duration.Duration+exp.Load.Deadline.Duration+10*time.Second)
	defer cancel()
	go late.watch(runCtx)
	var played []Mark
	done := make(chan struct{})
	go func() { played = w.runSchedule(runCtx, schedule); close(done) }()
	var load sync.WaitGroup
	for i := range exp.Fleet.Sidecars {
		load.Add(1)
		go func() {
			defer load.Done()
			newClient(i, exp, w.requests, w.sidecars, late).run(runCtx, exp.Arrivals(i))
		}()
	}
	var control *Control
	if exp.Ops.On {
		operators := newOperators(exp, w.sidecars, w.requests, w.history)
		load.Add(2)
		go func() { defer load.Done(); operators.run(runCtx) }()
		go func() { defer load.Done(); control = operators.measureControl(runCtx, carried) }()
	}
	load.Wait()
	cancel()
	<-done
	var running []string
	for i := range exp.Fleet.Sidecars {
		if w.sidecars.IsAccepting(i) {
			running = append(running, sidecarName(i))
		}
	}
	events := w.history.Events()
	result := analyze(exp, w.requests, late, w.discoveryOutages, played, w.sidecars.Restarts(), events)
	if exp.Fleet.View && exp.Ops.On {
		result.Views = viewConvergences(events, played, started, w.requests.start)
	}
	result.Control = control
	result.Broken, result.UnexpectedFailures = checkHistory(exp, events, running), w.sidecars.UnexpectedFailures()
	sampled()
	result.ReceivedLoad = <-samples
	for i := range result.ReceivedLoad {
		result.ReceivedLoad[i].At = result.ReceivedLoad[i].at.Sub(w.requests.start).Seconds()
	}
	result.SidecarCPUSeconds, result.SidecarMeanMB, result.SidecarPeakMB = w.sidecars.Usage()
	result.LabCPUSeconds, result.LabPeakMB = labUsage()
	if w.relay != nil {
		result.Datagrams.Relayed, result.Datagrams.Dropped, result.Datagrams.Oversize, result.Datagrams.Strange = w.relay.Counts()
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

// newTestbed brings up all that an experiment needs but its sidecars, which the caller starts.
func newTestbed(exp *Experiment, program, folder string, log *slog.Logger) (w *testbed, err error) {
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
	w = &testbed{exp: exp, network: NewNetwork(exp.Seed), requests: NewRequestTable(), history: &history.Log{}, log: log,
		endRules: map[int]func(){}, wipedAt: map[int]int64{}, discoveryOutages: discoveryOutages{}}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	w.requests.recordsArrivals = exp.Ops.On
	sub, call := newSubnet(), selectorResolver{exp}
	listener, err := w.network.Listen(call.discovery(), sub)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	w.discovery = NewFakeDiscovery(exp.Seed, listener)
	for i := range exp.Fleet.Servers {
		listener, err := w.network.Listen(call.server(i), sub)
		if err != nil {
			return nil, fmt.Errorf("pin server %d: %w", i, err)
		}
		s := NewFakeServer(serverName(i), exp.Fleet.Zones[i%len(exp.Fleet.Zones)], exp.Server, w.requests, exp.Seed+uint64(i), listener)
		w.servers = append(w.servers, s)
		w.discovery.Set(instanceOf(s, "Ready"), nil)
	}
	if exp.Fleet.datagrams() {
		if w.relay, err = NewDatagramRelay(exp.Fleet.Sidecars, w.network, sub); err != nil {
			return nil, err
		}
	}
	for m := range exp.machineCount() {
		d, err := newDisk(filepath.Join(folder, fmt.Sprintf("m%d", m)))
		if err != nil {
			return nil, err
		}
		w.disks = append(w.disks, d)
	}
	w.sidecars = newSidecars(program, folder, exp, sub, w.discovery, w.relay, w.disks, w.requests, log)
	return w, nil
}

// close ends everything, the sidecars first.
func (w *testbed) close() {
	if w.sidecars != nil {
		w.sidecars.Stop()
	}
	for _, d := range w.disks {
		d.close()
	}
	if w.relay != nil {
		w.relay.Close()
	}
	for _, s := range w.servers {
		s.Close()
	}
	if w.discovery != nil {
		w.discovery.Close()
	}
}

func instanceOf(s *FakeServer, health string) Instance {
	return Instance{Name: s.Name, Address: s.Address(), Zone: s.Zone, MachineType: "m", Health: health, Weight: 1, StartedAtMillis: s.StartedAt().UnixMilli()}
}

// testbed is what the schedule acts on.
type testbed struct {
	exp       *Experiment
	network   *Network
	discovery *FakeDiscovery
	servers   []*FakeServer
	relay     *DatagramRelay // nil without
	disks     []*disk
	sidecars  *Sidecars
	requests  *RequestTable
	history   *history.Log
	log       *slog.Logger

	mu               sync.Mutex
	endRules         map[int]func() // by fault, what ends it
	wipedAt          map[int]int64  // by fault, when it took machines' disks (microseconds)
	discoveryOutages discoveryOutages
}
