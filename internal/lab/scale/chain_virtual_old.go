//go:build !go1.25

package scale

// VirtualChain cannot be: this toolchain has no virtual clock.
func VirtualChain(Chain, func(*ChainResult, error)) error { return ErrToolchain }
