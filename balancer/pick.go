package balancer

import "slices"

const (
	drawTries    = 8      // random draws before the list is gone through
	poolAge      = second // an answer is fresh for this long,
	poolRounds   = 3      // or for so many turns of the whole fleet
	askedAge     = 0.25   // of its aim, at most, may a figure be old where probes go with requests
	othersWeight = 0.05   // of the delay that a send is to those already there: among equals, less load
	zoneWeight   = 2.0    // aims of latency that a crossing's price counts as
)

// pick returns the pooled endpoint of the least cost for r, leaving out those it must not or should not go
// to; without fresh answers, the better of two random draws.
func (b *Balancer) pick(now Micros, r *request, not *endpoint) *endpoint {
	fresh := b.freshFor(now, b.class(r).LatencyObjective)
	var best *endpoint
	var least float64
	consider := func(e *endpoint) {
		if c := b.cost(now, r, e); best == nil || c < least {
			best, least = e, c
		}
	}
	b.pool = slices.DeleteFunc(b.pool, func(e *endpoint) bool {
		e.pooled = e.usable() && now-e.answerAt <= fresh
		return !e.pooled
	})
	// A random start parts equals: all balancers may hold the same list. Where they share their answers, the
	// few draws below part them: else all would go to the one that was quietest.
	for i, at := 0, int(b.rng.float()*float64(len(b.pool))); !b.tells && i < len(b.pool); i++ {
		if e := b.pool[(at+i)%len(b.pool)]; e != not && !r.tried(e) && b.maySend(now, r, e) {
			consider(e)
		}
	}
	// A pool of few would take all: with most endpoints unanswered, the draws compete.
	if best == nil || !b.sparse && 2*len(b.pool) < len(b.list) {
		// Most draws are made at home: of all zones alike, nearly all would be of the others, and be paid for.
		for _, list := range [...][]*endpoint{b.home, b.home, b.list} {
			e := b.draw(now, r, list, not, float64(r.Deadline))
			if e == nil || e.ejected(now) { // a zone that is lost leaves no choice at home
				e = b.draw(now, r, b.list, not, float64(r.Deadline))
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
	aim := float64(b.class(r).LatencyObjective)
	expected := b.predict(now, e, r.work)
	// One that answers in time goes first, if far or failing.
	c := expected + (e.failing(now)+share(e.ejected(now))+share(expected > b.room(now, r, e)))*aim
	c += othersWeight * b.classes[r.Class].work.v * e.paceNow(now, b) * b.load(now, e)
	return c + zoneWeight*b.s.Costs.CrossZone*aim*share(int(e.Zone) != b.s.Zone)
}

// draw returns a random endpoint of a list that r may and should go to, at home or no farther than far,
// or nil.
func (b *Balancer) draw(now Micros, r *request, list []*endpoint, not *endpoint, far float64) *endpoint {
	n := len(list)
	var last *endpoint
	at := int(b.rng.float() * float64(n))
	for i := 0; n > 0 && i < drawTries+n; i++ {
		if i < drawTries {
			at = int(b.rng.float() * float64(n))
		}
		e := list[(at+i)%n]
		// Larger endpoints are drawn more often.
		away := int(e.Zone) != b.s.Zone && (far == 0 || b.zones[e.Zone].way.v > far)
		if i < drawTries && (away || b.rng.float()*b.largest > float64(e.Weight)) {
			continue
		}
		if e == not || r.tried(e) || !b.maySend(now, r, e) {
			continue
		}
		if !e.ejected(now) {
			return e
		}
		last = e // ejected endpoints serve only when nothing else is left
	}
	return last
}

// freshFor is how long a pooled answer may be used for a request of this aim.
func (b *Balancer) freshFor(now, aim Micros) Micros {
	if b.sparse {
		return Micros(askedAge * float64(aim))
	}
	return max(poolAge, Micros(poolRounds*float64(len(b.list))/b.probeRate(now)*float64(second)))
}
