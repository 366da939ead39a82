//go:build mutant_ignores_draining

package mutant

// IgnoresDraining makes a sidecar take endpoints that drain for ready ones.
const IgnoresDraining = true
