package balancer

// The constants of go-zero's breaker, which combines the error rate with the latency.
const (
	breakerWindow         = 10 * second
	breakerBuckets        = 40
	maxAcceptMultiplier   = 1.5    // k: requests allowed per accepted one
	minAcceptMultiplier   = 1.1    // k once all buckets are failing
	protectedRequests     = 5      // never dropped for errors
	forcedPassInterval    = second // at an endpoint
	latencyMultiple       = 3      // of the baseline, from which latency counts
	latencyCeiling        = 0.95   // of the timeout, at which the drop probability is greatest
	maxLatencyDrop        = 0.3    // probability
	baselineFallDivisor   = 4
	baselineRiseDivisor   = 100
	currentLatencyDivisor = 4
)

// breaker drops requests to one endpoint at random: the more of them, the more failed within a window, or
// the further the latency is above its baseline.
type breaker struct {
	buckets         [breakerBuckets]breakerBucket
	newest          int64 // number of the newest bucket since the origin of time
	requests        int   // over the window
	accepts         int
	latencyBaseline float64 // microseconds; 0 before the first success
	latencyCurrent  float64
	forcedPassAt    Micros
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

// record counts a request with its accepts and failures. A dropped request has neither.
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

// errorDropProbability returns the probability, 0 to 1, of a drop for failures within the window.
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
	eased := maxAcceptMultiplier - (maxAcceptMultiplier-minAcceptMultiplier)*float64(failing)/breakerBuckets
	multiplier := max(minAcceptMultiplier, eased)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-multiplier*float64(k.accepts))/(total+1))
}

// latencyDropProbability returns the probability of a drop for a latency above its baseline; timeout
// (microseconds) is that of the request's class.
func (k *breaker) latencyDropProbability(timeout float64) float64 {
	threshold := latencyMultiple * k.latencyBaseline
	ceiling := latencyCeiling * timeout
	if k.latencyBaseline <= 0 || ceiling <= threshold {
		return 0
	}
	return min(maxLatencyDrop, max(0, (k.latencyCurrent-threshold)/(ceiling-threshold)*maxLatencyDrop))
}

// allows draws whether a request of this timeout may go to the endpoint. One passes in each interval, so
// that a recovery is noticed.
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

// breakerAllows asks the breaker of e for a request.
func (b *Balancer) breakerAllows(now Micros, r *request, e *endpoint) bool {
	return e.breaker.allows(now, float64(b.classOf(r).ClientTimeout), &b.random)
}
