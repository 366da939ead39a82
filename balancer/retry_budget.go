package balancer

const (
	maxRetryTokens        = 10.0
	retryTokensPerRequest = 0.2 // retries earned by each request
)
