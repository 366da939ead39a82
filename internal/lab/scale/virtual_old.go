//go:build !go1.25

package scale

// RunVirtual returns ErrNoVirtualClock: toolchains before Go 1.25 have no virtual clock.
func RunVirtual(Spec, Costs, func(*Result, error)) error { return ErrNoVirtualClock }
