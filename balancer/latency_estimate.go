package balancer

import (
	"math"
	"slices"
)

const (
	serviceTimeLifetime    = 10 * second
	serviceTimeWeight      = 0.03
	groupServiceTimeWeight = 0.02
	meanWorkWeight         = 0.01
	reportedWorkWeight     = 0.03 // of a report's time to serve, in a class's work
	hintExponentWeight     = 0.005
)

// expectedServiceTime is e's time per unit of work, longer while it is cold. Unseen for long, it is its
// zone's or the
// fleet's, whichever is less, so that an endpoint once thought slow is tried again: all that is warm of a
// zone may be one that is slow, which says nothing of those that have just started.
func (e *endpoint) expectedServiceTime(now Micros, b *Balancer) float64 {
	usual := min(b.zones[e.Zone].serviceTime.valueOr(b.serviceTime.valueOr(1)), b.serviceTime.valueOr(1))
	trust := max(0, 1-float64(now-e.serviceTimeAt)/float64(serviceTimeLifetime)) *
		indicator(e.serviceTime.initialized)
	return (usual + (e.serviceTime.value-usual)*trust) / e.capacityFraction(now, b)
}

// predictLatency is the latency expected of a request of this work sent to e now.
func (b *Balancer) predictLatency(now Micros, e *endpoint, work float64) float64 {
	return b.zones[e.Zone].roundTrip.value + work*b.slowdown(now, e)*e.expectedServiceTime(now,
		b)*b.contention(now, e)
}

// learnServiceTime learns from a latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnServiceTime(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.endpoint
	x := max(0, latency-b.zones[e.Zone].roundTrip.value) / a.contendedWork
	if atLeast && x <= e.expectedServiceTime(now, b) {
		return
	}
	b.updateTrend(now, e, latency/(a.expectedLatency*b.slowdown(now, e)))
	if !atLeast && r.logHintRatio != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		b.hintExponent = min(1, max(0,
			b.hintExponent+hintExponentWeight*r.logHintRatio*math.Log(x/e.expectedServiceTime(now, b))))
	}
	warmth := e.capacityFraction(now, b) // what is kept is the pace once warm
	e.serviceTime = ewma{value: e.expectedServiceTime(now, b) * warmth, initialized: true}
	e.serviceTime.add(x*warmth, serviceTimeWeight)
	e.serviceTimeAt = now
	if atLeast {
		return
	}
	if !r.HasCostHint && a.contendedWork <= r.work && !b.learnsWorkFromReports() {
		// Without hints a class's work is its mean latency on an endpoint without a queue. Elsewhere it would be
		// learned by the queue assumed there, which is itself told by work: the two would feed each other.
		b.classes[r.Class].meanWork.add(x*warmth*r.work, meanWorkWeight)
	}
	if !e.warmingUp {
		b.zones[e.Zone].serviceTime.add(x, groupServiceTimeWeight)
		b.serviceTime.add(x, groupServiceTimeWeight)
	}
}

// learnsWorkFromReports says that reports tell a class's work: the time to serve without the wait.
// Where answers are
// shared the load that a single request meets is guessed, and its latency would count the queue there as
// work: too much is refused for it then, and what is refused cannot put that right.
func (b *Balancer) learnsWorkFromReports() bool {
	return b.gossiping && len(b.classes) == 1 && !b.hasSeenCostHint &&
		slices.Contains(b.settings.LoadReportFields, LoadFieldServiceTime)
}
