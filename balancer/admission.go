package balancer

import "math"

const (
	// Of the requests that seem too late, one in so many is admitted all the same; and one in at most so
	// many once such requests were late indeed.
	minForcedAdmissionInterval = 10
	maxForcedAdmissionInterval = 640
	minForcedAdmissionGap      = second // between two of a class

	// Fraction of the time left to the latency objective that a request may wait: of the highest
	// priority, and of any. Latencies vary, so that not all of it can be planned.
	maxWaitFraction = 0.6
	minWaitFraction = 0.2

	worstWindowGain   = 4.0  // requests are rejected in the worst windows, where those served count more
	minWorkFraction   = 0.05 // of a class in the work of all, as it counts for the worst class
	worstClassFalloff = 0.1  // difference in the fraction in time that divides a class's weight by e
)

// classStats is what a balancer knows of a class.
type classStats struct {
	meanWork        ewma      // of a request, in microseconds of service time
	arrivals        rateMeter // requests received
	inTimeFraction  ewma      // of the requests, answered within the latency objective
	forcedAt        Micros    // latest forced admission
	lateSinceForced int       // requests since then that seemed too late
}

// forcedAdmission admits few of the requests that seem too late, so that a wrong prediction, or one that
// has become wrong, does not reject a class for ever.
type forcedAdmission struct {
	interval int // one in so many is admitted
}

// take counts a request of a class that seems too late and reports whether it is admitted.
func (f *forcedAdmission) take(now Micros, class *classStats, isFirst bool) bool {
	class.lateSinceForced++
	if !isFirst || class.lateSinceForced < f.interval || now-class.forcedAt < minForcedAdmissionGap {
		return false
	}
	class.forcedAt, class.lateSinceForced = now, 0
	return true
}

// succeeded notes that a request was in time.
func (f *forcedAdmission) succeeded() { f.interval = minForcedAdmissionInterval }

// failed notes that a forced request was late: an overload needs rest.
func (f *forcedAdmission) failed() {
	f.interval = min(2*f.interval, maxForcedAdmissionInterval)
}

// admits reports whether a request may go to e, the best endpoint for it: its predicted latency is within
// its budget, or there is neither contention nor a slowdown (a few samples of a long-tailed latency must
// not rule out an idle endpoint), or it is forced.
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

// latencyBudget returns the longest predicted latency (microseconds) at which a request is admitted at e:
// its latency there alone, and a fraction of what is then left to the latency objective, by its priority.
func (b *Balancer) latencyBudget(now Micros, r *request, e *endpoint) float64 {
	alone := b.zones[e.Zone].roundTrip.value + r.work*b.slowdown(now, e)*b.expectedServiceTime(now, e)
	fraction := max(minWaitFraction, maxWaitFraction*r.priority)
	if b.lateReports.detected || !b.mayReject(r) {
		// Averages may not reject what the least loaded endpoint, which is not known, would serve; and what
		// cannot be rejected would be lost.
		fraction = 1
	}
	left := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - alone
	return min(alone+fraction*left, float64(r.Deadline-now))
}

// requestPriority returns the priority of a request among all, 0 to 1: what the objective gains by a unit
// of its work, relative to the best class, times the weight of its tenant's quota.
func (b *Balancer) requestPriority(now Micros, r *request) float64 {
	var work, weight float64 // a second, over all classes
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
	if !(highest > 0) { // no weights are set; true for NaN, too
		return 1
	}
	return own / highest * b.quotaWeight(now, r)
}

// priorityWeight returns the weight of a request of a class.
func (b *Balancer) priorityWeight(class int) float64 {
	perWork := 1 + (b.classes[class].meanWork.value-1)*indicator(b.settings.PriorityPerWork)
	return b.settings.Classes[class].PriorityWeight * perWork
}

// recordTimeliness learns whether a request had its response within the latency objective.
func (b *Balancer) recordTimeliness(now Micros, r *request, hasResponse bool) {
	if hasResponse && now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.inTime = 1
		b.forcedAdmission.succeeded()
		if r.forced { // an overload may be over: the next forced admission need not wait
			b.classes[r.Class].forcedAt = 0
		}
	} else if r.forced {
		b.forcedAdmission.failed()
	}
}
