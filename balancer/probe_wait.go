package balancer

import "slices"

const (
	onDemandProbeCostLimit = 0.02 // of the result per request, for probes on demand
	maxProbeWaitFraction   = 0.1  // of the latency objective
	probeWaitDivisor       = 4    // of the time left until the deadline
)

// awaitProbes probes a few random endpoints for a request and defers it until they answer, if the balancer
// probes on demand. It reports whether the request is deferred.
func (b *Balancer) awaitProbes(now Micros, r *request) bool {
	if !b.probesOnDemand || !b.settings.Limits.AllowLoadProbes || len(b.settings.LoadReportFields) == 0 {
		return false
	}
	// While most requests are rejected, the probes of clients that retry would fill the fleet alone.
	if b.random.float() > max(minAdmittedFraction, 2-2*b.rejectedFraction.value) {
		return false
	}
	objective := float64(b.classOf(r).LatencyObjective)
	wait := min(maxProbeWaitFraction*objective, float64(r.Deadline-now)/probeWaitDivisor)
	for i := range int(b.probesPerRequest) {
		e := b.randomCandidate(now, r, b.endpoints, nil, b.maxProbeDistance(i, wait))
		if e == nil {
			return false
		}
		if !slices.Contains(r.awaitedEndpoints, e) {
			b.sendLoadProbe(now, e)
			r.awaitedEndpoints = append(r.awaitedEndpoints, e)
		}
	}
	r.awaitingProbes = true
	b.probeWaiters = append(b.probeWaiters, r)
	b.actions.SetTimer(max(1, Micros(wait)), r.timerToken)
	return true
}

// maxProbeDistance returns the longest round-trip time (microseconds) to an endpoint that the i-th probe
// of a request may go to; 0 means the own zone. A report from farther away comes too late, but may show
// where there is capacity while much is rejected.
func (b *Balancer) maxProbeDistance(i int, wait float64) float64 {
	if i == 0 {
		return 0
	}
	if b.random.float() < b.rejectedFraction.value {
		return wait
	}
	return wait / 2
}

// resumeProbeWaiters decides on the requests that waited for e alone, and on those for which e is free:
// no other report can show a better endpoint.
func (b *Balancer) resumeProbeWaiters(now Micros, e *endpoint) {
	// Each decision removes a request, and may do so with others.
	for i := len(b.probeWaiters) - 1; i >= 0; i = min(i, len(b.probeWaiters)) - 1 {
		r := b.probeWaiters[i]
		before := len(r.awaitedEndpoints)
		r.awaitedEndpoints = slices.DeleteFunc(r.awaitedEndpoints, func(other *endpoint) bool { return other == e })
		hasWaited := len(r.awaitedEndpoints) < before
		isFree := e.report.at == now && e.report.externalLoad+float64(e.inFlight) <= b.concurrencyOf(e)-1
		if hasWaited && (isFree || len(r.awaitedEndpoints) == 0) {
			b.admitOrReject(now, r)
		}
	}
}

// probeWaitExpired decides on a request whose load probes are not all answered. Those that are silent
// count as loaded: otherwise only free endpoints would be counted.
func (b *Balancer) probeWaitExpired(now Micros, r *request) {
	for _, e := range r.awaitedEndpoints {
		load := b.concurrencyOf(e) + b.queueAhead(e, float64(now-e.probedAt))
		b.zones[e.Zone].baselineLoad.add(load, baselineLoadWeight)
	}
	b.admitOrReject(now, r)
}

// stopAwaitingProbes ends a request's wait, if it waits.
func (b *Balancer) stopAwaitingProbes(r *request) {
	if !r.awaitingProbes {
		return
	}
	r.awaitingProbes, r.awaitedEndpoints = false, r.awaitedEndpoints[:0]
	b.probeWaiters = slices.DeleteFunc(b.probeWaiters, func(waiter *request) bool { return waiter == r })
}
