package balancer

// A cold endpoint gets at most a share of its warmth's part of our own mean work per warm endpoint, or of an
// even part of what a warm one can do, if that is more. All balancers doing so, their sum stays under twice
// what it can do; none needs to know of the others. By the first alone, one that refuses most would leave
// what is cold idle, and refuse for that. Each send is charged a little more than its work, for the handshake
// that it may cost.
const (
	slowStartLoadFraction = 0.28 // of the multiple at which it falls over
	slowStartCharge       = 1.15
	slowStartProbeCost    = 0.01 // of a request's work, taken from a cold endpoint's room by a probe
)

func (e *endpoint) isWarmingUp(now Micros, b *Balancer) bool {
	if e.warmingUp && now-e.warmUpStart >= b.settings.Rules.SlowStartDuration {
		e.warmingUp = false
	}
	return e.warmingUp
}

// capacityFraction is the least share of its capacity that e has by now.
func (e *endpoint) capacityFraction(now Micros, b *Balancer) float64 {
	if !e.isWarmingUp(now, b) {
		return 1
	}
	from := b.settings.Rules.SlowStartMinCapacity
	return from + (1-from)*float64(now-e.warmUpStart)/float64(b.settings.Rules.SlowStartDuration)
}

// hasSlowStartBudget refills the token bucket of a cold endpoint and says whether a request of this
// work fits.
func (b *Balancer) hasSlowStartBudget(now Micros, e *endpoint, work float64) bool {
	var warm, ready float64
	for _, o := range b.endpoints {
		ready += indicator(o.isUsable())
		warm += indicator(o.isUsable() && !o.isWarmingUp(now, b))
	}
	rate := b.startedWork.rate(now)
	if warm == 0 { // nothing to compare with: an even share of what is asked
		warm, rate = ready, b.requestRate.rate(now)*work
	}
	even := b.concurrency(e) * float64(second) / float64(b.settings.Balancers*b.processCount)
	fill := min(1, slowStartLoadFraction*b.settings.Rules.OverloadMultiple) * e.capacityFraction(now,
		b) * max(rate/max(1, warm), even)
	most := max(fill*float64(b.settings.Rules.OverloadDuration)/float64(second)/2, work*slowStartCharge)
	e.slowStartBudget = min(most, e.slowStartBudget+fill*float64(now-e.budgetRefilledAt)/float64(second))
	e.budgetRefilledAt = now
	return e.slowStartBudget >= work*slowStartCharge
}
