package balancer

import (
	"math"
	"slices"
)

const (
	serviceTimeLifetime    = 10 * second // age at which an endpoint's own service time no longer counts
	serviceTimeWeight      = 0.03        // weight of the latest outcome in an endpoint's service time
	groupServiceTimeWeight = 0.02        // weight of it in the service times of the zone and of all endpoints
	meanWorkWeight         = 0.01        // weight of the latest hint or outcome in a class's mean work
	reportedWorkWeight     = 0.03        // weight of the latest reported service time in a class's mean work
	hintExponentWeight     = 0.005       // weight of the latest outcome in the hint exponent
)

// serviceTime is the time that an endpoint takes per unit of work and contention, scaled to its full
// capacity. A value of 1 means that work takes as long as estimated.
type serviceTime struct {
	average   ewma
	updatedAt Micros
}

// expectedServiceTime returns the time that e takes per unit of work and contention now. As the endpoint's
// own average ages, it is replaced by the average of its zone or of all endpoints, whichever is lower. An
// endpoint that was slow is therefore tried again, and a new one is not assumed to be as slow as the others
// of its zone.
func (b *Balancer) expectedServiceTime(now Micros, e *endpoint) float64 {
	all := b.serviceTime.valueOr(1)
	group := min(b.zones[e.Zone].serviceTime.valueOr(all), all)
	own := &e.serviceTime
	age := float64(now - own.updatedAt)
	ownWeight := max(0, 1-age/float64(serviceTimeLifetime)) * indicator(own.average.initialized)
	return (group + (own.average.value-group)*ownWeight) / e.slowStart.capacityFraction(now, &b.settings.Rules)
}

// predictLatency returns the predicted latency (microseconds) of a request with this work if it is sent to
// e now.
func (b *Balancer) predictLatency(now Micros, e *endpoint, work float64) float64 {
	return b.zones[e.Zone].roundTrip.value +
		work*b.slowdown(now, e)*b.expectedServiceTime(now, e)*b.contention(now, e)
}

// learnServiceTime updates the service times from the latency (microseconds) of an attempt. isLowerBound
// means that the attempt got no response within that latency: it then counts only if it is longer than
// expected.
func (b *Balancer) learnServiceTime(now Micros, r *request, a *attempt, latency float64, isLowerBound bool) {
	e := a.endpoint
	measured := max(0, latency-b.zones[e.Zone].roundTrip.value) / a.contendedWork
	if isLowerBound && measured <= b.expectedServiceTime(now, e) {
		return
	}
	// The ratio is relative to the prediction with the present slowdown: otherwise every attempt that
	// started before the trend changed would change it again.
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

// learnHintExponent learns how well cost hints predict the work: imprecise hints overstate large requests
// and understate small ones.
func (b *Balancer) learnHintExponent(now Micros, r *request, e *endpoint, measured float64) {
	if r.logHintRatio == 0 || measured <= 0 {
		return
	}
	step := hintExponentWeight * r.logHintRatio * math.Log(measured/b.expectedServiceTime(now, e))
	b.hintExponent = min(1, max(0, b.hintExponent+step))
}

// learnMeanWork updates a class's mean work from a measured service time, unless the request has a cost
// hint. Attempts with contention are left out, because contention is estimated from the mean work and the
// two estimates would reinforce each other's errors.
func (b *Balancer) learnMeanWork(r *request, a *attempt, measured float64) {
	if r.HasCostHint || a.contendedWork > r.work || b.learnsWorkFromReports() {
		return
	}
	b.classes[r.Class].meanWork.add(measured*r.work, meanWorkWeight)
}

// learnsWorkFromReports reports whether the mean work is learned from the service times in load reports.
// While gossiping, the contention that a request met is uncertain, and learning from its latency would
// count time in the endpoint's queue as work.
func (b *Balancer) learnsWorkFromReports() bool {
	return b.gossiping && len(b.classes) == 1 && !b.hasSeenCostHint &&
		slices.Contains(b.settings.LoadReportFields, LoadFieldServiceTime)
}
