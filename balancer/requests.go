package balancer

import "math"

const (
	inTimeWeight = 0.02 // of the latest request in a class's fraction answered in time

	// The Retry-After of a rejection, as fractions of the latency objective: drawn between the two, so that
	// clients do not come back together and a response is still wanted.
	minRetryAfterFraction    = 0.1
	spreadRetryAfterFraction = 0.2
)

// request is an entry of the request table: a request and its attempts. It stays there until it is
// answered and no attempt is outstanding. All answers leave through reject and fail below, but for
// those of an unknown class.
type request struct {
	Request
	timerToken       uint32
	arrivedAt        Micros
	work             float64 // expected, in microseconds of service time
	priority         float64 // of its class and tenant, 0 to 1, as of the last decision
	logHintRatio     float64 // logarithm of its cost hint over the mean work of its class
	attempts         []attempt
	outstanding      int     // attempts without outcome
	answered         bool    // the response or the answer is out
	streaming        bool    // a response has begun: the client is bound to the attempt
	forced           bool    // it was admitted although it seemed too late
	inTime           float64 // 1 once it got a response within the latency objective
	awaitingProbes   bool
	awaitedEndpoints []*endpoint // whose load probes it waits for
	bodyConsumed     bool        // part of its body is consumed: no retry
}

// RequestArrived handles a client's request. It is answered in this call or later, exactly once. An ID
// that is still in the request table is ignored.
func (b *Balancer) RequestArrived(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	if int(in.Class) >= len(b.classes) {
		b.actions.Reject(in.ID, 0, RejectUnknownClass)
		return
	}
	r := b.newRequest(now, in)
	b.recordArrival(now, r)
	b.estimateWork(r)
	if now >= in.Deadline {
		b.reject(now, r, RejectDeadlinePassed)
		return
	}
	if b.unansweredCount > b.settings.Limits.MaxUnanswered {
		b.reject(now, r, RejectUnanswered)
		return
	}
	if !b.awaitProbes(now, r) {
		b.admitOrReject(now, r)
	}
}

// newRequest adds a request to the table.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{timerToken: uint32(len(b.requestSlots) + firstRequestTimer)}
		b.requestSlots = append(b.requestSlots, r)
	}
	*r = request{
		Request:          in,
		timerToken:       r.timerToken + 1<<timerSlotBits,
		arrivedAt:        now,
		attempts:         r.attempts[:0],
		awaitedEndpoints: r.awaitedEndpoints[:0],
	}
	b.requests[in.ID] = r
	b.unansweredCount++
	return r
}

// recordArrival counts a request in the rates and earns retry tokens.
func (b *Balancer) recordArrival(now Micros, r *request) {
	b.requestRate.add(now, 1)
	b.retryBudget.earn()
	b.classes[r.Class].arrivals.add(now, 1)
	if int(r.Tenant) < len(b.tenantRates) {
		b.tenantRates[r.Tenant].add(now, 1)
	}
}

// estimateWork sets the expected work of a request, from the mean of its class and its cost hint.
func (b *Balancer) estimateWork(r *request) {
	class := &b.classes[r.Class]
	r.work = class.meanWork.value
	if !r.HasCostHint || r.CostHint <= 0 {
		return
	}
	b.hasSeenCostHint = true
	class.meanWork.add(float64(r.CostHint), meanWorkWeight)
	r.logHintRatio = math.Log(float64(r.CostHint) / class.meanWork.value)
	r.work = class.meanWork.value * math.Exp(b.hintExponent*r.logHintRatio)
}

// classOf returns the settings of a request's class.
func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }

// admitOrReject starts an attempt of a request that has none outstanding, or rejects the request.
func (b *Balancer) admitOrReject(now Micros, r *request) {
	b.stopAwaitingProbes(r)
	isFirst := len(r.attempts) == 0
	reason := b.pickAndStart(now, r, isFirst)
	if isFirst {
		b.rejectedFraction.add(indicator(reason != notRejected), fractionWeight)
	}
	if reason != notRejected {
		b.reject(now, r, reason)
	}
}

// BodySent reports that the last byte of a request's body has been sent. Its time and its deadline count
// from now on; a request that is not uploading is ignored.
func (b *Balancer) BodySent(now Micros, id uint64, deadline Micros) {
	r := b.requests[id]
	if r == nil || r.answered || !r.IsUploading {
		return
	}
	r.IsUploading = false
	r.arrivedAt = now
	r.Deadline = deadline
	b.actions.SetTimer(max(1, deadline-now), r.timerToken)
	if last := r.lastAttempt(); last != nil && last.outstanding {
		last.markInFlight(now)
	}
}

// ResponseStarted reports that an attempt's response began to arrive and is passed to the client. From
// here on the balancer neither answers nor retries the request. latency counts from the start of the
// attempt.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, latency Micros) {
	r := b.requests[id]
	if r == nil || r.answered || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
	b.recordTimeliness(now, r, true)
}

// ClientDisconnected reports that a client left before it had an answer. None is sent any more.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// requestByTimer returns the request that a timer token was armed for, unless it is over or streaming.
func (b *Balancer) requestByTimer(token uint32) *request {
	slot := int(token&(1<<timerSlotBits-1)) - firstRequestTimer
	if slot < 0 || slot >= len(b.requestSlots) {
		return nil
	}
	r := b.requestSlots[slot]
	if r.timerToken != token || r.answered || r.streaming {
		return nil
	}
	return r
}

// requestTimerFired ends a request whose deadline has passed, or its wait for load probes.
func (b *Balancer) requestTimerFired(now Micros, r *request) {
	if now >= r.Deadline {
		if last := r.lastAttempt(); last != nil && last.outstanding {
			b.learnServiceTime(now, r, last, float64(now-last.startedAt), true)
		}
		b.reject(now, r, RejectDeadlinePassed)
		return
	}
	if r.awaitingProbes {
		b.probeWaitExpired(now, r)
	}
}

// reject answers a request with a rejection, which promises that a retry is harmless, or fails it where
// that cannot be promised.
func (b *Balancer) reject(now Micros, r *request, reason RejectReason) {
	if r.answered || !b.mayReject(r) {
		b.fail(r)
		return
	}
	var retryAfter Micros
	if b.settings.Limits.AllowRetryAfter {
		fraction := minRetryAfterFraction + spreadRetryAfterFraction*b.random.float()
		retryAfter = Micros(fraction * float64(b.classOf(r).LatencyObjective))
		retryAfter = min(retryAfter, b.settings.Limits.MaxRetryAfter)
	}
	b.actions.Reject(r.ID, retryAfter, reason)
	b.finish(r)
}

// fail answers a request with a failure, which promises nothing.
func (b *Balancer) fail(r *request) {
	if r.answered {
		return
	}
	b.actions.Fail(r.ID)
	b.finish(r)
}

// finish marks a request as answered and cancels an outstanding attempt. It removes the request from the
// table once no outcome is to come.
func (b *Balancer) finish(r *request) {
	if !r.answered {
		b.classes[r.Class].inTimeFraction.add(r.inTime, inTimeWeight)
		r.answered = true
		b.stopAwaitingProbes(r)
		b.unansweredCount--
		if r.outstanding > 0 && b.settings.Limits.AllowCancel {
			b.actions.CancelAttempt(r.ID, len(r.attempts)-1)
		}
	}
	if r.outstanding == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.freeRequests = append(b.freeRequests, r)
	}
}
