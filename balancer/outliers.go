package balancer

import "math"

const (
	// of the latest outcome in an endpoint's share of failures: a single one does not eject
	failureWeight     = 0.2
	ejectionThreshold = 0.4 // share of failures from which an endpoint is ejected
)

// currentFailureRate is the recent share of failures at e; it fades, so that e is tried again.
func (e *endpoint) currentFailureRate(now Micros) float64 {
	f := e.failureRate * math.Exp2(-float64(now-e.failureRateAt)/float64(3*second))
	return f * indicator(f > 0.01) // all but forgotten is forgotten
}

// isEjected says whether e fails so often of late that it serves only when nothing else is left.
func (e *endpoint) isEjected(now Micros) bool { return e.currentFailureRate(now) >= ejectionThreshold }
