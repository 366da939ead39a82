package lab

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"bramblestand/internal/controltraffic"
)

// ControlTable is the control traffic by number of servers, request rate and probe price.
type ControlTable struct {
	Format   int          `json:"format"`
	Cores    int          `json:"cores"`
	Parallel int          `json:"parallel"` // runs at a time, each with as many sidecars as Sidecars
	Sidecars int          `json:"sidecars"`
	Duration Duration     `json:"duration"`
	Settings string       `json:"settings"` // the sidecars' settings that determine the probe rate
	Rows     []ControlRow `json:"rows"`
}

// ControlRow is the result of one run.
type ControlRow struct {
	Servers    int             `json:"servers"`
	Rate       float64         `json:"rate"`             // calls per second and sidecar
	Price      float64         `json:"probe_price"`      // prices.probe of the settings
	StartBytes float64         `json:"start_bytes"`      // bytes on the wire per sidecar, from the process's start to 10 s of the load
	PeakMB     float64         `json:"peak_mb"`          // maximum of the sidecars' peak resident memory
	Ratio      [2]float64      `json:"reckoned_over_lo"` // estimated bytes divided by those of the loopback interface, start and steady; 0 if other traffic used it
	Outcomes   map[Outcome]int `json:"outcomes"`         // of the calls
	Breaches   int             `json:"breaches"`         // of the rules, for instance requests lost on a machine that stalls
	Late       bool            `json:"lab_ran_late"`     // the lab was short of CPU: the times are not reliable
	TimerP99   float64         `json:"lab_late_p99_ms"`  // lateness of the lab's timers
	Control                    // start and steady
}

// probeSettings describes the sidecars' settings, besides the price of a probe, that determine the probe rate.
const probeSettings = "limits.probes true, discovery subscribe, target of the classes 0.6 s, no peers: min(4, 0.005 / probe_price) probes a call and 1 a second at the least"

// controlPoint is the combination of parameters of one row of a ControlTable.
type controlPoint struct {
	servers     int
	rate, price float64
}

// MeasureControl runs an experiment without faults for each combination of servers, rates and prices, at most parallel at
// a time, and calls progress with each row. Rows without requests compare the estimated bytes with the kernel's count if
// one experiment runs at a time, since the kernel counts all users of the loopback interface together.
func MeasureControl(ctx context.Context, program, folder string, sidecars int, servers []int, rates, prices []float64, duration time.Duration,
	parallel int, progress func(string)) (*ControlTable, error) {
	t := &ControlTable{Format: resultFormat, Cores: runtime.NumCPU(), Parallel: parallel, Sidecars: sidecars, Duration: Duration{duration}, Settings: probeSettings}
	var points []controlPoint
	for _, price := range prices {
		for _, n := range servers {
			for _, rate := range rates {
				points = append(points, controlPoint{n, rate, price})
			}
		}
	}
	experiments := make([]*Experiment, len(points))
	for k, p := range points {
		var err error
		if experiments[k], err = p.experiment(uint64(k+1), sidecars, duration); err != nil {
			return nil, err
		}
		if err := experiments[k].CheckDescriptors(min(parallel, len(points))); err != nil {
			return nil, err
		}
	}
	rows, errs := make([]ControlRow, len(points)), make([]error, len(points))
	ForEach(len(points), parallel, func(k int) {
		p := points[k]
		result, err := Run(ctx, experiments[k], program, filepath.Join(folder, fmt.Sprintf("%d-%v-%v", p.servers, p.rate, p.price)), slog.New(slog.DiscardHandler))
		switch {
		case err != nil:
			errs[k] = err
			return
		case result.Control == nil || result.Control.Steady == nil || result.Control.Steady.Sidecars < sidecars:
			errs[k] = fmt.Errorf("%d servers, %v calls/s: the run was cut short, or a sidecar did not respond", p.servers, p.rate)
			return
		}
		rows[k] = controlRow(p, result, parallel == 1 && p.rate == 0)
		progress(rows[k].String())
	})
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	t.Rows = rows
	return t, nil
}

// experiment returns the experiment of a row.
func (p controlPoint) experiment(seed uint64, sidecars int, duration time.Duration) (*Experiment, error) {
	text := fmt.Sprintf("name = \"control\"\nseed = %d\nduration = %q\n[fleet]\nsidecars = %d\nservers = %d\nprobe_price = %v\n"+
		"[load]\nrate = %v\n[ops]\non = true\nobserve = []\n", seed, duration, sidecars, p.servers, p.price, p.rate)
	return Parse("control", []byte(text))
}

// controlRow returns the row of a run. isAlone tells whether only control traffic used the loopback interface.
func controlRow(p controlPoint, r *Result, isAlone bool) ControlRow {
	row := ControlRow{Servers: p.servers, Rate: p.rate, Price: p.price, StartBytes: math.Round(r.Control.Start.WireBytes * r.Control.Start.Seconds),
		PeakMB: r.SidecarPeakMB, Outcomes: r.Outcomes, Breaches: r.Breaches(), Late: r.Lateness.Late, TimerP99: r.Lateness.Timers.P99, Control: *r.Control}
	for i, s := range []*ControlSpan{&row.Start, row.Steady} {
		if isAlone && s.LoopbackBytes > 0 {
			row.Ratio[i] = s.WireBytes * float64(r.Sidecars) / s.LoopbackBytes
		} else {
			s.LoopbackBytes, s.LoopbackPackets = 0, 0
		}
	}
	return row
}

// String formats the row as one line.
func (r ControlRow) String() string {
	text := fmt.Sprintf("price %v, %d servers, %v calls/s: start %.0f bytes, steady %.0f B/s, %.2f%% of a core, %.1f MB", r.Price, r.Servers, r.Rate, r.StartBytes,
		r.Steady.WireBytes, r.Steady.CPU*100, r.PeakMB)
	if r.Breaches > 0 || r.Late {
		text += fmt.Sprintf("; %d breaches, the lab's timers %.1f ms late at p99: %v", r.Breaches, r.TimerP99, r.Outcomes)
	}
	return text
}

// Breaches returns the number of breaches over all rows.
func (t *ControlTable) Breaches() (n int) {
	for _, r := range t.Rows {
		n += r.Breaches
	}
	return n
}

// Table formats the rows, one per line. Bytes are on the wire, with headers, per sidecar.
func (t *ControlTable) Table() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "price\tservers\tcalls/s\tstart bytes\tin s")
	for _, kind := range controltraffic.Kinds {
		fmt.Fprintf(w, "\t%s B/s", kind)
	}
	fmt.Fprint(w, "\tsteady B/s\tprobes/s\tcore %\tpeak MB\testimated/lo start\tsteady\t\n")
	for _, r := range t.Rows {
		fmt.Fprintf(w, "%v\t%d\t%v\t%.0f\t%.1f", r.Price, r.Servers, r.Rate, r.StartBytes, r.Start.Seconds)
		for _, kind := range controltraffic.Kinds {
			fmt.Fprintf(w, "\t%.0f", r.Steady.Kinds[kind].WireBytes)
		}
		fmt.Fprintf(w, "\t%.0f\t%.2f\t%.2f\t%.1f\t%.3f\t%.3f\t\n", r.Steady.WireBytes, r.Steady.Kinds["probe"].Sent, r.Steady.CPU*100, r.PeakMB, r.Ratio[0], r.Ratio[1])
	}
	w.Flush()
	return text.String()
}
