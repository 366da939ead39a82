package balancer

// reinstateDelay is how long a reinstated endpoint waits to be picked before the next request is sent to
// it regardless of cost. Operators expect it in use within 5 s.
const reinstateDelay = 2 * second

// bans holds the endpoints that operators have taken out of use, whether discovery lists them or not.
type bans struct {
	since       map[uint32]Micros // start of the ban, by endpoint ID
	reinstateAt map[uint32]Micros // end of reinstateDelay, for endpoints reinstated while not listed
}

func newBans() bans {
	return bans{since: map[uint32]Micros{}, reinstateAt: map[uint32]Micros{}}
}

// takeReinstatement returns and removes the end of reinstateDelay of an endpoint that was reinstated while
// not listed.
func (s *bans) takeReinstatement(id uint32) (at Micros, ok bool) {
	at, ok = s.reinstateAt[id]
	delete(s.reinstateAt, id)
	return at, ok
}

// Ban takes an endpoint out of use until Unban, whatever its state in discovery and even if it is not
// listed. Attempts in flight continue. Banning a banned endpoint has no effect.
func (b *Balancer) Ban(now Micros, id uint32) {
	if _, ok := b.bans.since[id]; ok {
		return
	}
	b.bans.since[id] = now
	delete(b.bans.reinstateAt, id)
	if e := b.endpointsByID[id]; e != nil {
		e.bannedAt, e.banned, e.reinstateAt = now, true, 0
	}
}

// Unban reinstates a banned endpoint. The endpoint begins a slow start and its statistics are cleared,
// because it was probably restarted while banned and the endpoint list may show the restart late.
func (b *Balancer) Unban(now Micros, id uint32) {
	if _, ok := b.bans.since[id]; !ok {
		return
	}
	delete(b.bans.since, id)
	e := b.endpointsByID[id]
	if e == nil {
		b.bans.reinstateAt[id] = now + reinstateDelay
		return
	}
	e.banned, e.report.at = false, 0
	if !e.slowStart.active || e.slowStart.startedAt < e.bannedAt {
		e.slowStart.active, e.slowStart.startedAt = true, now
	}
	e.slowStart.budget, e.slowStart.refilledAt = 0, now
	e.failures.value, e.serviceTime.average, e.breaker = 0, ewma{}, breaker{}
	e.reinstateAt = now + reinstateDelay
	e.probing = false
	b.sendLoadProbe(now, e)
}

// findReinstated returns an endpoint that was reinstated at least reinstateDelay ago and has had no request
// since, if the first attempt of this request may start there, or nil. Its slow-start budget is raised to
// cover the request if the first requests of all balancers together are within what the endpoint can bear
// at the beginning of its slow start.
func (b *Balancer) findReinstated(now Micros, r *request) *endpoint {
	if len(r.attempts) > 0 {
		return nil
	}
	rules, cost := &b.settings.Rules, r.work*slowStartCharge
	for _, e := range b.endpoints {
		if e.reinstateAt == 0 || now < e.reinstateAt {
			continue
		}
		maxWork := rules.SlowStartMinCapacity * slowStartLoadFraction * rules.OverloadMultiple *
			float64(rules.OverloadDuration) * b.concurrencyOf(e)
		if float64(b.settings.Balancers*b.processCount)*cost <= maxWork {
			e.slowStart.budget = max(e.slowStart.budget, cost)
		}
		if b.mayStartAttempt(now, r, e) {
			return e
		}
	}
	return nil
}
