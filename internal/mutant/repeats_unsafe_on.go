//go:build mutant_repeats_unsafe

package mutant

// RepeatsUnsafe makes a sidecar treat an attempt whose connection was reset as one that was never executed, so that it retries
// requests that are not safe to retry.
const RepeatsUnsafe = true
