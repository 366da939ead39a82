package balancer

const (
	// An endpoint that was called back and that no request has come to by itself gets the next one: operators
	// expect it in use within 5 s.
	reinstateDelay = 2 * second
)

// Ban takes an endpoint out of use by hand until Unban, whatever lists say of it, listed or not.
func (b *Balancer) Ban(now Micros, id uint32) {
	if _, ok := b.bannedSince[id]; ok {
		return
	}
	b.bannedSince[id] = now
	delete(b.pendingReinstatements, id)
	if e := b.endpointsByID[id]; e != nil {
		e.bannedAt, e.banned, e.reinstateDueAt = now, true, 0
	}
}

// Unban takes an endpoint into use again. It counts as cold: it was probably restarted while it was out, and
// the list may say so late.
func (b *Balancer) Unban(now Micros, id uint32) {
	if _, ok := b.bannedSince[id]; !ok {
		return
	}
	delete(b.bannedSince, id)
	e := b.endpointsByID[id]
	if e == nil { // not listed now: it is due once it is
		b.pendingReinstatements[id] = now + reinstateDelay
		return
	}
	e.banned, e.reportedAt = false, 0
	if !e.warmingUp || e.warmUpStart < e.bannedAt {
		e.warmingUp, e.warmUpStart = true, now
	}
	// What it failed at before says nothing of it now.
	e.failureRate, e.serviceTime, e.breaker = 0, ewma{}, breaker{}
	e.slowStartBudget, e.budgetRefilledAt, e.reinstateDueAt = 0, now, now+reinstateDelay
	e.probing = false
	b.sendLoadProbe(now, e)
}

// findReinstated returns an endpoint that was called back and has got nothing for too long, if r may go
// there. Its first
// request need not be saved up where those of all balancers together are no more than it bears when coldest.
func (b *Balancer) findReinstated(now Micros, r *request) *endpoint {
	c, first := &b.settings.Rules, r.work*slowStartCharge
	for _, e := range b.endpoints {
		if e.reinstateDueAt == 0 || now < e.reinstateDueAt || len(r.attempts) > 0 {
			continue
		}
		bears := c.SlowStartMinCapacity * slowStartLoadFraction * c.OverloadMultiple *
			float64(c.OverloadDuration) * b.concurrency(e)
		if float64(b.settings.Balancers*b.processCount)*first <= bears {
			e.slowStartBudget = max(e.slowStartBudget, first)
		}
		if b.mayStartAttempt(now, r, e) {
			return e
		}
	}
	return nil
}
