package balancer

import "slices"

const (
	weightedDraws             = 8      // random draws before the list is gone through
	minPoolAge                = second // an answer is fresh for this long,
	poolAgeRounds             = 3      // or for so many turns of the whole fleet
	onDemandReportAgeFraction = 0.25   // of its aim, at most, may a figure be old where probes go with requests
	// of the delay that a send is to those already there: among equals, less load
	loadCostWeight  = 0.05
	crossZoneWeight = 2.0 // aims of latency that a crossing's price counts as
)

// pick returns the pooled endpoint of the least cost for r, leaving out those it must not or should not go
// to; without fresh answers, the better of two random draws.
func (b *Balancer) pick(now Micros, r *request, not *endpoint) *endpoint {
	fresh := b.maxReportAge(now, b.classOf(r).LatencyObjective)
	var best *endpoint
	var least float64
	consider := func(e *endpoint) {
		if c := b.cost(now, r, e); best == nil || c < least {
			best, least = e, c
		}
	}
	b.probedPool = slices.DeleteFunc(b.probedPool, func(e *endpoint) bool {
		e.inPool = e.isUsable() && now-e.reportedAt <= fresh
		return !e.inPool
	})
	// A random start parts equals: all balancers may hold the same list. Where they share their answers, the
	// few draws below part them: else all would go to the one that was quietest.
	for i, at := 0, int(b.random.float()*float64(len(b.probedPool))); !b.gossiping &&
		i < len(b.probedPool); i++ {
		if e := b.probedPool[(at+i)%len(b.probedPool)]; e != not && !r.hasTried(e) && b.mayStartAttempt(now, r, e) {
			consider(e)
		}
	}
	// A pool of few would take all: with most endpoints unanswered, the draws compete.
	if best == nil || !b.probesOnDemand && 2*len(b.probedPool) < len(b.endpoints) {
		// Most draws are made at home: of all zones alike, nearly all would be of the others, and be paid for.
		for _, list := range [...][]*endpoint{b.localEndpoints, b.localEndpoints, b.endpoints} {
			e := b.drawRandom(now, r, list, not, float64(r.Deadline))
			if e == nil || e.isEjected(now) { // a zone that is lost leaves no choice at home
				e = b.drawRandom(now, r, b.endpoints, not, float64(r.Deadline))
			}
			if e != nil {
				consider(e)
			}
		}
	}
	return best
}

// cost ranks endpoints: predicted latency, and as time a zone crossing's price and a likely failure.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	aim := float64(b.classOf(r).LatencyObjective)
	expected := b.predictLatency(now, e, r.work)
	// One that answers in time goes first, if far or failing.
	c := expected + (e.currentFailureRate(now)+indicator(e.isEjected(now))+
		indicator(expected > b.latencyBudget(now, r, e)))*aim

	c += loadCostWeight * b.classes[r.Class].meanWork.value * e.expectedServiceTime(now,
		b) * b.estimateLoad(now, e)
	return c + crossZoneWeight*b.settings.Costs.CrossZone*aim*indicator(int(e.Zone) != b.settings.Zone)
}

// drawRandom returns a random endpoint of a list that r may and should go to, at home or no farther than far,
// or nil.
func (b *Balancer) drawRandom(now Micros, r *request, list []*endpoint, not *endpoint,
	far float64) *endpoint {
	n := len(list)
	var last *endpoint
	at := int(b.random.float() * float64(n))
	for i := 0; n > 0 && i < weightedDraws+n; i++ {
		if i < weightedDraws {
			at = int(b.random.float() * float64(n))
		}
		e := list[(at+i)%n]
		// Larger endpoints are drawn more often.
		away := int(e.Zone) != b.settings.Zone && (far == 0 || b.zones[e.Zone].roundTrip.value > far)
		if i < weightedDraws && (away || b.random.float()*b.maxWeight > float64(e.Weight)) {
			continue
		}
		if e == not || r.hasTried(e) || !b.mayStartAttempt(now, r, e) {
			continue
		}
		if !e.isEjected(now) {
			return e
		}
		last = e // ejected endpoints serve only when nothing else is left
	}
	return last
}

// maxReportAge is how long a pooled answer may be used for a request of this aim.
func (b *Balancer) maxReportAge(now, aim Micros) Micros {
	if b.probesOnDemand {
		return Micros(onDemandReportAgeFraction * float64(aim))
	}
	return max(minPoolAge, Micros(poolAgeRounds*float64(len(b.endpoints))/b.loadProbeRate(now)*float64(second)))
}
