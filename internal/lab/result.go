package lab

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"slices"
	"sort"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Result is what an experiment measured; it is written as JSON. Latencies are
// in milliseconds, times in seconds of the lab's clock from the load's start.
type Result struct {
	Name     string          `json:"name"`
	Seed     uint64          `json:"seed"`
	Sidecars int             `json:"sidecars"`
	Servers  int             `json:"servers"`
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// RanTwice counts requests of the class that must never run twice that
	// ran at two servers or twice at one; Copies, other requests run more than once.
	RanTwice   int            `json:"ran_twice"`
	Copies     int            `json:"copies"`
	AfterDrain int            `json:"after_drain"` // requests that reached a server over 1.5 s into its drain
	Strange    int            `json:"strange"`     // ids that no client sent
	Latency    Percentiles    `json:"latency_ms"`  // of served and late requests
	Series     []Second       `json:"series"`
	Faults     []Mark         `json:"faults"`
	Examples   map[string]any `json:"examples"` // a few ids of each breach, to follow in the logs
	// Datagrams between sidecars, where they have peers: relayed, dropped by
	// faults, longer than 256 bytes (a breach), and from no sidecar.
	Datagrams struct {
		Relayed  int `json:"relayed"`
		Dropped  int `json:"dropped"`
		Oversize int `json:"oversize"`
		Strange  int `json:"strange"`
	} `json:"datagrams"`

	SidecarCPUSeconds float64 `json:"sidecar_cpu_s"`   // over all sidecars
	SidecarMeanMB     float64 `json:"sidecar_mean_mb"` // peak resident memory of one, mean
	SidecarPeakMB     float64 `json:"sidecar_peak_mb"` // peak resident memory of one, largest
	LabCPUSeconds     float64 `json:"lab_cpu_s"`       // the lab itself: stand-ins, faults, load
	LabPeakMB         float64 `json:"lab_peak_mb"`
}

// Percentiles of a latency, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Second is one second of the run, by when its requests were sent.
type Second struct {
	At      int         `json:"at_s"`
	Served  int         `json:"served"`
	Errors  int         `json:"errors"` // refused, failed, late, cut, lost, forged
	Latency Percentiles `json:"latency_ms"`
}

// Breaches counts what breaks the rules: lost, forged, run twice, sent to a
// server long drained, ids no client sent.
func (r *Result) Breaches() int {
	return r.Outcomes[Lost] + r.Outcomes[Forged] + r.Outcomes[Unfinished] + r.RanTwice + r.AfterDrain + r.Strange + r.Datagrams.Oversize
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) } // µs

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

func reckon(exp *Experiment, l *Ledger, marks []Mark) *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Result{Name: exp.Name, Seed: exp.Seed, Sidecars: exp.Fleet.Sidecars, Servers: exp.Fleet.Servers,
		Requests: len(l.records), Outcomes: map[Outcome]int{}, Faults: marks, Examples: map[string]any{},
		AfterDrain: len(l.afterDrain), Strange: len(l.strange)}
	all := newHistogram()
	seconds := map[int]*hdrhistogram.Histogram{}
	series := map[int]*Second{}
	examples := map[string][]string{}
	ids := make([]string, 0, len(l.records))
	for id := range l.records {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		rec := l.records[id]
		r.Outcomes[rec.outcome]++
		at := int(rec.sent / time.Second)
		if series[at] == nil {
			series[at], seconds[at] = &Second{At: at}, newHistogram()
		}
		switch rec.outcome {
		case Served, Late:
			all.RecordValue(rec.took.Microseconds())
			seconds[at].RecordValue(rec.took.Microseconds())
			series[at].Served++
		case Unreached:
		default:
			series[at].Errors++
		}
		if rec.outcome == Late {
			series[at].Errors++
		}
		switch {
		case rec.order && len(rec.ranAt) > 1:
			r.RanTwice++
			examples["ran_twice"] = append(examples["ran_twice"], id)
		case len(rec.ranAt) > 1:
			r.Copies++
		}
		if rec.outcome == Lost || rec.outcome == Forged || rec.outcome == Unfinished {
			examples[string(rec.outcome)] = append(examples[string(rec.outcome)], id)
		}
	}
	for kind, list := range examples {
		r.Examples[kind] = list[:min(len(list), 10)]
	}
	if len(l.afterDrain) > 0 {
		r.Examples["after_drain"] = l.afterDrain[:min(len(l.afterDrain), 10)]
	}
	r.Latency = percentiles(all)
	for at, s := range series {
		s.Latency = percentiles(seconds[at])
		r.Series = append(r.Series, *s)
	}
	slices.SortFunc(r.Series, func(a, b Second) int { return a.At - b.At })
	return r
}

func selfCost() (cpu, peakMB float64) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0, 0
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime), float64(usage.Maxrss) / 1024
}

// Write writes the result as indented JSON.
func (r *Result) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// ReadResult reads a result written by Write; errors name the file.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &r, nil
}

// Summary is a few lines for people.
func (r *Result) Summary() string {
	return fmt.Sprintf("%s: %d sidecars, %d servers, %d requests\noutcomes %v\nran twice %d, copies %d, after drain %d, strange %d; datagrams %+v; breaches %d\n"+
		"latency ms p50 %.1f p99 %.1f p99.9 %.1f max %.1f\nsidecars: %.1f CPU s, %.1f MB mean peak, %.1f MB largest; lab: %.1f CPU s, %.1f MB\n",
		r.Name, r.Sidecars, r.Servers, r.Requests, r.Outcomes, r.RanTwice, r.Copies, r.AfterDrain, r.Strange, r.Datagrams, r.Breaches(),
		r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max, r.SidecarCPUSeconds, r.SidecarMeanMB, r.SidecarPeakMB, r.LabCPUSeconds, r.LabPeakMB)
}

// Plot draws throughput and errors (above) and p50, p99 and p99.9 (below)
// a second, with the faults marked, as a PNG file.
func (r *Result) Plot(path string) error {
	line := func(p *plot.Plot, name string, c color.Color, value func(Second) float64) error {
		points := make(plotter.XYs, len(r.Series))
		for i, s := range r.Series {
			points[i] = plotter.XY{X: float64(s.At), Y: value(s)}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color = c
		p.Add(l)
		p.Legend.Add(name, l)
		return nil
	}
	top, bottom := plot.New(), plot.New()
	top.Title.Text = r.Name + ": requests a second, by when sent"
	top.Y.Label.Text = "requests/s"
	bottom.Y.Label.Text = "latency ms (log)"
	bottom.X.Label.Text = "seconds; dashed: faults"
	bottom.Y.Scale = plot.LogScale{}
	bottom.Y.Tick.Marker = plot.LogTicks{}
	for _, err := range []error{
		line(top, "served", color.RGBA{G: 140, A: 255}, func(s Second) float64 { return float64(s.Served) }),
		line(top, "errors", color.RGBA{R: 200, A: 255}, func(s Second) float64 { return float64(s.Errors) }),
		line(bottom, "p50", color.RGBA{B: 200, A: 255}, func(s Second) float64 { return max(0.1, s.Latency.P50) }),
		line(bottom, "p99", color.RGBA{R: 200, B: 200, A: 255}, func(s Second) float64 { return max(0.1, s.Latency.P99) }),
		line(bottom, "p99.9", color.RGBA{R: 120, A: 255}, func(s Second) float64 { return max(0.1, s.Latency.P999) }),
	} {
		if err != nil {
			return err
		}
	}
	for _, p := range []*plot.Plot{top, bottom} {
		p.Legend.Top = true
		p.Add(plotter.NewGrid())
	}
	// A fault's mark spans each plot from its floor to the highest of its lines.
	spans := map[*plot.Plot][2]float64{top: {0, 1}, bottom: {0.1, 1}}
	for _, s := range r.Series {
		spans[top] = [2]float64{0, max(spans[top][1], float64(max(s.Served, s.Errors)))}
		spans[bottom] = [2]float64{0.1, max(spans[bottom][1], s.Latency.P999)}
	}
	var labels plotter.XYLabels
	for _, m := range r.Faults {
		x := m.AtMs / 1000
		for _, p := range []*plot.Plot{top, bottom} {
			mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: spans[p][0]}, {X: x, Y: spans[p][1]}})
			if err != nil {
				return err
			}
			mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
			mark.Color = color.Gray{Y: 90}
			p.Add(mark)
		}
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: 0})
		labels.Labels = append(labels.Labels, m.Label)
	}
	if len(labels.Labels) > 0 && len(labels.Labels) <= 40 {
		names, err := plotter.NewLabels(labels)
		if err != nil {
			return err
		}
		for i := range names.TextStyle {
			names.TextStyle[i].Rotation = 1.5708
			names.TextStyle[i].Font.Size = vg.Points(7)
		}
		top.Add(names)
	}
	const width, height = 28 * vg.Centimeter, 18 * vg.Centimeter
	canvas := vgimg.New(width, height)
	dc := draw.New(canvas)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Millimeter * 4, PadX: vg.Millimeter * 4, PadTop: vg.Millimeter * 2, PadBottom: vg.Millimeter * 2}
	canvases := plot.Align([][]*plot.Plot{{top}, {bottom}}, tiles, dc)
	top.Draw(canvases[0][0])
	bottom.Draw(canvases[1][0])
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
