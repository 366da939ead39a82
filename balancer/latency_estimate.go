package balancer

import (
	"math"
	"slices"
)

const (
	paceLife     = 10 * second
	paceWeight   = 0.03
	fleetWeight  = 0.02
	workWeight   = 0.01
	reportWeight = 0.03 // of a report's time to serve, in a class's work
	trustWeight  = 0.005
)

// paceNow is e's time per unit of work, longer while it is cold. Unseen for long, it is its zone's or the
// fleet's, whichever is less, so that an endpoint once thought slow is tried again: all that is warm of a
// zone may be one that is slow, which says nothing of those that have just started.
func (e *endpoint) paceNow(now Micros, b *Balancer) float64 {
	usual := min(b.zones[e.Zone].pace.or(b.pace.or(1)), b.pace.or(1))
	trust := max(0, 1-float64(now-e.paceAt)/float64(paceLife)) * share(e.pace.seen)
	return (usual + (e.pace.v-usual)*trust) / e.warmth(now, b)
}

// predict is the latency expected of a request of this work sent to e now.
func (b *Balancer) predict(now Micros, e *endpoint, work float64) float64 {
	return b.zones[e.Zone].way.v + work*b.slowdown(now, e)*e.paceNow(now, b)*b.crowding(now, e)
}

// learnPace learns from a latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnPace(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.ep
	x := max(0, latency-b.zones[e.Zone].way.v) / a.factor
	if atLeast && x <= e.paceNow(now, b) {
		return
	}
	b.follow(now, e, latency/(a.expected*b.slowdown(now, e)))
	if !atLeast && r.hint != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		b.trust = min(1, max(0, b.trust+trustWeight*r.hint*math.Log(x/e.paceNow(now, b))))
	}
	warmth := e.warmth(now, b) // what is kept is the pace once warm
	e.pace = ewma{v: e.paceNow(now, b) * warmth, seen: true}
	e.pace.add(x*warmth, paceWeight)
	e.paceAt = now
	if atLeast {
		return
	}
	if !r.HasCostHint && a.factor <= r.work && !b.workTold() {
		// Without hints a class's work is its mean latency on an endpoint without a queue. Elsewhere it would be
		// learned by the queue assumed there, which is itself told by work: the two would feed each other.
		b.classes[r.Class].work.add(x*warmth*r.work, workWeight)
	}
	if !e.isCold {
		b.zones[e.Zone].pace.add(x, fleetWeight)
		b.pace.add(x, fleetWeight)
	}
}

// workTold says that reports tell a class's work: the time to serve without the wait. Where answers are
// shared the load that a single request meets is guessed, and its latency would count the queue there as
// work: too much is refused for it then, and what is refused cannot put that right.
func (b *Balancer) workTold() bool {
	return b.tells && len(b.classes) == 1 && !b.hinted &&
		slices.Contains(b.s.LoadReportFields, LoadFieldServiceTime)
}
