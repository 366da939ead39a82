package balancer

import "math"

const (
	baselineLoadWeight = 0.1 // of the latest answer in the usual load
	gossipHalfLife     = 0.7 // times a request's work, half-life of what an answer says beyond the usual
	defaultConcurrency = 2.0 // requests that an endpoint works at side by side, until reports tell
)

// estimateLoad is the last answer plus own sends since, less own answers since. Where a pool of the
// whole fleet is
// kept, half of the other balancers are held to send as we do: they hold that answer, too, and would all
// pile up where it is low. Answers asked for one request are our own: nobody else acts on them.
func (b *Balancer) estimateLoad(now Micros, e *endpoint) float64 {
	if b.reportsAreLate || !e.hasLoadReport {
		return b.zones[e.Zone].baselineLoad.value + float64(e.inFlight)
	}
	if b.gossiping {
		// All hold the same answers, and none is told of what the others send meanwhile: what was found turns
		// into what is usual there, within about the time that a request takes.
		usual, age := b.zones[e.Zone].baselineLoad.value, float64(now-e.reportedAt)
		if e.warmingUp || e.failureRate > ejectionThreshold {
			usual = e.externalLoad // its load is not like that of the rest
		}
		stays := math.Exp2(-age / (gossipHalfLife * b.classes[0].meanWork.value))
		return usual + (e.externalLoad-usual)*stays + float64(e.inFlight)
	}
	herd := float64(b.settings.Balancers-1) / 2 * float64(max(0,
		e.inFlight-e.inFlightAtReport)) * indicator(!b.probesOnDemand)
	return e.externalLoad + float64(e.inFlight) + herd
}

// contention is how much longer than alone a request takes at e's load.
func (b *Balancer) contention(now Micros, e *endpoint) float64 {
	return max(1, (b.estimateLoad(now, e)+1)/b.concurrency(e))
}

// concurrency is how many requests e works at side by side.
func (b *Balancer) concurrency(e *endpoint) float64 {
	return b.concurrencyByType[e.MachineType].valueOr(defaultConcurrency)
}

// queueAhead is how many requests are ahead of a probe that waits so long at e.
func (b *Balancer) queueAhead(e *endpoint, waited float64) float64 {
	return waited / b.classes[0].meanWork.value * b.concurrency(e)
}

// recordLoad takes in that e holds so many requests.
func (b *Balancer) recordLoad(now Micros, e *endpoint, held float64) {
	if !e.inPool {
		e.inPool = true
		b.probedPool = append(b.probedPool, e)
	}
	e.hasLoadReport, e.reportedAt = true, now
	e.externalLoad, e.inFlightAtReport = max(0, held-float64(e.inFlight)), e.inFlight
	if !b.gossiping || !e.isWarmingUp(now, b) && !e.isEjected(now) {
		b.zones[e.Zone].baselineLoad.add(e.externalLoad, baselineLoadWeight)
	}
}

// recordConcurrency: where requests wait, all the others that e holds are worked at; else at least so
// many as it
// holds.
func (b *Balancer) recordConcurrency(e *endpoint, held, queue float64) {
	if work := held - queue; work >= 1 && queue >= 0 && (queue >= minQueueAhead || work > b.concurrency(e)) {
		b.concurrencyByType[e.MachineType].add(work, baselineLoadWeight)
	}
}

// reportValue returns a figure of a load report, or -1 if it is not there or makes no sense.
func reportValue(fields []LoadField, load []float32, want LoadField) float64 {
	for i, f := range fields[:min(len(fields), len(load))] {
		if v := float64(load[i]); f == want && v >= 0 && !math.IsInf(v, 0) { // NaN fails this, too
			return v
		}
	}
	return -1
}
