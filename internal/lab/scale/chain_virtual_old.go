//go:build !go1.25

package scale

// RunChainVirtual cannot be: this toolchain has no virtual clock.
func RunChainVirtual(Chain, func(*ChainResult, error)) error { return ErrNoVirtualClock }
