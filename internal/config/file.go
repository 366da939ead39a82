package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"bramblestand/internal/discovery"
)

// Environment variables that override a key of the file.
const (
	adminAddressVariable = "BALANCER_OPS"
	stateDirVariable     = "BALANCER_STATE"
)

const (
	defaultMaxSnapshotAge = 10 * time.Minute
	snapshotAgeLimit      = 7 * 24 * time.Hour
)

// file is the JSON form of the configuration. The platform also writes limits.cores, which is ignored:
// a sidecar runs with whatever share of its core it gets.
type file struct {
	Name                  string          `json:"name"`
	ListenAddress         string          `json:"listen"`
	DiscoveryAddress      string          `json:"discovery"`
	AdminAddress          string          `json:"ops"`
	Seed                  string          `json:"seed"` // hexadecimal
	Limits                Limits          `json:"limits"`
	KnownEndpoints        discovery.List  `json:"known"`
	PeerListen            string          `json:"peer_listen"`
	Peers                 []string        `json:"peers"`
	PeerBroadcast         string          `json:"peers_all"`
	StateDir              string          `json:"state_dir"`
	MaxSnapshotAgeSeconds *float64        `json:"state_max_age_s"`
	Fleet                 json.RawMessage `json:"fleet"`
	Settings              json.RawMessage `json:"settings"`
}

func (c *Config) setAddresses(f *file) error {
	c.ListenAddress = f.ListenAddress
	c.DiscoveryAddress = f.DiscoveryAddress
	c.AdminAddress = cmp.Or(os.Getenv(adminAddressVariable), f.AdminAddress)
	if err := checkHostPort("listen", c.ListenAddress); err != nil {
		return err
	}
	if err := checkHostPort("discovery", c.DiscoveryAddress); err != nil {
		return err
	}
	if c.AdminAddress == "" {
		return nil
	}
	return checkHostPort("ops", c.AdminAddress)
}

func checkHostPort(key, text string) error {
	if _, _, err := net.SplitHostPort(text); err != nil {
		return keyErrorf(key, "%q is not host:port", text)
	}
	return nil
}

func (c *Config) setSeed(f *file) error {
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return keyErrorf("seed", "%q is not a hexadecimal number of 64 bits", f.Seed)
	}
	c.Seed = seed
	return nil
}

func (c *Config) setLimits(f *file) error {
	if f.Limits.MemoryMB <= 0 {
		return keyErrorf("limits.memory_mb", "%d is not positive", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < minSockets {
		return keyErrorf("limits.sockets", "%d is under %d", f.Limits.Sockets, minSockets)
	}
	c.Limits = f.Limits
	return nil
}

func (c *Config) setKnownEndpoints(f *file) error {
	if err := f.KnownEndpoints.Validate(); err != nil {
		return &KeyError{Key: "known", Err: err}
	}
	c.KnownEndpoints = f.KnownEndpoints
	return nil
}

func (c *Config) setState(f *file) error {
	c.StateDir = cmp.Or(os.Getenv(stateDirVariable), f.StateDir)
	c.MaxSnapshotAge = defaultMaxSnapshotAge
	if f.MaxSnapshotAgeSeconds == nil {
		return nil
	}
	seconds := *f.MaxSnapshotAgeSeconds
	if seconds <= 0 || seconds > snapshotAgeLimit.Seconds() {
		return keyErrorf("state_max_age_s", "%v is not in (0, %v]", seconds, int64(snapshotAgeLimit.Seconds()))
	}
	c.MaxSnapshotAge = time.Duration(seconds * float64(time.Second))
	return nil
}

func (c *Config) setPeers(f *file) error {
	var err error
	if c.PeerListen, err = parseAddrPort("peer_listen", f.PeerListen); err != nil {
		return err
	}
	if c.PeerBroadcast, err = parseAddrPort("peers_all", f.PeerBroadcast); err != nil {
		return err
	}
	for i, text := range f.Peers {
		peer, err := parseAddrPort(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return err
		}
		c.Peers = append(c.Peers, peer)
	}
	return nil
}

// parseAddrPort reads the address of a datagram socket. For "" it returns the zero value, which is not a
// valid address and means that there is none.
func parseAddrPort(key, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, keyErrorf(key, "%q is not address:port", text)
	}
	return address, nil
}
