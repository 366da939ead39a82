package balancer

import "slices"

// mayStartAttempt reports whether the safety rules allow an attempt at e now: the request is unanswered,
// its body whole, no other attempt outstanding, the deadline ahead and an attempt left; the endpoint is
// in use and, while warming up, has budget for the work; and a retry cannot have a second effect.
func (b *Balancer) mayStartAttempt(now Micros, r *request, e *endpoint) bool {
	if r.answered || r.streaming || r.bodyConsumed || r.outstanding > 0 || now >= r.Deadline ||
		len(r.attempts) >= b.settings.Limits.MaxAttempts || !e.isUsable() {
		return false
	}
	if b.isWarmingUp(now, e) && !b.hasSlowStartBudget(now, e, r.work) {
		return false
	}
	return b.isSafeAt(now, r, e)
}

// isSafeAt reports whether an attempt at e cannot lead to a second effect of the request. One that is
// idempotent with its key is safe where the first attempt that may have run is remembered: within its
// dedup window and scope.
func (b *Balancer) isSafeAt(now Micros, r *request, e *endpoint) bool {
	first := r.firstThatMayHaveRun()
	if first == nil {
		return true
	}
	class := b.classOf(r)
	switch class.RetrySafety {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return now < first.startedAt+class.DedupWindow && first.isInScope(class.DedupScope, e)
	}
	return false
}

// isInScope reports whether e drops duplicates of what ran at the attempt's endpoint.
func (a *attempt) isInScope(scope DedupScope, e *endpoint) bool {
	switch scope {
	case DedupScopeFleet:
		return true
	case DedupScopeZone:
		return e.Zone == a.zone
	case DedupScopePod:
		return e.Pod == a.pod
	}
	return false
}

// mayReject reports whether a rejection is true for a request: the client's own retry, which may reach any
// endpoint at any time, cannot have a second effect.
func (b *Balancer) mayReject(r *request) bool {
	if r.firstThatMayHaveRun() == nil {
		return true
	}
	class := b.classOf(r)
	return class.RetrySafety == Idempotent ||
		class.RetrySafety == IdempotentWithKey && class.DedupScope == DedupScopeFleet
}

// firstThatMayHaveRun returns the first attempt that an endpoint may have executed, or nil.
func (r *request) firstThatMayHaveRun() *attempt {
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
	if i < 0 {
		return nil
	}
	return &r.attempts[i]
}
