package balancer

const (
	// An endpoint that was called back and that no request has come to by itself gets the next one: operators
	// expect it in use within 5 s.
	dueAfter = 2 * second
)

// Ban takes an endpoint out of use by hand until Unban, whatever lists say of it, listed or not.
func (b *Balancer) Ban(now Micros, id uint32) {
	if _, ok := b.bans[id]; ok {
		return
	}
	b.bans[id] = now
	delete(b.recalls, id)
	if e := b.byID[id]; e != nil {
		e.bannedAt, e.banned, e.dueAt = now, true, 0
	}
}

// Unban takes an endpoint into use again. It counts as cold: it was probably restarted while it was out, and
// the list may say so late.
func (b *Balancer) Unban(now Micros, id uint32) {
	if _, ok := b.bans[id]; !ok {
		return
	}
	delete(b.bans, id)
	e := b.byID[id]
	if e == nil { // not listed now: it is due once it is
		b.recalls[id] = now + dueAfter
		return
	}
	e.banned, e.answerAt = false, 0
	if !e.isCold || e.coldFrom < e.bannedAt {
		e.isCold, e.coldFrom = true, now
	}
	// What it failed at before says nothing of it now.
	e.errs, e.pace, e.br = 0, ewma{}, breaker{}
	e.room, e.roomAt, e.dueAt = 0, now, now+dueAfter
	e.probing = false
	b.probe(now, e)
}

// due returns an endpoint that was called back and has got nothing for too long, if r may go there. Its first
// request need not be saved up where those of all balancers together are no more than it bears when coldest.
func (b *Balancer) due(now Micros, r *request) *endpoint {
	c, first := &b.s.Rules, r.work*coldCharge
	for _, e := range b.list {
		if e.dueAt == 0 || now < e.dueAt || len(r.attempts) > 0 {
			continue
		}
		bears := c.SlowStartMinCapacity * coldShare * c.OverloadMultiple * float64(c.OverloadDuration) * b.width(e)
		if float64(b.s.Balancers*b.processes)*first <= bears {
			e.room = max(e.room, first)
		}
		if b.maySend(now, r, e) {
			return e
		}
	}
	return nil
}
