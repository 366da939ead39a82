package balancer

import "slices"

// mayStartAttempt reports whether the safety rules allow an attempt at e now. All of these must hold:
//
//   - The request is unanswered, no response has begun and no part of its body is consumed.
//   - It has no outstanding attempt, its deadline has not passed and it has fewer than Limits.MaxAttempts.
//   - The endpoint is usable and, if it is warming up, has slow-start budget for the work.
//   - A retry cannot have a second effect.
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

// isSafeAt reports whether an attempt at e cannot cause a second effect of the request. A request that is
// idempotent with its key is safe at endpoints that drop duplicates of the first attempt that may have run:
// those within its dedup scope, and only during its dedup window. An attempt that is safe now may be sent
// later only until endOfDedupWindow.
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
		return now < b.endOfDedupWindow(r) && first.isInScope(class.DedupScope, e)
	}
	return false
}

// endOfDedupWindow returns when endpoints stop dropping duplicates of a request that is idempotent with its
// key, or 0 if there is no such time: no attempt may have run, or the request is of another kind. The window
// begins when the first attempt that may have run was sent.
func (b *Balancer) endOfDedupWindow(r *request) Micros {
	first := r.firstThatMayHaveRun()
	class := b.classOf(r)
	if first == nil || class.RetrySafety != IdempotentWithKey {
		return 0
	}
	return max(first.startedAt, first.sentAt) + class.DedupWindow
}

// isInScope reports whether e drops duplicates of a request that ran at the attempt's endpoint.
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

// mayReject reports whether a request may be rejected. A rejection promises that the client's own retry,
// which may reach any endpoint at any time, cannot have a second effect.
func (b *Balancer) mayReject(r *request) bool {
	if r.firstThatMayHaveRun() == nil {
		return true
	}
	class := b.classOf(r)
	return class.RetrySafety == Idempotent ||
		class.RetrySafety == IdempotentWithKey && class.DedupScope == DedupScopeFleet
}

// firstThatMayHaveRun returns the first attempt that an endpoint may have executed, or nil. An attempt of an
// earlier request with the same ID counts as well.
func (r *request) firstThatMayHaveRun() *attempt {
	if prior := r.Prior; prior.MayHaveRun {
		return &attempt{zone: prior.Zone, pod: prior.Pod, startedAt: prior.SentAt, mayHaveRun: true}
	}
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
	if i < 0 {
		return nil
	}
	return &r.attempts[i]
}
