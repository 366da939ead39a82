package balancer

import "slices"

const (
	minPoolAge                = second // for which a report is fresh at least
	poolAgeRounds             = 3      // rounds over the fleet for which a report is fresh
	onDemandReportAgeFraction = 0.25   // of the latency objective, for which a report is fresh on demand

	weightedSamples = 8    // random draws by weight before the list is searched
	loadCostWeight  = 0.05 // of the delay that a request causes to those in flight there
	crossZoneWeight = 2.0  // latency objectives that the cost of a zone crossing counts as
)

// pick returns the endpoint of the least cost for a request, or nil: of those with a fresh load report,
// and of a few random ones where these are few. Endpoints that the request has tried, and excluded, are
// left out.
func (b *Balancer) pick(now Micros, r *request, excluded *endpoint) *endpoint {
	var best *endpoint
	var lowest float64
	consider := func(e *endpoint) {
		if cost := b.cost(now, r, e); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	b.expirePool(now, b.classOf(r).LatencyObjective)
	// The start is random because other balancers may have the same reports. Shared ones are left to the
	// random candidates below: by them all balancers would send to the same endpoint.
	start := int(b.random.float() * float64(len(b.probedPool)))
	for i := 0; !b.gossiping && i < len(b.probedPool); i++ {
		e := b.probedPool[(start+i)%len(b.probedPool)]
		if e != excluded && !r.hasTried(e) && b.mayStartAttempt(now, r, e) {
			consider(e)
		}
	}
	isPoolSmall := !b.probesOnDemand && 2*len(b.probedPool) < len(b.endpoints)
	if best != nil && !isPoolSmall {
		return best
	}
	// Two of three are local: by size alone most would be in other zones.
	anyRoundTrip := float64(r.Deadline) // as an instant it is longer than any
	for _, list := range [...][]*endpoint{b.localEndpoints, b.localEndpoints, b.endpoints} {
		e := b.randomCandidate(now, r, list, excluded, anyRoundTrip)
		if e == nil || e.failures.isOutlier(now) {
			e = b.randomCandidate(now, r, b.endpoints, excluded, anyRoundTrip)
		}
		if e != nil {
			consider(e)
		}
	}
	return best
}

// expirePool removes endpoints from the pool that are out of use or whose report is too old for a request
// of this latency objective.
func (b *Balancer) expirePool(now, objective Micros) {
	maxAge := b.maxReportAge(now, objective)
	b.probedPool = slices.DeleteFunc(b.probedPool, func(e *endpoint) bool {
		e.inPool = e.isUsable() && now-e.report.at <= maxAge
		return !e.inPool
	})
}

// maxReportAge returns how long a load report is fresh for a request of this latency objective.
func (b *Balancer) maxReportAge(now, objective Micros) Micros {
	if b.probesOnDemand {
		return Micros(onDemandReportAgeFraction * float64(objective))
	}
	rounds := poolAgeRounds * float64(len(b.endpoints)) / b.loadProbeRate(now)
	return max(minPoolAge, Micros(rounds*float64(second)))
}

// cost returns what ranks e for a request, in microseconds: the predicted latency, and as latency a likely
// failure, a late response, the delay of other requests and a zone crossing.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	objective := float64(b.classOf(r).LatencyObjective)
	latency := b.predictLatency(now, e, r.work)
	isLate := latency > b.latencyBudget(now, r, e)
	penalties := e.failures.current(now) + indicator(e.failures.isOutlier(now)) + indicator(isLate)
	cost := latency + penalties*objective
	cost += loadCostWeight * b.classes[r.Class].meanWork.value *
		b.expectedServiceTime(now, e) * b.estimateLoad(now, e)
	return cost + crossZoneWeight*b.settings.Costs.CrossZone*objective*indicator(!b.isLocal(e))
}

// randomCandidate returns a random endpoint of a list that an attempt may start at, or nil; an ejected one
// only if there is no other. The first samples go by weight and to zones within a round-trip time
// (microseconds; 0 for the own zone); then the list is searched from a random place.
func (b *Balancer) randomCandidate(
	now Micros, r *request, list []*endpoint, excluded *endpoint, maxRoundTrip float64,
) *endpoint {
	var fallback *endpoint
	at := int(b.random.float() * float64(len(list)))
	for i := 0; len(list) > 0 && i < weightedSamples+len(list); i++ {
		isWeighted := i < weightedSamples
		if isWeighted {
			at = int(b.random.float() * float64(len(list)))
		}
		e := list[(at+i)%len(list)]
		if isWeighted && (b.isTooFar(e, maxRoundTrip) || b.random.float()*b.maxWeight > float64(e.Weight)) {
			continue
		}
		if e == excluded || r.hasTried(e) || !b.mayStartAttempt(now, r, e) {
			continue
		}
		if !e.failures.isOutlier(now) {
			return e
		}
		fallback = e
	}
	return fallback
}

// isTooFar reports whether e is in another zone, at a longer round-trip time than allowed (0 for the own
// zone).
func (b *Balancer) isTooFar(e *endpoint, maxRoundTrip float64) bool {
	return !b.isLocal(e) && (maxRoundTrip == 0 || b.zones[e.Zone].roundTrip.value > maxRoundTrip)
}
