//go:build mutant_ignores_draining

package mutant

// IgnoresDraining makes a sidecar treat draining endpoints as ready.
const IgnoresDraining = true
