package balancer

const (
	maxRetryTokens        = 10.0 // capacity of the token bucket
	retryTokensPerRequest = 0.2  // tokens added by each request that arrives
)

// retryBudget is a token bucket that limits retries to a fraction of the requests. A retry costs one token,
// or nothing if the failed attempt was certainly not executed.
type retryBudget struct{ tokens float64 }

// earn adds the tokens of one request.
func (t *retryBudget) earn() { t.tokens = min(maxRetryTokens, t.tokens+retryTokensPerRequest) }

// retry starts another attempt after one that failed, if the budget covers it, and reports whether it did.
func (b *Balancer) retry(now Micros, r *request, failed *attempt) bool {
	cost := indicator(failed.mayHaveRun)
	if b.retryBudget.tokens < cost || b.pickAndStart(now, r, false) != notRejected {
		return false
	}
	b.retryBudget.tokens -= cost
	return true
}
