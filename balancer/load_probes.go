package balancer

const (
	probeGap   = second / 10 // longest pause between probe rounds
	probeSpend = 0.005       // of the result, at most, goes to probes
	firstTries = 0.3         // at least, of what is asked
	probeMost  = 4.0         // probes a request, at most
	ownTells   = 0.1         // own requests held at an endpoint from which own counts tell its load
	probeBatch = 3           // endpoints a round
	homeProbes = 0.5         // share of probes that stays in the own zone, beside its part of the others
	oldestOf   = 4           // random endpoints of which the one unheard of for longest is probed
)

// probeRate is the pace of probes a second that the settings' price allows.
func (b *Balancer) probeRate(now Micros) float64 {
	per := min(probeMost, probeSpend/b.s.Costs.LoadProbe)
	// The price counts first tries. While all is refused, answers must still show when that may end.
	return max(1, per*b.demand.rate(now)*max(firstTries, 1-b.refused.v))
}

func (b *Balancer) probe(now Micros, e *endpoint) {
	if lost := now-e.probedAt > 5*second; b.s.Limits.AllowLoadProbes && e.usable() && (lost || !e.probing) {
		e.probing, e.probedAt = true, now
		e.room -= probeShare * b.classes[0].work.v * share(e.cold(now, b))
		b.out.SendLoadProbe(e.ID)
	}
}

// probeRound probes a few random ready endpoints and arms the next round.
func (b *Balancer) probeRound(now Micros) {
	rate := b.probeRate(now)
	// Where a turn of the fleet takes too long for a fresh pool, and own in-flight tells little, probes go with
	// requests instead: a pool of old answers sends everyone to endpoints that were quiet long ago.
	size, own := float64(len(b.list)), b.demand.rate(now)*b.classes[0].work.v/float64(second)
	b.sparse = b.asks >= 1 && size*float64(second) > rate*float64(poolAge) && own < ownTells*size
	if b.sparse {
		b.out.SetTimer(poolAge/2+b.rng.below(poolAge), tokenProbe)
		return
	}
	// Elsewhere in such a fleet the balancers share their answers: told to all, one costs each of the others far
	// less than a probe of its own.
	p := &b.s.Costs
	b.tells = b.s.Limits.AllowGossip && b.s.Balancers > 1 && size*float64(second) > rate*float64(poolAge) &&
		p.GossipMessage*(1+tellBytes)/tellMost < p.LoadProbe
	n := max(1, min(probeBatch, int(rate*float64(probeGap)/float64(second))))
	gap := float64(n) / rate * float64(second)
	for try := 0; n > 0 && try < 4*probeBatch && len(b.list) > 0; try++ {
		from := b.list
		if len(b.home) > 0 && !b.tells && b.rng.float() < homeProbes {
			from = b.home
		}
		e := from[int(b.rng.float()*float64(len(from)))]
		for i := 1; b.tells && i < oldestOf; i++ { // what nobody has told of for long
			if o := from[int(b.rng.float()*float64(len(from)))]; o.State == Ready && o.answerAt < e.answerAt {
				e = o
			}
		}
		if e.usable() && !e.probing {
			b.probe(now, e)
			n--
		}
	}
	b.out.SetTimer(1+Micros(gap*(0.5+b.rng.float())), tokenProbe)
}

const (
	wayRise     = 0.01 // weight of a slower probe answer: the way to a zone seldom changes
	waitsTell   = 0.05 // share of probes that waited from which all are taken to stand in line
	lineLeast   = 0.5  // requests a probe must have waited for to count: less is jitter
	lagMost     = 0.1  // share of late reports above which their averages serve
	shareWeight = 0.02 // of the latest sample in a share of all
	settleTrips = 5.0  // round trips after which a send has surely arrived,
	settleLeast = 20e3 // with a handshake before it, and in the report
)

// LoadProbeResult handles a probe's answer.
func (b *Balancer) LoadProbeResult(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.byID[id]
	if e == nil {
		return
	}
	e.probing = false
	slots := b.width(e)
	if status != OK {
		e.answerAt = 0 // one that turns probes away or leaves them waiting is no place for a request
		if status == Timeout {
			b.zones[e.Zone].usual.add(slots+b.line(e, float64(latency)), usualWeight)
		}
		b.heard(now, e)
		return
	}
	// The quickest answer of its zone is the way there and back alone; what one took beyond, it waited in line.
	way := &b.zones[e.Zone].way
	way.add(float64(latency), wayRise)
	way.v = min(way.v, float64(latency))
	waited := float64(latency) - way.v
	held := figure(b.s.LoadReportFields, load, LoadFieldInFlight)
	queue := figure(b.s.LoadReportFields, load, LoadFieldQueueLength)
	hasHeld, util := held >= 0, figure(b.s.LoadReportFields, load, LoadFieldUtilization)
	if hasHeld {
		b.learnWidth(e, held, queue)
		slots = b.width(e)
	}
	// Each figure proves that at least so much is held there.
	if !hasHeld && queue >= 0 {
		held = queue + slots*share(queue >= 1)
	} else if !hasHeld && util >= 0 {
		held = min(util, 1) * slots
	}
	took := figure(b.s.LoadReportFields, load, LoadFieldServiceTime)
	if b.workTold() && took > 0 && queue <= 0 && !e.cold(now, b) {
		b.classes[0].work.add(1000*took, reportWeight)
	}
	line := b.line(e, waited)
	b.waits.add(share(line >= lineLeast), shareWeight)
	if held >= 0 && line >= lineLeast {
		held = max(held, slots+line)
	}
	if held >= 0 {
		b.learnLoad(now, e, held)
		if b.tells {
			b.out.SendGossip(news{e.ID, startMark(e.StartTime), count(held), count(queue)}.message())
		}
		if b.waits.v > waitsTell && line < lineLeast && b.zones[e.Zone].usual.v < slots {
			// Probes wait in line here, and this one found none, whatever an old report says. In a fleet that
			// is busy all over it is chance: the report tells more.
			e.others = min(e.others, slots-1)
		}
	}
	b.heard(now, e)
	// An answer that counts fewer than we alone have there is late. If that happens often, the pool misleads:
	// averages serve then. What may still be on its way there, or stand still after its end, tells nothing.
	arrived := now - max(settleLeast, Micros(settleTrips*b.zones[e.Zone].way.v))
	if own := e.sentWithin(now-b.s.Classes[0].LatencyObjective, arrived); hasHeld && own > 0 {
		b.lag.add(share(held+0.5 < float64(own)), shareWeight)
		if b.lag.v > lagMost && !b.reportsLate || b.lag.v < lagMost/3 && b.reportsLate {
			b.reportsLate = !b.reportsLate
			b.log(now, "lag", "load reports late: %v, %.0f%% count fewer than ours there", b.reportsLate, 100*b.lag.v)
		}
	}
}
