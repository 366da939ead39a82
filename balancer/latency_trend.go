package balancer

import "math"

const (
	trendWeight      = 0.1 // weight of the latest outcome
	maxTrendRatio    = 4.0 // cap on the ratio of one latency to its prediction
	trendNoiseMargin = 1.5 // trend that random variation alone may cause
	maxTrend         = 8.0 // the minimum is 1/maxTrend
	trendHalfLife    = 2e6 // half-life of the trend's logarithm, in microseconds
)

// latencyTrend is the ratio of a zone's latencies to their predictions. It changes within a few outcomes,
// while the service times of endpoints with few requests take long to change. Without outcomes it decays
// towards 1, since rejected requests have no outcomes that could show a recovery.
type latencyTrend struct {
	value     float64 // at updatedAt; 1 if latencies are as predicted
	updatedAt Micros
}

// record adds the ratio of an outcome's latency to its present prediction.
func (t *latencyTrend) record(now Micros, ratio float64) {
	value := t.current(now) * (1 + trendWeight*(min(ratio, maxTrendRatio)-1))
	t.value, t.updatedAt = min(maxTrend, max(1/maxTrend, value)), now
}

// current returns the decayed trend now.
func (t *latencyTrend) current(now Micros) float64 {
	return math.Pow(t.value, math.Exp2(-float64(now-t.updatedAt)/trendHalfLife))
}

// slowdown returns the factor, at least 1, by which e's zone now takes longer than the service times of its
// endpoints predict.
func (b *Balancer) slowdown(now Micros, e *endpoint) float64 {
	return max(1, b.zones[e.Zone].trend.current(now)/trendNoiseMargin)
}
