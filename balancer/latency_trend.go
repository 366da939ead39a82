package balancer

import "math"

const (
	trendWeight      = 0.1 // of the latest outcome
	maxTrendRatio    = 4.0 // of a latency to its prediction, as one outcome counts
	trendNoiseMargin = 1.5 // trend that chance alone may cause
	maxTrend         = 8.0 // and 1/maxTrend is the least
	trendHalfLife    = 2e6 // of its logarithm, in microseconds
)

// latencyTrend is the ratio of the latencies of a zone to their predictions. It moves within a few
// outcomes, where the service times of endpoints that get few requests would take long, and fades without
// outcomes, since rejected requests have none that could show a recovery.
type latencyTrend struct {
	value     float64 // at updatedAt; 1 for as predicted
	updatedAt Micros
}

// record adds an outcome, as the ratio of its latency to the present prediction.
func (t *latencyTrend) record(now Micros, ratio float64) {
	value := t.current(now) * (1 + trendWeight*(min(ratio, maxTrendRatio)-1))
	t.value, t.updatedAt = min(maxTrend, max(1/maxTrend, value)), now
}

// current returns the trend now.
func (t *latencyTrend) current(now Micros) float64 {
	return math.Pow(t.value, math.Exp2(-float64(now-t.updatedAt)/trendHalfLife))
}

// slowdown returns how many times longer than predicted by its endpoints alone e's zone takes now, at
// least 1.
func (b *Balancer) slowdown(now Micros, e *endpoint) float64 {
	return max(1, b.zones[e.Zone].trend.current(now)/trendNoiseMargin)
}
