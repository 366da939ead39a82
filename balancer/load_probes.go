package balancer

const (
	maxProbeRoundInterval   = second / 10
	maxProbesPerRound       = 3
	maxProbeSamplesPerRound = 4 * maxProbesPerRound
	maxProbesPerRequest     = 4.0
	probeCostLimit          = 0.005 // of the result per request, for probes in rounds
	minAdmittedFraction     = 0.3   // of the requests, assumed where most are rejected
	ownLoadThreshold        = 0.1   // own requests per endpoint from which their latencies show the load
	localProbeFraction      = 0.5   // of the probes, beside the own zone's part of the others
	oldestReportSamples     = 4     // random endpoints of which the one with the oldest report is probed
	probeTimeout            = 5 * second

	roundTripRiseWeight = 0.01 // of a slower probe in the round-trip time, which seldom rises
	fractionWeight      = 0.02 // of the latest sample in a fraction of all
	minQueueAhead       = 0.5  // requests ahead of a load probe: fewer are jitter

	// Fraction of load probes that waited in a queue from which one that did not proves a free endpoint.
	queuedProbeThreshold = 0.05
)

// loadProbeRate returns how many load probes a second the costs allow. While most requests are rejected,
// some are still sent: only reports can show that there is capacity again.
func (b *Balancer) loadProbeRate(now Micros) float64 {
	perRequest := min(maxProbesPerRequest, probeCostLimit/b.settings.Costs.LoadProbe)
	admitted := max(minAdmittedFraction, 1-b.rejectedFraction.value)
	return max(1, perRequest*b.requestRate.rate(now)*admitted)
}

// sendLoadProbe probes an endpoint that is in use and has no probe unanswered.
func (b *Balancer) sendLoadProbe(now Micros, e *endpoint) {
	isPending := e.probing && now-e.probedAt <= probeTimeout
	if !b.settings.Limits.AllowLoadProbes || !e.isUsable() || isPending {
		return
	}
	e.probing, e.probedAt = true, now
	e.slowStart.budget -= slowStartProbeCost * b.classes[0].meanWork.value * indicator(b.isWarmingUp(now, e))
	b.actions.SendLoadProbe(e.ID)
}

// probeRound chooses the way of probing, probes a few random endpoints if that is in rounds, and arms the
// next round.
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

// chooseProbing sets probesOnDemand and gossiping. Where a round over the fleet takes longer than a
// report stays fresh, reports come with single requests (if own requests show little of the load), or are
// shared with the other balancers (if that costs less than probes of their own).
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

// probeCandidate returns a random endpoint of the list, which must not be empty. While gossiping it is one
// whose latest report, of any balancer, is old.
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

// LoadProbeResult handles the answer to a load probe, or its failure. latency counts from the call of
// Actions.SendLoadProbe; load holds Settings.LoadReportFields in order and is read during the call only.
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

// loadProbeFailed takes an endpoint out of the pool. One that does not answer in time counts as loaded.
func (b *Balancer) loadProbeFailed(e *endpoint, status Status, latency float64) {
	e.report.at = 0
	if status == Timeout {
		load := b.concurrencyOf(e) + b.queueAhead(e, latency)
		b.zones[e.Zone].baselineLoad.add(load, baselineLoadWeight)
	}
}

// observeRoundTrip learns the round-trip time to a zone and returns how much longer a probe took, which
// it spent in a queue (both in microseconds).
func (b *Balancer) observeRoundTrip(e *endpoint, latency float64) float64 {
	roundTrip := &b.zones[e.Zone].roundTrip
	roundTrip.add(latency, roundTripRiseWeight)
	roundTrip.value = min(roundTrip.value, latency)
	return latency - roundTrip.value
}

// applyLoadReport learns from a load report whose probe waited in a queue for some microseconds. It
// returns the number of requests in flight there, -1 if unknown.
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
	isFleetBusy := b.zones[e.Zone].baselineLoad.value >= concurrency
	if b.queuedProbeFraction.value > queuedProbeThreshold && !hasQueued && !isFleetBusy {
		// Other probes wait in queues and this one did not: whatever an old report shows, it is free.
		e.report.externalLoad = min(e.report.externalLoad, concurrency-1)
	}
	return inFlight
}
