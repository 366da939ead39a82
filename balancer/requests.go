package balancer

import "math"

const (
	inTimeWeight = 0.02 // weight of the latest request in a class's inTimeFraction

	// The Retry-After of a rejection, in fractions of the latency objective, is the minimum plus a random
	// part of the spread. The random part keeps clients from retrying at the same time. The delay is short so
	// that a response is still useful to the client.
	minRetryAfterFraction    = 0.1
	spreadRetryAfterFraction = 0.2
)

// request is an entry of the request table: a request and its attempts. It stays in the table until it is
// answered and no attempt is outstanding. All answers go through reject and fail below, except the rejection
// of a request of an unknown class.
type request struct {
	Request
	timerToken       uint32
	arrivedAt        Micros
	work             float64 // expected, in microseconds of service time
	priority         float64 // 0 to 1, by its class and tenant, as of the latest decision
	logHintRatio     float64 // logarithm of its cost hint divided by the mean work of its class; 0 without hint
	attempts         []attempt
	outstanding      int     // attempts without outcome
	answered         bool    // by a response, a rejection or a failure, or the client has left
	streaming        bool    // a response has begun: the request can be neither answered nor retried
	forced           bool    // admitted by forced admission
	inTime           float64 // 1 if it got a response within the latency objective, else 0
	awaitingProbes   bool
	awaitedEndpoints []*endpoint // endpoints whose load probes it waits for
	bodyConsumed     bool        // part of its body is consumed: it cannot be retried
}

// RequestArrived handles a client's request. The request is answered exactly once, during this call or later.
// A request whose ID is still in the request table is ignored.
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

// estimateWork sets the expected work of a request from the mean work of its class and its cost hint.
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

// admitOrReject starts an attempt of a request that has none outstanding, or else rejects the request.
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

// BodySent handles the end of a request's upload: the last byte of its body has been sent to the endpoint.
// The time to the latency objective counts from now, and deadline replaces the request's deadline. A request
// that is not uploading is ignored.
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

// ResponseStarted handles the beginning of an attempt's response, which the host passes on to the client.
// From then on the balancer neither answers nor retries the request. latency counts from the start of the
// attempt.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, latency Micros) {
	r := b.requests[id]
	if r == nil || r.answered || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
	b.recordTimeliness(now, r, true)
}

// ClientDisconnected handles a client that left before its request was answered. No answer is sent.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// requestByTimer returns the request for which a timer with this token was armed, or nil if the request is
// answered or streaming.
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

// requestTimerFired ends a request whose deadline has passed, or else ends its wait for load probes.
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

// reject answers a request with a rejection, which promises that a retry is harmless. If that cannot be
// promised, it fails the request.
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

// fail answers a request with a failure, which makes no promise about a retry.
func (b *Balancer) fail(r *request) {
	if r.answered {
		return
	}
	b.actions.Fail(r.ID)
	b.finish(r)
}

// finish marks a request as answered and cancels its outstanding attempt. It removes the request from the
// table once no attempt is outstanding.
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
