//go:build !mutant_evicts_requests

package mutant

// EvictsRequests makes a sidecar evict connections whatever their clients are owed.
const EvictsRequests = false
