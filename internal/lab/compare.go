package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Repeated summarizes several runs of one experiment with consecutive seeds.
type Repeated struct {
	Format  int               `json:"format"`
	Name    string            `json:"name"`
	Runs    int               `json:"runs"`
	Seeds   []uint64          `json:"seeds"`
	Figures map[string]Spread `json:"figures"`
	Late    int               `json:"late_runs"` // runs in which the lab itself was short of CPU
}

// Spread is the distribution of one figure over several runs.
type Spread struct {
	Min float64 `json:"min"`
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Figures returns the numbers of a result that are compared between runs, by name: counts, milliseconds (_ms), seconds
// (_s) and megabytes (_mb).
func (r *Result) Figures() map[string]float64 {
	f := map[string]float64{"requests": float64(r.Requests), "breaches": float64(r.Breaches()), "copies": float64(r.Copies),
		"p50_ms": r.Latency.P50, "p99_ms": r.Latency.P99, "p99.9_ms": r.Latency.P999, "max_ms": r.Latency.Max,
		"sidecar_cpu_s": r.SidecarCPUSeconds, "sidecar_mean_mb": r.SidecarMeanMB, "sidecar_peak_mb": r.SidecarPeakMB,
		"lab_cpu_s": r.LabCPUSeconds, "lab_mb": r.LabPeakMB, "datagrams": float64(r.Datagrams.Relayed)}
	for _, o := range []Outcome{Served, Late, Rejected, Failed, Unreached, Cut, Lost, Excused} {
		f[string(o)] = float64(r.Outcomes[o])
	}
	if r.Format > 0 {
		f["lab_late_p99_ms"] = r.Lateness.Timers.P99
	}
	r.viewFigures(f)
	for _, restart := range r.Restarts {
		f["restart_ready_ms"] = max(f["restart_ready_ms"], restart.ReadyMs)
	}
	return f
}

// Repeat summarizes the results of one experiment's runs. There must be at least one.
func Repeat(results []*Result) *Repeated {
	r := &Repeated{Format: resultFormat, Name: results[0].Name, Runs: len(results), Figures: map[string]Spread{}}
	values := map[string]*hdrhistogram.Histogram{}
	for _, result := range results {
		r.Seeds = append(r.Seeds, result.Seed)
		if result.Lateness.Late {
			r.Late++
		}
		for name, v := range result.Figures() {
			if values[name] == nil {
				values[name] = hdrhistogram.New(1, 1_000_000_000_000, 4) // in thousandths of the figure's unit
			}
			values[name].RecordValue(int64(math.Round(v * 1000)))
		}
	}
	for name, h := range values {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.Figures[name] = Spread{Min: float64(h.Min()) / 1000, P50: at(50), P99: at(99), Max: float64(h.Max()) / 1000}
	}
	return r
}

// ReadRepeated reads a summary written by "run -repeat", or the result of one run, which it summarizes. Errors name the
// file.
func ReadRepeated(path string) (*Repeated, error) {
	var r Repeated
	if err := readJSON(path, &r, &r.Format); err != nil {
		return nil, err
	}
	if r.Runs > 0 {
		return &r, nil
	}
	one, err := ReadResult(path)
	if err != nil {
		return nil, err
	}
	if one.Name == "" && one.Requests == 0 {
		return nil, fmt.Errorf("%s: neither the result of a run nor a summary of repeated runs", path)
	}
	return Repeat([]*Result{one}), nil
}

// Table formats the figures of several runs, one per line.
func (r *Repeated) Table() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, %d runs\tmin\tp50\tp99\tmax\t\n", r.Name, r.Runs)
	for _, name := range figureNames(r.Figures, nil) {
		s := r.Figures[name]
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t\n", name, s.Min, s.P50, s.P99, s.Max)
	}
	w.Flush()
	if r.Late > 0 {
		fmt.Fprintf(&text, "the lab itself ran late in %d of %d runs\n", r.Late, r.Runs)
	}
	return text.String()
}

// Compare formats a table of the figures of a and b: both medians, their difference b-a and their ratio b/a. If the
// ranges of a figure overlap, its line says that the difference is within the spread. If a or b has only one run, the
// spread is unknown, and each line says so.
func Compare(a, b *Repeated) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "figure\ta: %s x%d\tb: %s x%d\tb-a\tb/a\t\n", a.Name, a.Runs, b.Name, b.Runs)
	for _, name := range figureNames(a.Figures, b.Figures) {
		x, inA := a.Figures[name]
		y, inB := b.Figures[name]
		if !inA || !inB {
			fmt.Fprintf(w, "%s\t%s\t%s\t\t\tin one alone\n", name, formatMedian(x, inA), formatMedian(y, inB))
			continue
		}
		ratio, note := "", ""
		if x.P50 != 0 {
			ratio = fmt.Sprintf("%.3f", y.P50/x.P50)
		}
		switch {
		case a.Runs < 2 || b.Runs < 2:
			note = "one run: no spread known"
		case x.Min <= y.Max && y.Min <= x.Max:
			note = "within the spread"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.4g\t%s\t%s\n", name, x.P50, y.P50, y.P50-x.P50, ratio, note)
	}
	w.Flush()
	return text.String()
}

// formatMedian formats a figure's median, "-" if the figure does not exist.
func formatMedian(s Spread, exists bool) string {
	if !exists {
		return "-"
	}
	return fmt.Sprintf("%.4g", s.P50)
}

// figureNames returns the sorted names of the figures that are in a, b or both.
func figureNames(a, b map[string]Spread) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
