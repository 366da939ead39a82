package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramblestand/internal/config"
	"bramblestand/internal/lab"
	"bramblestand/internal/sidecar"
	"bramblestand/internal/upstream"
)

// Chain is a chain of services: callers at the edge call level 1, each server of a level calls the next one through the
// sidecar beside it, and the last level's servers fail a share of what they run. Times are virtual.
type Chain struct {
	Levels          int          `json:"levels"`   // 1 to 12
	ServersPerLevel int          `json:"size"`     // servers of each level; callers and sidecars at the edge
	Rate            float64      `json:"rate"`     // calls a second of each caller, drawn after Poisson
	FailureRate     float64      `json:"fail"`     // share that the last level fails from the warm time on, 0 to 1
	Deadline        lab.Duration `json:"deadline"` // of a caller's call
	Latency         lab.Duration `json:"latency"`  // mean of a server's own work
	OneWayDelay     lab.Duration `json:"way"`      // one way between machines
	WarmUp          lab.Duration `json:"warm"`     // without failures
	EarlyDuration   lab.Duration `json:"early"`    // of the failures' time, told apart
	FailureDuration lab.Duration `json:"for"`      // with failures, Early included
	// Plain is how many attempts a call gets where callers try servers in turn by themselves, without a sidecar, its
	// breakers and its budget; 0 for sidecars. It is what the sidecars are compared with.
	PlainAttempts int    `json:"plain,omitempty"`
	Seed          uint64 `json:"seed"`
}

// NewChain is a chain nine deep at the target's load.
func NewChain() Chain {
	d := func(d time.Duration) lab.Duration { return lab.Duration{Duration: d} }
	return Chain{Levels: 9, ServersPerLevel: 6, Rate: 47, Deadline: d(time.Second), Latency: d(5 * time.Millisecond), OneWayDelay: d(400 * time.Microsecond),
		WarmUp: d(20 * time.Second), EarlyDuration: d(10 * time.Second), FailureDuration: d(40 * time.Second), Seed: 30}
}

// Validate names the first field that cannot be.
func (c *Chain) Validate() error {
	for _, f := range []struct {
		invalid       bool
		field, reason string
	}{
		{c.Levels < 1 || c.Levels > 12, "levels", "is not within 1 to 12"},
		{c.ServersPerLevel < 1 || c.ServersPerLevel > 50, "size", "is not within 1 to 50"},
		{!(c.Rate > 0 && c.Rate <= 1000), "rate", "is not within 0 to 1000, or is 0"},
		{!(c.FailureRate >= 0 && c.FailureRate <= 1), "fail", "is not within 0 to 1"},
		{c.Deadline.Duration < 50*time.Millisecond || c.Deadline.Duration > time.Minute, "deadline", "is not within 50ms to 1m"},
		{c.Latency.Duration <= 0, "latency", "is not positive"},
		{c.OneWayDelay.Duration < 0, "way", "is negative"},
		{c.WarmUp.Duration <= 0 || c.EarlyDuration.Duration <= 0, "warm", "or early is not positive"},
		{c.FailureDuration.Duration <= c.EarlyDuration.Duration, "for", "is not longer than early"},
		{c.PlainAttempts < 0 || c.PlainAttempts > 5, "plain", "is not within 0 to 5"},
	} {
		if f.invalid {
			return fmt.Errorf("%s %s", f.field, f.reason)
		}
	}
	return nil
}

// ChainResult is a chain as played.
type ChainResult struct {
	Spec         Chain        `json:"spec"`
	Phases       []ChainPhase `json:"phases"` // warm, early, late
	FailedChecks []string     `json:"broken"` // checks that did not hold
	WallSeconds  float64      `json:"wall_s"`
}

// ChainPhase is one time of it: the edge's calls that were sent in it, and all that came of them.
type ChainPhase struct {
	Name     string           `json:"name"`
	Seconds  float64          `json:"seconds"`
	Calls    int64            `json:"calls"` // of the edge
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"` // of the edge's calls, whatever came of them
	P99Ms    float64          `json:"p99_ms"`
	Levels   []ChainLevel     `json:"levels"`
	// PerCall is attempts at the last level for each call of the edge.
	LastLevelAttemptsPerCall float64 `json:"last_attempts_per_call"`
}

// ChainLevel is one level.
type ChainLevel struct {
	Calls           int64   `json:"calls"`    // of the level before it
	Attempts        int64   `json:"attempts"` // at its servers
	AttemptsPerCall float64 `json:"attempts_per_call"`
	// LeftMs is the time that its attempts told their servers, in milliseconds: the mean.
	MeanTimeLeftMs float64 `json:"time_left_ms"`
}

const chainPhaseCount = 3

var chainPhaseNames = [chainPhaseCount]string{"warm", "early", "late"}

// chain is one as it is played.
type chainRun struct {
	spec        *Chain
	started     time.Time
	servers     [][]*chainServer // by level, from 0
	edgeCallers []*chainCaller
	discoveries []*lab.FakeDiscovery
	failing     atomic.Bool
	outcomes    [chainPhaseCount][outcomeCount]atomic.Int64
	callsSent   [chainPhaseCount]atomic.Int64
	calls       [chainPhaseCount][]atomic.Int64 // by level called
	attempts    [chainPhaseCount][]atomic.Int64
	timeLeftMs  [chainPhaseCount][]atomic.Int64
	running     sync.WaitGroup
	arrived     atomic.Int64 // attempts that came to a server's machine, for the check
	sent        atomic.Int64 // and all that left
	undelivered atomic.Int64 // and those given up on the way

	mu        sync.Mutex
	random    *rand.Rand
	latencies [chainPhaseCount]*hdrhistogram.Histogram // µs
}

// chainServer is a hollow pin server and the caller beside it.
type chainServer struct {
	*lab.ServerModel
	level, number int
	next          *chainCaller // nil at the last level
}

// chainCaller calls a level, through a sidecar or plainly.
type chainCaller struct {
	run    *chainRun
	level  int             // that it calls
	hollow *sidecar.Hollow // nil for plain
	conns  []upstream.SimulatedConnection
}

func (c *chainRun) currentPhase() int {
	switch at := time.Since(c.started); {
	case at < c.spec.WarmUp.Duration:
		return 0
	case at < c.spec.WarmUp.Duration+c.spec.EarlyDuration.Duration:
		return 1
	default:
		return 2
	}
}

// phaseOf is the phase in which the edge's call was sent that an attempt belongs to: its id begins with it.
func phaseOfCall(id string) int { return int(id[0] - '0') }

// call makes one call of the level and gives its code.
func (k *chainCaller) call(ctx context.Context, id string, timeLeft time.Duration) int {
	k.run.calls[phaseOfCall(id)][k.level].Add(1)
	if k.hollow != nil {
		return k.hollow.Call(ctx, "read", id, timeLeft)
	}
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	code := sidecar.CodeClientDisconnected
	for attempt := 0; attempt < k.run.spec.PlainAttempts && ctx.Err() == nil; attempt++ {
		var err error
		if code, _, _, err = k.conns[k.run.randomIndex(len(k.conns))].Do(ctx, "/read/"+id, id); err != nil {
			code = http.StatusBadGateway
		}
		if code == http.StatusOK {
			return code
		}
	}
	if code == http.StatusInternalServerError {
		code = http.StatusBadGateway
	}
	return code
}

func (c *chainRun) randomIndex(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// chainNetwork is what lies before one level.
type chainNetwork struct {
	run   *chainRun
	level int
}

// Dial opens a connection to a server of the level.
func (n *chainNetwork) Dial(ctx context.Context, address string) (upstream.SimulatedConnection, error) {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if number -= firstPort; err != nil || number < 0 || number >= len(n.run.servers[n.level]) {
		return nil, errRefused
	}
	if !wait(ctx, 2*n.run.spec.OneWayDelay.Duration) {
		return nil, ctx.Err()
	}
	return &chainConn{server: n.run.servers[n.level][number], run: n.run}, nil
}

type chainConn struct {
	server *chainServer
	run    *chainRun
	closed atomic.Bool
}

// IsOpen says whether it was not closed.
func (c *chainConn) IsOpen() bool { return !c.closed.Load() }

// Close closes it.
func (c *chainConn) Close() { c.closed.Store(true) }

// Do brings a request to the server and its answer back. The time that the attempt has left is told in whole
// milliseconds, as X-Time-Left-Ms tells it; who gives the attempt up closes its connection, and the server's own call
// ends with that.
func (c *chainConn) Do(ctx context.Context, path, id string) (int, http.Header, []byte, error) {
	s, delay := c.server, c.run.spec.OneWayDelay.Duration
	if id == "" { // a probe
		if !wait(ctx, delay) {
			return 0, nil, nil, ctx.Err()
		}
		report := s.LoadReport()
		if !wait(ctx, delay) {
			return 0, nil, nil, ctx.Err()
		}
		return http.StatusOK, nil, []byte(report), nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, nil, nil, errors.New("an attempt without a deadline")
	}
	timeLeft := max(0, time.Until(deadline).Truncate(time.Millisecond))
	phase := phaseOfCall(id)
	c.run.sent.Add(1)
	c.run.attempts[phase][s.level].Add(1)
	c.run.timeLeftMs[phase][s.level].Add(timeLeft.Milliseconds())
	if !wait(ctx, delay) {
		c.run.undelivered.Add(1)
		return 0, nil, nil, ctx.Err()
	}
	c.run.arrived.Add(1)
	arrived, code := time.Now(), http.StatusOK
	verdict, report := s.Run(ctx, func() {
		if s.next != nil {
			code = s.next.call(ctx, id, max(0, timeLeft-time.Since(arrived)))
		}
	})
	header := http.Header{"X-Backend-Load": {report}}
	switch {
	case verdict == lab.VerdictDisconnected:
		return 0, nil, nil, ctx.Err()
	case verdict == lab.VerdictRejected:
		code, header = http.StatusServiceUnavailable, http.Header{"X-Unprocessed": {"1"}}
	case code != http.StatusOK || s.next == nil && c.run.drawFailure():
		code = http.StatusInternalServerError // it has run, whatever kept the next level from answering
	}
	if !wait(ctx, delay) {
		return 0, nil, nil, ctx.Err()
	}
	return code, header, []byte("ok:" + id), nil
}

// fails draws whether the last level fails a request.
func (c *chainRun) drawFailure() bool {
	if !c.failing.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.spec.FailureRate
}

// PlayChain plays a chain on the clock that holds: a program's is virtual (see VirtualChain).
func RunChain(spec Chain) (*ChainResult, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	c := &chainRun{spec: &spec, started: time.Now(), random: rand.New(rand.NewPCG(spec.Seed, 9))}
	for p := range chainPhaseCount {
		c.calls[p], c.attempts[p], c.timeLeftMs[p] = make([]atomic.Int64, spec.Levels), make([]atomic.Int64, spec.Levels), make([]atomic.Int64, spec.Levels)
		c.latencies[p] = hdrhistogram.New(1, 120_000_000, 3)
	}
	serverSettings := lab.Server{Capacity: 256, Queue: 256, Latency: spec.Latency}
	for level := range spec.Levels {
		discovery := lab.NewFakeDiscoveryHandler(spec.Seed + uint64(level))
		var servers []*chainServer
		for j := range spec.ServersPerLevel {
			s := &chainServer{ServerModel: lab.NewServerModel(serverSettings, spec.Seed+uint64(level*spec.ServersPerLevel+j)), level: level, number: j}
			servers = append(servers, s)
			discovery.Set(lab.Instance{Name: fmt.Sprintf("l%d-%d", level, j), Address: "127.0.0.1:" + strconv.Itoa(firstPort+j), Zone: "z0", MachineType: "m",
				Health: "Ready", Weight: 1, StartedAtMillis: s.StartedAt().UnixMilli() - time.Hour.Milliseconds()}, nil)
		}
		c.servers, c.discoveries = append(c.servers, servers), append(c.discoveries, discovery)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range spec.ServersPerLevel {
		caller, err := c.newCaller(ctx, i, 0)
		if err != nil {
			cancel()
			return nil, err
		}
		c.edgeCallers = append(c.edgeCallers, caller)
		for level := range spec.Levels - 1 {
			if c.servers[level][i].next, err = c.newCaller(ctx, i, level+1); err != nil {
				cancel()
				return nil, err
			}
		}
	}
	for i, caller := range c.edgeCallers {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.generateLoad(caller, rand.New(rand.NewPCG(spec.Seed, uint64(i)+100)))
		}()
	}
	time.Sleep(spec.WarmUp.Duration)
	c.failing.Store(true)
	time.Sleep(spec.FailureDuration.Duration)
	time.Sleep(spec.Deadline.Duration + time.Second)
	cancel()
	c.running.Wait()
	time.Sleep(time.Minute) // timers run out
	return c.result(), nil
}

// caller makes the one number i of those that call a level.
func (c *chainRun) newCaller(ctx context.Context, i, level int) (*chainCaller, error) {
	k := &chainCaller{run: c, level: level}
	if c.spec.PlainAttempts > 0 {
		for _, s := range c.servers[level] {
			k.conns = append(k.conns, &chainConn{server: s, run: c})
		}
		return k, nil
	}
	experiment := &lab.Experiment{Name: "chain", Seed: c.spec.Seed + uint64(level), Load: lab.Load{Deadline: c.spec.Deadline},
		Fleet: lab.Fleet{Sidecars: c.spec.ServersPerLevel, Servers: c.spec.ServersPerLevel, Zones: []string{"z0"}}}
	cfg, err := config.Parse(experiment.SidecarConfig(i, c.spec.ServersPerLevel, "127.0.0.1:1", "127.0.0.1:2", ""))
	if err != nil {
		return nil, err
	}
	net := &network{spec: &Spec{Zones: 1, Regions: 1}}
	discoveryClient := &client{network: net, counters: &counters{}}
	k.hollow, err = sidecar.NewHollow(ctx, cfg, sidecar.HollowOptions{Network: &chainNetwork{run: c, level: level},
		Discovery: &discoveryTransport{client: discoveryClient, agent: &discoveryAgent{}, handler: c.discoveries[level]}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	c.running.Add(1)
	go func() { defer c.running.Done(); k.hollow.Run() }()
	return k, nil
}

// load sends an edge caller's calls until the failures' time is over.
func (c *chainRun) generateLoad(k *chainCaller, random *rand.Rand) {
	for k.hollow != nil && !k.hollow.HasEndpoints() {
		time.Sleep(100 * time.Millisecond)
	}
	end := c.spec.WarmUp.Duration + c.spec.FailureDuration.Duration
	for n := 0; ; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / c.spec.Rate * float64(time.Second)))
		if time.Since(c.started) >= end {
			return
		}
		phase := c.currentPhase()
		id := strconv.Itoa(phase) + strconv.FormatUint(random.Uint64(), 16)
		c.callsSent[phase].Add(1)
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			sent := time.Now()
			code := k.call(context.Background(), id, c.spec.Deadline.Duration)
			latency := time.Since(sent)
			o := failed
			switch {
			case code == http.StatusOK && latency > c.spec.Deadline.Duration+50*time.Millisecond:
				o = late
			case code == http.StatusOK:
				o = served
			case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
				o = refused
			}
			c.outcomes[phase][o].Add(1)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.latencies[phase].RecordValue(latency.Microseconds())
		}()
	}
}

func (c *chainRun) result() *ChainResult {
	r := &ChainResult{Spec: *c.spec, FailedChecks: []string{}}
	durations := [chainPhaseCount]time.Duration{c.spec.WarmUp.Duration, c.spec.EarlyDuration.Duration, c.spec.FailureDuration.Duration - c.spec.EarlyDuration.Duration}
	ratio := func(a, b int64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	for p := range chainPhaseCount {
		phase := ChainPhase{Name: chainPhaseNames[p], Seconds: durations[p].Seconds(), Calls: c.callsSent[p].Load(), Outcomes: map[string]int64{},
			P50Ms: float64(c.latencies[p].ValueAtQuantile(50)) / 1000, P99Ms: float64(c.latencies[p].ValueAtQuantile(99)) / 1000}
		ended := int64(0)
		for o, name := range outcomeNames {
			if n := c.outcomes[p][o].Load(); n > 0 {
				phase.Outcomes[name] = n
				ended += n
			}
		}
		if ended != phase.Calls {
			r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%s: %d calls, %d outcomes", phase.Name, phase.Calls, ended))
		}
		for level := range c.spec.Levels {
			calls, attempts := c.calls[p][level].Load(), c.attempts[p][level].Load()
			phase.Levels = append(phase.Levels, ChainLevel{calls, attempts, ratio(attempts, calls), ratio(c.timeLeftMs[p][level].Load(), attempts)})
		}
		phase.LastLevelAttemptsPerCall = ratio(phase.Levels[c.spec.Levels-1].Attempts, phase.Calls)
		r.Phases = append(r.Phases, phase)
	}
	if sent, arrived, unheard := c.sent.Load(), c.arrived.Load(), c.undelivered.Load(); sent != arrived+unheard {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d attempts were sent, %d came and %d were given up", sent, arrived, unheard))
	}
	return r
}

// Naive is the attempts at the last level for each call of the edge, reckoned, where every level makes so many attempts
// at the most until one succeeds, nothing else ends them, and the last level fails this share.
func NaiveAttemptsPerCall(levels, attempts int, fail float64) float64 {
	product := 1.0
	for range levels {
		expected, reached := 0.0, 1.0 // all: the chance that an attempt is made
		for range attempts {
			expected += reached
			reached *= fail
		}
		product *= expected
		fail = reached // of the level before: all of its attempts failed
	}
	return product
}

// ChainTable is chains for people.
func ChainTable(results []*ChainResult) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "tries\tfail\tphase\tcalls\tserved\trefused\tfailed\tlate\tp99 ms\tlast/call\tby level: attempts a call\tlast's time left ms\t\n")
	for _, r := range results {
		for _, p := range r.Phases {
			callers := "sidecar"
			if r.Spec.PlainAttempts > 0 {
				callers = fmt.Sprintf("plain %d", r.Spec.PlainAttempts)
			}
			var byLevel []string
			for _, l := range p.Levels {
				byLevel = append(byLevel, fmt.Sprintf("%.2f", l.AttemptsPerCall))
			}
			fmt.Fprintf(w, "%s\t%v\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.3f\t%s\t%.0f\t\n", callers, r.Spec.FailureRate, p.Name, p.Calls, p.Outcomes["served"],
				p.Outcomes["refused"], p.Outcomes["failed"], p.Outcomes["late"], p.P99Ms, p.LastLevelAttemptsPerCall, strings.Join(byLevel, " "), p.Levels[len(p.Levels)-1].MeanTimeLeftMs)
		}
	}
	w.Flush()
	return text.String()
}
