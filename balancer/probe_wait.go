package balancer

import "slices"

const (
	onDemandProbeCostLimit = 0.02 // score spent per request on probes on demand
	maxProbeWaitFraction   = 0.1  // longest wait, as a fraction of the latency objective
	probeWaitDivisor       = 4    // the wait is at most the time left until the deadline divided by this
)

// awaitProbes defers a request until a few random endpoints have answered a load probe, if the balancer
// probes on demand. It reports whether the request is deferred.
func (b *Balancer) awaitProbes(now Micros, r *request) bool {
	if !b.probesOnDemand || !b.settings.Limits.AllowLoadProbes || len(b.settings.LoadReportFields) == 0 {
		return false
	}
	// While most requests are rejected, clients retry: probes for all of their requests would by themselves
	// use up the capacity of the fleet.
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

// maxProbeDistance returns the longest round-trip time (microseconds) to an endpoint for the i-th probe of a
// request; 0 allows the own zone only. The limit is normally half the wait, since reports from farther away
// arrive too late. While many requests are rejected it may be the whole wait, because a farther endpoint may
// have capacity.
func (b *Balancer) maxProbeDistance(i int, wait float64) float64 {
	if i == 0 {
		return 0
	}
	if b.random.float() < b.rejectedFraction.value {
		return wait
	}
	return wait / 2
}

// resumeProbeWaiters decides on the requests whose last awaited probe was that of e. If e has free capacity,
// it decides on all requests that awaited e, since no other report can show a better endpoint.
func (b *Balancer) resumeProbeWaiters(now Micros, e *endpoint) {
	// Each decision removes its request from probeWaiters and may remove others as well.
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

// probeWaitExpired decides on a request whose load probes were not all answered in time. The endpoints that
// did not answer count as loaded in the baseline load: otherwise only free endpoints would be counted.
func (b *Balancer) probeWaitExpired(now Micros, r *request) {
	for _, e := range r.awaitedEndpoints {
		load := b.concurrencyOf(e) + b.queueAhead(e, float64(now-e.probedAt))
		b.zones[e.Zone].baselineLoad.add(load, baselineLoadWeight)
	}
	b.admitOrReject(now, r)
}

// stopAwaitingProbes ends a request's wait for load probes, if it is waiting.
func (b *Balancer) stopAwaitingProbes(r *request) {
	if !r.awaitingProbes {
		return
	}
	r.awaitingProbes, r.awaitedEndpoints = false, r.awaitedEndpoints[:0]
	b.probeWaiters = slices.DeleteFunc(b.probeWaiters, func(waiter *request) bool { return waiter == r })
}
