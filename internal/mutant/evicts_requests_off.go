//go:build !mutant_evicts_requests

package mutant

// EvictsRequests makes a sidecar evict connections even if their clients still wait for a response.
const EvictsRequests = false
