// Package discovery reads the endpoint list from the discovery service: codec.go decodes and validates responses,
// client.go makes single calls, and watch.go follows changes and retries after failures. The caller decides when the list
// is requested and how it is used.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"bramblestand/balancer"
	"bramblestand/internal/state"
)

// List is a response of discovery. Its JSON keys are the names of the discovery protocol.
type List struct {
	Version uint64 `json:"seq"`
	// IsFull means that Endpoints is the complete list; otherwise it holds only the entries that changed.
	IsFull    bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one entry of a List. The persisted state snapshot stores entries in the same form.
type Endpoint = state.Endpoint

var endpointStates = map[string]balancer.EndpointState{
	"Ready":       balancer.Ready,
	"Terminating": balancer.Draining,
	"Gone":        balancer.Removed,
}

// StateOf returns the endpoint state for an entry's health. The entry must belong to a valid List.
func StateOf(endpoint Endpoint) balancer.EndpointState { return endpointStates[endpoint.Health] }

// MalformedError is returned for a list that cannot be used.
type MalformedError struct {
	Index int    // of the invalid entry; -1 if the error does not concern a single entry
	Field string // JSON key of the invalid field; empty if the list could not be decoded
	Err   error  // what is wrong with the field, or the error of encoding/json
}

// Error returns the path of the invalid field and what is wrong with it.
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

// Unwrap returns Err.
func (e *MalformedError) Unwrap() error { return e.Err }

var (
	errMissing      = errors.New("is missing")
	errUnknownState = errors.New("is not a known state")
	errNotHostPort  = errors.New("is not host:port")
)

// ParseList decodes and validates a response of discovery. Its errors are of type *MalformedError.
func ParseList(body []byte) (List, error) {
	// The pointers tell a missing key from a zero value. Otherwise a truncated response, or any other JSON object, would
	// be accepted as an empty delta.
	var response struct {
		Version   *uint64    `json:"seq"`
		IsFull    *bool      `json:"whole"`
		Endpoints []Endpoint `json:"hosts"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return List{}, &MalformedError{Index: -1, Err: err}
	}
	if response.Version == nil {
		return List{}, &MalformedError{Index: -1, Field: "seq", Err: errMissing}
	}
	if response.IsFull == nil {
		return List{}, &MalformedError{Index: -1, Field: "whole", Err: errMissing}
	}
	list := List{Version: *response.Version, IsFull: *response.IsFull, Endpoints: response.Endpoints}
	if err := list.Validate(); err != nil {
		return List{}, err
	}
	return list, nil
}

// Validate returns a *MalformedError for the first entry that the balancer cannot use: an entry without a name, with an
// unknown state, or in state Ready without a valid address.
func (l *List) Validate() error {
	for i, endpoint := range l.Endpoints {
		if field, err := validateEndpoint(endpoint); err != nil {
			return &MalformedError{Index: i, Field: field, Err: err}
		}
	}
	return nil
}

// validateEndpoint returns the JSON key of the first invalid field, and what is wrong with it.
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
