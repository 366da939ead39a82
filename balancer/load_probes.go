package balancer

const (
	maxProbeRoundInterval = second / 10 // longest pause between probe rounds
	probeCostLimit        = 0.005       // of the result, at most, goes to probes
	minAdmittedFraction   = 0.3         // at least, of what is asked
	maxProbesPerRequest   = 4.0         // probes a request, at most
	ownLoadThreshold      = 0.1         // own requests held at an endpoint from which own counts tell its load
	maxProbesPerRound     = 3           // endpoints a round
	// share of probes that stays in the own zone, beside its part of the others
	localProbeFraction = 0.5
	oldestReportDraws  = 4 // random endpoints of which the one unheard of for longest is probed
)

// loadProbeRate is the pace of probes a second that the settings' price allows.
func (b *Balancer) loadProbeRate(now Micros) float64 {
	per := min(maxProbesPerRequest, probeCostLimit/b.settings.Costs.LoadProbe)
	// The price counts first tries. While all is refused, answers must still show when that may end.
	return max(1, per*b.requestRate.rate(now)*max(minAdmittedFraction, 1-b.rejectedFraction.value))
}

func (b *Balancer) sendLoadProbe(now Micros, e *endpoint) {
	if lost := now-e.probedAt > 5*second; b.settings.Limits.AllowLoadProbes && e.isUsable() &&
		(lost || !e.probing) {
		e.probing, e.probedAt = true, now
		e.slowStartBudget -= slowStartProbeCost * b.classes[0].meanWork.value * indicator(e.isWarmingUp(now, b))
		b.actions.SendLoadProbe(e.ID)
	}
}

// probeRound probes a few random ready endpoints and arms the next round.
func (b *Balancer) probeRound(now Micros) {
	rate := b.loadProbeRate(now)
	// Where a turn of the fleet takes too long for a fresh pool, and own in-flight tells little, probes go with
	// requests instead: a pool of old answers sends everyone to endpoints that were quiet long ago.
	size, own := float64(len(b.endpoints)), b.requestRate.rate(now)*b.classes[0].meanWork.value/float64(second)
	b.probesOnDemand = b.probesPerRequest >= 1 && size*float64(second) > rate*float64(minPoolAge) &&
		own < ownLoadThreshold*size
	if b.probesOnDemand {
		b.actions.SetTimer(minPoolAge/2+b.random.below(minPoolAge), timerProbeRound)
		return
	}
	// Elsewhere in such a fleet the balancers share their answers: told to all, one costs each of the others far
	// less than a probe of its own.
	p := &b.settings.Costs
	b.gossiping = b.settings.Limits.AllowGossip && b.settings.Balancers > 1 &&
		size*float64(second) > rate*float64(minPoolAge) &&
		p.GossipMessage*(1+gossipEntryBytes)/maxGossipBytes < p.LoadProbe
	n := max(1, min(maxProbesPerRound, int(rate*float64(maxProbeRoundInterval)/float64(second))))
	gap := float64(n) / rate * float64(second)
	for try := 0; n > 0 && try < 4*maxProbesPerRound && len(b.endpoints) > 0; try++ {
		from := b.endpoints
		if len(b.localEndpoints) > 0 && !b.gossiping && b.random.float() < localProbeFraction {
			from = b.localEndpoints
		}
		e := from[int(b.random.float()*float64(len(from)))]
		for i := 1; b.gossiping && i < oldestReportDraws; i++ { // what nobody has told of for long
			if o := from[int(b.random.float()*float64(len(from)))]; o.State == Ready && o.reportedAt < e.reportedAt {
				e = o
			}
		}
		if e.isUsable() && !e.probing {
			b.sendLoadProbe(now, e)
			n--
		}
	}
	b.actions.SetTimer(1+Micros(gap*(0.5+b.random.float())), timerProbeRound)
}

const (
	roundTripRiseWeight  = 0.01 // weight of a slower probe answer: the way to a zone seldom changes
	queuedProbeThreshold = 0.05 // share of probes that waited from which all are taken to stand in line
	minQueueAhead        = 0.5  // requests a probe must have waited for to count: less is jitter
	lateReportThreshold  = 0.1  // share of late reports above which their averages serve
	fractionWeight       = 0.02 // of the latest sample in a share of all
	arrivalRoundTrips    = 5.0  // round trips after which a send has surely arrived,
	minArrivalDelay      = 20e3 // with a handshake before it, and in the report
)

// LoadProbeResult handles a probe's answer.
func (b *Balancer) LoadProbeResult(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.endpointsByID[id]
	if e == nil {
		return
	}
	e.probing = false
	slots := b.concurrency(e)
	if status != OK {
		e.reportedAt = 0 // one that turns probes away or leaves them waiting is no place for a request
		if status == Timeout {
			b.zones[e.Zone].baselineLoad.add(slots+b.queueAhead(e, float64(latency)), baselineLoadWeight)
		}
		b.probeFinished(now, e)
		return
	}
	// The quickest answer of its zone is the way there and back alone; what one took beyond, it waited in line.
	way := &b.zones[e.Zone].roundTrip
	way.add(float64(latency), roundTripRiseWeight)
	way.value = min(way.value, float64(latency))
	waited := float64(latency) - way.value
	held := reportValue(b.settings.LoadReportFields, load, LoadFieldInFlight)
	queue := reportValue(b.settings.LoadReportFields, load, LoadFieldQueueLength)
	hasHeld, util := held >= 0, reportValue(b.settings.LoadReportFields, load, LoadFieldUtilization)
	if hasHeld {
		b.recordConcurrency(e, held, queue)
		slots = b.concurrency(e)
	}
	// Each figure proves that at least so much is held there.
	if !hasHeld && queue >= 0 {
		held = queue + slots*indicator(queue >= 1)
	} else if !hasHeld && util >= 0 {
		held = min(util, 1) * slots
	}
	took := reportValue(b.settings.LoadReportFields, load, LoadFieldServiceTime)
	if b.learnsWorkFromReports() && took > 0 && queue <= 0 && !e.isWarmingUp(now, b) {
		b.classes[0].meanWork.add(1000*took, reportedWorkWeight)
	}
	line := b.queueAhead(e, waited)
	b.queuedProbeFraction.add(indicator(line >= minQueueAhead), fractionWeight)
	if held >= 0 && line >= minQueueAhead {
		held = max(held, slots+line)
	}
	if held >= 0 {
		b.recordLoad(now, e, held)
		if b.gossiping {
			b.actions.SendGossip(gossipEntry{e.ID, startTimeMark(e.StartTime), clampToByte(held),
				clampToByte(queue)}.encode())
		}
		if b.queuedProbeFraction.value > queuedProbeThreshold && line < minQueueAhead &&
			b.zones[e.Zone].baselineLoad.value < slots {
			// Probes wait in line here, and this one found none, whatever an old report says. In a fleet that
			// is busy all over it is chance: the report tells more.
			e.externalLoad = min(e.externalLoad, slots-1)
		}
	}
	b.probeFinished(now, e)
	// An answer that counts fewer than we alone have there is late. If that happens often, the pool misleads:
	// averages serve then. What may still be on its way there, or stand still after its end, tells nothing.
	arrived := now - max(minArrivalDelay, Micros(arrivalRoundTrips*b.zones[e.Zone].roundTrip.value))
	if own := e.countStartedBetween(now-b.settings.Classes[0].LatencyObjective, arrived); hasHeld && own > 0 {
		b.lateReportFraction.add(indicator(held+0.5 < float64(own)), fractionWeight)
		if b.lateReportFraction.value > lateReportThreshold && !b.reportsAreLate ||
			b.lateReportFraction.value < lateReportThreshold/3 && b.reportsAreLate {
			b.reportsAreLate = !b.reportsAreLate
			b.log(now, "lag", "load reports late: %v, %.0f%% count fewer than ours there", b.reportsAreLate,
				100*b.lateReportFraction.value)
		}
	}
}
