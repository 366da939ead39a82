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
