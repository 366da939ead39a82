// Package state keeps what a sidecar learned over a crash or power loss: one
// bbolt file per sidecar, written as whole snapshots, every record framed with
// its format version, kind, length and xxhash64. See docs/design-state.md.
package state

import (
	"encoding/json"
	"time"
)

// Endpoint is one server of the list as discovery last told it.
type Endpoint struct {
	Name            string  `json:"host"`
	Address         string  `json:"dial"`
	Zone            string  `json:"site"`
	MachineType     string  `json:"class"`
	Pod             uint16  `json:"block"`
	Health          string  `json:"health"`
	Weight          float32 `json:"share"`
	StartedAtMillis int64   `json:"born_ms"`
}

// EndpointState is what the module learned of one server: breaker latency baselines
// (microseconds), pace (microseconds a unit of work) and the recent share of
// failures (0..1).
type EndpointState struct {
	Name            string  `json:"host"`
	LatencyBaseline float64 `json:"base"`
	LatencyCurrent  float64 `json:"current"`
	ServiceTime     float64 `json:"pace"`
	FailureRate     float64 `json:"errs"`
}

// Snapshot is all that is kept. Written is the wall-clock time at which
// discovery last told the list, from which its age runs; nothing else in it is
// a time.
type Snapshot struct {
	SidecarName    string          `json:"name"` // of the sidecar; a file of another is foreign
	ListedAt       time.Time       `json:"written"`
	ListVersion    uint64          `json:"seq"` // of the list
	IsFullList     bool            `json:"whole"`
	Endpoints      []Endpoint      `json:"hosts"`
	AdminRevision  uint64          `json:"ops_seq"` // of what operators ordered: of two records the one with the larger stands
	Banned         []string        `json:"banned"`  // host names, out of use by hand
	Drained        bool            `json:"drained"`
	EndpointStates []EndpointState `json:"servers"`
	LeaseEpoch     uint64          `json:"epoch"` // of the lease last held; issue 13
	ReleaseStage   string          `json:"stage"` // of the release; issue 15

	Membership json.RawMessage `json:"view,omitempty"` // the fleet's last settled view, as internal/fleet keeps it
}

// IsFresh says whether a list written at written may still be served at now: it
// is younger than maxAge, and not from the future by more than a minute (the
// clock jumped, or it was written elsewhere).
func IsFresh(written, now time.Time, maxAge time.Duration) bool {
	age := now.Sub(written)
	return age < maxAge && age > -time.Minute
}
