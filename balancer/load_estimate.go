package balancer

import "math"

const (
	usualWeight = 0.1 // of the latest answer in the usual load
	newsHalf    = 0.7 // times a request's work, half-life of what an answer says beyond the usual
	cores       = 2.0 // requests that an endpoint works at side by side, until reports tell
)

// load is the last answer plus own sends since, less own answers since. Where a pool of the whole fleet is
// kept, half of the other balancers are held to send as we do: they hold that answer, too, and would all
// pile up where it is low. Answers asked for one request are our own: nobody else acts on them.
func (b *Balancer) load(now Micros, e *endpoint) float64 {
	if b.reportsLate || !e.hasLoad {
		return b.zones[e.Zone].usual.v + float64(e.inflight)
	}
	if b.tells {
		// All hold the same answers, and none is told of what the others send meanwhile: what was found turns
		// into what is usual there, within about the time that a request takes.
		usual, age := b.zones[e.Zone].usual.v, float64(now-e.answerAt)
		if e.isCold || e.errs > ejectFrom {
			usual = e.others // its load is not like that of the rest
		}
		stays := math.Exp2(-age / (newsHalf * b.classes[0].work.v))
		return usual + (e.others-usual)*stays + float64(e.inflight)
	}
	herd := float64(b.s.Balancers-1) / 2 * float64(max(0, e.inflight-e.ownAt)) * share(!b.sparse)
	return e.others + float64(e.inflight) + herd
}

// crowding is how much longer than alone a request takes at e's load.
func (b *Balancer) crowding(now Micros, e *endpoint) float64 {
	return max(1, (b.load(now, e)+1)/b.width(e))
}

// width is how many requests e works at side by side.
func (b *Balancer) width(e *endpoint) float64 { return b.atWork[e.MachineType].or(cores) }

// line is how many requests are ahead of a probe that waits so long at e.
func (b *Balancer) line(e *endpoint, waited float64) float64 {
	return waited / b.classes[0].work.v * b.width(e)
}

// learnLoad takes in that e holds so many requests.
func (b *Balancer) learnLoad(now Micros, e *endpoint, held float64) {
	if !e.pooled {
		e.pooled = true
		b.pool = append(b.pool, e)
	}
	e.hasLoad, e.answerAt = true, now
	e.others, e.ownAt = max(0, held-float64(e.inflight)), e.inflight
	if !b.tells || !e.cold(now, b) && !e.ejected(now) {
		b.zones[e.Zone].usual.add(e.others, usualWeight)
	}
}

// learnWidth: where requests wait, all the others that e holds are worked at; else at least so many as it
// holds.
func (b *Balancer) learnWidth(e *endpoint, held, queue float64) {
	if work := held - queue; work >= 1 && queue >= 0 && (queue >= lineLeast || work > b.width(e)) {
		b.atWork[e.MachineType].add(work, usualWeight)
	}
}

// figure returns a figure of a load report, or -1 if it is not there or makes no sense.
func figure(fields []LoadField, load []float32, want LoadField) float64 {
	for i, f := range fields[:min(len(fields), len(load))] {
		if v := float64(load[i]); f == want && v >= 0 && !math.IsInf(v, 0) { // NaN fails this, too
			return v
		}
	}
	return -1
}
