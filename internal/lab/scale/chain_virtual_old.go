//go:build !go1.25

package scale

// RunChainVirtual returns ErrNoVirtualClock: toolchains before Go 1.25 have no virtual clock.
func RunChainVirtual(Chain, func(*ChainResult, error)) error { return ErrNoVirtualClock }
