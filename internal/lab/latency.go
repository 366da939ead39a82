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

// LatencyOptions is a benchmark of what one sidecar adds to a call. Rates are a second, and of each way.
type LatencyOptions struct {
	Servers    int           // 1 to 1000
	Rate       float64       // calls, over 0 to 2000
	Plays      int           // 1 to 100
	Warm       time.Duration // of each play, sent and not counted
	Duration   time.Duration // of each play, counted
	ProbePrice float64       // prices.probe of the settings; 0 for 1
	Seed       uint64
}

// Latency is what the benchmark measured, in milliseconds: a call's time from its send to the last byte of its answer.
type Latency struct {
	Format     int           `json:"format"`
	Servers    int           `json:"servers"`
	Rate       float64       `json:"rate"` // calls a second, of each way
	ProbePrice float64       `json:"probe_price"`
	Warm       Duration      `json:"warm"`
	Duration   Duration      `json:"duration"`
	Plays      []LatencyPlay `json:"plays"`
	// Over plays, at p50, p99 and p99.9.
	Straight map[string]LatencySpread `json:"straight_ms"`
	Through  map[string]LatencySpread `json:"through_ms"`
	Added    map[string]LatencySpread `json:"added_ms"`
	// AddedMost is p99 through the sidecar less the median straight: what 99 in 100 calls have added at the most,
	// where Added at p99 takes the tails of both ways to fall on the same calls.
	AddedMost LatencySpread `json:"added_most_ms"`
}

// LatencySpread is one figure over plays, in milliseconds.
type LatencySpread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// LatencyPlay is one play.
type LatencyPlay struct {
	Seed      uint64     `json:"seed"`
	Straight  LatencyWay `json:"straight"`
	Through   LatencyWay `json:"through"`
	CPU       float64    `json:"cpu_ms_per_call"` // of the sidecar, its probes included
	LabLate99 float64    `json:"lab_late_p99_ms"` // of the lab's timers
	Late      bool       `json:"lab_ran_late"`
}

// LatencyWay is the calls of one way.
type LatencyWay struct {
	Sent    int         `json:"sent"`   // counted ones
	Served  int         `json:"served"` // with the right answer
	Latency Percentiles `json:"latency_ms"`
}

// way sends calls one way.
type way struct {
	http   *http.Client
	to     func() string // host:port
	ledger *Ledger

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // µs
	sent      int
	served    int
}

func newWay(ledger *Ledger, to func() string) *way {
	return &way{http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
		to: to, ledger: ledger, histogram: newHistogram()}
}

// call makes one call, and counts it where that is wanted.
func (w *way) call(id string, counts bool) {
	r, err := http.NewRequest(http.MethodGet, "http://"+w.to()+"/read/"+id, http.NoBody)
	if err != nil {
		return
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Service-Class", "read")
	r.Header.Set("X-Time-Left-Ms", "1000")
	w.ledger.open(id, 0, false)
	sent, served := time.Now(), false
	if response, err := w.http.Do(r); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		served = err == nil && response.StatusCode == http.StatusOK && string(body) == "ok:"+id
	}
	took := time.Since(sent)
	if !counts {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	if served {
		w.served++
		w.histogram.RecordValue(took.Microseconds())
	}
}

func (w *way) result() LatencyWay {
	w.mu.Lock()
	defer w.mu.Unlock()
	return LatencyWay{Sent: w.sent, Served: w.served, Latency: percentiles(w.histogram)}
}

// MeasureLatency plays the same calls straight to a server drawn at random and through one sidecar, in turn, in one
// open-loop stream: neither way's calls wait for any answer. The servers answer at once. Each play has a sidecar and
// servers of its own. Tell is told of each play.
func MeasureLatency(ctx context.Context, program, folder string, o LatencyOptions, tell func(string)) (*Latency, error) {
	for _, c := range []struct {
		bad         bool
		field, what string
	}{
		{o.Servers < 1 || o.Servers > 1000, "servers", "is not within 1 to 1000"},
		{!(o.Rate > 0 && o.Rate <= 2000), "rate", "is not within 0 to 2000, or is 0"},
		{o.Plays < 1 || o.Plays > 100, "plays", "is not within 1 to 100"},
		{o.Warm < 0 || o.Warm > time.Minute, "warm", "is not within 0 to 1m"},
		{o.Duration < 100*time.Millisecond || o.Duration > 10*time.Minute, "duration", "is not within 100ms to 10m"},
		{!(o.ProbePrice >= 0 && o.ProbePrice <= 1000), "price", "is not within 0 to 1000"},
	} {
		if c.bad {
			return nil, fmt.Errorf("%s %s", c.field, c.what)
		}
	}
	l := &Latency{Format: resultFormat, Servers: o.Servers, Rate: o.Rate, ProbePrice: o.ProbePrice, Warm: Duration{o.Warm}, Duration: Duration{o.Duration}}
	if l.ProbePrice == 0 {
		l.ProbePrice = 1
	}
	for n := range o.Plays {
		p, err := o.play(ctx, program, filepath.Join(folder, fmt.Sprintf("play-%v-%d", o.Rate, n)), o.Seed+uint64(n))
		if err != nil {
			return nil, fmt.Errorf("play %d: %w", n, err)
		}
		l.Plays = append(l.Plays, *p)
		tell(p.String())
	}
	l.sum()
	return l, nil
}

func (o *LatencyOptions) play(ctx context.Context, program, folder string, seed uint64) (*LatencyPlay, error) {
	exp := &Experiment{Name: "latency", Seed: seed, Duration: Duration{o.Warm + o.Duration},
		Fleet:  Fleet{Sidecars: 1, Servers: o.Servers, Zones: []string{"a"}, ProbePrice: o.ProbePrice},
		Server: Server{Capacity: 256, Queue: 256, Latency: Duration{time.Microsecond}},
		Load:   Load{Rate: o.Rate, Shape: "poisson", Deadline: Duration{time.Second}}}
	if err := exp.CheckDescriptors(1); err != nil {
		return nil, err
	}
	w, err := newWorld(exp, program, folder, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.sidecars.startAll(); err != nil {
		return nil, err
	}
	w.ledger.start = time.Now()
	late := newLateness(w.ledger)
	watched, end := context.WithCancel(ctx)
	defer end()
	go late.watch(watched)
	random := rand.New(rand.NewPCG(seed, 0x1a7))
	var drawing sync.Mutex
	straight := newWay(w.ledger, func() string {
		drawing.Lock()
		defer drawing.Unlock()
		return w.servers[random.IntN(len(w.servers))].Address()
	})
	listen := w.sidecars.Listen(0)
	through := newWay(w.ledger, func() string { return listen })
	defer straight.http.CloseIdleConnections()
	defer through.http.CloseIdleConnections()
	arrivals := rand.New(rand.NewPCG(seed, 0xa11))
	var calls sync.WaitGroup
	var cpu time.Duration
	at := time.Duration(0)
	for n := 0; ; n += 2 { // in pairs, so that both ways have as many
		counts := at >= o.Warm
		for k, way := range []*way{straight, through} {
			at += time.Duration(arrivals.ExpFloat64() / (2 * o.Rate) * float64(time.Second))
			if !w.ledger.until(ctx, at) {
				return nil, ctx.Err()
			}
			if counts && cpu == 0 {
				cpu = w.sidecars.cpu(0)
			}
			calls.Add(1)
			go func() {
				defer calls.Done()
				way.call(strconv.FormatUint(seed<<32+uint64(n+k), 16), counts)
			}()
		}
		if at >= o.Warm+o.Duration {
			break
		}
	}
	calls.Wait()
	p := &LatencyPlay{Seed: seed, Straight: straight.result(), Through: through.result()}
	if p.Through.Sent > 0 {
		p.CPU = ms(w.sidecars.cpu(0)-cpu) / float64(p.Through.Sent)
	}
	report := late.report()
	p.LabLate99, p.Late = report.Timers.P99, report.Late
	return p, nil
}

// levels are the quantiles told.
var levels = []struct {
	name string
	of   func(Percentiles) float64
}{{"p50", func(p Percentiles) float64 { return p.P50 }}, {"p99", func(p Percentiles) float64 { return p.P99 }},
	{"p99.9", func(p Percentiles) float64 { return p.P999 }}}

func (l *Latency) sum() {
	l.Straight, l.Through, l.Added = map[string]LatencySpread{}, map[string]LatencySpread{}, map[string]LatencySpread{}
	over := func(of func(LatencyPlay) float64) LatencySpread {
		var all []float64
		for _, p := range l.Plays {
			all = append(all, math.Round(of(p)*1000)/1000)
		}
		slices.Sort(all)
		middle := (all[(len(all)-1)/2] + all[len(all)/2]) / 2
		return LatencySpread{Min: all[0], Median: middle, Max: all[len(all)-1]}
	}
	for _, q := range levels {
		l.Straight[q.name] = over(func(p LatencyPlay) float64 { return q.of(p.Straight.Latency) })
		l.Through[q.name] = over(func(p LatencyPlay) float64 { return q.of(p.Through.Latency) })
		l.Added[q.name] = over(func(p LatencyPlay) float64 { return q.of(p.Through.Latency) - q.of(p.Straight.Latency) })
	}
	l.AddedMost = over(func(p LatencyPlay) float64 { return p.Through.Latency.P99 - p.Straight.Latency.P50 })
}

// String is a line for people.
func (p LatencyPlay) String() string {
	return fmt.Sprintf("seed %d: straight %d of %d, p50 %.3f p99 %.3f p99.9 %.3f ms; through %d of %d, p50 %.3f p99 %.3f p99.9 %.3f ms; %.3f ms of processor a call",
		p.Seed, p.Straight.Served, p.Straight.Sent, p.Straight.Latency.P50, p.Straight.Latency.P99, p.Straight.Latency.P999,
		p.Through.Served, p.Through.Sent, p.Through.Latency.P50, p.Through.Latency.P99, p.Through.Latency.P999, p.CPU)
}

// Table is the figures for people.
func (l *Latency) Table() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%v calls/s, %d servers, %d plays, ms\tmin\tmedian\tmax\t\n", l.Rate, l.Servers, len(l.Plays))
	line := func(name string, s LatencySpread) {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t\n", name, s.Min, s.Median, s.Max)
	}
	for _, q := range levels {
		line("straight "+q.name, l.Straight[q.name])
		line("through "+q.name, l.Through[q.name])
		line("added "+q.name, l.Added[q.name])
	}
	line("through p99 less straight p50", l.AddedMost)
	w.Flush()
	return text.String()
}
