// Package discovery reads the endpoint list from the discovery service: codec.go has the protocol's
// form, client.go makes one call, watch.go follows changes and tries again after failures. When the
// list is asked for, and what follows from it, is decided by the caller.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"bramblestand/balancer"
	"bramblestand/internal/state"
)

// List is an answer of discovery. In Go it has the standard names, on the wire the protocol's.
type List struct {
	Version uint64 `json:"seq"`
	// IsFull says that Endpoints is the complete list; otherwise it holds the entries that changed.
	IsFull    bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one entry of a List. The persisted snapshot stores entries in the same form.
type Endpoint = state.Endpoint

var endpointStates = map[string]balancer.EndpointState{
	"Ready":       balancer.Ready,
	"Terminating": balancer.Draining,
	"Gone":        balancer.Removed,
}

// StateOf returns the state that an entry's health stands for. The entry must be of a valid List.
func StateOf(endpoint Endpoint) balancer.EndpointState { return endpointStates[endpoint.Health] }

// MalformedError is returned for a list that cannot be used. Index is the entry's, -1 where the fault is
// not in one entry. Field is the protocol's name, "" where the list could not be decoded: then Err is
// that of encoding/json.
type MalformedError struct {
	Index int
	Field string
	Err   error
}

// Error names the field and what is wrong with it.
func (e *MalformedError) Error() string {
	if e.Field == "" {
		return e.Err.Error()
	}
	path := e.Field
	if e.Index >= 0 {
		path = fmt.Sprintf("hosts[%d].%s", e.Index, e.Field)
	}
	if errors.Is(e.Err, errMissing) {
		return fmt.Sprintf("%s %v", path, e.Err)
	}
	return fmt.Sprintf("%s: %v", path, e.Err)
}

// Unwrap returns what is wrong with the field.
func (e *MalformedError) Unwrap() error { return e.Err }

var (
	errMissing      = errors.New("is missing")
	errUnknownState = errors.New("is not a known state")
	errNotHostPort  = errors.New("is not host:port")
)

// ParseList decodes and validates an answer of discovery. Its errors are *MalformedError.
func ParseList(body []byte) (List, error) {
	// Pointers: without its version, or without saying whether it is full, an answer that was cut
	// short, or that is something else, would pass for an empty delta.
	var answer struct {
		Version   *uint64    `json:"seq"`
		IsFull    *bool      `json:"whole"`
		Endpoints []Endpoint `json:"hosts"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return List{}, &MalformedError{Index: -1, Err: err}
	}
	if answer.Version == nil {
		return List{}, &MalformedError{Index: -1, Field: "seq", Err: errMissing}
	}
	if answer.IsFull == nil {
		return List{}, &MalformedError{Index: -1, Field: "whole", Err: errMissing}
	}
	list := List{Version: *answer.Version, IsFull: *answer.IsFull, Endpoints: answer.Endpoints}
	if err := list.Validate(); err != nil {
		return List{}, err
	}
	return list, nil
}

// Validate returns a *MalformedError for the first entry that the balancer could not use: one without
// a name, with a state that is not known, or ready without an address to connect to.
func (l *List) Validate() error {
	for i, endpoint := range l.Endpoints {
		if field, err := validateEndpoint(endpoint); err != nil {
			return &MalformedError{Index: i, Field: field, Err: err}
		}
	}
	return nil
}

// validateEndpoint returns the protocol's name of the field at fault, and the fault.
func validateEndpoint(endpoint Endpoint) (field string, err error) {
	if endpoint.Name == "" {
		return "host", errMissing
	}
	state, known := endpointStates[endpoint.Health]
	if !known {
		return "health", fmt.Errorf("%q %w", endpoint.Health, errUnknownState)
	}
	if _, _, err := net.SplitHostPort(endpoint.Address); err != nil && state == balancer.Ready {
		return "dial", fmt.Errorf("%q %w", endpoint.Address, errNotHostPort)
	}
	return "", nil
}
