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

// drainTimeout is how long a run waits for outstanding requests after the load's end and the last deadline.
const drainTimeout = 10 * time.Second

// Run runs an experiment: it starts the fake servers and the sidecars, runs the load and the schedule of faults, stops
// everything and returns the result. It writes the sidecars' configurations and logs, their machines' disks and, with
// operators, history.jsonl to the folder. No process outlives Run, even if ctx ends early. Run fails at once if the
// experiment can need more file descriptors than this process may have.
func Run(ctx context.Context, exp *Experiment, program, folder string, log *slog.Logger) (*Result, error) {
	if err := exp.CheckDescriptors(1); err != nil {
		return nil, err
	}
	bed, err := newTestbed(exp, program, folder, log)
	if err != nil {
		return nil, err
	}
	defer bed.close()
	schedule := exp.Schedule()
	bed.holdJoiners(schedule)
	r := &experimentRun{testbed: bed, startedAt: time.Now(), loopbackAtStart: loopbackSent()}
	sampling, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	samples := make(chan []ReceivedLoad, 1)
	go func() { samples <- bed.sampleReceivedLoad(sampling) }()
	if err := bed.sidecars.startAll(); err != nil {
		return nil, err
	}
	log.Info("fleet started", "sidecars", exp.Fleet.Sidecars, "servers", exp.Fleet.Servers, "discovery", bed.discovery.Address())
	r.runLoad(ctx, schedule)
	events := bed.history.Events()
	result := r.result(events)
	stopSampling()
	result.ReceivedLoad = <-samples
	for i := range result.ReceivedLoad {
		result.ReceivedLoad[i].At = result.ReceivedLoad[i].at.Sub(bed.requests.start).Seconds()
	}
	r.addUsage(result)
	if exp.Ops.On {
		if err := writeHistory(filepath.Join(folder, "history.jsonl"), events); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// experimentRun is one run of an experiment on a testbed.
type experimentRun struct {
	*testbed
	startedAt       time.Time // when the sidecars' start began
	loopbackAtStart [2]uint64 // bytes and packets that the loopback interface had sent by then

	late    *lateness
	marks   []Mark
	control *Control // nil without operators
}

// holdJoiners keeps the sidecars that join during the run from being started with the others.
func (bed *testbed) holdJoiners(schedule []Event) {
	for _, ev := range schedule {
		if ev.Fault.Kind != "join" || ev.Heal {
			continue
		}
		for _, i := range ev.Fault.Sidecars {
			bed.sidecars.holdDown(i, false)
		}
	}
}

// runLoad starts the lab's clock and runs the clients, the schedule of faults and the operators until all have ended.
func (r *experimentRun) runLoad(ctx context.Context, schedule []Event) {
	r.requests.start = time.Now()
	r.late = newLateness(r.requests)
	ctx, cancel := context.WithTimeout(ctx, r.exp.Duration.Duration+r.exp.Load.Deadline.Duration+drainTimeout)
	defer cancel()
	go r.late.watch(ctx)
	scheduleDone := make(chan struct{})
	go func() {
		defer close(scheduleDone)
		r.marks = r.runSchedule(ctx, schedule)
	}()
	var load sync.WaitGroup
	start := func(f func()) {
		load.Add(1)
		go func() {
			defer load.Done()
			f()
		}()
	}
	for i := range r.exp.Fleet.Sidecars {
		start(func() { newClient(i, r.exp, r.requests, r.sidecars, r.late).run(ctx, r.exp.Arrivals(i)) })
	}
	if r.exp.Ops.On {
		operators := newOperators(r.exp, r.sidecars, r.requests, r.history)
		start(func() { operators.run(ctx) })
		start(func() { r.control = operators.measureControl(ctx, r.loopbackAtStart) })
	}
	load.Wait()
	cancel()
	<-scheduleDone
}

// result returns the result of the run, except its resource usage and received load.
func (r *experimentRun) result(events []history.Event) *Result {
	var running []string
	for i := range r.exp.Fleet.Sidecars {
		if r.sidecars.IsAccepting(i) {
			running = append(running, sidecarName(i))
		}
	}
	result := analyze(r.exp, r.requests, r.late, r.discoveryOutages, r.marks, r.sidecars.Restarts(), events)
	if r.exp.Fleet.View && r.exp.Ops.On {
		result.Views = viewConvergences(events, r.marks, r.startedAt, r.requests.start)
	}
	result.Control = r.control
	result.Violations = checkHistory(r.exp, events, running)
	result.UnexpectedFailures = r.sidecars.UnexpectedFailures()
	return result
}

// addUsage sets the result's fields for CPU time, memory and the datagrams of the relay.
func (r *experimentRun) addUsage(result *Result) {
	result.SidecarCPUSeconds, result.SidecarMeanMB, result.SidecarPeakMB = r.sidecars.Usage()
	result.LabCPUSeconds, result.LabPeakMB = labUsage()
	if r.relay != nil {
		d := &result.Datagrams
		d.Relayed, d.Dropped, d.Oversize, d.Unknown = r.relay.Counts()
	}
}

// writeHistory writes the history of a run to a file.
func writeHistory(path string, events []history.Event) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(history.Write(file, events), file.Close())
}

// newTestbed makes the testbed of an experiment and starts its fake servers, discovery and relay. The caller starts the
// sidecars, and closes the testbed.
func newTestbed(exp *Experiment, program, folder string, log *slog.Logger) (bed *testbed, err error) {
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
	bed = &testbed{exp: exp, network: NewNetwork(exp.Seed), requests: NewRequestTable(), history: &history.Log{}, log: log,
		endRules: map[int]func(){}, wipedAt: map[int]int64{}, discoveryOutages: discoveryOutages{}}
	defer func() {
		if err != nil {
			bed.close()
		}
	}()
	bed.requests.recordsArrivals = exp.Ops.On
	sub, resolver := newSubnet(), selectorResolver{exp}
	listener, err := bed.network.Listen(resolver.discovery(), sub)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	bed.discovery = NewFakeDiscovery(exp.Seed, listener)
	for i := range exp.Fleet.Servers {
		listener, err := bed.network.Listen(resolver.server(i), sub)
		if err != nil {
			return nil, fmt.Errorf("pin server %d: %w", i, err)
		}
		s := NewFakeServer(serverName(i), exp.Fleet.Zones[i%len(exp.Fleet.Zones)], exp.Server, bed.requests, exp.Seed+uint64(i), listener)
		bed.servers = append(bed.servers, s)
		bed.discovery.Set(instanceOf(s, "Ready"), nil)
	}
	if exp.Fleet.datagrams() {
		if bed.relay, err = NewDatagramRelay(exp.Fleet.Sidecars, bed.network, sub); err != nil {
			return nil, err
		}
	}
	for m := range exp.machineCount() {
		d, err := newDisk(filepath.Join(folder, fmt.Sprintf("m%d", m)))
		if err != nil {
			return nil, err
		}
		bed.disks = append(bed.disks, d)
	}
	bed.sidecars = newSidecars(program, folder, exp, sub, bed.discovery, bed.relay, bed.disks, bed.requests, log)
	return bed, nil
}

// close stops everything, the sidecars first.
func (bed *testbed) close() {
	if bed.sidecars != nil {
		bed.sidecars.Stop()
	}
	for _, d := range bed.disks {
		d.close()
	}
	if bed.relay != nil {
		bed.relay.Close()
	}
	for _, s := range bed.servers {
		s.Close()
	}
	if bed.discovery != nil {
		bed.discovery.Close()
	}
}

// instanceOf returns a server's entry in the endpoint list, with the given health.
func instanceOf(s *FakeServer, health string) Instance {
	return Instance{Name: s.Name, Address: s.Address(), Zone: s.Zone, MachineType: "m", Health: health, Weight: 1, StartedAtMillis: s.StartedAt().UnixMilli()}
}

// testbed holds the sidecars, fake servers, network and machines of an experiment.
type testbed struct {
	exp       *Experiment
	network   *Network
	discovery *FakeDiscovery
	servers   []*FakeServer
	relay     *DatagramRelay // nil without peers and views
	disks     []*disk
	sidecars  *Sidecars
	requests  *RequestTable
	history   *history.Log
	log       *slog.Logger

	mu               sync.Mutex     // guards wipedAt and discoveryOutages
	endRules         map[int]func() // by fault, the function that deactivates its rule
	wipedAt          map[int]int64  // by fault, when it made sidecars lose their settings, in microseconds on the lab's clock
	discoveryOutages discoveryOutages
}
