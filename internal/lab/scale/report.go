package scale

import (
	"fmt"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"bramblestand/internal/sidecar"
)

// BudgetBytesPerSecond is the limit of a sidecar's control traffic, in bytes per second.
const BudgetBytesPerSecond = 3000

// Table returns the result as a text table, with one line per phase.
func (l *SweepResult) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %.0f s\ncontrol traffic of a sidecar on the wire in B/s, sent and received; mean/p99 of 10 s windows\n", l.Command, l.Seconds)
	fmt.Fprintf(&b, "%-22s %-9s %5s | %15s %15s %15s | %13s %13s | %12s | %8s %s\n", "run", "phase", "s", "all B/s", "probe B/s", "discovery B/s",
		"probes/s", "received/srv", "agents B/s", "settled", "calls")
	rate := func(r Rate) string { return fmt.Sprintf("%.0f/%.0f", r.Mean, r.P99) }
	fine := func(r Rate) string { return fmt.Sprintf("%.2f/%.1f", r.Mean, r.P99) }
	for _, r := range l.Runs {
		for _, p := range r.Phases {
			settled := ""
			if p.SettledSeconds != 0 {
				settled = fmt.Sprintf("%.1f s", p.SettledSeconds)
			}
			fmt.Fprintf(&b, "%-22s %-9s %5.0f | %15s %15s %15s | %13s %13s | %12.0f | %8s %v\n", r.Spec.Name, p.Name, p.To-p.From, rate(p.Bytes["all"]), rate(p.Bytes["probe"]),
				rate(p.Bytes["discovery"]), fine(p.Sidecar["probes"]), fine(p.Server["probes"]), p.Agent["list_bytes"], settled, p.Outcomes)
		}
	}
	fmt.Fprintf(&b, "%-22s %10s %10s | microseconds of the decision module per event (hollow)\n", "run", "heap KB", "run CPU s")
	for _, r := range l.Runs {
		fmt.Fprintf(&b, "%-22s %10.0f %10.0f |", r.Spec.Name, r.HeapKB, r.CPUSeconds)
		for _, name := range sidecar.EventKindNames {
			if e := r.EventCosts[name]; e.Events > 0 {
				fmt.Fprintf(&b, " %s %.1f (%d)", name, e.MicrosEach, e.Events)
			}
		}
		b.WriteByte('\n')
	}
	for _, n := range l.NotRun {
		fmt.Fprintf(&b, "not run: %s\n", n)
	}
	return b.String()
}

// Plot writes a PNG file that shows the control traffic of a sidecar over the size of the fleet, with the budget as a line.
func (l *SweepResult) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "control traffic of one sidecar: bytes per second, sent and received"
	p.X.Label.Text = "pin servers and sidecars (log)"
	p.Y.Label.Text = "bytes/s (log), p99 of 10 s windows"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	sizes := plot.ConstantTicks{}
	for _, r := range l.Runs {
		sizes = append(sizes, plot.Tick{Value: float64(r.Spec.Servers), Label: fmt.Sprint(r.Spec.Servers)})
	}
	var rates plot.ConstantTicks
	for decade := 100.0; decade <= 1e6; decade *= 10 {
		for _, x := range []float64{1, 2, 5} {
			rates = append(rates, plot.Tick{Value: x * decade, Label: fmt.Sprintf("%.0f", x*decade)})
		}
	}
	p.X.Tick.Marker, p.Y.Tick.Marker = sizes, rates
	p.Add(plotter.NewGrid())
	minServers, maxServers := math.Inf(1), 0.0
	for _, line := range []struct {
		label, kind, phase string
		scope              int
		c                  color.Color
	}{
		{"all listed, first 10 s (start)", "rest", "start", 0, color.RGBA{R: 200, A: 255}},
		{"all listed, at rest", "rest", "steady", 0, color.RGBA{B: 200, A: 255}},
		{"all listed, 47 calls/s", "load", "steady", 0, color.RGBA{G: 140, B: 200, A: 255}},
		{"all listed, 47 calls/s, probes at 0.0014", "probing", "steady", 0, color.RGBA{R: 220, G: 60, B: 160, A: 255}},
		{"6 listed, 47 calls/s, probes at 0.0014", "probing", "steady", 1, color.RGBA{R: 240, G: 160, B: 200, A: 255}},
		{"all listed, ten changes in a minute", "rest", "changes", 0, color.RGBA{R: 200, G: 120, A: 255}},
		{"6 listed, at rest", "rest", "steady", 1, color.RGBA{G: 140, A: 255}},
		{"5 processes of 6 listed, at rest", "rest", "steady", 5, color.RGBA{R: 90, G: 90, B: 90, A: 255}},
		{"with gossip to all, at rest", "news", "steady", 0, color.RGBA{R: 160, B: 160, A: 255}},
		{"with the membership view, at rest", "view", "steady", 0, color.RGBA{R: 120, G: 60, A: 255}},
	} {
		var points plotter.XYs
		for i := range l.Runs {
			r := &l.Runs[i]
			phase := r.Phase(line.phase)
			if runKind, _, _ := strings.Cut(r.Spec.Name, "-"); runKind != line.kind || r.Spec.ServicesPerSidecar != line.scope || phase == nil || phase.Bytes["all"].P99 <= 0 {
				continue
			}
			points = append(points, plotter.XY{X: float64(r.Spec.Servers), Y: phase.Bytes["all"].P99})
			minServers, maxServers = math.Min(minServers, float64(r.Spec.Servers)), math.Max(maxServers, float64(r.Spec.Servers))
		}
		if len(points) == 0 {
			continue
		}
		segments, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		segments.Color, marks.Color = line.c, line.c
		p.Add(segments, marks)
		p.Legend.Add(line.label, segments, marks)
	}
	if maxServers == 0 {
		return nil // no run belongs to any of the lines
	}
	budget, err := plotter.NewLine(plotter.XYs{{X: minServers, Y: BudgetBytesPerSecond}, {X: math.Max(maxServers, minServers*1.01), Y: BudgetBytesPerSecond}})
	if err != nil {
		return err
	}
	budget.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(budget)
	p.Legend.Add("budget, 3 KB/s", budget)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(24*vg.Centimeter, 16*vg.Centimeter, path)
}
