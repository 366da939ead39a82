package balancer

import (
	"math"
	"slices"
)

const (
	serviceTimeLifetime    = 10 * second // after which an endpoint's own service time is forgotten
	serviceTimeWeight      = 0.03        // of the latest outcome, for an endpoint
	groupServiceTimeWeight = 0.02        // of the latest outcome, for a zone and for all endpoints
	meanWorkWeight         = 0.01        // of the latest hint or outcome in a class's mean work
	reportedWorkWeight     = 0.03        // of the latest reported service time in a class's mean work
	hintExponentWeight     = 0.005       // of the latest outcome
)

// serviceTime is the time that an endpoint needs per unit of work and contention, once past its slow start.
type serviceTime struct {
	average   ewma
	updatedAt Micros
}

// expectedServiceTime returns the time that e needs per unit of work and contention now. The older its
// own average is, the more that of its zone or of all endpoints counts, whichever is less: so an endpoint
// found slow is tried again, and a new one is not held to be as slow as the others of its zone.
func (b *Balancer) expectedServiceTime(now Micros, e *endpoint) float64 {
	all := b.serviceTime.valueOr(1)
	group := min(b.zones[e.Zone].serviceTime.valueOr(all), all)
	own := &e.serviceTime
	age := float64(now - own.updatedAt)
	trust := max(0, 1-age/float64(serviceTimeLifetime)) * indicator(own.average.initialized)
	return (group + (own.average.value-group)*trust) / e.slowStart.capacityFraction(now, &b.settings.Rules)
}

// predictLatency returns the latency (microseconds) of a request of this work, were it sent to e now.
func (b *Balancer) predictLatency(now Micros, e *endpoint, work float64) float64 {
	return b.zones[e.Zone].roundTrip.value +
		work*b.slowdown(now, e)*b.expectedServiceTime(now, e)*b.contention(now, e)
}

// learnServiceTime learns from the latency (microseconds) of an attempt. isLowerBound means that the
// attempt has not ended: it then only counts if it took longer than expected.
func (b *Balancer) learnServiceTime(now Micros, r *request, a *attempt, latency float64, isLowerBound bool) {
	e := a.endpoint
	measured := max(0, latency-b.zones[e.Zone].roundTrip.value) / a.contendedWork
	if isLowerBound && measured <= b.expectedServiceTime(now, e) {
		return
	}
	// Relative to what is expected by now: attempts that started before the trend moved must not each
	// move it.
	b.zones[e.Zone].trend.record(now, latency/(a.expectedLatency*b.slowdown(now, e)))
	if !isLowerBound {
		b.learnHintExponent(now, r, e, measured)
	}
	capacity := e.slowStart.capacityFraction(now, &b.settings.Rules)
	e.serviceTime.average = ewma{value: b.expectedServiceTime(now, e) * capacity, initialized: true}
	e.serviceTime.average.add(measured*capacity, serviceTimeWeight)
	e.serviceTime.updatedAt = now
	if isLowerBound {
		return
	}
	b.learnMeanWork(r, a, measured*capacity)
	if !e.slowStart.active {
		b.zones[e.Zone].serviceTime.add(measured, groupServiceTimeWeight)
		b.serviceTime.add(measured, groupServiceTimeWeight)
	}
}

// learnHintExponent learns how far cost hints predict the work: rough ones overstate large requests and
// understate small ones.
func (b *Balancer) learnHintExponent(now Micros, r *request, e *endpoint, measured float64) {
	if r.logHintRatio == 0 || measured <= 0 {
		return
	}
	step := hintExponentWeight * r.logHintRatio * math.Log(measured/b.expectedServiceTime(now, e))
	b.hintExponent = min(1, max(0, b.hintExponent+step))
}

// learnMeanWork learns a class's mean work from a service time, where there are no hints. Attempts that met
// contention are left out: it is estimated by the mean work, and the two would feed each other.
func (b *Balancer) learnMeanWork(r *request, a *attempt, measured float64) {
	if r.HasCostHint || a.contendedWork > r.work || b.learnsWorkFromReports() {
		return
	}
	b.classes[r.Class].meanWork.add(measured*r.work, meanWorkWeight)
}

// learnsWorkFromReports reports whether load reports give the mean work, as their service time. While
// gossiping, the contention that a request meets is a guess, and its latency would count the queue there
// as work.
func (b *Balancer) learnsWorkFromReports() bool {
	return b.gossiping && len(b.classes) == 1 && !b.hasSeenCostHint &&
		slices.Contains(b.settings.LoadReportFields, LoadFieldServiceTime)
}
