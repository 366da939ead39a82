package balancer

import "slices"

// maySend says whether the rules allow an attempt at e now.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	if r.ended || r.stream || r.spent || r.out > 0 || now >= r.Deadline ||
		len(r.attempts) >= b.s.Limits.MaxAttempts || !e.usable() {
		return false
	}
	if e.cold(now, b) && !b.coldRoom(now, e, r.work) {
		return false
	}
	c, first := b.class(r), r.bound()
	return first == nil || c.RetrySafety == Idempotent ||
		c.RetrySafety == IdempotentWithKey && now < first.at+c.DedupWindow &&
			(c.DedupScope == DedupScopeFleet || c.DedupScope == DedupScopeZone && e.Zone == first.zone ||
				c.DedupScope == DedupScopePod && e.Pod == first.cell)
}

func (b *Balancer) mayRefuse(r *request) bool {
	c := b.class(r)
	return c.RetrySafety == Idempotent || r.bound() == nil ||
		c.RetrySafety == IdempotentWithKey && c.DedupScope == DedupScopeFleet
}

// bound returns the first attempt that may have run, or nil.
func (r *request) bound() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}
