package balancer

// go-zero's constants.
const (
	breakerWindow             = 10 * second
	breakerBuckets            = 40
	maxAcceptMultiplier       = 1.5
	minAcceptMultiplier       = 1.1
	protectedRequests         = 5
	forcedPassInterval        = second
	latencyActivationMultiple = 3
	latencyCeilingFraction    = 0.95
	baselineFallDivisor       = 4
	baselineRiseDivisor       = 100
	currentLatencyDivisor     = 4
	maxLatencyDropProbability = 0.3
)

// breaker holds an endpoint's window of outcomes and its two latency averages.
type breaker struct {
	buckets                         [breakerBuckets]breakerBucket
	newest                          int64 // number of the newest bucket
	requests                        int   // over the window
	accepts                         int
	latencyBaseline, latencyCurrent float64
	forcedPassAt                    Micros // last forced pass
}

type breakerBucket struct{ requests, accepts, failures int }

func (k *breaker) advance(now Micros) *breakerBucket {
	n := now / (breakerWindow / breakerBuckets)
	if n-k.newest >= breakerBuckets {
		k.buckets, k.requests, k.accepts, k.newest = [breakerBuckets]breakerBucket{}, 0, 0, n
	}
	for k.newest < n {
		k.newest++
		old := &k.buckets[k.newest%breakerBuckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = breakerBucket{}
	}
	return &k.buckets[n%breakerBuckets]
}

// record adds to the newest bucket. Whatever is asked counts as a request.
func (k *breaker) record(now Micros, accepts, failures int) {
	at := k.advance(now)
	at.requests++
	at.accepts += accepts
	at.failures += failures
	k.requests++
	k.accepts += accepts
}

func (k *breaker) recordLatency(x float64) {
	if k.latencyBaseline <= 0 {
		k.latencyBaseline, k.latencyCurrent = x, x
		return
	}
	divisor := float64(baselineRiseDivisor)
	if x < k.latencyBaseline {
		divisor = baselineFallDivisor
	}
	k.latencyBaseline = (x + (divisor-1)*k.latencyBaseline) / divisor
	k.latencyCurrent = (x + (currentLatencyDivisor-1)*k.latencyCurrent) / currentLatencyDivisor
}

func (k *breaker) errorDropProbability(now Micros) float64 {
	k.advance(now)
	failing := 0
	for i := k.newest + 1; i <= k.newest+breakerBuckets; i++ {
		if at := &k.buckets[i%breakerBuckets]; at.accepts > 0 {
			failing = 0
		} else if at.failures > 0 {
			failing++
		}
	}
	weight := max(minAcceptMultiplier,
		maxAcceptMultiplier-(maxAcceptMultiplier-minAcceptMultiplier)*float64(failing)/breakerBuckets)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-weight*float64(k.accepts))/(total+1))
}

func (k *breaker) latencyDropProbability(timeout float64) float64 {
	threshold := latencyActivationMultiple * k.latencyBaseline
	ceiling := latencyCeilingFraction * timeout
	if k.latencyBaseline <= 0 || ceiling <= threshold {
		return 0
	}
	return min(maxLatencyDropProbability, max(0,
		(k.latencyCurrent-threshold)/(ceiling-threshold)*maxLatencyDropProbability))
}

// breakerAllows draws the breaker's lot for a request; a refusal counts as a request.
func (b *Balancer) breakerAllows(now Micros, r *request, e *endpoint) bool {
	chance := max(e.breaker.errorDropProbability(now),
		e.breaker.latencyDropProbability(float64(b.classOf(r).ClientTimeout)))
	if chance > 0 && now-e.breaker.forcedPassAt > forcedPassInterval {
		e.breaker.forcedPassAt = now
		return true
	}
	if b.random.float() < chance {
		e.breaker.record(now, 0, 0)
		return false
	}
	return true
}
