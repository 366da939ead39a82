package balancer

import "testing"

func TestRetryBudgetEarnsAFractionUpToItsBurst(t *testing.T) {
	var budget retryBudget
	for range 10 {
		budget.earn()
	}
	if want := 10 * retryTokensPerRequest; !isNear(budget.tokens, want) {
		t.Errorf("%v tokens after ten requests, want %v", budget.tokens, want)
	}
	for range 1000 {
		budget.earn()
	}
	if budget.tokens != maxRetryTokens {
		t.Errorf("%v tokens after many requests, want %v", budget.tokens, maxRetryTokens)
	}
}

// Without a token, an attempt that may have run is not retried. An attempt that certainly did not run needs no
// token.
func TestRetryCostsATokenIfTheAttemptMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		status       Status
		tokens       float64
		wantAttempts int
		wantTokens   float64
	}{
		{Error, 1.5, 2, 0.5},
		{Error, 0.9, 1, 0.9},
		{Rejected, 0, 2, 0},
		{ConnectFailed, 0, 2, 0},
	} {
		b, r := start(t, testSettings(), ready(3))
		b.RequestArrived(1000, requestOf(1, 0, 1000))
		b.retryBudget.tokens = c.tokens
		b.AttemptFinished(2000, Outcome{ID: 1, Endpoint: r.attempts[0].endpoint, Status: c.status, Latency: 1000})
		if len(r.attempts) != c.wantAttempts || !isNear(b.retryBudget.tokens, c.wantTokens) {
			t.Errorf("%v with %v tokens: %d attempts and %v tokens left, want %d and %v",
				c.status, c.tokens, len(r.attempts), b.retryBudget.tokens, c.wantAttempts, c.wantTokens)
		}
	}
}
