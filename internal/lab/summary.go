package lab

import (
	"fmt"
	"slices"
)

// Summary describes the result in a few lines.
func (r *Result) Summary() string {
	d := r.Datagrams
	return fmt.Sprintf("%s: %d sidecars, %d servers, %d requests\n", r.Name, r.Sidecars, r.Servers, r.Requests) +
		fmt.Sprintf("outcomes %v\n", r.Outcomes) +
		fmt.Sprintf("ran twice %d, copies %d, after drain %d, unknown ids %d; ", r.RanTwice, r.Copies, r.AfterDrain, r.UnknownIDs) +
		fmt.Sprintf("datagrams relayed %d, dropped %d, too long %d, of unknown senders %d; ", d.Relayed, d.Dropped, d.Oversize, d.Unknown) +
		fmt.Sprintf("breaches %d\n", r.Breaches()) +
		fmt.Sprintf("latency ms p50 %.1f p99 %.1f p99.9 %.1f max %.1f\n", r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max) +
		fmt.Sprintf("sidecars: %.1f CPU s, %.1f MB mean peak, %.1f MB largest; ", r.SidecarCPUSeconds, r.SidecarMeanMB, r.SidecarPeakMB) +
		fmt.Sprintf("lab: %.1f CPU s, %.1f MB\n", r.LabCPUSeconds, r.LabPeakMB) +
		r.format1Summary() + r.restartSummary()
}

// format1Summary describes the fields that format 1 added.
func (r *Result) format1Summary() string {
	if r.Format == 0 {
		return "a result of format 0: without calls, history and the lab's lateness\n"
	}
	text := fmt.Sprintf("the lab's own lateness ms: timers p99 %.1f max %.1f, requests p99 %.1f max %.1f; %.0f ms stalled; excused %v\n",
		r.Lateness.Timers.P99, r.Lateness.Timers.Max, r.Lateness.Arrivals.P99, r.Lateness.Arrivals.Max, r.Lateness.StalledMs, r.Excused)
	if r.Lateness.Late {
		text += "THE LAB RAN LATE: it was short of CPU; the times above are not reliable\n"
	}
	if len(r.Calls) > 0 {
		text += fmt.Sprintf("admin calls %v; after ban %d\n", r.Calls, r.AfterBan)
	}
	if r.Control != nil {
		text += r.Control.String()
	}
	text += r.viewSummary()
	for _, failure := range r.UnexpectedFailures {
		text += "unexpected failure: " + failure + "\n"
	}
	for _, violation := range r.Violations {
		text += "violation: " + violation.String() + "\n"
	}
	return text
}

// viewSummary describes the convergence of the views after each of the first maxLines faults, and the slowest of the
// others.
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

// restartSummary describes the restarts in one line: the median and the maximum of each time, and the sums of the errors.
// It is empty without restarts.
func (r *Result) restartSummary() string {
	if len(r.Restarts) == 0 {
		return ""
	}
	var ready, firstServed, stable []float64
	var sum Restart
	for _, restart := range r.Restarts {
		ready = append(ready, restart.ReadyMs)
		firstServed = append(firstServed, restart.FirstServedMs)
		stable = append(stable, restart.StableMs)
		sum.Rejected += restart.Rejected
		sum.Failed += restart.Failed
		sum.Unreached += restart.Unreached
		sum.Lost += restart.Lost
		sum.Unsent += restart.Unsent
	}
	return fmt.Sprintf("restarts %d: ms to ready %s; to first served %s; to stable %s; ", len(r.Restarts), formatTimes(ready), formatTimes(firstServed), formatTimes(stable)) +
		fmt.Sprintf("in their first 5 s rejected %d, failed %d, unreached %d, lost %d; ", sum.Rejected, sum.Failed, sum.Unreached, sum.Lost) +
		fmt.Sprintf("not sent until ready %d\n", sum.Unsent)
}

// formatTimes returns the median of times and their maximum, or how many of them are -1, which means never. It sorts
// times.
func formatTimes(times []float64) string {
	slices.Sort(times)
	median := times[len(times)/2]
	never := len(times) - len(slices.DeleteFunc(slices.Clone(times), func(t float64) bool { return t < 0 }))
	if never > 0 {
		return fmt.Sprintf("median %.0f, %d never", median, never)
	}
	return fmt.Sprintf("median %.0f, maximum %.0f", median, times[len(times)-1])
}
