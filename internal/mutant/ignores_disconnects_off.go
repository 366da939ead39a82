//go:build !mutant_ignores_disconnects

package mutant

// IgnoresDisconnects makes a sidecar continue to process requests of clients that have disconnected.
const IgnoresDisconnects = false
