// Package config reads and validates the configuration of a sidecar: the file's keys (file.go), the
// settings that it shares with the simulator (settings.go) and those of the fleet (fleet.go). The names
// of the file's keys appear only in struct tags and error messages; the rest of the program uses the
// standard terms.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
	"bramblestand/internal/fleet"
)

// Config is the configuration of one sidecar. It does not change once it is loaded.
type Config struct {
	Name             string // stays the same across restarts
	ListenAddress    string // host:port for clients
	DiscoveryAddress string // host:port of the discovery service
	AdminAddress     string // host:port for the operators' calls; "" if the sidecar accepts none

	StateDir       string        // folder in which state is persisted; "" if it is not persisted
	MaxSnapshotAge time.Duration // a persisted endpoint list older than this is not used

	PeerListen    netip.AddrPort   // receives datagrams from other sidecars; the zero value if there are none
	Peers         []netip.AddrPort // all sidecars of the tier, this one included, by their index
	PeerBroadcast netip.AddrPort   // reaches all sidecars of the tier; the zero value if there is no such address
	Fleet         fleet.Settings

	Seed           uint64         // of the random number generator
	KnownEndpoints discovery.List // the list that this sidecar had last; may be outdated or empty

	Limits           Limits
	Settings         balancer.Settings
	Zones            []string      // names, by the index that the balancer uses
	MachineTypes     []string      // names, by the index that the balancer uses
	LoadReportFields []string      // names, in the order of Settings.LoadReportFields
	KeepaliveTimeout time.Duration // an endpoint may close a connection that is idle for longer
}

// Limits holds the resources that the platform grants to all processes of a sidecar together.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"` // file descriptors
}

const (
	minSockets = 64 // a sidecar with fewer could not serve requests

	// ReservedSockets is the number of descriptors reserved for discovery, logs and the runtime.
	ReservedSockets = 32
	// MaxAdminConnections is the maximum number of open connections to the admin address.
	MaxAdminConnections = 16
)

// MaxConnections returns the maximum number of a sidecar's connections with clients. The maximum for
// connections with endpoints is the same, because each client's request has one attempt at a time.
// Descriptors that other parts need are reserved; clients and endpoints share the rest equally.
func (l Limits) MaxConnections(hasAdminAddress bool) int {
	reserved := ReservedSockets
	if hasAdminAddress {
		reserved += MaxAdminConnections
	}
	return (l.Sockets - reserved) / 2
}

// MaxConnections returns the maximum number of this sidecar's connections with clients, and that with
// endpoints, which is the same.
func (c *Config) MaxConnections() int { return c.Limits.MaxConnections(c.AdminAddress != "") }

// UnknownIndex stands for a zone or machine type that the settings do not name.
const UnknownIndex = 255

// ZoneIndex returns the balancer's index of a zone, or UnknownIndex.
func (c *Config) ZoneIndex(name string) uint8 { return indexOf(c.Zones, name) }

// MachineTypeIndex returns the balancer's index of a machine type, or UnknownIndex.
func (c *Config) MachineTypeIndex(name string) uint8 { return indexOf(c.MachineTypes, name) }

func indexOf(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < UnknownIndex {
		return uint8(i)
	}
	return UnknownIndex
}

// KeyError reports a key of the configuration whose value is not valid. Err may be a KeyError for a key
// nested in it.
type KeyError struct {
	Key string
	Err error
}

// Error gives the key and the reason why its value is not valid.
func (e *KeyError) Error() string {
	if _, namesKey := e.Err.(*json.UnmarshalTypeError); namesKey {
		return e.Err.Error()
	}
	return e.Key + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted reason.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// decodeError returns a KeyError if an error of encoding/json is about one key, else the error itself.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &KeyError{Key: wrongType.Field, Err: wrongType}
	}
	return err
}

// Load reads and validates a configuration file. Its errors are those of the file system, those of
// encoding/json, and *KeyError.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// Parse reads a configuration from JSON and the environment: BALANCER_OPS and BALANCER_STATE replace
// the keys ops and state_dir. Unknown keys are ignored. The error is about the first invalid key.
func Parse(data []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, decodeError(err)
	}
	c := &Config{Name: f.Name}
	for _, set := range [...]func(*file) error{
		c.setAddresses, c.setSeed, c.setLimits, c.setKnownEndpoints, c.setState, c.setPeers, c.setSettings, c.setFleet,
	} {
		if err := set(&f); err != nil {
			return nil, err
		}
	}
	return c, nil
}
