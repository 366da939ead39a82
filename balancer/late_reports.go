package balancer

import "math"

const (
	lateReportThreshold  = 0.1 // fraction of late reports from which averages replace them
	lateReportHysteresis = 3   // reports serve again below this part of the threshold

	// When an attempt has surely arrived and shows in a report: round trips, and at least a time that
	// covers a handshake (microseconds).
	arrivalRoundTrips = 5.0
	minArrivalDelay   = 20e3
)

// lateReports finds out whether load reports are too old to choose by.
type lateReports struct {
	fraction ewma // of the reports that are late
	detected bool
}

// record adds a report and reports whether detected changed.
func (l *lateReports) record(isLate bool) bool {
	l.fraction.add(indicator(isLate), fractionWeight)
	before := l.detected
	if l.fraction.value > lateReportThreshold {
		l.detected = true
	} else if l.fraction.value < lateReportThreshold/lateReportHysteresis {
		l.detected = false
	}
	return l.detected != before
}

// checkReportIsLate compares a report with what this balancer alone has in flight at the endpoint: one that
// counts fewer is late. Attempts on their way there, and those past the latency objective, prove nothing.
func (b *Balancer) checkReportIsLate(now Micros, e *endpoint, inFlight float64) {
	arrivedBy := now - max(minArrivalDelay, Micros(arrivalRoundTrips*b.zones[e.Zone].roundTrip.value))
	own := e.countStartedBetween(now-b.settings.Classes[0].LatencyObjective, arrivedBy)
	if own == 0 {
		return
	}
	if b.lateReports.record(inFlight+0.5 < float64(own)) {
		b.log(now, "load reports became late or recovered",
			LogField{"late", b.lateReports.detected},
			LogField{"late_percent", math.Round(100 * b.lateReports.fraction.value)})
	}
}
