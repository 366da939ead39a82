// Package admin answers the operators' HTTP calls: readiness of the process, bans of endpoints, drain, fleet status and
// control traffic. It knows HTTP and the form of the answers; what the calls do is the Controller's.
//
// The paths and the JSON fields are the operators' and stay as they are; docs/operators.md lists them.
package admin

import (
	"errors"

	"bramblestand/internal/controltraffic"
	"bramblestand/internal/fleet"
)

// Errors of a Controller. The text is the body of the answer.
var (
	// ErrUnknownEndpoint reports that no endpoint of this name was ever listed; it is answered 404.
	ErrUnknownEndpoint = errors.New("no such pin server was ever listed")
	// ErrBusy reports that the sidecar did not get to a call in time, and that the call has no effect; it is answered 503.
	ErrBusy = errors.New("the call could not be carried out in time")
	// ErrUnconfirmed reports that a change was recorded and takes effect as soon as the sidecar gets to it; it is answered 503.
	ErrUnconfirmed = errors.New("the change is recorded and takes effect when the sidecar gets to it: repeat the call to have it confirmed")
	// ErrFleetDisabled reports that the configuration has no fleet; it is answered 404.
	ErrFleetDisabled = errors.New("the view of the fleet is off (fleet.on)")
	// ErrNoFleetMember reports that this process is not the sidecar's member of the fleet; it is answered 503.
	ErrNoFleetMember = errors.New("another process of this sidecar keeps the view, or none does yet")
	// ErrTrafficNotCounted reports that control traffic is not counted; it is answered 404.
	ErrTrafficNotCounted = errors.New("what control costs is not counted")
)

// Settings is what operators ordered of the sidecar, in whichever of its processes.
type Settings struct {
	Banned  []string `json:"banned"` // names of endpoints taken out of use by hand
	Drained bool     `json:"drained"`
}

// Controller carries the calls out. Its methods are called from many goroutines at once. An error that is none of this
// package's is answered 503 with its text.
type Controller interface {
	// IsServing reports whether this process serves clients; a drained one does.
	IsServing() bool
	// Settings returns the settings in force.
	Settings() Settings
	// SetBanned takes an endpoint out of use or back into use. It returns ErrUnknownEndpoint, ErrBusy or
	// ErrUnconfirmed.
	SetBanned(endpoint string, banned bool) error
	// SetDrained sends clients to other sidecars or admits them again. It may return ErrBusy or
	// ErrUnconfirmed.
	SetDrained(drained bool) error
	// FleetStatus returns ErrFleetDisabled or ErrNoFleetMember where there is none; brief leaves out members and traffic.
	FleetStatus(brief bool) (fleet.Status, error)
	// ControlTraffic returns what control has cost since the start, or ErrTrafficNotCounted.
	ControlTraffic() (controltraffic.Status, error)
}
