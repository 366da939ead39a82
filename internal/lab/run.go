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
