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

// Chain describes a run of a chain of services. Callers at the edge call level 1, and each server of a level calls the next
// level through the sidecar beside it. The servers of the last level fail a fraction of the requests that they run. Times are
// virtual.
type Chain struct {
	Levels          int          `json:"levels"`   // 1 to 12
	ServersPerLevel int          `json:"size"`     // servers of each level; also the number of callers, each with a sidecar, at the edge
	Rate            float64      `json:"rate"`     // calls per second of each caller at the edge, as a Poisson process
	FailureRate     float64      `json:"fail"`     // fraction of requests that the last level fails after WarmUp, 0 to 1
	Deadline        lab.Duration `json:"deadline"` // of a call from the edge
	Latency         lab.Duration `json:"latency"`  // mean time of a server's own work per request
	OneWayDelay     lab.Duration `json:"way"`      // network delay between machines, one way
	WarmUp          lab.Duration `json:"warm"`     // time without failures, at the beginning
	EarlyDuration   lab.Duration `json:"early"`    // first part of FailureDuration, reported as a phase of its own
	FailureDuration lab.Duration `json:"for"`      // time with failures, EarlyDuration included
	// PlainAttempts is the number of attempts of a call, each at a random server, if callers use no sidecar and thus have no
	// breakers and no retry budget; 0 runs sidecars. Such runs are the baseline for the sidecars.
	PlainAttempts int    `json:"plain,omitempty"`
	Seed          uint64 `json:"seed"`
}

// NewChain returns a chain of nine levels at the target load, without failures.
func NewChain() Chain {
	d := func(d time.Duration) lab.Duration { return lab.Duration{Duration: d} }
	return Chain{Levels: 9, ServersPerLevel: 6, Rate: 47, Deadline: d(time.Second), Latency: d(5 * time.Millisecond), OneWayDelay: d(400 * time.Microsecond),
		WarmUp: d(20 * time.Second), EarlyDuration: d(10 * time.Second), FailureDuration: d(40 * time.Second), Seed: 30}
}

// Validate returns an error that begins with the JSON name of the first invalid field.
func (c *Chain) Validate() error {
	for _, f := range []struct {
		invalid       bool
		field, reason string
	}{
		{c.Levels < 1 || c.Levels > 12, "levels", "is not within 1 to 12"},
		{c.ServersPerLevel < 1 || c.ServersPerLevel > 50, "size", "is not within 1 to 50"},
		{!(c.Rate > 0 && c.Rate <= 1000), "rate", "is not over 0 and up to 1000"},
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

// ChainResult is the result of a chain's run.
type ChainResult struct {
	Spec         Chain        `json:"spec"`
	Phases       []ChainPhase `json:"phases"` // warm, early, late
	FailedChecks []string     `json:"broken"` // consistency checks of the run that failed
	WallSeconds  float64      `json:"wall_s"` // real time
}

// ChainPhase is one phase of a run. It counts the calls from the edge that began in it, with all calls and attempts that
// followed from them.
type ChainPhase struct {
	Name     string           `json:"name"`
	Seconds  float64          `json:"seconds"`
	Calls    int64            `json:"calls"` // from the edge
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"` // latency of calls from the edge, whatever their outcome
	P99Ms    float64          `json:"p99_ms"`
	Levels   []ChainLevel     `json:"levels"`
	// LastLevelAttemptsPerCall is the attempts at the last level per call from the edge.
	LastLevelAttemptsPerCall float64 `json:"last_attempts_per_call"`
}

// ChainLevel counts the calls and attempts of one level.
type ChainLevel struct {
	Calls           int64   `json:"calls"`    // from the level before, or from the edge
	Attempts        int64   `json:"attempts"` // at its servers
	AttemptsPerCall float64 `json:"attempts_per_call"`
	// MeanTimeLeftMs is the mean of the remaining time that the attempts announced to their servers, in milliseconds.
	MeanTimeLeftMs float64 `json:"time_left_ms"`
}

// chainPhaseCount is the number of phases of a chain's run.
const chainPhaseCount = 3

// chainPhaseNames are the names of the phases in results.
var chainPhaseNames = [chainPhaseCount]string{"warm", "early", "late"}

// chainRun is the state of a chain's run. Counters are by phase of the call from the edge.
type chainRun struct {
	spec        *Chain
	started     time.Time
	servers     [][]*chainServer // by level from 0
	edgeCallers []*chainCaller
	discoveries []*lab.FakeDiscovery
	failing     atomic.Bool
	outcomes    [chainPhaseCount][outcomeCount]atomic.Int64
	callsSent   [chainPhaseCount]atomic.Int64
	calls       [chainPhaseCount][]atomic.Int64 // by the level that is called
	attempts    [chainPhaseCount][]atomic.Int64
	timeLeftMs  [chainPhaseCount][]atomic.Int64
	running     sync.WaitGroup
	arrived     atomic.Int64 // attempts that reached the machine of a server; checked at the end
	sent        atomic.Int64 // all attempts that were sent
	undelivered atomic.Int64 // attempts given up on the way to the server

	mu        sync.Mutex
	random    *rand.Rand
	latencies [chainPhaseCount]*hdrhistogram.Histogram // µs
}

// chainServer is a simulated pin server with the caller beside it.
type chainServer struct {
	*lab.ServerModel
	level, number int
	next          *chainCaller // calls the next level; nil at the last one
}

// chainCaller calls a level, through a hollow sidecar or directly.
type chainCaller struct {
	run    *chainRun
	level  int                            // that it calls, from 0
	hollow *sidecar.Hollow                // nil without a sidecar
	conns  []upstream.SimulatedConnection // without a sidecar: one to each server of the level
}

// currentPhase returns the index of the phase at the present time.
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

// phaseOfCall returns the phase in which a call from the edge was sent. The call's id begins with it, and all calls and
// attempts that follow from it have the same id.
func phaseOfCall(id string) int { return int(id[0] - '0') }

// call makes one call to the level and returns its HTTP status.
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

// randomIndex returns a random number from 0 to n-1.
func (c *chainRun) randomIndex(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// chainNetwork is the simulated network between callers and the servers of one level.
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

// chainConn is a simulated connection to a server.
type chainConn struct {
	server *chainServer
	run    *chainRun
	closed atomic.Bool
}

// IsOpen reports whether the connection was not closed.
func (c *chainConn) IsOpen() bool { return !c.closed.Load() }

// Close closes the connection.
func (c *chainConn) Close() { c.closed.Store(true) }

// Do sends a request to the server and returns its response. The server gets the remaining time of the attempt in whole
// milliseconds, as X-Time-Left-Ms has it. A caller that gives up an attempt closes its connection, which also ends the
// server's own call to the next level.
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
		return 0, nil, nil, errors.New("the attempt has no deadline")
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
		code = http.StatusInternalServerError // the request was run here, whatever the failure of the next level
	}
	if !wait(ctx, delay) {
		return 0, nil, nil, ctx.Err()
	}
	return code, header, []byte("ok:" + id), nil
}

// drawFailure randomly decides whether the last level fails a request.
func (c *chainRun) drawFailure() bool {
	if !c.failing.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.spec.FailureRate
}

// RunChain runs a chain on the clock of the caller: the real one, or the virtual one of a synctest bubble (see
// RunChainVirtual).
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
	time.Sleep(time.Minute) // lets outstanding timers expire
	return c.result(), nil
}

// newCaller returns caller number i of a level, with a hollow sidecar unless the chain runs without.
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

// generateLoad sends the calls of a caller at the edge until FailureDuration is over. With a sidecar it starts once that has
// endpoints.
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

// result collects the counters and runs the consistency checks.
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
	if sent, arrived, undelivered := c.sent.Load(), c.arrived.Load(), c.undelivered.Load(); sent != arrived+undelivered {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d attempts were sent, %d arrived and %d were given up on the way", sent, arrived, undelivered))
	}
	return r
}

// NaiveAttemptsPerCall calculates the attempts at the last level per call from the edge if no retry budget or deadline limits
// them. Every level makes up to the given number of attempts until one succeeds, and the last level fails the fraction fail.
func NaiveAttemptsPerCall(levels, attempts int, fail float64) float64 {
	product := 1.0
	for range levels {
		expected, reached := 0.0, 1.0 // reached: the probability that the attempt is made
		for range attempts {
			expected += reached
			reached *= fail
		}
		product *= expected
		fail = reached // the level before fails if all attempts of this level failed
	}
	return product
}

// ChainTable returns the results as a text table, with one line per phase.
func ChainTable(results []*ChainResult) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "attempts\tfail\tphase\tcalls\tserved\trefused\tfailed\tlate\tp99 ms\tlast level/call\tattempts per call by level\ttime left at last level ms\t\n")
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
