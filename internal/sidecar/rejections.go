package sidecar

import (
	"maps"
	"slices"
	"sync"
)

// Reasons of rejections beside those of balancer.RejectReason.
const (
	rejectedConnections  = "too_many_connections"
	rejectedMemory       = "no_memory"
	rejectedShuttingDown = "shutting_down"
)

// rejectionCounts counts rejected requests by reason. Its methods may be called from any goroutine.
type rejectionCounts struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

// add counts a rejection.
func (r *rejectionCounts) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[reason]++
}

// attributes returns the counts since the start for a log line, with a key for each reason that there was.
func (r *rejectionCounts) attributes() (attributes []any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(r.counts)) {
		attributes = append(attributes, "rejected_"+reason, r.counts[reason])
	}
	return attributes
}
