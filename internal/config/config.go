// Package config reads and validates the configuration of a sidecar: the file's keys (file.go), the
// settings that it shares with the simulator (settings.go) and the fleet's part (fleet.go). The file's
// names stand in struct tags and errors; the rest of the program knows the standard terms alone.
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
	Name             string // the same after a restart
	ListenAddress    string // host:port for clients
	DiscoveryAddress string // host:port of the discovery service
	AdminAddress     string // host:port for the operators' calls; "" for none

	StateDir       string        // where state is persisted; "" for nowhere
	MaxSnapshotAge time.Duration // an endpoint list persisted longer ago is not served from

	PeerListen    netip.AddrPort   // for datagrams from other sidecars; not valid where there are none
	Peers         []netip.AddrPort // all sidecars of the tier, this one included, by their index
	PeerBroadcast netip.AddrPort   // reaches all of them; not valid where there are none
	Fleet         fleet.Settings

	Seed           uint64         // of random numbers
	KnownEndpoints discovery.List // as this sidecar last had it; perhaps old, perhaps empty

	Limits           Limits
	Settings         balancer.Settings
	Zones            []string      // names, by the index that the balancer uses
	MachineTypes     []string      // names, by the index that the balancer uses
	LoadReportFields []string      // names, in the order of Settings.LoadReportFields
	KeepaliveTimeout time.Duration // an endpoint may close a connection that is idle for longer
}

// Limits is what the platform grants the processes of a sidecar together.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"` // file descriptors
}

const (
	minSockets = 64 // a sidecar with fewer could serve nothing

	// ReservedSockets are the descriptors for discovery, logs and the runtime.
	ReservedSockets = 32
	// MaxAdminConnections is how many connections the operators' address accepts at once.
	MaxAdminConnections = 16
)

// MaxConnections returns how many connections a sidecar holds at most with clients, and as many with
// endpoints: every client's request has one attempt at a time. The descriptors that other parts need
// are set aside.
func (l Limits) MaxConnections(hasAdminAddress bool) int {
	reserved := ReservedSockets
	if hasAdminAddress {
		reserved += MaxAdminConnections
	}
	return (l.Sockets - reserved) / 2
}

// MaxConnections returns how many connections this sidecar holds at most with clients, and with endpoints.
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

// KeyError says which key of the configuration cannot be used. Err may be a KeyError of a key below it.
type KeyError struct {
	Key string
	Err error
}

// Error names the key and what is wrong with it.
func (e *KeyError) Error() string {
	if _, namesKey := e.Err.(*json.UnmarshalTypeError); namesKey {
		return e.Err.Error()
	}
	return e.Key + ": " + e.Err.Error()
}

// Unwrap returns what is wrong with the key.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted reason.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// decodeError returns a KeyError where an error of encoding/json is about one key, else the error itself.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &KeyError{Key: wrongType.Field, Err: wrongType}
	}
	return err
}

// Load reads a configuration file. Its errors are those of the file system, of JSON, and *KeyError.
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
// the keys ops and state_dir. Keys that are not known are skipped. It stops at the first key at fault.
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
