package balancer

const (
	// Fraction of the overload multiple that all balancers together may send to an endpoint in its slow start.
	slowStartLoadFraction = 0.28
	slowStartCharge       = 1.15 // budget charged per unit of work; above 1 as an attempt may need a handshake
	slowStartProbeCost    = 0.01 // budget charged for a load probe, per unit of mean work
)

// slowStart is a token bucket that limits the work sent to an endpoint in its slow start. The zero value
// means that the endpoint is past its slow start.
type slowStart struct {
	active     bool // as of the last call of isActive
	startedAt  Micros
	budget     float64 // work that may still be started, in microseconds; negative after load probes
	refilledAt Micros
}

// isActive reports whether the slow start is still in progress.
func (s *slowStart) isActive(now Micros, rules *Rules) bool {
	if s.active && now-s.startedAt >= rules.SlowStartDuration {
		s.active = false
	}
	return s.active
}

// capacityFraction returns the fraction of its full capacity, 0 to 1, that the endpoint has at least by now.
func (s *slowStart) capacityFraction(now Micros, rules *Rules) float64 {
	if !s.isActive(now, rules) {
		return 1
	}
	from := rules.SlowStartMinCapacity
	return from + (1-from)*float64(now-s.startedAt)/float64(rules.SlowStartDuration)
}

// refill adds the budget earned since the last refill at rate (microseconds of work per second), up to
// maxBudget.
func (s *slowStart) refill(now Micros, rate, maxBudget float64) {
	s.budget = min(maxBudget, s.budget+rate*float64(now-s.refilledAt)/float64(second))
	s.refilledAt = now
}

// isWarmingUp reports whether e is in its slow start.
func (b *Balancer) isWarmingUp(now Micros, e *endpoint) bool {
	return e.slowStart.isActive(now, &b.settings.Rules)
}

// hasSlowStartBudget refills the budget of an endpoint in its slow start and reports whether it covers a
// request with this work (microseconds).
//
// The budget grows in proportion to the endpoint's present capacity. The growth is a fraction of the work
// that this balancer starts per warm endpoint, or of an even share of what the endpoint can serve, whichever
// is more. Since every balancer does the same, their sum stays within what the endpoint can bear, although
// no balancer knows of the others' attempts. The even share lets an endpoint warm up while most requests are
// rejected.
func (b *Balancer) hasSlowStartBudget(now Micros, e *endpoint, work float64) bool {
	var warm, usable float64
	for _, other := range b.endpoints {
		usable += indicator(other.isUsable())
		warm += indicator(other.isUsable() && !b.isWarmingUp(now, other))
	}
	startedWork := b.startedWork.rate(now)
	if warm == 0 { // there is no warm endpoint to compare with
		warm, startedWork = usable, b.requestRate.rate(now)*work
	}
	rules := &b.settings.Rules
	evenShare := b.concurrencyOf(e) * float64(second) / float64(b.settings.Balancers*b.processCount)
	rate := min(1, slowStartLoadFraction*rules.OverloadMultiple) * e.slowStart.capacityFraction(now, rules) *
		max(startedWork/max(1, warm), evenShare)
	cost := work * slowStartCharge
	maxBudget := max(rate*float64(rules.OverloadDuration)/float64(second)/2, cost)
	e.slowStart.refill(now, rate, maxBudget)
	return e.slowStart.budget >= cost
}
