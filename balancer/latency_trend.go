package balancer

import "math"

const (
	trendWeight      = 0.1
	maxTrendRatio    = 4.0 // one outcome counts as no more than this many times the prediction
	trendNoiseMargin = 1.5
	maxTrend         = 8.0
	trendHalfLife    = 2e6 // half-life of its logarithm
)

// updateTrend shifts what is expected of every endpoint of a zone by one outcome: when a whole zone
// turns slow, or
// recovers, the paces of endpoints that see little of our traffic are learned far too late. The ratio is to
// what is expected by now: requests sent before the trend moved must not each move it as far again.
func (b *Balancer) updateTrend(now Micros, e *endpoint, ratio float64) {
	z := &b.zones[e.Zone]
	trend := z.currentTrend(now) * (1 + trendWeight*(min(ratio, maxTrendRatio)-1))
	z.trend, z.trendUpdatedAt = min(maxTrend, max(1/maxTrend, trend)), now
}

// currentTrend is the trend by now. What is refused has no outcome that could tell of a recovery: a
// trend that
// did not fade would go on refusing to an idle fleet, for longer the fewer requests a balancer has.
func (z *zoneStats) currentTrend(now Micros) float64 {
	return math.Pow(z.trend, math.Exp2(-float64(now-z.trendUpdatedAt)/trendHalfLife))
}

// slowdown is the trend at e beyond what chance makes of it.
func (b *Balancer) slowdown(now Micros, e *endpoint) float64 {
	return max(1, b.zones[e.Zone].currentTrend(now)/trendNoiseMargin)
}
