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

// fleet is a rung as it is played.
type fleet struct {
	spec             *Spec
	net              *network
	experiment       *lab.Experiment
	started          time.Time
	sidecars         []*machine
	peerAddresses    []string // of all, where there are datagrams
	listingProcesses []int    // processes that list each service

	lastCallID       atomic.Int64
	callsSent        atomic.Int64 // calls
	outcomesBySecond [][outcomeCount]atomic.Int64
	running          sync.WaitGroup
	costs            Costs
}

// machine is a sidecar: its processes, while it runs.
type machine struct {
	number    int
	counters  counters
	socket    *datagramSocket
	starts    int
	processes []*process // none while it is down
}

type process struct {
	hollow  *sidecar.Hollow
	service int // -1 for all
	cancel  context.CancelFunc
}

type outcome int

const (
	served outcome = iota
	late
	refused
	failed
	interrupted // its own sidecar ended
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "cut"}

// secondsMost is the longest that a rung lasts, in virtual seconds.
const maxSeconds = 2 * 3600

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

// tell puts a server's entry into the agents' lists.
func (f *fleet) announce(j int, health string, weight float64) {
	s, handler := f.net.servers[j], 0
	if f.spec.ServicesPerSidecar > 0 {
		if handler = j / ServiceSize; handler >= len(f.listingProcesses) {
			return // the rest of a division
		}
	}
	for _, a := range f.net.agents {
		a.handlers[handler].Set(lab.Instance{Name: fmt.Sprintf("v%03d", j), Address: "127.0.0.1:" + strconv.Itoa(firstPort+j), Zone: zoneName(s.zone),
			MachineType: "m", Health: health, Weight: weight, StartedAtMillis: s.StartedAt().UnixMilli()}, nil)
	}
}

// start begins a sidecar's processes, and their load.
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
		// The number gives zone and seed: another for each process and life.
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

// stop ends a sidecar, as a crash does.
func (f *fleet) stopSidecar(i int) {
	m := f.sidecars[i]
	m.socket.transport.Store(nil)
	for _, p := range m.processes {
		p.cancel()
	}
	m.processes = nil
}

// load sends a process's calls, each at its time, whatever became of those before. They begin once it is ready.
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

// right says whether a process may send to just the servers that are ready, of those that it lists.
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

// settle waits until all running sidecars send to just the servers that are ready, for as long as most. It returns the
// seconds that took, and how many are wrong at the end.
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

// until lets virtual time pass up to so long after the begin.
func (f *fleet) sleepUntil(at time.Duration) { time.Sleep(at - time.Since(f.started)) }

// frame is all counts at one time.
type snapshot struct {
	at         time.Duration
	sidecars   [][counterCount]int64
	servers    [][counterCount]int64
	agents     [][counterCount]int64
	cpuSeconds float64
}

func counterValues(t *counters) (c [counterCount]int64) {
	for k := range t {
		c[k] = t[k].Load()
	}
	return c
}

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

// window is the time over which a sidecar's rates are taken.
const rateWindow = 10 * time.Second

// phase lets time pass up to an instant and reckons what happened meanwhile.
func (f *fleet) runPhase(name string, to time.Duration) Phase {
	snapshots := []snapshot{f.takeSnapshot()}
	for at := time.Since(f.started); at < to; at = time.Since(f.started) {
		f.sleepUntil(min(at+rateWindow, to))
		snapshots = append(snapshots, f.takeSnapshot())
	}
	return f.summarize(name, snapshots)
}

func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/1e6
}

func peakMB() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Maxrss) / 1024
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / (1 << 20)
}
