package balancer

import "math"

const (
	lateReportThreshold  = 0.1 // fraction of late reports above which averages replace reports
	lateReportHysteresis = 3   // reports are used again below the threshold divided by this

	// An attempt older than this many round trips, and older than minArrivalDelay (microseconds), which
	// covers a handshake, has certainly arrived and shows in a report.
	arrivalRoundTrips = 5.0
	minArrivalDelay   = 20e3
)

// lateReports detects that load reports are too old to base decisions on.
type lateReports struct {
	fraction ewma // fraction of reports that are late
	detected bool // reports are not used
}

// record counts a report and returns whether detected changed.
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

// checkReportIsLate compares a report with this balancer's own attempts in flight at the endpoint: a report
// that counts fewer requests is late. Attempts that may still be on their way, and those older than the
// latency objective, are left out of the comparison.
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
