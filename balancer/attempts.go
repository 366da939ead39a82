package balancer

import "slices"

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint        *endpoint
	zone            uint8 // of the endpoint when the attempt started: an endpoint may move
	pod             uint16
	startedAt       Micros
	sentAt          Micros  // when the host began to send the request, if it has told; else 0
	expectedLatency float64 // predicted at the start without the zone's slowdown, in microseconds
	contendedWork   float64 // work times the contention estimated at the start
	outstanding     bool    // no outcome yet
	inFlight        bool    // counted as in flight at the endpoint, as the request is fully sent
	mayHaveRun      bool    // the endpoint may have executed it or may still do so
}

// lastAttempt returns the latest attempt of a request, or nil.
func (r *request) lastAttempt() *attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return &r.attempts[len(r.attempts)-1]
}

// hasTried reports whether the request has had an attempt at e.
func (r *request) hasTried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// pickAndStart picks an endpoint and starts an attempt there, unless no endpoint is available, the predicted
// latency is over budget or the breakers drop the request. It returns the reason why no attempt was started,
// or notRejected. isFirst means that the request has had no attempt yet.
func (b *Balancer) pickAndStart(now Micros, r *request, isFirst bool) RejectReason {
	r.priority = b.requestPriority(now, r)
	if e := b.findReinstated(now, r); e != nil && b.breakerAllows(now, r, e) {
		return b.startAttempt(now, r, e)
	}
	e := b.pickOrRepeat(now, r)
	if e == nil {
		return RejectNoEndpoint
	}
	if !b.admits(now, r, e, isFirst) {
		return RejectLatency
	}
	if !b.breakerAllows(now, r, e) {
		e = b.pick(now, r, e)
		if e == nil || !b.breakerAllows(now, r, e) {
			return RejectBreaker
		}
	}
	return b.startAttempt(now, r, e)
}

// pickOrRepeat picks an endpoint that the request has not tried. If there is none, it returns the endpoint
// of the last attempt, because a broken connection does not mean that the endpoint is broken.
func (b *Balancer) pickOrRepeat(now Micros, r *request) *endpoint {
	if e := b.pick(now, r, nil); e != nil {
		return e
	}
	if last := r.lastAttempt(); last != nil && b.mayStartAttempt(now, r, last.endpoint) {
		return last.endpoint
	}
	return nil
}

// startAttempt starts an attempt if the safety rules allow it, and otherwise returns the reason. Every
// attempt starts here.
func (b *Balancer) startAttempt(now Micros, r *request, e *endpoint) RejectReason {
	if !b.mayStartAttempt(now, r, e) {
		return RejectNoEndpoint
	}
	if b.isWarmingUp(now, e) {
		e.slowStart.budget -= r.work * slowStartCharge
	}
	sendBefore := b.endOfDedupWindow(r) // of the attempts before this one
	r.attempts = append(r.attempts, attempt{
		endpoint:        e,
		zone:            e.Zone,
		pod:             e.Pod,
		startedAt:       now,
		expectedLatency: b.predictLatency(now, e, r.work) / b.slowdown(now, e),
		contendedWork:   r.work * b.contention(now, e),
		outstanding:     true,
		mayHaveRun:      true,
	})
	r.outstanding++
	e.reinstateAt = 0
	if !r.IsUploading { // an endpoint serves an upload from its last byte on
		r.lastAttempt().markInFlight(now)
	}
	b.startedWork.add(now, r.work)
	b.actions.StartAttempt(r.ID, e.ID, 0, sendBefore)
	if len(r.attempts) == 1 && !r.IsUploading {
		b.actions.SetTimer(max(1, r.Deadline-now), r.timerToken)
	}
	return notRejected
}

// markInFlight counts an attempt as in flight from the time at which its request was fully sent.
func (a *attempt) markInFlight(at Micros) {
	a.startedAt, a.inFlight = at, true
	a.endpoint.addInFlight(at)
}

// AttemptFinished handles the end of an attempt: it finishes the request, retries it or answers it. An
// outcome of an unknown attempt and a second outcome of the same attempt are ignored.
func (b *Balancer) AttemptFinished(now Micros, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].outstanding {
		return
	}
	a := &r.attempts[o.Attempt]
	a.outstanding = false
	r.outstanding--
	if a.inFlight {
		a.endpoint.removeInFlight(a.startedAt)
	}
	a.sentAt = o.SentAt
	r.bodyConsumed = r.bodyConsumed || o.BodyConsumed
	if o.Status.ProvesNotRun() {
		a.mayHaveRun = false
	}
	b.recordOutcome(now, r, a, o.Status, o.Latency)
	if !r.streaming {
		b.recordTimeliness(now, r, o.Status == OK && !r.answered)
	}
	if o.RequestDone || o.Status == OK || r.answered {
		b.finish(r)
		return
	}
	if !b.retry(now, r, a) {
		b.reject(now, r, RejectAttemptFailed)
	}
}

// recordOutcome updates the breaker, the failure rate and the service time of an attempt's endpoint.
func (b *Balancer) recordOutcome(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	switch status {
	case Cancelled, NotSent: // says nothing about the endpoint's health
	case OK:
		e.breaker.record(now, 1, 0)
		e.breaker.recordLatency(float64(latency))
		e.failures.recordSuccess(now)
		b.learnServiceTime(now, r, a, float64(latency), false)
	default:
		e.breaker.record(now, 0, 1)
		b.recordFailure(now, e)
		if status == Timeout {
			b.learnServiceTime(now, r, a, float64(latency), true)
		}
	}
}
