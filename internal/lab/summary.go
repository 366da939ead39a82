package lab

import (
	"fmt"
	"slices"
)

// Summary describes the result in a few lines.
func (r *Result) Summary() string {
	return fmt.Sprintf("%s: %d sidecars, %d servers, %d requests\noutcomes %v\nran twice %d, copies %d, after drain %d, unknown ids %d; datagrams relayed %d, dropped %d, too long %d, of unknown senders %d; breaches %d\n"+
		"latency ms p50 %.1f p99 %.1f p99.9 %.1f max %.1f\nsidecars: %.1f CPU s, %.1f MB mean peak, %.1f MB largest; lab: %.1f CPU s, %.1f MB\n",
		r.Name, r.Sidecars, r.Servers, r.Requests, r.Outcomes, r.RanTwice, r.Copies, r.AfterDrain, r.UnknownIDs, r.Datagrams.Relayed, r.Datagrams.Dropped, r.Datagrams.Oversize, r.Datagrams.Unknown, r.Breaches(),
		r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max, r.SidecarCPUSeconds, r.SidecarMeanMB, r.SidecarPeakMB, r.LabCPUSeconds, r.LabPeakMB) +
		r.formatSummary() + r.restartSummary()
}

// formatSummary describes the fields that were added by format 1.
func (r *Result) formatSummary() string {
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
	for _, t := range r.UnexpectedFailures {
		text += "trouble: " + t + "\n"
	}
	for _, b := range r.Violations {
		text += "broken: " + b.String() + "\n"
	}
	return text
}

// viewSummary describes the convergence of the views after each of the first faults, and the slowest of the others.
func (r *Result) viewSummary() (text string) {
	const maxLines = 10
	worst := -1
	for i, v := range r.Views {
		if i >= maxLines {
			if worst < 0 || v.MaxMs > r.Views[worst].MaxMs {
				worst = i
			}
			continue
		}
		text += v.String()
	}
	if worst >= 0 {
		text += fmt.Sprintf("%d more, the slowest: %v", len(r.Views)-maxLines, r.Views[worst])
	}
	return text
}

// restartSummary is a line on the restarts, if any: the median and the maximum of each time, the sums of errors.
func (r *Result) restartSummary() string {
	if len(r.Restarts) == 0 {
		return ""
	}
	var ready, first, settled []float64
	var sum Restart
	for _, s := range r.Restarts {
		ready, first, settled = append(ready, s.ReadyMs), append(first, s.FirstServedMs), append(settled, s.StableMs)
		sum.Rejected, sum.Failed, sum.Unreached, sum.Lost = sum.Rejected+s.Rejected, sum.Failed+s.Failed, sum.Unreached+s.Unreached, sum.Lost+s.Lost
		sum.Unsent += s.Unsent
	}
	spread := func(v []float64) string {
		slices.Sort(v)
		if median := v[len(v)/2]; v[0] < 0 {
			return fmt.Sprintf("median %.0f, %d never", median, len(slices.DeleteFunc(v, func(x float64) bool { return x >= 0 })))
		}
		return fmt.Sprintf("median %.0f, worst %.0f", v[len(v)/2], v[len(v)-1])
	}
	return fmt.Sprintf("restarts %d: ms to ready %s; to first served %s; to settled %s; in their first 5 s refused %d, failed %d, unreached %d, lost %d; not sent until ready %d\n",
		len(r.Restarts), spread(ready), spread(first), spread(settled), sum.Rejected, sum.Failed, sum.Unreached, sum.Lost, sum.Unsent)
}
