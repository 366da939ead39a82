package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyOptions configures MeasureLatency, a benchmark of the latency that one sidecar adds to a call.
type LatencyOptions struct {
	Servers    int           // 1 to 1000
	Rate       float64       // calls per second on each path, more than 0 and at most 2000
	Runs       int           // 1 to 100
	Warmup     time.Duration // of each run; its calls are sent but not counted
	Duration   time.Duration // of each run after the warm-up
	ProbePrice float64       // prices.probe of the settings; 0 for 1
	Seed       uint64
}

// Latency is the result of MeasureLatency. A call's latency is the time from its send to the last byte of its response.
type Latency struct {
	Format     int          `json:"format"`
	Servers    int          `json:"servers"`
	Rate       float64      `json:"rate"` // calls per second on each path
	ProbePrice float64      `json:"probe_price"`
	Warmup     Duration     `json:"warm"`
	Duration   Duration     `json:"duration"`
	Runs       []LatencyRun `json:"plays"`
	// The p50, p99 and p99.9, by those names, over the runs. Added is the difference of Proxied and Direct in each run.
	Direct  map[string]LatencySpread `json:"straight_ms"`
	Proxied map[string]LatencySpread `json:"through_ms"`
	Added   map[string]LatencySpread `json:"added_ms"`
	// MaxAdded is the proxied p99 minus the direct median, an upper bound of the latency added to 99 of 100 calls. Added
	// at p99 is not such a bound, since it assumes that the same calls are in the tails of both paths.
	MaxAdded LatencySpread `json:"added_most_ms"`
}

// LatencySpread is the range and the median of one latency over the runs, in milliseconds.
type LatencySpread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// LatencyRun is one run of the benchmark.
type LatencyRun struct {
	Seed      uint64      `json:"seed"`
	Direct    PathLatency `json:"straight"`
	Proxied   PathLatency `json:"through"`
	CPU       float64     `json:"cpu_ms_per_call"` // CPU time of the sidecar, including its probes
	LabLate99 float64     `json:"lab_late_p99_ms"` // lateness of the lab's timers
	Late      bool        `json:"lab_ran_late"`    // the lab was short of CPU: the times are not reliable
}

// PathLatency is the result of the calls on one path, without those of the warm-up.
type PathLatency struct {
	Sent    int         `json:"sent"`
	Served  int         `json:"served"` // calls with the expected response
	Latency Percentiles `json:"latency_ms"`
}

// callPath sends calls on one path, either directly to servers or through the sidecar, and measures them.
type callPath struct {
	http     *http.Client
	to       func() string // returns the address of the next call, host:port
	requests *RequestTable

	mu        sync.Mutex              // guards the fields below
	histogram *hdrhistogram.Histogram // latencies of served calls, in µs
	sent      int
	served    int
}

func newCallPath(requests *RequestTable, to func() string) *callPath {
	return &callPath{http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
		to: to, requests: requests, histogram: newHistogram()}
}

// call makes one call, and adds it to the result if counts is true.
func (p *callPath) call(id string, counts bool) {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.to()+"/read/"+id, http.NoBody)
	if err != nil {
		return
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Service-Class", "read")
	r.Header.Set("X-Time-Left-Ms", "1000")
	p.requests.recordSent(id, 0, false)
	sent, served := time.Now(), false
	if response, err := p.http.Do(r); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		served = err == nil && response.StatusCode == http.StatusOK && string(body) == "ok:"+id
	}
	took := time.Since(sent)
	if !counts {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if served {
		p.served++
		p.histogram.RecordValue(took.Microseconds())
	}
}

// result returns the result of the counted calls so far.
func (p *callPath) result() PathLatency {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PathLatency{Sent: p.sent, Served: p.served, Latency: percentiles(p.histogram)}
}

// MeasureLatency measures the latency that one sidecar adds to a call. It alternates between calls directly to a random
// server and calls through the sidecar, open-loop: no call waits for the response of another. The servers respond at
// once. Each run has a sidecar and servers of its own. MeasureLatency calls progress after each run.
func MeasureLatency(ctx context.Context, program, folder string, o LatencyOptions, progress func(string)) (*Latency, error) {
	if err := firstInvalid([]fieldCheck{
		{o.Servers < 1 || o.Servers > 1000, "servers", "is not within 1 to 1000"},
		{!(o.Rate > 0 && o.Rate <= 2000), "rate", "is not within (0, 2000]"},
		{o.Runs < 1 || o.Runs > 100, "plays", "is not within 1 to 100"},
		{o.Warmup < 0 || o.Warmup > time.Minute, "warm", "is not within 0 to 1m"},
		{o.Duration < 100*time.Millisecond || o.Duration > 10*time.Minute, "duration", "is not within 100ms to 10m"},
		{!(o.ProbePrice >= 0 && o.ProbePrice <= 1000), "price", "is not within 0 to 1000"},
	}); err != nil {
		return nil, err
	}
	l := &Latency{Format: resultFormat, Servers: o.Servers, Rate: o.Rate, ProbePrice: o.ProbePrice, Warmup: Duration{o.Warmup}, Duration: Duration{o.Duration}}
	if l.ProbePrice == 0 {
		l.ProbePrice = 1
	}
	for n := range o.Runs {
		run, err := o.run(ctx, program, filepath.Join(folder, fmt.Sprintf("run-%v-%d", o.Rate, n)), o.Seed+uint64(n))
		if err != nil {
			return nil, fmt.Errorf("run %d: %w", n, err)
		}
		l.Runs = append(l.Runs, *run)
		progress(run.String())
	}
	l.summarize()
	return l, nil
}

// run makes one run of the benchmark, with a sidecar and servers of its own.
func (o *LatencyOptions) run(ctx context.Context, program, folder string, seed uint64) (*LatencyRun, error) {
	exp := o.experiment(seed)
	if err := exp.CheckDescriptors(1); err != nil {
		return nil, err
	}
	bed, err := newTestbed(exp, program, folder, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	defer bed.close()
	if err := bed.sidecars.startAll(); err != nil {
		return nil, err
	}
	bed.requests.start = time.Now()
	late := newLateness(bed.requests)
	watched, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go late.watch(watched)
	direct := newCallPath(bed.requests, randomServer(bed.servers, seed))
	listenAddress := bed.sidecars.ListenAddress(0)
	proxied := newCallPath(bed.requests, func() string { return listenAddress })
	defer direct.http.CloseIdleConnections()
	defer proxied.http.CloseIdleConnections()
	cpuBefore, err := o.callInTurn(ctx, bed, seed, direct, proxied)
	if err != nil {
		return nil, err
	}
	r := &LatencyRun{Seed: seed, Direct: direct.result(), Proxied: proxied.result()}
	if r.Proxied.Sent > 0 {
		r.CPU = ms(bed.sidecars.cpuTime(0)-cpuBefore) / float64(r.Proxied.Sent)
	}
	report := late.report()
	r.LabLate99, r.Late = report.Timers.P99, report.Late
	return r, nil
}

// experiment returns the experiment that describes the testbed of one run: servers that respond at once.
func (o *LatencyOptions) experiment(seed uint64) *Experiment {
	return &Experiment{Name: "latency", Seed: seed, Duration: Duration{o.Warmup + o.Duration},
		Fleet:  Fleet{Sidecars: 1, Servers: o.Servers, Zones: []string{"a"}, ProbePrice: o.ProbePrice},
		Server: Server{Capacity: 256, Queue: 256, Latency: Duration{time.Microsecond}},
		Load:   Load{Rate: o.Rate, Shape: "poisson", Deadline: Duration{time.Second}}}
}

// randomServer returns a function that returns the address of a random server. It is safe for concurrent use.
func randomServer(servers []*FakeServer, seed uint64) func() string {
	random := rand.New(rand.NewPCG(seed, 0x1a7))
	var mu sync.Mutex // guards random
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return servers[random.IntN(len(servers))].Address()
	}
}

// callInTurn makes the calls of one run, alternating between the paths, at random times, and waits for their responses.
// It returns the CPU time that the sidecar had used before the first counted call.
func (o *LatencyOptions) callInTurn(ctx context.Context, bed *testbed, seed uint64, direct, proxied *callPath) (cpuBefore time.Duration, err error) {
	arrivals := rand.New(rand.NewPCG(seed, 0xa11))
	var calls sync.WaitGroup
	defer calls.Wait()
	at := time.Duration(0)
	for n := 0; at < o.Warmup+o.Duration; n += 2 { // in pairs, so that both paths have the same number of calls
		isCounted := at >= o.Warmup
		for k, path := range []*callPath{direct, proxied} {
			at += time.Duration(arrivals.ExpFloat64() / (2 * o.Rate) * float64(time.Second))
			if !bed.requests.waitUntil(ctx, at) {
				return 0, ctx.Err()
			}
			if isCounted && cpuBefore == 0 {
				cpuBefore = bed.sidecars.cpuTime(0)
			}
			calls.Add(1)
			go func() {
				defer calls.Done()
				path.call(strconv.FormatUint(seed<<32+uint64(n+k), 16), isCounted)
			}()
		}
	}
	return cpuBefore, nil
}

// quantiles are the names of the reported quantiles and the functions that return them.
var quantiles = []struct {
	name string
	of   func(Percentiles) float64
}{{"p50", func(p Percentiles) float64 { return p.P50 }}, {"p99", func(p Percentiles) float64 { return p.P99 }},
	{"p99.9", func(p Percentiles) float64 { return p.P999 }}}

// summarize computes the figures over all runs.
func (l *Latency) summarize() {
	l.Direct, l.Proxied, l.Added = map[string]LatencySpread{}, map[string]LatencySpread{}, map[string]LatencySpread{}
	spread := func(of func(LatencyRun) float64) LatencySpread {
		var all []float64
		for _, run := range l.Runs {
			all = append(all, math.Round(of(run)*1000)/1000)
		}
		slices.Sort(all)
		middle := (all[(len(all)-1)/2] + all[len(all)/2]) / 2
		return LatencySpread{Min: all[0], Median: middle, Max: all[len(all)-1]}
	}
	for _, q := range quantiles {
		l.Direct[q.name] = spread(func(r LatencyRun) float64 { return q.of(r.Direct.Latency) })
		l.Proxied[q.name] = spread(func(r LatencyRun) float64 { return q.of(r.Proxied.Latency) })
		l.Added[q.name] = spread(func(r LatencyRun) float64 { return q.of(r.Proxied.Latency) - q.of(r.Direct.Latency) })
	}
	l.MaxAdded = spread(func(r LatencyRun) float64 { return r.Proxied.Latency.P99 - r.Direct.Latency.P50 })
}

// String formats the run as one line.
func (r LatencyRun) String() string {
	return fmt.Sprintf("seed %d: direct %d of %d, p50 %.3f p99 %.3f p99.9 %.3f ms; proxied %d of %d, p50 %.3f p99 %.3f p99.9 %.3f ms; %.3f ms of CPU time per call",
		r.Seed, r.Direct.Served, r.Direct.Sent, r.Direct.Latency.P50, r.Direct.Latency.P99, r.Direct.Latency.P999,
		r.Proxied.Served, r.Proxied.Sent, r.Proxied.Latency.P50, r.Proxied.Latency.P99, r.Proxied.Latency.P999, r.CPU)
}

// Table formats the figures over all runs, one per line.
func (l *Latency) Table() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%v calls/s, %d servers, %d runs, ms\tmin\tmedian\tmax\t\n", l.Rate, l.Servers, len(l.Runs))
	line := func(name string, s LatencySpread) {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t\n", name, s.Min, s.Median, s.Max)
	}
	for _, q := range quantiles {
		line("direct "+q.name, l.Direct[q.name])
		line("proxied "+q.name, l.Proxied[q.name])
		line("added "+q.name, l.Added[q.name])
	}
	line("proxied p99 minus direct p50", l.MaxAdded)
	w.Flush()
	return text.String()
}
