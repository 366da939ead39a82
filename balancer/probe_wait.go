package balancer

import "slices"

const (
	onDemandProbeCostLimit = 0.02 // of the result, at most, goes to probes asked for single requests
	maxProbeWaitFraction   = 0.1  // of its aim, at most, a request waits for the probes asked for it
)

// awaitProbes probes a few random endpoints for r and keeps it until they answer.
func (b *Balancer) awaitProbes(now Micros, r *request) bool {
	// While most is refused, most go without: clients retry, and their probes alone would fill the fleet.
	asking := b.probesOnDemand && b.settings.Limits.AllowLoadProbes && len(b.settings.LoadReportFields) > 0
	if !asking || b.random.float() > max(minAdmittedFraction, 2-2*b.rejectedFraction.value) {
		return false
	}
	wait := min(maxProbeWaitFraction*float64(b.classOf(r).LatencyObjective), float64(r.Deadline-now)/4)
	for i := range int(b.probesPerRequest) {
		// One of its own zone, and others whose answer can come in time: from afar it would come too late,
		// and an endpoint heard of so late would serve late. While much is refused, a way out is looked for.
		far := wait / 2
		if i == 0 {
			far = 0
		} else if b.random.float() < b.rejectedFraction.value {
			far = wait
		}
		e := b.drawRandom(now, r, b.endpoints, nil, far)
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

// probeFinished sends the requests that waited for e's answer alone.
func (b *Balancer) probeFinished(now Micros, e *endpoint) {
	for i := len(b.probeWaiters) - 1; i >= 0; i = min(i, len(b.probeWaiters)) - 1 {
		r := b.probeWaiters[i]
		waited := len(r.awaitedEndpoints)
		r.awaitedEndpoints = slices.DeleteFunc(r.awaitedEndpoints, func(a *endpoint) bool { return a == e })
		// Nothing beats an endpoint that has room at once.
		idle := e.reportedAt == now && e.externalLoad+float64(e.inFlight) <= b.concurrency(e)-1
		if len(r.awaitedEndpoints) < waited && (idle || len(r.awaitedEndpoints) == 0) {
			b.admitOrReject(now, r)
		}
	}
}

// stopAwaitingProbes ends r's wait for probes.
func (b *Balancer) stopAwaitingProbes(r *request) {
	if r.awaitingProbes {
		r.awaitingProbes, r.awaitedEndpoints = false, r.awaitedEndpoints[:0]
		b.probeWaiters = slices.DeleteFunc(b.probeWaiters, func(h *request) bool { return h == r })
	}
}
