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
	spec     *Spec
	net      *network
	exp      *lab.Experiment
	began    time.Time
	sidecars []*machine
	known    []string // of all, where there are datagrams
	sharing  []int    // processes that list each service

	callID  atomic.Int64
	placed  atomic.Int64 // calls
	seconds [][outcomes]atomic.Int64
	running sync.WaitGroup
	costs   Costs
}

// machine is a sidecar: its processes, while it runs.
type machine struct {
	number  int
	sent    tally
	station *station
	lives   int
	procs   []*process // none while it is down
}

type process struct {
	hollow  *sidecar.Hollow
	service int // -1 for all
	end     context.CancelFunc
}

type outcome int

const (
	served outcome = iota
	late
	refused
	failed
	cut // its own sidecar ended
	outcomes
)

var outcomeNames = [outcomes]string{"served", "late", "refused", "failed", "cut"}

// secondsMost is the longest that a rung lasts, in virtual seconds.
const secondsMost = 2 * 3600

func newFleet(spec *Spec) *fleet {
	f := &fleet{spec: spec, exp: spec.experiment(), began: time.Now(), seconds: make([][outcomes]atomic.Int64, secondsMost)}
	n := &network{spec: spec, links: map[netip.AddrPort]*station{}, zones: make([][]*station, spec.Zones)}
	f.net = n
	for j := range spec.Servers {
		n.servers = append(n.servers, &server{ServerModel: lab.NewServerModel(spec.Server, spec.Seed+uint64(j)), number: j, zone: spec.zone(j)})
	}
	handlers := 1
	if spec.ServicesPerSidecar > 0 {
		handlers = spec.Servers / ServiceSize
	}
	f.sharing = make([]int, handlers)
	for r := range spec.Regions {
		a := &agent{}
		for z := range spec.Zones {
			if spec.region(z) == r {
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
		f.tell(j, "Ready", 1)
	}
	for i := range spec.Sidecars {
		m := &machine{number: i}
		m.station = &station{zone: spec.zone(i), address: stationAddress(i), sent: &m.sent}
		if spec.Peers || spec.View {
			n.links[m.station.address] = m.station
			n.zones[m.station.zone] = append(n.zones[m.station.zone], m.station)
			f.known = append(f.known, m.station.address.String())
		}
		f.sidecars = append(f.sidecars, m)
		for _, s := range spec.services(i) {
			f.sharing[s]++
		}
	}
	return f
}

// tell puts a server's entry into the agents' lists.
func (f *fleet) tell(j int, health string, share float64) {
	s, handler := f.net.servers[j], 0
	if f.spec.ServicesPerSidecar > 0 {
		if handler = j / ServiceSize; handler >= len(f.sharing) {
			return // the rest of a division
		}
	}
	for _, a := range f.net.agents {
		a.handlers[handler].Set(lab.Instance{Name: fmt.Sprintf("v%03d", j), Address: "127.0.0.1:" + strconv.Itoa(firstPort+j), Zone: zoneName(s.zone),
			MachineType: "m", Health: health, Weight: share, StartedAtMillis: s.StartedAt().UnixMilli()}, nil)
	}
}

// start begins a sidecar's processes, and their load.
func (f *fleet) start(i int) error {
	m := f.sidecars[i]
	m.lives++
	services := f.spec.services(i)
	if services == nil {
		services = []int{-1}
	}
	for k, service := range services {
		total, handler := f.spec.Sidecars, 0
		if service >= 0 {
			total, handler = f.sharing[service], service
		}
		more := ""
		if f.known != nil {
			more = lab.PeersConfig(m.station.address.String(), hub.String(), f.known)
		}
		// The number gives zone and seed: another for each process and life.
		number := i + f.spec.Zones*(k+f.spec.ServicesPerSidecar*m.lives+m.lives)*MaxMachines
		cfg, err := config.Parse(f.exp.SidecarConfig(number, total, "127.0.0.1:1", "127.0.0.1:2", more))
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		cfg.Name = fmt.Sprintf("s%d", i)
		if f.known != nil {
			cfg.Settings.Index = i
		}
		ctx, end := context.WithCancel(context.Background())
		zone := f.spec.zone(i)
		c := &client{network: f.net, zone: zone, sent: &m.sent}
		agent := f.net.agents[f.spec.region(zone)]
		var answers http.Handler = agent.handlers[handler]
		if f.net.answers != nil {
			answers = f.net.answers(i, answers)
		}
		s := sidecar.HollowOptions{Network: c, Discovery: &caller{client: c, agent: agent, handler: answers}, Log: slog.New(slog.DiscardHandler)}
		if f.known != nil {
			s.NewTransport = func(o datagram.Options) *datagram.Transport {
				l := datagram.New(func(data []byte, to netip.AddrPort) error { return f.net.send(m.station, data, to) }, o)
				m.station.link.Store(l)
				return l
			}
		}
		hollow, err := sidecar.NewHollow(ctx, cfg, s)
		if err != nil {
			end()
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		hollow.MeasureEventCosts()
		p := &process{hollow: hollow, service: service, end: end}
		m.procs = append(m.procs, p)
		f.running.Add(2)
		go func() { defer f.running.Done(); hollow.Run() }()
		go func() {
			defer f.running.Done()
			f.load(ctx, p, f.spec.Rate/float64(len(services)), rand.New(rand.NewPCG(f.spec.Seed, uint64(number)+1)))
		}()
	}
	return nil
}

// stop ends a sidecar, as a crash does.
func (f *fleet) stop(i int) {
	m := f.sidecars[i]
	m.station.link.Store(nil)
	for _, p := range m.procs {
		p.end()
	}
	m.procs = nil
}

// load sends a process's calls, each at its time, whatever became of those before. They begin once it is ready.
func (f *fleet) load(ctx context.Context, p *process, rate float64, random *rand.Rand) {
	if rate == 0 {
		return
	}
	if early := f.spec.LoadFrom.Duration - time.Since(f.began); early > 0 && !wait(ctx, early) {
		return
	}
	for !p.hollow.HasEndpoints() {
		if !wait(ctx, 100*time.Millisecond) {
			return
		}
	}
	for wait(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
		f.running.Add(1)
		f.placed.Add(1)
		id := strconv.FormatInt(f.callID.Add(1), 16)
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
		o = cut
	case code == http.StatusOK && time.Since(sent) > f.spec.Deadline.Duration+50*time.Millisecond:
		o = late
	case code == http.StatusOK:
		o = served
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		o = refused
	default:
		o = failed
	}
	f.seconds[min(int(sent.Sub(f.began)/time.Second), secondsMost-1)][o].Add(1)
}

// right says whether a process may send to just the servers that are ready, of those that it lists.
func (f *fleet) right(p *process, state sidecar.HollowState, ready []bool) bool {
	want := 0
	for j, is := range ready {
		if is && (p.service < 0 || j/ServiceSize == p.service) {
			want++
		}
	}
	if len(state.Targets) != want {
		return false
	}
	for _, address := range state.Targets {
		if s := f.net.at(address); s == nil || !ready[s.number] || p.service >= 0 && s.number/ServiceSize != p.service {
			return false
		}
	}
	return true
}

// settle waits until all running sidecars send to just the servers that are ready, for as long as most. It returns the
// seconds that took, and how many are wrong at the end.
func (f *fleet) settle(ready []bool, most time.Duration) (seconds float64, wrong int) {
	began := time.Now()
	open := map[*process]bool{}
	for _, m := range f.sidecars {
		for _, p := range m.procs {
			open[p] = true
		}
	}
	for {
		for p := range open {
			if state, err := p.hollow.State(); err == nil && f.right(p, state, ready) {
				delete(open, p)
			}
		}
		if len(open) == 0 || time.Since(began) > most {
			return time.Since(began).Seconds(), len(open)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// until lets virtual time pass up to so long after the begin.
func (f *fleet) until(at time.Duration) { time.Sleep(at - time.Since(f.began)) }

// frame is all counts at one time.
type frame struct {
	at       time.Duration
	sidecars [][kinds]int64
	servers  [][kinds]int64
	agents   [][kinds]int64
	cpu      float64
}

func counts(t *tally) (c [kinds]int64) {
	for k := range t {
		c[k] = t[k].Load()
	}
	return c
}

func (f *fleet) frame() frame {
	fr := frame{at: time.Since(f.began), cpu: cpuSeconds()}
	for _, m := range f.sidecars {
		fr.sidecars = append(fr.sidecars, counts(&m.sent))
	}
	for _, s := range f.net.servers {
		fr.servers = append(fr.servers, counts(&s.borne))
	}
	for _, a := range f.net.agents {
		fr.agents = append(fr.agents, counts(&a.borne))
	}
	return fr
}

// window is the time over which a sidecar's rates are taken.
const window = 10 * time.Second

// phase lets time pass up to an instant and reckons what happened meanwhile.
func (f *fleet) phase(name string, to time.Duration) Phase {
	frames := []frame{f.frame()}
	for at := time.Since(f.began); at < to; at = time.Since(f.began) {
		f.until(min(at+window, to))
		frames = append(frames, f.frame())
	}
	return f.reckon(name, frames)
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
