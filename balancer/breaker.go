package balancer

// The constants are those of go-zero's breaker, which combines the error rate with the latency.
const (
	breakerWindow       = 10 * second
	breakerBuckets      = 40
	maxAcceptMultiplier = 1.5    // k: requests allowed per accepted request
	minAcceptMultiplier = 1.1    // k once all buckets are failing
	protectedRequests   = 5      // requests in the window that are never dropped for errors
	forcedPassInterval  = second // between two forced requests to an endpoint
	latencyMultiple     = 3      // multiple of the baseline above which latency counts
	latencyCeiling      = 0.95   // fraction of the timeout at which the drop probability is greatest
	maxLatencyDrop      = 0.3    // greatest drop probability for latency

	// A latency has the weight 1/divisor in its average. The baseline falls faster than it rises.
	baselineFallDivisor   = 4
	baselineRiseDivisor   = 100
	currentLatencyDivisor = 4
)

// breaker drops requests to one endpoint at random. The drop probability grows with the failures within a
// window and with the distance of the latency from its baseline.
type breaker struct {
	buckets         [breakerBuckets]breakerBucket
	newest          int64   // number of the newest bucket, counted from the origin of Micros
	requests        int     // over the window
	accepts         int     // over the window
	latencyBaseline float64 // microseconds; 0 before the first success
	latencyCurrent  float64 // microseconds
	forcedPassAt    Micros  // time of the latest forced request
}

type breakerBucket struct{ requests, accepts, failures int }

// advance moves the window to now and returns the newest bucket.
func (k *breaker) advance(now Micros) *breakerBucket {
	number := now / (breakerWindow / breakerBuckets)
	if number-k.newest >= breakerBuckets {
		k.buckets, k.requests, k.accepts, k.newest = [breakerBuckets]breakerBucket{}, 0, 0, number
	}
	for k.newest < number {
		k.newest++
		oldest := &k.buckets[k.newest%breakerBuckets]
		k.requests -= oldest.requests
		k.accepts -= oldest.accepts
		*oldest = breakerBucket{}
	}
	return &k.buckets[number%breakerBuckets]
}

// record counts one request with its accepts and failures, each 0 or 1. A dropped request has neither.
func (k *breaker) record(now Micros, accepts, failures int) {
	bucket := k.advance(now)
	bucket.requests++
	bucket.accepts += accepts
	bucket.failures += failures
	k.requests++
	k.accepts += accepts
}

// recordLatency adds the latency (microseconds) of a success to the two averages.
func (k *breaker) recordLatency(latency float64) {
	if k.latencyBaseline <= 0 {
		k.latencyBaseline, k.latencyCurrent = latency, latency
		return
	}
	divisor := float64(baselineRiseDivisor)
	if latency < k.latencyBaseline {
		divisor = baselineFallDivisor
	}
	k.latencyBaseline = (latency + (divisor-1)*k.latencyBaseline) / divisor
	k.latencyCurrent = (latency + (currentLatencyDivisor-1)*k.latencyCurrent) / currentLatencyDivisor
}

// errorDropProbability returns the probability, 0 to 1, of a drop because of failures within the window.
func (k *breaker) errorDropProbability(now Micros) float64 {
	k.advance(now)
	failing := 0 // buckets since the last success
	for i := k.newest + 1; i <= k.newest+breakerBuckets; i++ {
		if bucket := &k.buckets[i%breakerBuckets]; bucket.accepts > 0 {
			failing = 0
		} else if bucket.failures > 0 {
			failing++
		}
	}
	adjusted := maxAcceptMultiplier - (maxAcceptMultiplier-minAcceptMultiplier)*float64(failing)/breakerBuckets
	multiplier := max(minAcceptMultiplier, adjusted)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-multiplier*float64(k.accepts))/(total+1))
}

// latencyDropProbability returns the probability, 0 to maxLatencyDrop, of a drop because of a latency above
// its baseline. timeout (microseconds) is the client timeout of the request's class.
func (k *breaker) latencyDropProbability(timeout float64) float64 {
	threshold := latencyMultiple * k.latencyBaseline
	ceiling := latencyCeiling * timeout
	if k.latencyBaseline <= 0 || ceiling <= threshold {
		return 0
	}
	return min(maxLatencyDrop, max(0, (k.latencyCurrent-threshold)/(ceiling-threshold)*maxLatencyDrop))
}

// allows draws at random whether a request with this timeout may go to the endpoint. One request passes in
// each forcedPassInterval, so that a recovery is noticed.
func (k *breaker) allows(now Micros, timeout float64, random *randomSource) bool {
	probability := max(k.errorDropProbability(now), k.latencyDropProbability(timeout))
	if probability > 0 && now-k.forcedPassAt > forcedPassInterval {
		k.forcedPassAt = now
		return true
	}
	if random.float() < probability {
		k.record(now, 0, 0)
		return false
	}
	return true
}

// breakerAllows reports whether the breaker of e lets a request pass.
func (b *Balancer) breakerAllows(now Micros, r *request, e *endpoint) bool {
	return e.breaker.allows(now, float64(b.classOf(r).ClientTimeout), &b.random)
}
