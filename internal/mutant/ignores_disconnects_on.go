//go:build mutant_ignores_disconnects

package mutant

// IgnoresDisconnects makes a sidecar go on for clients that have disconnected.
const IgnoresDisconnects = true
