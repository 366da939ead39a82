package balancer

import "math"

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	timerToken       uint32 // of its timers
	arrivedAt        Micros
	work             float64
	priority         float64 // of its class and tenant, 0 to 1, when last decided
	logHintRatio     float64 // logarithm of its hint over the mean of its class
	attempts         []attempt
	outstanding      int     // attempts without outcome
	answered         bool    // the final answer is out
	streaming        bool    // an answer has begun: the attempt is the client's
	forced           bool    // it was sent although it seemed too late
	inTime           float64 // 1 once answered within its aim
	awaitingProbes   bool    // it waits for probes
	bodyConsumed     bool    // it cannot be sent again
	awaitedEndpoints []*endpoint
}

// RequestArrived handles a client's request.
func (b *Balancer) RequestArrived(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	if int(in.Class) >= len(b.classes) {
		b.actions.Reject(in.ID, 0) // nothing is known of it, but an answer is owed
		return
	}
	r := b.newRequest(now, in)
	b.requestRate.add(now, 1)
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerRequest)
	c := &b.classes[in.Class]
	c.arrivals.add(now, 1)
	if int(in.Tenant) < len(b.tenants) {
		b.tenants[in.Tenant].add(now, 1)
	}
	r.work = c.meanWork.value
	if r.logHintRatio = 0; in.HasCostHint && in.CostHint > 0 {
		b.hasSeenCostHint = true
		c.meanWork.add(float64(in.CostHint), meanWorkWeight)
		r.logHintRatio = math.Log(float64(in.CostHint) / c.meanWork.value)
		r.work = c.meanWork.value * math.Exp(b.hintExponent*r.logHintRatio)
	}
	if now >= in.Deadline || b.unansweredCount > b.settings.Limits.MaxUnanswered {
		b.reject(now, r)
		return
	}
	if !b.awaitProbes(now, r) {
		b.admitOrReject(now, r)
	}
}

func (b *Balancer) newRequest(now Micros, in Request) *request {
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{timerToken: uint32(len(b.requestSlots) + firstRequestTimer)}
		b.requestSlots = append(b.requestSlots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.timerToken += 1 << timerSlotBits
	r.Request, r.arrivedAt, r.attempts, r.outstanding, r.answered, r.streaming = in, now,
		r.attempts[:0], 0, false, false
	r.inTime, r.forced, r.awaitingProbes, r.bodyConsumed, r.awaitedEndpoints = 0, false, false, false,
		r.awaitedEndpoints[:0]
	b.requests[in.ID] = r
	b.unansweredCount++
	return r
}

func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }

// admitOrReject sends a request, or refuses it.
func (b *Balancer) admitOrReject(now Micros, r *request) {
	b.stopAwaitingProbes(r)
	first := len(r.attempts) == 0
	sent := b.pickAndStart(now, r, first)
	if first {
		b.rejectedFraction.add(indicator(!sent), fractionWeight)
	}
	if !sent {
		b.reject(now, r)
	}
}

// BodySent tells that the last byte of a request's body is sent. Its time begins.
func (b *Balancer) BodySent(now Micros, id uint64, deadline Micros) {
	r := b.requests[id]
	if r == nil || r.answered || !r.IsUploading {
		return
	}
	r.IsUploading, r.arrivedAt, r.Deadline = false, now, deadline
	b.actions.SetTimer(max(1, deadline-now), r.timerToken)
	if n := len(r.attempts); n > 0 && r.attempts[n-1].outstanding {
		r.attempts[n-1].markInFlight(now)
	}
}

// ResponseStarted handles the start of a streamed answer: no deadline and no attempt concern it from here on.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, latency Micros) {
	r := b.requests[id]
	if r == nil || r.answered || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
	b.recordTimeliness(now, r, true)
}

// ClientDisconnected handles a client that left before its final answer.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// requestTimerFired looks at a request whose probes are slow, or whose time is up.
func (b *Balancer) requestTimerFired(now Micros, r *request) {
	if now >= r.Deadline {
		if n := len(r.attempts); n > 0 && r.attempts[n-1].outstanding {
			a := &r.attempts[n-1]
			b.learnServiceTime(now, r, a, float64(now-a.startedAt), true)
		}
		b.reject(now, r)
	} else if r.awaitingProbes {
		// Only the idle answer in time: to count them alone would show an idle fleet when all of it is jammed.
		for _, e := range r.awaitedEndpoints {
			b.zones[e.Zone].baselineLoad.add(b.concurrency(e)+b.queueAhead(e, float64(now-e.probedAt)),
				baselineLoadWeight)
		}
		b.admitOrReject(now, r)
	}
}

// reject gives the final answer "refused" where that is true, else "failed".
func (b *Balancer) reject(now Micros, r *request) {
	if r.answered || !b.mayReject(r) {
		b.fail(r)
		return
	}
	var after Micros
	if b.settings.Limits.AllowRetryAfter {
		// Spread the returns, and let them come while an answer is still wanted.
		after = Micros((0.1 + 0.2*b.random.float()) * float64(b.classOf(r).LatencyObjective))
		after = min(after, b.settings.Limits.MaxRetryAfter)
	}
	b.actions.Reject(r.ID, after)
	b.finish(r)
}

func (b *Balancer) fail(r *request) {
	if !r.answered {
		b.actions.Fail(r.ID)
		b.finish(r)
	}
}

// finish marks that the final answer is out; the record stays for late outcomes.
func (b *Balancer) finish(r *request) {
	if !r.answered {
		b.classes[r.Class].inTimeFraction.add(r.inTime, 0.02)
		r.answered = true
		b.stopAwaitingProbes(r)
		b.unansweredCount--
		if n := len(r.attempts); r.outstanding > 0 && b.settings.Limits.AllowCancel {
			b.actions.CancelAttempt(r.ID, n-1)
		}
	}
	if r.outstanding == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.freeRequests = append(b.freeRequests, r)
	}
}
