package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramblestand/internal/lab"
)

// loadAfterUpgrade is how long the clients send requests after an upgrade, before the new process gets SIGTERM.
const loadAfterUpgrade = 300 * time.Millisecond

// run is the execution of one scenario.
type run struct {
	scenario   Scenario
	program    string
	folder     string
	listen     string // the address that clients connect to
	configPath string

	recorder         *recorder
	schedulingDelays schedulingDelays
	endpoints        []*endpoint
	discovery        *lab.FakeDiscovery
	processes        []*process

	connectUntil atomic.Int64 // when clients stop opening connections, in Unix nanoseconds; 0 for no limit
}

// Run executes a scenario with processes of the given sidecar program. The sidecar's logs and configuration are written to folder. An
// error means that the scenario could not be executed; breaches of the rules are in the report.
func Run(ctx context.Context, program string, scenario Scenario, folder string) (*Report, error) {
	r := &run{scenario: scenario, program: program, folder: folder, recorder: newRecorder()}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	closeAll, err := r.setUp()
	defer closeAll()
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, p := range r.processes {
			p.kill()
		}
	}()
	go r.schedulingDelays.watch(ctx)
	first, err := r.startProcess()
	if err != nil {
		return nil, err
	}
	r.awaitReady(first)
	if first.readyAt.IsZero() {
		return r.check()
	}
	var clients sync.WaitGroup
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	r.startClients(clientCtx, &clients)
	err = r.execute(ctx, first)
	stopClients()
	clients.Wait()
	if err != nil {
		return nil, err
	}
	return r.check()
}

// setUp starts the discovery service and the endpoints, and writes the sidecar's configuration. closeAll closes what was started,
// and is not nil even after an error.
func (r *run) setUp() (closeAll func(), err error) {
	r.discovery = lab.NewFakeDiscoveryHandler(r.scenario.Seed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return func() {}, err
	}
	server := &http.Server{Handler: r.discovery}
	go server.Serve(listener)
	closeAll = func() {
		server.Close()
		for _, e := range r.endpoints {
			e.close()
		}
	}
	exp := lab.Experiment{Seed: r.scenario.Seed, Fleet: lab.Fleet{Sidecars: 1, Zones: []string{"a"}, Sockets: sidecarSockets}}
	exp.Load.Deadline.Duration = r.scenario.Deadline
	for n := range endpointCount {
		e, err := newEndpoint(fmt.Sprintf("e%d", n), r.recorder)
		if err != nil {
			return closeAll, err
		}
		r.endpoints = append(r.endpoints, e)
		r.discovery.Set(e.instance("Ready"), nil)
		exp.Fleet.Known = append(exp.Fleet.Known, e.instance("Ready"))
	}
	if r.listen, err = freeAddress(); err != nil {
		return closeAll, err
	}
	r.configPath = filepath.Join(r.folder, "sidecar.json")
	config := exp.SidecarConfig(0, 1, r.listen, listener.Addr().String(), "")
	return closeAll, os.WriteFile(r.configPath, config, 0o600)
}

// mayConnect reports whether clients may open connections now.
func (r *run) mayConnect() bool {
	until := r.connectUntil.Load()
	return until == 0 || time.Now().UnixNano() < until
}

// startClients starts the clients and the scenario's idle connections and floods. They end with ctx.
func (r *run) startClients(ctx context.Context, clients *sync.WaitGroup) {
	start := func(task func(context.Context)) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			task(ctx)
		}()
	}
	for n := range clientCount {
		start(newClient(n, r).sendRequests)
	}
	if r.scenario.HasIdleConns {
		start(r.holdIdleConnections)
	}
	for _, kind := range r.scenario.Floods {
		if kind == FloodFast {
			start(r.floodWithPipelines)
		}
		start(func(ctx context.Context) { r.flood(ctx, kind) })
	}
}

// execute carries out the scenario's events, from the start of the load to the exit of the last process.
func (r *run) execute(ctx context.Context, current *process) (err error) {
	if r.scenario.Crash {
		if current, err = r.crash(ctx, current); err != nil || current.readyAt.IsZero() {
			return err
		}
	}
	sleep(ctx, r.scenario.LoadTime-r.scenario.FaultLead)
	r.makeAdminCalls(current)
	r.startFaults()
	sleep(ctx, r.scenario.FaultLead)
	if r.scenario.Upgrade {
		if current, err = r.upgrade(ctx, current); err != nil || current.readyAt.IsZero() {
			return err
		}
	}
	r.terminate(ctx, current, true)
	return ctx.Err()
}

// crash kills a process in the middle of the load and starts another one.
func (r *run) crash(ctx context.Context, p *process) (*process, error) {
	sleep(ctx, r.scenario.LoadTime/2)
	p.kill()
	next, err := r.startProcess()
	if err != nil {
		return nil, err
	}
	r.awaitReady(next)
	return next, nil
}

// upgrade starts a second process and terminates the old one once the second is ready.
func (r *run) upgrade(ctx context.Context, old *process) (*process, error) {
	next, err := r.startProcess()
	if err != nil {
		return nil, err
	}
	r.awaitReady(next)
	if next.readyAt.IsZero() {
		return next, nil
	}
	r.terminate(ctx, old, false)
	sleep(ctx, loadAfterUpgrade)
	return next, nil
}

// terminate sends a process SIGTERM, the scenario's other signals before and after it, and SIGKILL at the earliest time that the
// protocol allows. For the last process it also limits how long clients open connections.
func (r *run) terminate(ctx context.Context, p *process, isLast bool) {
	var signals sync.WaitGroup
	defer signals.Wait()
	schedule := func(after time.Duration, signal syscall.Signal) {
		signals.Add(1)
		time.AfterFunc(after, func() {
			defer signals.Done()
			p.cmd.Process.Signal(signal)
		})
	}
	lead := time.Duration(0)
	for _, signal := range r.scenario.Signals {
		lead = max(lead, -signal.After)
	}
	for _, signal := range r.scenario.Signals {
		if signal.After < 0 {
			schedule(lead+signal.After, signal.Signal)
		}
	}
	sleep(ctx, lead)
	if isLast {
		r.connectUntil.Store(time.Now().Add(r.scenario.ConnectTime).UnixNano())
	}
	p.terminate()
	for _, signal := range r.scenario.Signals {
		if signal.After >= 0 {
			schedule(signal.After, signal.Signal)
		}
	}
	p.awaitExit(r.scenario.killAfter())
}

// makeAdminCalls bans an endpoint and drains the sidecar, as far as the scenario has it.
func (r *run) makeAdminCalls(p *process) {
	if r.scenario.BanEndpoint {
		banned := r.endpoints[endpointCount-1]
		if p.postAdmin("/pin-servers/disable", banned.name) {
			banned.markUnusable()
		}
	}
	if r.scenario.DrainSidecar {
		p.postAdmin("/drain", "")
	}
}

// startFaults starts the faults of endpoints and of discovery.
func (r *run) startFaults() {
	if r.scenario.DrainEndpoint {
		drained := r.endpoints[endpointCount-2]
		onListed := drained.markUnusable
		if r.scenario.DiscoveryDown {
			onListed = nil // discovery may be down before the sidecar gets the change, so the grace never begins
		}
		r.discovery.Set(drained.instance("Terminating"), onListed)
	}
	if r.scenario.DiscoveryDown {
		r.discovery.SetDown(true)
	}
	random := rand.New(rand.NewPCG(r.scenario.Seed, uint64(endpointCount)))
	order := random.Perm(endpointCount)
	for n, i := range order[:r.scenario.Hanging+r.scenario.Breaking] {
		mode := endpointHangs
		if n >= r.scenario.Hanging {
			mode = endpointBreaks
		}
		r.endpoints[i].mode.Store(int32(mode))
	}
}

// sleep waits for duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
