package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
)

// Settings holds the table "fleet" of the configuration.
type Settings struct {
	Enabled               bool    `json:"on"`              // take part in the membership; default false
	Advertise             string  `json:"advertise"`       // IPv4 address:port at which other sidecars reach this one; default its entry in peers, or peer_listen without one
	StabilizationSeconds  float64 `json:"quiet_s"`         // how long a change of members must last to enter the stable view, and minimum time between stable views; default 1
	ProbeIntervalMillis   float64 `json:"probe_ms"`        // probe interval of the failure detector; default 400
	MaxMembers            int     `json:"members"`         // limit on known members, including failed and left ones; default 1000
	MaxDatagramsPerSecond float64 `json:"datagrams_per_s"` // sending rate limit of the membership, with a burst of 4 s; default 100
}

// SettingError reports an invalid value in the table.
type SettingError struct {
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *SettingError) Error() string { return e.Key + ": " + e.Reason }

// ParseSettings decodes the table from JSON. If the table is empty or null, all
// settings have their defaults. The error is a SettingError, or the JSON
// decoder's error, which names the key as well.
func ParseSettings(table json.RawMessage) (Settings, error) {
	s := Settings{StabilizationSeconds: 1, ProbeIntervalMillis: 400, MaxMembers: 1000, MaxDatagramsPerSecond: 100}
	if len(table) == 0 {
		return s, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(table))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	if err := s.validateRanges(); err != nil {
		return s, err
	}
	return s, s.validateAdvertise()
}

// validateRanges checks that each number is within its range.
func (s *Settings) validateRanges() error {
	for _, setting := range []struct {
		key      string
		value    float64
		min, max float64
	}{
		{"quiet_s", s.StabilizationSeconds, 0.1, 60},
		{"probe_ms", s.ProbeIntervalMillis, 50, 10_000},
		{"members", float64(s.MaxMembers), 2, 10_000},
		{"datagrams_per_s", s.MaxDatagramsPerSecond, 10, 10_000},
	} {
		isWithin := setting.value >= setting.min && setting.value <= setting.max // false for NaN
		if !isWithin {
			return &SettingError{setting.key, fmt.Sprintf("%v is not within %v to %v", setting.value, setting.min, setting.max)}
		}
	}
	return nil
}

func (s *Settings) validateAdvertise() error {
	if s.Advertise == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(s.Advertise)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return &SettingError{"advertise", fmt.Sprintf("%q is not an IPv4 address:port", s.Advertise)}
	}
	return nil
}
