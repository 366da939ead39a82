//go:build mutant_repeats_unsafe

package mutant

// RepeatsUnsafe makes a sidecar take an attempt whose connection was reset for one that never ran.
const RepeatsUnsafe = true
