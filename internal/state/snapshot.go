// Package state persists what a sidecar has learned, so that it outlives a crash or a power loss: one bbolt file per
// sidecar, written as complete snapshots.
//
// The event loop of internal/sidecar takes a Snapshot and hands it to a Writer, which saves it in a goroutine of its
// own; an operator's call saves one synchronously with Save before it is answered. At a start the sidecar reads the
// file with Load. The format of the records is in codec.go, their framing in record.go. See docs/design-state.md.
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
	Health          string  `json:"health"`  // a state in discovery's words
	Weight          float32 `json:"share"`   // capacity, relative to the other endpoints
	StartedAtMillis int64   `json:"born_ms"` // Unix time of the latest start in milliseconds; 0 for unknown
}

// EndpointState is what the balancer learned of one endpoint.
type EndpointState struct {
	Name            string
	LatencyBaseline float64 // microseconds: the breaker's long-term average
	LatencyCurrent  float64 // microseconds: the breaker's short-term average
	ServiceTime     float64 // microseconds per unit of work
	FailureRate     float64 // recent, 0..1
}

// AdminSettings is what operators ordered of the sidecar.
type AdminSettings struct {
	Revision uint64   // grows with every change: of two records the one with the larger revision is in force
	Banned   []string // names of endpoints taken out of use by hand
	Drained  bool     // clients are sent to other sidecars
}

// Snapshot is everything that is persisted.
type Snapshot struct {
	SidecarName string // the file of another sidecar is rejected

	ListedAt    time.Time // wall clock when discovery last confirmed the list; the list's age counts from it
	ListVersion uint64    // discovery's sequence number
	IsFullList  bool      // Endpoints is the complete list, not changes only
	Endpoints   []Endpoint

	Admin          AdminSettings
	EndpointStates []EndpointState

	LeaseEpoch   uint64          // of the lease last held; reserved, always 0 today
	ReleaseStage string          // of the release; reserved, always empty today
	Membership   json.RawMessage // last stable membership, in the form that internal/fleet gave it; nil for none
}

// IsFresh reports whether a list that was confirmed at listedAt may still be served from at now: it is younger than
// maxAge, and not dated in the future by more than a minute (the clock was set back, or the file is another machine's).
func IsFresh(listedAt, now time.Time, maxAge time.Duration) bool {
	age := now.Sub(listedAt)
	return age < maxAge && age > -maxClockSkew
}
