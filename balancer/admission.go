package balancer

import "math"

const (
	// Forced admission admits one in this many of the requests predicted to be late. The interval starts at
	// the minimum and doubles, up to the maximum, each time a request admitted this way is late.
	minForcedAdmissionInterval = 10
	maxForcedAdmissionInterval = 640
	minForcedAdmissionGap      = second // time between two forced admissions of a class

	// Fraction of the time left to the latency objective that a request may spend waiting: the maximum
	// holds for the highest priority, the minimum for any. Neither is 1 because latencies vary.
	maxWaitFraction = 0.6
	minWaitFraction = 0.2

	worstWindowGain   = 4.0  // requests are rejected in the worst windows, where each one served counts more
	minWorkFraction   = 0.05 // least fraction of all work assumed for a class when weighting the worst class
	worstClassFalloff = 0.1  // difference in inTimeFraction that divides a class's weight by e
)

// classStats holds the statistics of a request class.
type classStats struct {
	meanWork        ewma      // of a request, in microseconds of service time
	arrivals        rateMeter // requests received
	inTimeFraction  ewma      // fraction of the requests answered within the latency objective
	forcedAt        Micros    // time of the latest forced admission; 0 allows the next at once
	lateSinceForced int       // requests predicted to be late since then
}

// forcedAdmission admits a few of the requests that are predicted to be late. Without it, a prediction that
// is or becomes wrong would reject a class forever.
type forcedAdmission struct {
	interval int // one in this many is admitted
}

// take counts a request of a class that is predicted to be late and reports whether it is admitted.
func (f *forcedAdmission) take(now Micros, class *classStats, isFirst bool) bool {
	class.lateSinceForced++
	if !isFirst || class.lateSinceForced < f.interval || now-class.forcedAt < minForcedAdmissionGap {
		return false
	}
	class.forcedAt, class.lateSinceForced = now, 0
	return true
}

// succeeded resets the interval after a request was answered within its latency objective.
func (f *forcedAdmission) succeeded() { f.interval = minForcedAdmissionInterval }

// failed doubles the interval after a forced request was late, since forced requests prolong an overload.
func (f *forcedAdmission) failed() {
	f.interval = min(2*f.interval, maxForcedAdmissionInterval)
}

// admits reports whether a request may go to e, the best endpoint for it. It may if one of these holds:
//
//   - The predicted latency is within the request's budget.
//   - e has neither contention nor a slowdown: a few samples of a long-tailed latency must not rule out an
//     idle endpoint.
//   - The request is admitted by forced admission.
func (b *Balancer) admits(now Micros, r *request, e *endpoint, isFirst bool) bool {
	latency, budget := b.predictLatency(now, e, r.work), b.latencyBudget(now, r, e)
	isLate := latency > budget
	isLoaded := b.contention(now, e) > 1 || b.slowdown(now, e) > 1
	if !isLate || !isLoaded {
		return true
	}
	if b.forcedAdmission.take(now, &b.classes[r.Class], isFirst) {
		r.forced = true
		return true
	}
	b.log(now, "request rejected, predicted latency over budget",
		LogField{"endpoint", e.ID},
		LogField{"predicted_ms", math.Round(latency / 1000)},
		LogField{"budget_ms", math.Round(budget / 1000)},
		LogField{"load", roundTenths(b.estimateLoad(now, e))},
		LogField{"baseline_load", roundTenths(b.zones[e.Zone].baselineLoad.value)},
		LogField{"slowdown", roundTenths(b.slowdown(now, e))},
		LogField{"work_ms", roundTenths(r.work / 1000)},
		LogField{"rejected_percent", math.Round(100 * b.rejectedFraction.value)})
	return false
}

// latencyBudget returns the longest predicted latency (microseconds) at which a request is admitted at e. It
// is the latency without contention plus a fraction of the time that then remains to the latency objective.
// The fraction depends on the request's priority.
func (b *Balancer) latencyBudget(now Micros, r *request, e *endpoint) float64 {
	unloaded := b.zones[e.Zone].roundTrip.value + r.work*b.slowdown(now, e)*b.expectedServiceTime(now, e)
	fraction := max(minWaitFraction, maxWaitFraction*r.priority)
	if b.lateReports.detected || !b.mayReject(r) {
		// With late reports only averages are known: they must not reject a request that the least loaded
		// endpoint, which is unknown, would serve in time. A request that may not be rejected would be lost.
		fraction = 1
	}
	remaining := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - unloaded
	return min(unloaded+fraction*remaining, float64(r.Deadline-now))
}

// requestPriority returns the priority of a request, 0 to 1. It is the gain for Settings.Objective per unit
// of the request's work, relative to the class with the highest gain, times the weight from its tenant's
// quota.
func (b *Balancer) requestPriority(now Micros, r *request) float64 {
	var work, weight float64 // per second, over all classes
	worst := 1.0
	for i := range b.classes {
		class := &b.classes[i]
		rate := class.arrivals.rate(now)
		work += rate * class.meanWork.value
		weight += rate * b.priorityWeight(i)
		worst = min(worst, class.inTimeFraction.valueOr(1))
	}
	objective := &b.settings.Objective
	var highest, own float64
	for i := range b.classes {
		class := &b.classes[i]
		workFraction := class.arrivals.rate(now) * class.meanWork.value / work
		gain := (objective.Overall + worstWindowGain*objective.WorstWindow) * b.priorityWeight(i) /
			class.meanWork.value * work / weight
		gain += objective.WorstClass / max(minWorkFraction, workFraction) *
			math.Exp((worst-class.inTimeFraction.valueOr(1))/worstClassFalloff)
		highest = max(highest, gain)
		own += gain * indicator(i == int(r.Class))
	}
	if !(highest > 0) { // no weights are set; also true for NaN
		return 1
	}
	return own / highest * b.quotaWeight(now, r)
}

// priorityWeight returns the priority weight of one request of a class.
func (b *Balancer) priorityWeight(class int) float64 {
	perWork := 1 + (b.classes[class].meanWork.value-1)*indicator(b.settings.PriorityPerWork)
	return b.settings.Classes[class].PriorityWeight * perWork
}

// recordTimeliness records whether a request got its response within the latency objective, and adjusts
// forced admission.
func (b *Balancer) recordTimeliness(now Micros, r *request, hasResponse bool) {
	if hasResponse && now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.inTime = 1
		b.forcedAdmission.succeeded()
		if r.forced { // the overload may be over: allow the next forced admission at once
			b.classes[r.Class].forcedAt = 0
		}
	} else if r.forced {
		b.forcedAdmission.failed()
	}
}
