package balancer

import "math"

const (
	baselineLoadWeight = 0.1 // weight of the latest report in the baseline load and in the concurrency
	gossipHalfLife     = 0.7 // in units of mean work: half-life of a shared report's difference from baseline
	defaultConcurrency = 2.0 // assumed until a report shows the concurrency
)

// loadReport is the latest load report of an endpoint.
type loadReport struct {
	known        bool    // a report has been received
	at           Micros  // time of receipt; 0 keeps the endpoint out of the pool
	externalLoad float64 // requests of other balancers in flight at the endpoint
	ownInFlight  int     // this balancer's attempts in flight there at that time
}

// loadValues holds the values of a load report; -1 means missing or invalid.
type loadValues struct {
	inFlight      float64
	queueLength   float64
	utilization   float64 // fraction of the cores in use, 0 to 1 or more
	serviceMillis float64 // recent service time
}

// parseLoadReport reads the values of a report, whose order is that of fields.
func parseLoadReport(fields []LoadField, load []float32) loadValues {
	return loadValues{
		inFlight:      reportValue(fields, load, LoadFieldInFlight),
		queueLength:   reportValue(fields, load, LoadFieldQueueLength),
		utilization:   reportValue(fields, load, LoadFieldUtilization),
		serviceMillis: reportValue(fields, load, LoadFieldServiceTime),
	}
}

// reportValue returns the value of the field want in a report, or -1 if it is missing or invalid.
func reportValue(fields []LoadField, load []float32, want LoadField) float64 {
	for i, field := range fields[:min(len(fields), len(load))] {
		value := float64(load[i])
		if field == want && value >= 0 && !math.IsInf(value, 0) { // false for NaN
			return value
		}
	}
	return -1
}

// inferInFlight returns the number of requests in flight. If the report lacks it, it returns the minimum that
// the queue length or the utilization implies, or -1 if these are missing as well.
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

// recordLoad stores a report of the requests in flight at an endpoint and adds the endpoint to the pool.
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

// learnConcurrency learns how many requests an endpoint of e's machine type serves concurrently. This is the
// number of requests in flight that are not queued. Without a queue it is only a lower bound.
func (b *Balancer) learnConcurrency(e *endpoint, inFlight, queueLength float64) {
	if queueLength < 0 {
		return
	}
	served := inFlight - queueLength
	if served >= 1 && (queueLength >= minQueueAhead || served > b.concurrencyOf(e)) {
		b.concurrency[e.MachineType].add(served, baselineLoadWeight)
	}
}

// concurrencyOf returns how many requests an endpoint serves concurrently.
func (b *Balancer) concurrencyOf(e *endpoint) float64 {
	return b.concurrency[e.MachineType].valueOr(defaultConcurrency)
}

// queueAhead returns how many requests were ahead of a load probe that waited this long (microseconds) at e.
func (b *Balancer) queueAhead(e *endpoint, waited float64) float64 {
	return waited / b.classes[0].meanWork.value * b.concurrencyOf(e)
}

// estimateLoad returns the estimated number of requests in flight at e: those of other balancers according
// to the latest report, plus this balancer's own. Without a usable report, the baseline load of the zone
// replaces the report.
func (b *Balancer) estimateLoad(now Micros, e *endpoint) float64 {
	own := float64(e.inFlight)
	if b.lateReports.detected || !e.report.known {
		return b.zones[e.Zone].baselineLoad.value + own
	}
	if b.gossiping {
		return b.sharedLoad(now, e) + own
	}
	// Other balancers may have seen the same low load: half of them are assumed to have started as many
	// attempts here as this one has since the report. Reports probed on demand for a single request are
	// not known to other balancers, so nothing is added for them.
	startedSince := float64(max(0, e.inFlight-e.report.ownInFlight))
	assumedArrivals := float64(b.settings.Balancers-1) / 2 * startedSince * indicator(!b.probesOnDemand)
	return e.report.externalLoad + own + assumedArrivals
}

// sharedLoad returns the external load of e according to a report that was shared with all balancers. Each
// balancer acts on it without knowing of the others' attempts, so the reported load decays to the baseline
// load of the zone within about the time of one request.
func (b *Balancer) sharedLoad(now Micros, e *endpoint) float64 {
	baseline := b.zones[e.Zone].baselineLoad.value
	if e.slowStart.active || e.failures.value > ejectionThreshold {
		baseline = e.report.externalLoad // other balancers avoid such an endpoint
	}
	age := float64(now - e.report.at)
	remaining := math.Exp2(-age / (gossipHalfLife * b.classes[0].meanWork.value))
	return baseline + (e.report.externalLoad-baseline)*remaining
}

// contention returns the factor, at least 1, by which a request takes longer at the estimated load of e than
// on an idle endpoint.
func (b *Balancer) contention(now Micros, e *endpoint) float64 {
	return max(1, (b.estimateLoad(now, e)+1)/b.concurrencyOf(e))
}
