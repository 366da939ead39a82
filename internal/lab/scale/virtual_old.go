//go:build !go1.25

package scale

// RunVirtual cannot be: this toolchain has no virtual clock.
func RunVirtual(Spec, Costs, func(*Result, error)) error { return ErrNoVirtualClock }
