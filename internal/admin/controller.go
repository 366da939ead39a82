// Package admin answers the operators' HTTP calls: readiness of the process, bans of endpoints, drain, fleet status and
// control traffic. It handles HTTP and the format of the answers; a Controller carries out the calls.
//
// Operators' tools depend on the paths and the JSON fields, so they must not change; docs/operators.md lists them.
package admin

import (
	"errors"

	"bramblestand/internal/controltraffic"
	"bramblestand/internal/fleet"
)

// Errors of a Controller. The text of an error is the body of the answer.
var (
	// ErrUnknownEndpoint reports that no endpoint with this name was ever listed; it is answered with 404.
	ErrUnknownEndpoint = errors.New("no such pin server was ever listed")
	// ErrBusy reports that the sidecar did not begin to handle a call in time, and that the call has no effect; it is answered
	// with 503.
	ErrBusy = errors.New("the call could not be carried out in time")
	// ErrUnconfirmed reports that a change is recorded but not applied yet, and takes effect as soon as the sidecar handles it;
	// it is answered with 503.
	ErrUnconfirmed = errors.New("the change is recorded and takes effect when the sidecar gets to it: repeat the call to have it confirmed")
	// ErrFleetDisabled reports that the configuration does not enable the fleet; it is answered with 404.
	ErrFleetDisabled = errors.New("the view of the fleet is off (fleet.on)")
	// ErrNoFleetMember reports that this process is not the sidecar's member of the fleet; it is answered with 503.
	ErrNoFleetMember = errors.New("another process of this sidecar keeps the view, or none does yet")
	// ErrTrafficNotCounted reports that control traffic is not counted; it is answered with 404.
	ErrTrafficNotCounted = errors.New("what control costs is not counted")
)

// Settings holds the settings that operators made for the sidecar, through any of its processes.
type Settings struct {
	Banned  []string `json:"banned"` // names of the endpoints that operators have banned
	Drained bool     `json:"drained"`
}

// Controller carries out the calls. Its methods are called from many goroutines at once. An error that is not one of this
// package's errors is answered with 503 and its text.
type Controller interface {
	// IsServing reports whether this process serves clients. A drained process does.
	IsServing() bool
	// Settings returns the settings in force.
	Settings() Settings
	// SetBanned bans an endpoint or lifts its ban. It may return ErrUnknownEndpoint, ErrBusy or ErrUnconfirmed.
	SetBanned(endpoint string, banned bool) error
	// SetDrained sends clients to other sidecars or admits them again. It may return ErrBusy or ErrUnconfirmed.
	SetDrained(drained bool) error
	// FleetStatus returns the fleet's status; brief leaves out members and traffic. It may return ErrFleetDisabled or
	// ErrNoFleetMember.
	FleetStatus(brief bool) (fleet.Status, error)
	// ControlTraffic returns the control traffic since the start of the process, or ErrTrafficNotCounted.
	ControlTraffic() (controltraffic.Status, error)
}
