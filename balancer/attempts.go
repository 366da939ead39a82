package balancer

import "slices"

// attempt is one send of a request.
type attempt struct {
	endpoint        *endpoint
	zone            uint8 // of ep when sent: an endpoint may move
	pod             uint16
	startedAt       Micros
	expectedLatency float64 // latency predicted when sent, but for the trend
	contendedWork   float64 // work times the crowding seen when sent
	outstanding     bool    // no outcome yet
	inFlight        bool    // in flight there: its body is sent
	mayHaveRun      bool    // it may have had its effect, or may yet
}

func (r *request) hasTried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// pickAndStart picks and sends; a pick that the breaker refuses tries one more.
func (b *Balancer) pickAndStart(now Micros, r *request, first bool) bool {
	r.priority = b.classPriority(now, r)
	e := b.findReinstated(now, r)
	if e != nil && b.breakerAllows(now, r, e) {
		return b.startAttempt(now, r, e)
	}
	e = b.pick(now, r, nil)
	if n := len(r.attempts); e == nil && n > 0 && b.mayStartAttempt(now, r, r.attempts[n-1].endpoint) {
		e = r.attempts[n-1].endpoint // alone in its group: often the connection broke, not the endpoint
	}
	if e == nil {
		return false
	}
	x, most := b.predictLatency(now, e, r.work), b.latencyBudget(now, r, e)
	if x > most && (b.contention(now, e) > 1 || b.slowdown(now, e) > 1) {
		// It would come too late to be worth its work: not where nobody waits while the fleet is well, since
		// few samples of a long-tailed latency make a healthy endpoint look hopeless. As with the breaker, one
		// passes now and then, so that a wrong guess does not feed itself: of so many, since a pass a second
		// at each of a thousand balancers is more than a jammed fleet can bear.
		c := &b.classes[r.Class]
		c.lateSinceForced++
		if !first || c.lateSinceForced < b.forcedAdmissionInterval || now-c.forcedAt < forcedPassInterval {
			b.log(now, "refuse", "refusing, %.0f%% of late: the best, endpoint %d, would take %.0f ms, limit %.0f ms"+
				"; load %.1f, usual %.1f, slowdown %.1f, work %.1f ms",
				100*b.rejectedFraction.value, e.ID, x/1000, most/1000,
				b.estimateLoad(now, e), b.zones[e.Zone].baselineLoad.value, b.slowdown(now, e), r.work/1000)
			return false
		}
		c.forcedAt, c.lateSinceForced = now, 0
		r.forced = true
	}
	if !b.breakerAllows(now, r, e) {
		if e = b.pick(now, r, e); e == nil || !b.breakerAllows(now, r, e) {
			return false
		}
	}
	return b.startAttempt(now, r, e)
}

// startAttempt starts an attempt if the rules allow it.
func (b *Balancer) startAttempt(now Micros, r *request, e *endpoint) bool {
	if !b.mayStartAttempt(now, r, e) {
		return false
	}
	if e.isWarmingUp(now, b) {
		e.slowStartBudget -= r.work * slowStartCharge
	}
	r.attempts = append(r.attempts, attempt{endpoint: e, zone: e.Zone, pod: e.Pod, startedAt: now,
		expectedLatency: b.predictLatency(now, e, r.work) / b.slowdown(now, e),
		contendedWork:   r.work * b.contention(now, e),
		outstanding:     true, mayHaveRun: true})
	r.outstanding++
	e.reinstateDueAt = 0
	if !r.IsUploading { // a server begins a request with its last byte
		r.attempts[len(r.attempts)-1].markInFlight(now)
	}
	b.startedWork.add(now, r.work)
	b.actions.StartAttempt(r.ID, e.ID, 0)
	if len(r.attempts) == 1 && !r.IsUploading {
		b.actions.SetTimer(max(1, r.Deadline-now), r.timerToken)
	}
	return true
}

// markInFlight counts an attempt whose request has been sent.
func (a *attempt) markInFlight(at Micros) {
	a.startedAt, a.inFlight = at, true
	a.endpoint.inFlight++
	a.endpoint.startTimes = append(a.endpoint.startTimes, at)
}

// AttemptFinished handles the end of an attempt.
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
	r.bodyConsumed = r.bodyConsumed || o.BodyConsumed
	if o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent {
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
	price := indicator(a.mayHaveRun) // what never ran may be sent again for nothing
	if b.retryTokens >= price && b.pickAndStart(now, r, false) {
		b.retryTokens -= price
		return
	}
	b.reject(now, r)
}

// recordOutcome feeds an outcome to the averages.
func (b *Balancer) recordOutcome(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	switch status {
	case OK:
		e.breaker.record(now, 1, 0)
		e.breaker.recordLatency(float64(latency))
		e.failureRate, e.failureRateAt = (1-failureWeight)*e.currentFailureRate(now), now
		b.learnServiceTime(now, r, a, float64(latency), false)
	case Cancelled, NotSent:
	default:
		e.breaker.record(now, 0, 1)
		before := e.isEjected(now)
		e.failureRate, e.failureRateAt = (1-failureWeight)*e.currentFailureRate(now)+failureWeight, now
		if !before && e.isEjected(now) {
			b.log(now, "eject", "endpoint %d ejected, %.0f%% of its answers of late are failures", e.ID,
				100*e.failureRate)
		}
		if status == Timeout {
			b.learnServiceTime(now, r, a, float64(latency), true)
		}
	}
}
