//go:build !go1.25

package scale

// Virtual cannot be: this toolchain has no virtual clock.
func Virtual(Spec, Costs, func(*Result, error)) error { return ErrToolchain }
