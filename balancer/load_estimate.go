package balancer

import "math"

const (
	baselineLoadWeight = 0.1 // of the latest report in the baseline load
	gossipHalfLife     = 0.7 // of a shared report's difference from the baseline, in mean work
	defaultConcurrency = 2.0 // until a report shows it
)

// loadReport is the latest load report of an endpoint.
type loadReport struct {
	known        bool    // there was one
	at           Micros  // when it came; 0 makes it unfit for the pool
	externalLoad float64 // requests of other balancers in flight there
	ownInFlight  int     // own attempts in flight then
}

// loadValues are the values of a load report; -1 stands for one that is missing or invalid.
type loadValues struct {
	inFlight      float64
	queueLength   float64
	utilization   float64 // 0 to 1, or more
	serviceMillis float64 // recent service time
}

// parseLoadReport reads the values of a report by the order of its fields.
func parseLoadReport(fields []LoadField, load []float32) loadValues {
	return loadValues{
		inFlight:      reportValue(fields, load, LoadFieldInFlight),
		queueLength:   reportValue(fields, load, LoadFieldQueueLength),
		utilization:   reportValue(fields, load, LoadFieldUtilization),
		serviceMillis: reportValue(fields, load, LoadFieldServiceTime),
	}
}

// reportValue returns one value of a report, or -1.
func reportValue(fields []LoadField, load []float32, want LoadField) float64 {
	for i, field := range fields[:min(len(fields), len(load))] {
		value := float64(load[i])
		if field == want && value >= 0 && !math.IsInf(value, 0) { // false for NaN, too
			return value
		}
	}
	return -1
}

// inferInFlight returns the number of requests in flight, if need be the least that another value proves,
// or -1.
func (v *loadValues) inferInFlight(concurrency float64) float64 {
	switch {
	case v.inFlight >= 0:
		return v.inFlight
	case v.queueLength >= 0:
		return v.queueLength + concurrency*indicator(v.queueLength >= 1)
	case v.utilization >= 0:
		return min(v.utilization, 1) * concurrency
	}
	return -1
}

// recordLoad takes over a report of the requests in flight at an endpoint and adds the endpoint to the
// pool.
func (b *Balancer) recordLoad(now Micros, e *endpoint, inFlight float64) {
	if !e.inPool {
		e.inPool = true
		b.probedPool = append(b.probedPool, e)
	}
	externalLoad := max(0, inFlight-float64(e.inFlight))
	e.report = loadReport{known: true, at: now, externalLoad: externalLoad, ownInFlight: e.inFlight}
	if !b.gossiping || !b.isWarmingUp(now, e) && !e.failures.isOutlier(now) {
		b.zones[e.Zone].baselineLoad.add(externalLoad, baselineLoadWeight)
	}
}

// learnConcurrency learns how many requests an endpoint of e's type serves at a time: where requests
// queue, all others that are in flight; elsewhere at least those.
func (b *Balancer) learnConcurrency(e *endpoint, inFlight, queueLength float64) {
	if queueLength < 0 {
		return
	}
	served := inFlight - queueLength
	if served >= 1 && (queueLength >= minQueueAhead || served > b.concurrencyOf(e)) {
		b.concurrency[e.MachineType].add(served, baselineLoadWeight)
	}
}

// concurrencyOf returns how many requests an endpoint serves at a time.
func (b *Balancer) concurrencyOf(e *endpoint) float64 {
	return b.concurrency[e.MachineType].valueOr(defaultConcurrency)
}

// queueAhead returns how many requests were ahead of a load probe that waited so many microseconds at e.
func (b *Balancer) queueAhead(e *endpoint, waited float64) float64 {
	return waited / b.classes[0].meanWork.value * b.concurrencyOf(e)
}

// estimateLoad returns the requests in flight at e: those of other balancers by the latest report, and own
// ones. Without a usable report the baseline load of the zone serves.
func (b *Balancer) estimateLoad(now Micros, e *endpoint) float64 {
	own := float64(e.inFlight)
	if b.lateReports.detected || !e.report.known {
		return b.zones[e.Zone].baselineLoad.value + own
	}
	if b.gossiping {
		return b.sharedLoad(now, e) + own
	}
	// The other balancers may have found the same low load: half of them are taken to send as this one did
	// since. Not so with reports that were asked for one request, which nobody else acts on.
	startedSince := float64(max(0, e.inFlight-e.report.ownInFlight))
	assumedArrivals := float64(b.settings.Balancers-1) / 2 * startedSince * indicator(!b.probesOnDemand)
	return e.report.externalLoad + own + assumedArrivals
}

// sharedLoad returns the external load of e by a report that all balancers got. As each acts on it without
// knowing of the others, it decays to the baseline load of the zone within the time of a request.
func (b *Balancer) sharedLoad(now Micros, e *endpoint) float64 {
	baseline := b.zones[e.Zone].baselineLoad.value
	if e.slowStart.active || e.failures.value > ejectionThreshold {
		baseline = e.report.externalLoad // other balancers avoid such an endpoint
	}
	age := float64(now - e.report.at)
	remaining := math.Exp2(-age / (gossipHalfLife * b.classes[0].meanWork.value))
	return baseline + (e.report.externalLoad-baseline)*remaining
}

// contention returns how many times longer than alone a request takes at the estimated load of e, at
// least 1.
func (b *Balancer) contention(now Micros, e *endpoint) float64 {
	return max(1, (b.estimateLoad(now, e)+1)/b.concurrencyOf(e))
}
