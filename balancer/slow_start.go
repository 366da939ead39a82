package balancer

// A cold endpoint gets at most a share of its warmth's part of our own mean work per warm endpoint, or of an
// even part of what a warm one can do, if that is more. All balancers doing so, their sum stays under twice
// what it can do; none needs to know of the others. By the first alone, one that refuses most would leave
// what is cold idle, and refuse for that. Each send is charged a little more than its work, for the handshake
// that it may cost.
const (
	coldShare  = 0.28 // of the multiple at which it falls over
	coldCharge = 1.15
	probeShare = 0.01 // of a request's work, taken from a cold endpoint's room by a probe
)

func (e *endpoint) cold(now Micros, b *Balancer) bool {
	if e.isCold && now-e.coldFrom >= b.s.Rules.SlowStartDuration {
		e.isCold = false
	}
	return e.isCold
}

// warmth is the least share of its capacity that e has by now.
func (e *endpoint) warmth(now Micros, b *Balancer) float64 {
	if !e.cold(now, b) {
		return 1
	}
	from := b.s.Rules.SlowStartMinCapacity
	return from + (1-from)*float64(now-e.coldFrom)/float64(b.s.Rules.SlowStartDuration)
}

// coldRoom refills the token bucket of a cold endpoint and says whether a request of this work fits.
func (b *Balancer) coldRoom(now Micros, e *endpoint, work float64) bool {
	var warm, ready float64
	for _, o := range b.list {
		ready += share(o.usable())
		warm += share(o.usable() && !o.cold(now, b))
	}
	rate := b.sentWork.rate(now)
	if warm == 0 { // nothing to compare with: an even share of what is asked
		warm, rate = ready, b.demand.rate(now)*work
	}
	even := b.width(e) * float64(second) / float64(b.s.Balancers*b.processes)
	fill := min(1, coldShare*b.s.Rules.OverloadMultiple) * e.warmth(now, b) * max(rate/max(1, warm), even)
	most := max(fill*float64(b.s.Rules.OverloadDuration)/float64(second)/2, work*coldCharge)
	e.room = min(most, e.room+fill*float64(now-e.roomAt)/float64(second))
	e.roomAt = now
	return e.room >= work*coldCharge
}
