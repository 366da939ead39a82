package lab

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
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

	"bramblestand/internal/lab/history"
)

// Result is what an experiment measured; it is written as JSON. Latencies are
// in milliseconds, times in seconds of the lab's clock from the load's start.
type Result struct {
	Format   int             `json:"format"` // resultFormat; 0 in results older than it
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

	AfterBan int `json:"after_ban"` // requests that reached a server over 1.5 s after its sidecar's yes to a ban
	// Excused counts what looks like a breach or a late answer but fell into a spell in which the
	// lab itself ran late, or in which its sidecar could not hear discovery.
	Excused  map[string]int  `json:"excused"`
	Lateness Lateness        `json:"lateness"`
	Broken   []history.Break `json:"broken"`   // promises that the history breaks
	Troubles []string        `json:"troubles"` // sidecars that ended by themselves or did not start: breaches
	Calls    map[string]int  `json:"calls"`    // operators' calls, by op and outcome

	Views []Settling `json:"views,omitempty"` // how the sidecars' views of the fleet settled, with fleet.view and operators

	Control *Control `json:"control,omitempty"` // what control cost, by kind, with operators

	Restarts []Restart `json:"restarts"` // of sidecars started again after a kill or a term

	Borne []Borne `json:"borne"` // what stand-ins bore, a sample a second

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
// server long drained or banned, ids no client sent, datagrams too long,
// promises that the history breaks, sidecars that failed by themselves.
func (r *Result) Breaches() int {
	sum := 0
	for _, n := range r.rules() {
		sum += n
	}
	return sum
}

// rules counts the breaches of each rule, by its name.
func (r *Result) rules() map[string]int {
	rules := map[string]int{"lost": r.Outcomes[Lost], "forged": r.Outcomes[Forged], "unfinished": r.Outcomes[Unfinished], "ran_twice": r.RanTwice,
		"after_drain": r.AfterDrain, "after_ban": r.AfterBan, "strange": r.Strange, "oversize": r.Datagrams.Oversize, "trouble": len(r.Troubles)}
	for _, b := range r.Broken {
		rules[b.Check]++
	}
	return rules
}

// resultFormat is the version of a result's JSON. 1: links, machines, operators' calls, histories, lateness.
const resultFormat = 1

// graceMost is how long after a drain was told, or a ban answered yes, something may still arrive at a server.
const graceMost = 1500 * time.Millisecond

// Restart is what one start again of a sidecar went through: the seconds from
// the load's start to its exec, the milliseconds from the exec to its yes at
// /health/ready, to the first answer it served to a request sent after the
// exec (-1 for none), and until its requests were served as well as a steady
// sidecar's (99% of at least 5 sent in one second; -1 for never). Then its
// requests sent in the 5 s after the exec that were refused, failed (failed
// or late), unreached (it did not take them: it was not up) and lost; and
// those its application did not send between the exec and the yes, as the
// sidecar was not ready (Waited).
type Restart struct {
	Sidecar       int     `json:"sidecar"`
	At            float64 `json:"at_s"`
	ReadyMs       float64 `json:"ready_ms"`
	FirstServedMs float64 `json:"first_served_ms"`
	SettledMs     float64 `json:"settled_ms"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	Unreached     int     `json:"unreached"`
	Lost          int     `json:"lost"`
	Waited        int     `json:"waited"`
}

const (
	restartSpan  = 5 * time.Second // after the exec, whose errors a restart is charged with
	settleWindow = time.Second
	settleStep   = 50 * time.Millisecond
)

// restarted reckons a restart from the records of its sidecar. It holds l.mu.
func (l *Ledger) restarted(r Restart) Restart {
	began := time.Duration(r.At * float64(time.Second))
	r.FirstServedMs, r.SettledMs = -1, -1
	var mine []*record
	for _, rec := range l.records {
		if rec.sidecar == r.Sidecar && rec.sent >= began {
			mine = append(mine, rec)
		}
	}
	slices.SortFunc(mine, func(a, b *record) int { return int(a.sent - b.sent) })
	ready := began + time.Duration(r.ReadyMs*float64(time.Millisecond))
	for _, at := range l.missed[r.Sidecar] {
		if at >= began && at < ready {
			r.Waited++
		}
	}
	for _, rec := range mine {
		if rec.outcome == Served && (r.FirstServedMs < 0 || ms(rec.sent+rec.took-began) < r.FirstServedMs) {
			r.FirstServedMs = ms(rec.sent + rec.took - began)
		}
		if rec.sent < began+restartSpan {
			switch rec.outcome {
			case Refused:
				r.Refused++
			case Failed, Late:
				r.Failed++
			case Unreached, Cut:
				r.Unreached++
			case Lost:
				r.Lost++
			}
		}
	}
	for from := began; from < began+4*restartSpan && r.SettledMs < 0; from += settleStep {
		sent, served := 0, 0
		for _, rec := range mine {
			if rec.sent >= from && rec.sent < from+settleWindow {
				sent++
				if rec.outcome == Served {
					served++
				}
			}
		}
		if sent >= 5 && float64(served) >= 0.99*float64(sent) {
			r.SettledMs = ms(from - began)
		}
	}
	return r
}

// ms is a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) } // µs

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

func reckon(exp *Experiment, l *Ledger, late *lateness, blind blinds, marks []Mark, restarts []Restart, events []history.Event) *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	lateness := late.report()
	excused := map[string]int{}
	deadline := exp.Load.Deadline.Duration + 50*time.Millisecond
	var afterDrain []string
	for _, b := range l.afterDrain {
		if b.at-b.drained-late.within(b.drained, b.at) <= graceMost || blind.within(b.sidecar, b.drained, b.at) {
			excused["after_drain"]++
		} else {
			afterDrain = append(afterDrain, b.text)
		}
	}
	r := &Result{Name: exp.Name, Seed: exp.Seed, Sidecars: exp.Fleet.Sidecars, Servers: exp.Fleet.Servers,
		Requests: len(l.records), Outcomes: map[Outcome]int{}, Faults: marks, Examples: map[string]any{},
		AfterDrain: len(afterDrain), Strange: len(l.strange), Format: resultFormat, Excused: excused, Lateness: lateness, Calls: map[string]int{}}
	for _, e := range events {
		if e.Kind == history.Call {
			r.Calls[e.Op+" "+e.Outcome]++
		}
	}
	afterBan := l.afterBan(events, graceMost)
	r.AfterBan = len(afterBan)
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
		if (rec.outcome == Late || rec.outcome == Lost && rec.waited) && rec.took-late.within(rec.sent, rec.sent+rec.took) <= deadline {
			excused[string(rec.outcome)]++
			rec.outcome = Excused
		}
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
		case Unreached, Excused:
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
	for kind, list := range map[string][]string{"after_drain": afterDrain, "after_ban": afterBan} {
		if len(list) > 0 {
			r.Examples[kind] = list[:min(len(list), 10)]
		}
	}
	r.Latency = percentiles(all)
	for _, restart := range restarts {
		r.Restarts = append(r.Restarts, l.restarted(restart))
	}
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

// ReadResult reads a result written as JSON; errors name the file.
func ReadResult(path string) (*Result, error) {
	var r Result
	if err := readJSON(path, &r, &r.Format); err != nil {
		return nil, err
	}
	return &r, nil
}

// readJSON reads a file into v, of which format is a part; errors name the file.
func readJSON(path string, v any, format *int) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if *format > resultFormat {
		return fmt.Errorf("%s: format %d; this program reads up to %d", path, *format, resultFormat)
	}
	return nil
}

// WriteJSON writes v as indented JSON, and makes the file's folder.
func WriteJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Summary is a few lines for people.
func (r *Result) Summary() string {
	return fmt.Sprintf("%s: %d sidecars, %d servers, %d requests\noutcomes %v\nran twice %d, copies %d, after drain %d, strange %d; datagrams %+v; breaches %d\n"+
		"latency ms p50 %.1f p99 %.1f p99.9 %.1f max %.1f\nsidecars: %.1f CPU s, %.1f MB mean peak, %.1f MB largest; lab: %.1f CPU s, %.1f MB\n",
		r.Name, r.Sidecars, r.Servers, r.Requests, r.Outcomes, r.RanTwice, r.Copies, r.AfterDrain, r.Strange, r.Datagrams, r.Breaches(),
		r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max, r.SidecarCPUSeconds, r.SidecarMeanMB, r.SidecarPeakMB, r.LabCPUSeconds, r.LabPeakMB) +
		r.moreSummary() + r.restartSummary()
}

// moreSummary is what results of format 1 have beyond those before, where there is any.
func (r *Result) moreSummary() string {
	if r.Format == 0 {
		return "a result older than format 1: without calls, history and the lab's lateness\n"
	}
	text := fmt.Sprintf("the lab's own lateness ms: timers p99 %.1f max %.1f, requests p99 %.1f max %.1f; %.0f ms stalled; excused %v\n",
		r.Lateness.Timers.P99, r.Lateness.Timers.Max, r.Lateness.Arrivals.P99, r.Lateness.Arrivals.Max, r.Lateness.StalledMs, r.Excused)
	if r.Lateness.Late {
		text += "THE LAB RAN LATE: it was short of CPU; do not trust the times above\n"
	}
	if len(r.Calls) > 0 {
		text += fmt.Sprintf("operators' calls %v; after ban %d\n", r.Calls, r.AfterBan)
	}
	if r.Control != nil {
		text += r.Control.String()
	}
	text += r.viewSummary()
	for _, t := range r.Troubles {
		text += "trouble: " + t + "\n"
	}
	for _, b := range r.Broken {
		text += "broken: " + b.String() + "\n"
	}
	return text
}

// viewSummary is a line for each of the first faults on how the views settled, and one for the worst of the rest.
func (r *Result) viewSummary() (text string) {
	const most = 10
	worst := -1
	for i, v := range r.Views {
		if i >= most {
			if worst < 0 || v.MaxMs > r.Views[worst].MaxMs {
				worst = i
			}
			continue
		}
		text += v.String()
	}
	if worst >= 0 {
		text += fmt.Sprintf("%d more, the slowest: %v", len(r.Views)-most, r.Views[worst])
	}
	return text
}

// restartSummary is a line on the restarts, if any: the median and the worst of each time, the errors summed.
func (r *Result) restartSummary() string {
	if len(r.Restarts) == 0 {
		return ""
	}
	var ready, first, settled []float64
	var sum Restart
	for _, s := range r.Restarts {
		ready, first, settled = append(ready, s.ReadyMs), append(first, s.FirstServedMs), append(settled, s.SettledMs)
		sum.Refused, sum.Failed, sum.Unreached, sum.Lost = sum.Refused+s.Refused, sum.Failed+s.Failed, sum.Unreached+s.Unreached, sum.Lost+s.Lost
		sum.Waited += s.Waited
	}
	spread := func(v []float64) string {
		slices.Sort(v)
		if median := v[len(v)/2]; v[0] < 0 {
			return fmt.Sprintf("median %.0f, %d never", median, len(slices.DeleteFunc(v, func(x float64) bool { return x >= 0 })))
		}
		return fmt.Sprintf("median %.0f, worst %.0f", v[len(v)/2], v[len(v)-1])
	}
	return fmt.Sprintf("restarts %d: ms to ready %s; to first served %s; to settled %s; in their first 5 s refused %d, failed %d, unreached %d, lost %d; not sent until ready %d\n",
		len(r.Restarts), spread(ready), spread(first), spread(settled), sum.Refused, sum.Failed, sum.Unreached, sum.Lost, sum.Waited)
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
	// Without load there is no range, and one value alone is given a range around it, which a log axis cannot have.
	for _, p := range []*plot.Plot{top, bottom} {
		p.X.Min, p.X.Max = 0, max(1, p.X.Max)
		p.Y.Min, p.Y.Max = spans[p][0], max(1, p.Y.Max)
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
