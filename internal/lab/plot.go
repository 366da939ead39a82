package lab

import (
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size and limits of a plot.
const (
	plotWidth      = 28 * vg.Centimeter
	plotHeight     = 18 * vg.Centimeter
	minPlotLatency = 0.1 // in ms; a logarithmic axis has no 0
	maxFaultLabels = 40  // with more faults no labels are drawn, since they would not be readable
)

var (
	green  = color.RGBA{G: 140, A: 255}
	red    = color.RGBA{R: 200, A: 255}
	blue   = color.RGBA{B: 200, A: 255}
	purple = color.RGBA{R: 200, B: 200, A: 255}
	brown  = color.RGBA{R: 120, A: 255}
)

// chart is one of the charts of a plot, with the range of its values.
type chart struct {
	*plot.Plot
	min, max float64
}

// Plot writes a PNG file with two charts over time, in which the faults are
// marked: served requests and errors per second in the upper one, and each
// second's p50, p99 and p99.9 latency in the lower one.
func (r *Result) Plot(path string) error {
	throughput, latency := r.newCharts()
	if err := r.addLines(throughput, latency); err != nil {
		return err
	}
	for _, c := range []*chart{throughput, latency} {
		c.Legend.Top = true
		c.Add(plotter.NewGrid())
	}
	if err := r.addFaults(throughput, latency); err != nil {
		return err
	}
	// The plot library's own ranges do not always work: without load there is none, and around a single value it may
	// include values that a logarithmic axis cannot show.
	for _, c := range []*chart{throughput, latency} {
		c.X.Min, c.X.Max = 0, max(1, c.X.Max)
		c.Y.Min, c.Y.Max = c.min, max(1, c.Y.Max)
	}
	return writePNG(path, throughput.Plot, latency.Plot)
}

// newCharts returns the charts without lines.
func (r *Result) newCharts() (throughput, latency *chart) {
	throughput = &chart{Plot: plot.New(), max: 1}
	throughput.Title.Text = r.Name + ": requests per second, by time of send"
	throughput.Y.Label.Text = "requests/s"
	latency = &chart{Plot: plot.New(), min: minPlotLatency, max: 1}
	latency.Y.Label.Text = "latency ms (log)"
	latency.X.Label.Text = "seconds; dashed: faults"
	latency.Y.Scale = plot.LogScale{}
	latency.Y.Tick.Marker = plot.LogTicks{}
	for _, s := range r.Series {
		throughput.max = max(throughput.max, float64(max(s.Served, s.Errors)))
		latency.max = max(latency.max, s.Latency.P999)
	}
	return throughput, latency
}

// addLines adds the lines of the result's series to the charts.
func (r *Result) addLines(throughput, latency *chart) error {
	for _, l := range []struct {
		chart *chart
		name  string
		color color.Color
		value func(Second) float64
	}{
		{throughput, "served", green, func(s Second) float64 { return float64(s.Served) }},
		{throughput, "errors", red, func(s Second) float64 { return float64(s.Errors) }},
		{latency, "p50", blue, func(s Second) float64 { return max(minPlotLatency, s.Latency.P50) }},
		{latency, "p99", purple, func(s Second) float64 { return max(minPlotLatency, s.Latency.P99) }},
		{latency, "p99.9", brown, func(s Second) float64 { return max(minPlotLatency, s.Latency.P999) }},
	} {
		points := make(plotter.XYs, len(r.Series))
		for i, s := range r.Series {
			points[i] = plotter.XY{X: float64(s.At), Y: l.value(s)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = l.color
		l.chart.Add(line)
		l.chart.Legend.Add(l.name, line)
	}
	return nil
}

// addFaults marks each fault in both charts by a vertical line over the range of the values, and labels it in the upper
// one.
func (r *Result) addFaults(throughput, latency *chart) error {
	var labels plotter.XYLabels
	for _, m := range r.Faults {
		x := m.AtMs / 1000
		for _, c := range []*chart{throughput, latency} {
			mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: c.min}, {X: x, Y: c.max}})
			if err != nil {
				return err
			}
			mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
			mark.Color = color.Gray{Y: 90}
			c.Add(mark)
		}
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: 0})
		labels.Labels = append(labels.Labels, m.Label)
	}
	if len(labels.Labels) == 0 || len(labels.Labels) > maxFaultLabels {
		return nil
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	for i := range names.TextStyle {
		names.TextStyle[i].Rotation = 1.5708 // a quarter turn
		names.TextStyle[i].Font.Size = vg.Points(7)
	}
	throughput.Add(names)
	return nil
}

// writePNG writes a PNG file with one plot above the other.
func writePNG(path string, top, bottom *plot.Plot) error {
	canvas := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Millimeter * 4, PadX: vg.Millimeter * 4, PadTop: vg.Millimeter * 2, PadBottom: vg.Millimeter * 2}
	canvases := plot.Align([][]*plot.Plot{{top}, {bottom}}, tiles, draw.New(canvas))
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
