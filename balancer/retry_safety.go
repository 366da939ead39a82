package balancer

import "slices"

// mayStartAttempt says whether the rules allow an attempt at e now.
func (b *Balancer) mayStartAttempt(now Micros, r *request, e *endpoint) bool {
	if r.answered || r.streaming || r.bodyConsumed || r.outstanding > 0 || now >= r.Deadline ||
		len(r.attempts) >= b.settings.Limits.MaxAttempts || !e.isUsable() {
		return false
	}
	if e.isWarmingUp(now, b) && !b.hasSlowStartBudget(now, e, r.work) {
		return false
	}
	c, first := b.classOf(r), r.firstThatMayHaveRun()
	return first == nil || c.RetrySafety == Idempotent ||
		c.RetrySafety == IdempotentWithKey && now < first.startedAt+c.DedupWindow &&
			(c.DedupScope == DedupScopeFleet || c.DedupScope == DedupScopeZone && e.Zone == first.zone ||
				c.DedupScope == DedupScopePod && e.Pod == first.pod)
}

func (b *Balancer) mayReject(r *request) bool {
	c := b.classOf(r)
	return c.RetrySafety == Idempotent || r.firstThatMayHaveRun() == nil ||
		c.RetrySafety == IdempotentWithKey && c.DedupScope == DedupScopeFleet
}

// firstThatMayHaveRun returns the first attempt that may have run, or nil.
func (r *request) firstThatMayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}
