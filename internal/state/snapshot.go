// Package state persists what a sidecar has learned, so that it survives a crash or a power loss. Each sidecar has one
// bbolt file, to which complete snapshots are written.
//
// The event loop of internal/sidecar takes a Snapshot and hands it to a Writer, which saves it in its own goroutine. An
// operator's call that changes settings saves a snapshot synchronously with Save before it is answered. When the sidecar
// starts, it reads the file with Load. codec.go defines the content of the records, record.go their framing. See
// docs/design-state.md.
package state

import (
	"encoding/json"
	"time"
)

// maxClockSkew is how far in the future a list may be dated and still count as fresh.
const maxClockSkew = time.Minute

// Endpoint is one endpoint of the list as discovery last reported it. Its JSON form is discovery's own.
type Endpoint struct {
	Name            string  `json:"host"`
	Address         string  `json:"dial"` // host:port
	Zone            string  `json:"site"`
	MachineType     string  `json:"class"`
	Pod             uint16  `json:"block"`
	Health          string  `json:"health"`  // discovery's name for the state
	Weight          float32 `json:"share"`   // capacity, relative to the other endpoints
	StartedAtMillis int64   `json:"born_ms"` // Unix time of the latest start in milliseconds; 0 for unknown
}

// EndpointState holds what the balancer has learned about one endpoint.
type EndpointState struct {
	Name            string
	LatencyBaseline float64 // microseconds: the breaker's long-term average
	LatencyCurrent  float64 // microseconds: the breaker's short-term average
	ServiceTime     float64 // microseconds per unit of work
	FailureRate     float64 // recent share of failures, 0..1
}

// AdminSettings holds the settings that operators made for the sidecar.
type AdminSettings struct {
	Revision uint64   // grows with every change: of two records, the one with the larger revision is in force
	Banned   []string // names of the endpoints that operators have banned
	Drained  bool     // clients are sent to other sidecars
}

// Snapshot is everything that is persisted.
type Snapshot struct {
	SidecarName string // the owner: Load rejects the file of another sidecar

	ListedAt    time.Time // wall clock when discovery last confirmed the list; the list's age counts from it
	ListVersion uint64    // discovery's sequence number
	IsFullList  bool      // Endpoints is the complete list, not changes only
	Endpoints   []Endpoint

	Admin          AdminSettings
	EndpointStates []EndpointState

	LeaseEpoch   uint64          // of the lease last held; reserved, always 0 today
	ReleaseStage string          // of the release; reserved, always empty today
	Membership   json.RawMessage // last stable membership, as encoded by internal/fleet; nil for none
}

// IsFresh reports whether a list that was confirmed at listedAt may still be used at now. The list must be younger than
// maxAge and must not be dated more than a minute in the future. A later date means that the clock was set back, or that
// the file comes from another machine.
func IsFresh(listedAt, now time.Time, maxAge time.Duration) bool {
	age := now.Sub(listedAt)
	return age < maxAge && age > -maxClockSkew
}
