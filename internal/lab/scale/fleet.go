package scale

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramblestand/internal/config"
	"bramblestand/internal/datagram"
	"bramblestand/internal/lab"
	"bramblestand/internal/sidecar"
)

// fleet is the state of a run.
type fleet struct {
	spec             *Spec
	net              *network
	experiment       *lab.Experiment
	started          time.Time
	sidecars         []*machine
	peerAddresses    []string // of all sidecars; nil if they exchange no datagrams
	listingProcesses []int    // processes that list each service, by its number

	lastCallID       atomic.Int64
	callsSent        atomic.Int64
	outcomesBySecond [][outcomeCount]atomic.Int64 // by the second in which the call was sent
	running          sync.WaitGroup
	costs            Costs
}

// machine is the machine of one sidecar, with the processes that it runs.
type machine struct {
	number    int
	counters  counters
	socket    *datagramSocket
	starts    int        // of the sidecar so far
	processes []*process // empty while the sidecar is down
}

// process is one process of a sidecar.
type process struct {
	hollow  *sidecar.Hollow
	service int // that it lists; -1 for all servers
	cancel  context.CancelFunc
}

// outcome is how a call of an application ended.
type outcome int

const (
	served outcome = iota
	late
	refused
	failed
	interrupted // its own sidecar was stopped
	outcomeCount
)

// outcomeNames are the names of outcomes in results.
var outcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "cut"}

// maxSeconds is the longest duration of a run, in virtual seconds.
const maxSeconds = 2 * 3600

// newFleet returns the fleet of a run with all servers ready and no sidecar started.
func newFleet(spec *Spec) *fleet {
	f := &fleet{spec: spec, experiment: spec.experiment(), started: time.Now(), outcomesBySecond: make([][outcomeCount]atomic.Int64, maxSeconds)}
	n := &network{spec: spec, sockets: map[netip.AddrPort]*datagramSocket{}, socketsByZone: make([][]*datagramSocket, spec.Zones)}
	f.net = n
	for j := range spec.Servers {
		n.servers = append(n.servers, &server{ServerModel: lab.NewServerModel(spec.Server, spec.Seed+uint64(j)), number: j, zone: spec.zoneOf(j)})
	}
	handlers := 1
	if spec.ServicesPerSidecar > 0 {
		handlers = spec.Servers / ServiceSize
	}
	f.listingProcesses = make([]int, handlers)
	for r := range spec.Regions {
		a := &discoveryAgent{}
		for z := range spec.Zones {
			if spec.regionOf(z) == r {
				a.zone = z
				break
			}
		}
		for h := range handlers {
			a.handlers = append(a.handlers, lab.NewFakeDiscoveryHandler(spec.Seed+uint64(h)))
		}
		n.agents = append(n.agents, a)
	}
	for j := range spec.Servers {
		f.announce(j, "Ready", 1)
	}
	for i := range spec.Sidecars {
		m := &machine{number: i}
		m.socket = &datagramSocket{zone: spec.zoneOf(i), address: socketAddress(i), counters: &m.counters}
		if spec.Peers || spec.View {
			n.sockets[m.socket.address] = m.socket
			n.socketsByZone[m.socket.zone] = append(n.socketsByZone[m.socket.zone], m.socket)
			f.peerAddresses = append(f.peerAddresses, m.socket.address.String())
		}
		f.sidecars = append(f.sidecars, m)
		for _, s := range spec.servicesOf(i) {
			f.listingProcesses[s]++
		}
	}
	return f
}

// announce changes the entry of a server in the lists of all discovery agents.
func (f *fleet) announce(j int, health string, weight float64) {
	s, handler := f.net.servers[j], 0
	if f.spec.ServicesPerSidecar > 0 {
		if handler = j / ServiceSize; handler >= len(f.listingProcesses) {
			return // the server is left over if the servers do not divide into services
		}
	}
	for _, a := range f.net.agents {
		a.handlers[handler].Set(lab.Instance{Name: fmt.Sprintf("v%03d", j), Address: "127.0.0.1:" + strconv.Itoa(firstPort+j), Zone: zoneName(s.zone),
			MachineType: "m", Health: health, Weight: weight, StartedAtMillis: s.StartedAt().UnixMilli()}, nil)
	}
}

// startSidecar starts the processes of a sidecar, and their load.
func (f *fleet) startSidecar(i int) error {
	m := f.sidecars[i]
	m.starts++
	services := f.spec.servicesOf(i)
	if services == nil {
		services = []int{-1}
	}
	for k, service := range services {
		total, handler := f.spec.Sidecars, 0
		if service >= 0 {
			total, handler = f.listingProcesses[service], service
		}
		peersConfig := ""
		if f.peerAddresses != nil {
			peersConfig = lab.PeersConfig(m.socket.address.String(), broadcastAddress.String(), f.peerAddresses)
		}
		// The settings derive zone and seed from the number. It differs for each process and each start.
		number := i + f.spec.Zones*(k+f.spec.ServicesPerSidecar*m.starts+m.starts)*MaxMachines
		cfg, err := config.Parse(f.experiment.SidecarConfig(number, total, "127.0.0.1:1", "127.0.0.1:2", peersConfig))
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		cfg.Name = fmt.Sprintf("s%d", i)
		if f.peerAddresses != nil {
			cfg.Settings.Index = i
		}
		ctx, cancel := context.WithCancel(context.Background())
		zone := f.spec.zoneOf(i)
		c := &client{network: f.net, zone: zone, counters: &m.counters}
		agent := f.net.agents[f.spec.regionOf(zone)]
		var discovery http.Handler = agent.handlers[handler]
		if f.net.wrapDiscovery != nil {
			discovery = f.net.wrapDiscovery(i, discovery)
		}
		options := sidecar.HollowOptions{Network: c, Discovery: &discoveryTransport{client: c, agent: agent, handler: discovery}, Log: slog.New(slog.DiscardHandler)}
		if f.peerAddresses != nil {
			options.NewTransport = func(o datagram.Options) *datagram.Transport {
				transport := datagram.New(func(data []byte, to netip.AddrPort) error { return f.net.send(m.socket, data, to) }, o)
				m.socket.transport.Store(transport)
				return transport
			}
		}
		hollow, err := sidecar.NewHollow(ctx, cfg, options)
		if err != nil {
			cancel()
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		hollow.MeasureEventCosts()
		p := &process{hollow: hollow, service: service, cancel: cancel}
		m.processes = append(m.processes, p)
		f.running.Add(2)
		go func() { defer f.running.Done(); hollow.Run() }()
		go func() {
			defer f.running.Done()
			f.generateLoad(ctx, p, f.spec.Rate/float64(len(services)), rand.New(rand.NewPCG(f.spec.Seed, uint64(number)+1)))
		}()
	}
	return nil
}

// stopSidecar stops the processes of a sidecar without a drain, like a crash.
func (f *fleet) stopSidecar(i int) {
	m := f.sidecars[i]
	m.socket.transport.Store(nil)
	for _, p := range m.processes {
		p.cancel()
	}
	m.processes = nil
}

// generateLoad sends the calls of a process as a Poisson process, without waiting for earlier calls to end. It starts at
// LoadFrom, once the process has endpoints.
func (f *fleet) generateLoad(ctx context.Context, p *process, rate float64, random *rand.Rand) {
	if rate == 0 {
		return
	}
	if remaining := f.spec.LoadFrom.Duration - time.Since(f.started); remaining > 0 && !wait(ctx, remaining) {
		return
	}
	for !p.hollow.HasEndpoints() {
		if !wait(ctx, 100*time.Millisecond) {
			return
		}
	}
	for wait(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
		f.running.Add(1)
		f.callsSent.Add(1)
		id := strconv.FormatInt(f.lastCallID.Add(1), 16)
		go func() {
			defer f.running.Done()
			f.call(ctx, p, id)
		}()
	}
}

// call makes one call and counts its outcome.
func (f *fleet) call(ctx context.Context, p *process, id string) {
	sent := time.Now()
	var o outcome
	switch code := p.hollow.Call(ctx, "read", id, f.spec.Deadline.Duration); {
	case code == sidecar.CodeClientDisconnected:
		o = interrupted
	case code == http.StatusOK && time.Since(sent) > f.spec.Deadline.Duration+50*time.Millisecond:
		o = late
	case code == http.StatusOK:
		o = served
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		o = refused
	default:
		o = failed
	}
	f.outcomesBySecond[min(int(sent.Sub(f.started)/time.Second), maxSeconds-1)][o].Add(1)
}

// hasExpectedTargets reports whether the targets of a process are exactly the ready servers among those that it lists.
func (f *fleet) hasExpectedTargets(p *process, state sidecar.HollowState, ready []bool) bool {
	want := 0
	for j, isReady := range ready {
		if isReady && (p.service < 0 || j/ServiceSize == p.service) {
			want++
		}
	}
	if len(state.Targets) != want {
		return false
	}
	for _, address := range state.Targets {
		if s := f.net.serverAt(address); s == nil || !ready[s.number] || p.service >= 0 && s.number/ServiceSize != p.service {
			return false
		}
	}
	return true
}

// awaitTargets waits until the targets of all running processes are exactly the ready servers that they list, or until the
// timeout. It returns the time that this took, and how many processes have other targets at the end. A process that had the
// right targets once is not checked again.
func (f *fleet) awaitTargets(ready []bool, timeout time.Duration) (seconds float64, wrong int) {
	began := time.Now()
	pending := map[*process]bool{}
	for _, m := range f.sidecars {
		for _, p := range m.processes {
			pending[p] = true
		}
	}
	for {
		for p := range pending {
			if state, err := p.hollow.State(); err == nil && f.hasExpectedTargets(p, state, ready) {
				delete(pending, p)
			}
		}
		if len(pending) == 0 || time.Since(began) > timeout {
			return time.Since(began).Seconds(), len(pending)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sleepUntil sleeps until a time after the start of the run.
func (f *fleet) sleepUntil(at time.Duration) { time.Sleep(at - time.Since(f.started)) }

// snapshot holds the values of all counters at one time.
type snapshot struct {
	at         time.Duration // since the start of the run
	sidecars   [][counterCount]int64
	servers    [][counterCount]int64
	agents     [][counterCount]int64
	cpuSeconds float64
}

// counterValues returns the present values of counters.
func counterValues(t *counters) (c [counterCount]int64) {
	for k := range t {
		c[k] = t[k].Load()
	}
	return c
}

// takeSnapshot returns the present values of all counters.
func (f *fleet) takeSnapshot() snapshot {
	s := snapshot{at: time.Since(f.started), cpuSeconds: cpuSeconds()}
	for _, m := range f.sidecars {
		s.sidecars = append(s.sidecars, counterValues(&m.counters))
	}
	for _, server := range f.net.servers {
		s.servers = append(s.servers, counterValues(&server.received))
	}
	for _, a := range f.net.agents {
		s.agents = append(s.agents, counterValues(&a.received))
	}
	return s
}

// rateWindow is the length of the windows over which rates are calculated.
const rateWindow = 10 * time.Second

// runPhase sleeps until a time after the start of the run, and returns what was counted meanwhile.
func (f *fleet) runPhase(name string, to time.Duration) Phase {
	snapshots := []snapshot{f.takeSnapshot()}
	for at := time.Since(f.started); at < to; at = time.Since(f.started) {
		f.sleepUntil(min(at+rateWindow, to))
		snapshots = append(snapshots, f.takeSnapshot())
	}
	return f.summarize(name, snapshots)
}

// cpuSeconds returns the processor time that this process used so far, in seconds; 0 if it is unknown.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/1e6
}

// peakMB returns the peak resident memory of this process in MB; 0 if it is unknown.
func peakMB() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Maxrss) / 1024
}

// heapMB returns the heap and stacks in use in MB, after a garbage collection.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / (1 << 20)
}
