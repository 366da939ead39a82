package balancer

const (
	// Fraction of the overload multiple that all balancers together may send to an endpoint that warms up.
	slowStartLoadFraction = 0.28
	slowStartCharge       = 1.15 // budget charged per unit of work: an attempt may cost a handshake, too
	slowStartProbeCost    = 0.01 // budget charged for a load probe, per unit of a request's work
)

// slowStart limits what is sent to an endpoint that warms up, as a token bucket of work. Its zero value
// is an endpoint past its slow start.
type slowStart struct {
	active     bool // as of the last call of isActive
	startedAt  Micros
	budget     float64 // work that may still be started, in microseconds; negative after load probes
	refilledAt Micros
}

// isActive reports whether the slow start still goes on.
func (s *slowStart) isActive(now Micros, rules *Rules) bool {
	if s.active && now-s.startedAt >= rules.SlowStartDuration {
		s.active = false
	}
	return s.active
}

// capacityFraction returns the least fraction of its full capacity, 0 to 1, that the endpoint has by now.
func (s *slowStart) capacityFraction(now Micros, rules *Rules) float64 {
	if !s.isActive(now, rules) {
		return 1
	}
	from := rules.SlowStartMinCapacity
	return from + (1-from)*float64(now-s.startedAt)/float64(rules.SlowStartDuration)
}

// refill adds what a rate (work a second) earned since the last refill, up to a budget.
func (s *slowStart) refill(now Micros, rate, maxBudget float64) {
	s.budget = min(maxBudget, s.budget+rate*float64(now-s.refilledAt)/float64(second))
	s.refilledAt = now
}

// isWarmingUp reports whether e is in its slow start.
func (b *Balancer) isWarmingUp(now Micros, e *endpoint) bool {
	return e.slowStart.isActive(now, &b.settings.Rules)
}

// hasSlowStartBudget refills the budget of an endpoint that warms up and reports whether it covers a
// request of this work (microseconds).
//
// The budget grows by a fraction of this balancer's work per endpoint, or of an even part of what the
// endpoint can serve if that is more, in proportion to its present capacity. As every balancer does so,
// their sum stays within what the endpoint bears, and none has to know of the others' attempts. The even
// part lets an endpoint warm up while most requests are rejected.
func (b *Balancer) hasSlowStartBudget(now Micros, e *endpoint, work float64) bool {
	var warm, usable float64
	for _, other := range b.endpoints {
		usable += indicator(other.isUsable())
		warm += indicator(other.isUsable() && !b.isWarmingUp(now, other))
	}
	startedWork := b.startedWork.rate(now)
	if warm == 0 { // nothing to compare with
		warm, startedWork = usable, b.requestRate.rate(now)*work
	}
	rules := &b.settings.Rules
	evenPart := b.concurrencyOf(e) * float64(second) / float64(b.settings.Balancers*b.processCount)
	rate := min(1, slowStartLoadFraction*rules.OverloadMultiple) * e.slowStart.capacityFraction(now, rules) *
		max(startedWork/max(1, warm), evenPart)
	cost := work * slowStartCharge
	maxBudget := max(rate*float64(rules.OverloadDuration)/float64(second)/2, cost)
	e.slowStart.refill(now, rate, maxBudget)
	return e.slowStart.budget >= cost
}
