package balancer

import "math"

const (
	failureWeight     = 0.2 // weight of the latest outcome: a single failure does not eject an endpoint
	ejectionThreshold = 0.4 // failure rate at which an endpoint is ejected
	failureHalfLife   = 3 * second
	minFailureRate    = 0.01 // lower rates count as 0
)

// failureRate is the fraction of an endpoint's recent attempts that failed. It decays over time, so that an
// ejected endpoint is tried again.
type failureRate struct {
	value     float64 // at updatedAt
	updatedAt Micros
}

// current returns the decayed failure rate now.
func (f *failureRate) current(now Micros) float64 {
	rate := f.value * math.Exp2(-float64(now-f.updatedAt)/float64(failureHalfLife))
	return rate * indicator(rate > minFailureRate)
}

// recordSuccess adds an attempt that got a response.
func (f *failureRate) recordSuccess(now Micros) {
	f.value, f.updatedAt = (1-failureWeight)*f.current(now), now
}

// recordFailure adds an attempt that failed.
func (f *failureRate) recordFailure(now Micros) {
	f.value, f.updatedAt = (1-failureWeight)*f.current(now)+failureWeight, now
}

// isOutlier reports whether the endpoint is ejected. An ejected endpoint costs over one latency objective
// more than others and is the last choice among random candidates. Without new failures the rate falls below
// the threshold within 4 s.
func (f *failureRate) isOutlier(now Micros) bool { return f.current(now) >= ejectionThreshold }

// recordFailure adds an attempt that failed at e, and logs an ejection.
func (b *Balancer) recordFailure(now Micros, e *endpoint) {
	wasOutlier := e.failures.isOutlier(now)
	e.failures.recordFailure(now)
	if !wasOutlier && e.failures.isOutlier(now) {
		b.log(now, "endpoint ejected",
			LogField{"endpoint", e.ID},
			LogField{"failure_percent", math.Round(100 * e.failures.value)})
	}
}
