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

// bootTime is how long clients go on after a process has taken over from another one.
const bootTime = 300 * time.Millisecond

// run is a scenario that is played.
type run struct {
	scenario   Scenario
	program    string
	folder     string
	listen     string // the clients' address
	configPath string

	ledger    *ledger
	lateness  lateness
	endpoints []*endpoint
	discovery *lab.FakeDiscovery
	processes []*process

	connectUntil atomic.Int64 // Unix nanoseconds; 0 for no limit
}

// Run plays a scenario with a sidecar's program. The sidecar's logs and configuration are written to folder. An error says that the
// scenario could not be played.
func Run(ctx context.Context, program string, scenario Scenario, folder string) (*Report, error) {
	r := &run{scenario: scenario, program: program, folder: folder, ledger: newLedger()}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	closeAll, err := r.open()
	defer closeAll()
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, p := range r.processes {
			p.kill()
		}
	}()
	go r.lateness.watch(ctx)
	first, err := r.startProcess()
	if err != nil {
		return nil, err
	}
	r.awaitReady(first)
	if first.readyAt.IsZero() {
		return r.judge()
	}
	var clients sync.WaitGroup
	usage, stopUsage := context.WithCancel(ctx)
	defer stopUsage()
	r.startClients(usage, &clients)
	err = r.play(ctx, first)
	stopUsage()
	clients.Wait()
	if err != nil {
		return nil, err
	}
	return r.judge()
}

// open starts discovery and the endpoints, and writes the configuration. What it started is closed by the returned function.
func (r *run) open() (closeAll func(), err error) {
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
		e, err := newEndpoint(fmt.Sprintf("e%d", n), r.ledger)
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

// startClients starts the clients, and the crowd and floods among them. They end with ctx.
func (r *run) startClients(ctx context.Context, clients *sync.WaitGroup) {
	start := func(use func(context.Context)) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			use(ctx)
		}()
	}
	for n := range clientCount {
		start(newClient(n, r).use)
	}
	if r.scenario.HasCrowd {
		start(r.crowd)
	}
	for _, kind := range r.scenario.Floods {
		start(func(ctx context.Context) { r.flood(ctx, kind) })
	}
}

// play carries out what happens to the processes, up to the last one's end.
func (r *run) play(ctx context.Context, current *process) (err error) {
	if r.scenario.Crash {
		if current, err = r.crash(ctx, current); err != nil || current.readyAt.IsZero() {
			return err
		}
	}
	sleep(ctx, r.scenario.Load-r.scenario.FaultLead)
	r.operate(current)
	r.beginFaults()
	sleep(ctx, r.scenario.FaultLead)
	if r.scenario.Upgrade {
		if current, err = r.upgrade(ctx, current); err != nil || current.readyAt.IsZero() {
			return err
		}
	}
	r.terminate(ctx, current, true)
	return ctx.Err()
}

// crash kills a process amid the load and starts another one.
func (r *run) crash(ctx context.Context, p *process) (*process, error) {
	sleep(ctx, r.scenario.Load/2)
	p.kill()
	next, err := r.startProcess()
	if err != nil {
		return nil, err
	}
	r.awaitReady(next)
	return next, nil
}

// upgrade starts a second process beside one, and ends the first once the second is ready.
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
	sleep(ctx, bootTime)
	return next, nil
}

// terminate ends a process with SIGTERM, the scenario's other signals around it and SIGKILL at its earliest. After the last process
// clients have nowhere to connect to.
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
		r.connectUntil.Store(time.Now().Add(r.scenario.Connect).UnixNano())
	}
	p.terminate()
	for _, signal := range r.scenario.Signals {
		if signal.After >= 0 {
			schedule(signal.After, signal.Signal)
		}
	}
	p.endAfter(r.scenario.killAfter())
}

// operate makes the operators' calls.
func (r *run) operate(p *process) {
	if r.scenario.BanEndpoint {
		banned := r.endpoints[endpointCount-1]
		if p.call("/pin-servers/disable", banned.name) {
			banned.markUnusable()
		}
	}
	if r.scenario.DrainSidecar {
		p.call("/drain", "")
	}
}

// beginFaults begins the faults of endpoints and discovery.
func (r *run) beginFaults() {
	if r.scenario.DrainEndpoint {
		drained := r.endpoints[endpointCount-2]
		announced := drained.markUnusable
		if r.scenario.DiscoveryDown {
			announced = nil // a change that discovery may not have written before it falls silent is not told
		}
		r.discovery.Set(drained.instance("Terminating"), announced)
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

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
