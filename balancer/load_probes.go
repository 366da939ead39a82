package balancer

const (
	maxProbeRoundInterval   = second / 10
	maxProbesPerRound       = 3
	maxProbeSamplesPerRound = 4 * maxProbesPerRound
	maxProbesPerRequest     = 4.0
	probeCostLimit          = 0.005 // score spent per request on probes in rounds
	minAdmittedFraction     = 0.3   // least fraction of requests assumed to be admitted
	ownLoadThreshold        = 0.1   // own requests per endpoint from which their latencies show the load
	localProbeFraction      = 0.5   // fraction of probes drawn from the own zone only
	oldestReportSamples     = 4     // random endpoints, of which the one with the oldest report is probed
	probeTimeout            = 5 * second

	roundTripRiseWeight = 0.01 // weight of a slower probe in the round-trip time, which seldom rises
	fractionWeight      = 0.02 // weight of the latest sample in the averages of fractions
	minQueueAhead       = 0.5  // requests ahead of a load probe that count as a queue: fewer are jitter

	// If more than this fraction of load probes waited in a queue, a probe that did not wait shows that its
	// endpoint has free capacity.
	queuedProbeThreshold = 0.05
)

// loadProbeRate returns how many load probes per second the costs allow. Probes continue while most requests
// are rejected, because only load reports can then show that there is capacity again.
func (b *Balancer) loadProbeRate(now Micros) float64 {
	perRequest := min(maxProbesPerRequest, probeCostLimit/b.settings.Costs.LoadProbe)
	admitted := max(minAdmittedFraction, 1-b.rejectedFraction.value)
	return max(1, perRequest*b.requestRate.rate(now)*admitted)
}

// sendLoadProbe probes an endpoint if it is usable and has no unanswered probe.
func (b *Balancer) sendLoadProbe(now Micros, e *endpoint) {
	isPending := e.probing && now-e.probedAt <= probeTimeout
	if !b.settings.Limits.AllowLoadProbes || !e.isUsable() || isPending {
		return
	}
	e.probing, e.probedAt = true, now
	e.slowStart.budget -= slowStartProbeCost * b.classes[0].meanWork.value * indicator(b.isWarmingUp(now, e))
	b.actions.SendLoadProbe(e.ID)
}

// probeRound chooses the probing mode, probes a few random endpoints if the mode is probing in rounds, and
// arms the timer of the next round.
func (b *Balancer) probeRound(now Micros) {
	rate := b.loadProbeRate(now)
	b.chooseProbing(now, rate)
	if b.probesOnDemand {
		b.actions.SetTimer(minPoolAge/2+b.random.below(minPoolAge), timerProbeRound)
		return
	}
	probes := max(1, min(maxProbesPerRound, int(rate*float64(maxProbeRoundInterval)/float64(second))))
	interval := float64(probes) / rate * float64(second)
	for samples := 0; probes > 0 && samples < maxProbeSamplesPerRound && len(b.endpoints) > 0; samples++ {
		if e := b.probeCandidate(); e.isUsable() && !e.probing {
			b.sendLoadProbe(now, e)
			probes--
		}
	}
	b.actions.SetTimer(1+Micros(interval*(0.5+b.random.float())), timerProbeRound)
}

// chooseProbing sets probesOnDemand and gossiping. Both are for fleets in which a round over all endpoints
// takes longer than a report stays fresh:
//
//   - Endpoints are probed on demand if this balancer's own requests show little of the load.
//   - Otherwise reports are shared with the other balancers if a message costs less than a probe.
func (b *Balancer) chooseProbing(now Micros, rate float64) {
	size := float64(len(b.endpoints))
	isRoundTooLong := size*float64(second) > rate*float64(minPoolAge)
	ownLoad := b.requestRate.rate(now) * b.classes[0].meanWork.value / float64(second)
	b.probesOnDemand = b.probesPerRequest >= 1 && isRoundTooLong && ownLoad < ownLoadThreshold*size
	if b.probesOnDemand {
		return
	}
	costs := &b.settings.Costs
	gossipCost := costs.GossipMessage * (1 + gossipEntryBytes) / maxGossipBytes
	b.gossiping = b.settings.Limits.AllowGossip && b.settings.Balancers > 1 && isRoundTooLong &&
		gossipCost < costs.LoadProbe
}

// probeCandidate returns a random endpoint; the endpoint list must not be empty. While gossiping it returns
// the one with the oldest report, of this or another balancer, among a few random endpoints.
func (b *Balancer) probeCandidate() *endpoint {
	list := b.endpoints
	if len(b.localEndpoints) > 0 && !b.gossiping && b.random.float() < localProbeFraction {
		list = b.localEndpoints
	}
	oldest := b.random.element(list)
	for i := 1; b.gossiping && i < oldestReportSamples; i++ {
		if e := b.random.element(list); e.State == Ready && e.report.at < oldest.report.at {
			oldest = e
		}
	}
	return oldest
}

// LoadProbeResult handles the answer to a load probe or its failure. latency counts from the call of
// Actions.SendLoadProbe. load holds the values of Settings.LoadReportFields in that order and is read only
// during the call.
func (b *Balancer) LoadProbeResult(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.endpointsByID[id]
	if e == nil {
		return
	}
	e.probing = false
	if status != OK {
		b.loadProbeFailed(e, status, float64(latency))
		b.resumeProbeWaiters(now, e)
		return
	}
	queued := b.observeRoundTrip(e, float64(latency))
	values := parseLoadReport(b.settings.LoadReportFields, load)
	inFlight := b.applyLoadReport(now, e, &values, queued)
	b.resumeProbeWaiters(now, e)
	if values.inFlight >= 0 {
		b.checkReportIsLate(now, e, inFlight)
	}
}

// loadProbeFailed removes an endpoint from the pool. An endpoint that does not answer in time counts as
// loaded in the baseline load.
func (b *Balancer) loadProbeFailed(e *endpoint, status Status, latency float64) {
	e.report.at = 0
	if status == Timeout {
		load := b.concurrencyOf(e) + b.queueAhead(e, latency)
		b.zones[e.Zone].baselineLoad.add(load, baselineLoadWeight)
	}
}

// observeRoundTrip updates the round-trip time to a zone from the latency of a load probe and returns the
// difference, which the probe spent in a queue (both in microseconds).
func (b *Balancer) observeRoundTrip(e *endpoint, latency float64) float64 {
	roundTrip := &b.zones[e.Zone].roundTrip
	roundTrip.add(latency, roundTripRiseWeight)
	roundTrip.value = min(roundTrip.value, latency)
	return latency - roundTrip.value
}

// applyLoadReport updates the estimates from a load report whose probe waited in a queue for queued
// microseconds. It returns the number of requests in flight at the endpoint, or -1 if it is unknown.
func (b *Balancer) applyLoadReport(now Micros, e *endpoint, values *loadValues, queued float64) float64 {
	if values.inFlight >= 0 {
		b.learnConcurrency(e, values.inFlight, values.queueLength)
	}
	concurrency := b.concurrencyOf(e)
	inFlight := values.inferInFlight(concurrency)
	isServiceTimeAlone := values.serviceMillis > 0 && values.queueLength <= 0
	if b.learnsWorkFromReports() && isServiceTimeAlone && !b.isWarmingUp(now, e) {
		b.classes[0].meanWork.add(1000*values.serviceMillis, reportedWorkWeight)
	}
	ahead := b.queueAhead(e, queued)
	hasQueued := ahead >= minQueueAhead
	b.queuedProbeFraction.add(indicator(hasQueued), fractionWeight)
	if inFlight < 0 {
		return inFlight
	}
	if hasQueued {
		inFlight = max(inFlight, concurrency+ahead)
	}
	b.recordLoad(now, e, inFlight)
	if b.gossiping {
		b.sendGossip(e, inFlight, values.queueLength)
	}
	isZoneBusy := b.zones[e.Zone].baselineLoad.value >= concurrency
	if b.queuedProbeFraction.value > queuedProbeThreshold && !hasQueued && !isZoneBusy {
		// Other probes wait in queues and this one did not: the endpoint has free capacity, even if the
		// report, which may be old, shows more load.
		e.report.externalLoad = min(e.report.externalLoad, concurrency-1)
	}
	return inFlight
}
