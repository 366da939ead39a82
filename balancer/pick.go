package balancer

import "slices"

const (
	minPoolAge                = second // least time for which a report is fresh
	poolAgeRounds             = 3      // probe rounds over the fleet for which a report is fresh
	onDemandReportAgeFraction = 0.25   // of the latency objective: age limit while probing on demand

	weightedSamples = 8    // random draws by weight before the list is searched
	loadCostWeight  = 0.05 // weight of the delay that a request causes to those in flight at the endpoint
	crossZoneWeight = 2.0  // latency objectives per unit of Costs.CrossZone
)

// pick returns the endpoint with the lowest cost for a request, or nil. The candidates are the endpoints with
// a fresh load report and, if these are few, some random ones. Endpoints that the request has already tried
// and the endpoint excluded are left out.
func (b *Balancer) pick(now Micros, r *request, excluded *endpoint) *endpoint {
	var best *endpoint
	var lowest float64
	consider := func(e *endpoint) {
		if cost := b.cost(now, r, e); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	b.expirePool(now, b.classOf(r).LatencyObjective)
	// The search starts at a random place because other balancers may have the same reports. Shared reports
	// are used for the random candidates below only: here they would lead all balancers to the same endpoint.
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
	// Two of three candidates come from the own zone: drawn from the whole list, most would be in other zones.
	noRoundTripLimit := float64(r.Deadline) // no limit: a time since the origin exceeds any round-trip time
	for _, list := range [...][]*endpoint{b.localEndpoints, b.localEndpoints, b.endpoints} {
		e := b.randomCandidate(now, r, list, excluded, noRoundTripLimit)
		if e == nil || e.failures.isOutlier(now) {
			e = b.randomCandidate(now, r, b.endpoints, excluded, noRoundTripLimit)
		}
		if e != nil {
			consider(e)
		}
	}
	return best
}

// expirePool removes endpoints from the pool that are not usable or whose report is too old for a request
// with this latency objective.
func (b *Balancer) expirePool(now, objective Micros) {
	maxAge := b.maxReportAge(now, objective)
	b.probedPool = slices.DeleteFunc(b.probedPool, func(e *endpoint) bool {
		e.inPool = e.isUsable() && now-e.report.at <= maxAge
		return !e.inPool
	})
}

// maxReportAge returns how long a load report is fresh for a request with this latency objective.
func (b *Balancer) maxReportAge(now, objective Micros) Micros {
	if b.probesOnDemand {
		return Micros(onDemandReportAgeFraction * float64(objective))
	}
	rounds := poolAgeRounds * float64(len(b.endpoints)) / b.loadProbeRate(now)
	return max(minPoolAge, Micros(rounds*float64(second)))
}

// cost returns the cost of sending a request to e, in microseconds. It is the predicted latency plus
// equivalents in latency for a likely failure, a late response, the delay of other requests and a zone
// crossing.
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

// randomCandidate returns a random endpoint of a list at which an attempt may start, or nil. It returns an
// ejected endpoint only if there is no other. The first weightedSamples draws favour greater weights and
// skip other zones beyond maxRoundTrip (microseconds; 0 allows the own zone only). Then the whole list is
// searched from a random place, without regard to weight and zone.
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

// isTooFar reports whether e is in another zone whose round-trip time exceeds maxRoundTrip (microseconds). A
// limit of 0 allows the own zone only.
func (b *Balancer) isTooFar(e *endpoint, maxRoundTrip float64) bool {
	return !b.isLocal(e) && (maxRoundTrip == 0 || b.zones[e.Zone].roundTrip.value > maxRoundTrip)
}
