package sidecar

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Reasons for which the sidecar itself rejects requests, in addition to those of balancer.RejectReason.
var (
	rejectionConnections = &rejection{"too_many_connections", overloadRetryAfter} // more client connections than allowed
	rejectionMemory      = &rejection{"no_memory", overloadRetryAfter}            // no memory left for the request and its response
	rejectionShutdown    = &rejection{"shutting_down", shutdownRetryAfter}        // the process is shutting down
)

// rejection is a reason for which the sidecar itself rejects a request.
type rejection struct {
	reason     string        // for the log and the counts
	retryAfter time.Duration // sent to the client
}

// reasonCounts counts events by reason. Its methods may be called from any goroutine.
type reasonCounts struct {
	prefix string // of the keys in the log

	mu     sync.Mutex // guards counts
	counts map[string]int
}

// add counts an event.
func (r *reasonCounts) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[reason]++
}

// attributes returns the counts since the start as log attributes, with one key for each reason that occurred.
func (r *reasonCounts) attributes() (attributes []any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(r.counts)) {
		attributes = append(attributes, r.prefix+reason, r.counts[reason])
	}
	return attributes
}
