// Package config reads and validates the configuration of a sidecar.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
	"bramblestand/internal/fleet"
	"bramblestand/internal/simwire"
)

// Config is what a sidecar is told at its start. Make one with Load.
type Config struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	AdminAddress     string        // where operators call; empty where nobody does
	StateDir         string        // where state is kept over a crash; empty for none (the platform gives no lasting disk)
	MaxSnapshotAge   time.Duration // the oldest kept list that is served from at a start
	Fleet            fleet.Settings
	Seed             uint64
	Limits           Limits
	Settings         balancer.Settings

	PeerListen    netip.AddrPort   // not valid where there are no peers
	Peers         []netip.AddrPort // of the whole tier, by their numbers
	PeerBroadcast netip.AddrPort   // reaches all of them

	KnownEndpoints   discovery.List
	Zones            []string // names, by the numbers that the balancer uses
	MachineTypes     []string
	LoadReportFields []string      // of a load report, in the order of Settings.Fields
	KeepaliveTimeout time.Duration // after which an endpoint may close a connection
}

// Limits is what the platform grants a sidecar.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// minSockets is what a sidecar needs to serve anything at all.
const minSockets = 64

const defaultMaxSnapshotAge = 10 * time.Minute // the oldest kept list served from, unless state_max_age_s says otherwise

// Load reads a configuration file. Its errors name the key at fault.
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

func Parse(data []byte) (*Config, error) {
	var file struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Ops        string          `json:"ops"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		Known      discovery.List  `json:"known"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		StateDir   string          `json:"state_dir"`
		StateAgeS  *float64        `json:"state_max_age_s"`
		Fleet      json.RawMessage `json:"fleet"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	ops := cmp.Or(os.Getenv("BALANCER_OPS"), file.Ops)
	for _, a := range [...]struct{ key, value string }{{"listen", file.Listen}, {"discovery", file.Discovery}, {"ops", ops}} {
		if a.key == "ops" && a.value == "" {
			continue // no operators' address
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %q is not host:port", a.key, a.value)
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if file.Limits.MemoryMB <= 0 {
		return nil, fmt.Errorf("limits.memory_mb: %d is not positive", file.Limits.MemoryMB)
	}
	if file.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d is under %d", file.Limits.Sockets, minSockets)
	}
	if err := file.Known.Validate(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	age := defaultMaxSnapshotAge
	if file.StateAgeS != nil {
		if *file.StateAgeS <= 0 || *file.StateAgeS > 7*24*3600 {
			return nil, fmt.Errorf("state_max_age_s: %v is not in (0, 604800]", *file.StateAgeS)
		}
		age = time.Duration(*file.StateAgeS * float64(time.Second))
	}
	cfg := &Config{Name: file.Name, ListenAddress: file.Listen, DiscoveryAddress: file.Discovery, AdminAddress: ops,
		StateDir: cmp.Or(os.Getenv("BALANCER_STATE"), file.StateDir), MaxSnapshotAge: age,
		Seed: seed, Limits: file.Limits, KnownEndpoints: file.Known}
	if cfg.PeerListen, err = peerAddress("peer_listen", file.PeerListen); err != nil {
		return nil, err
	}
	if cfg.PeerBroadcast, err = peerAddress("peers_all", file.PeersAll); err != nil {
		return nil, err
	}
	for i, text := range file.Peers {
		a, err := peerAddress(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return nil, err
		}
		cfg.Peers = append(cfg.Peers, a)
	}
	if err := cfg.readSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Fleet, err = fleet.ParseSettings(file.Fleet); err == nil {
		err = cfg.validateFleet()
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return cfg, nil
}

// peerAddress reads an address of a datagram's; none is as good as any where
// there are no peers.
func peerAddress(key, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, fmt.Errorf("%s: %q is not address:port", key, text)
	}
	return a, nil
}

// readSettings reads the balancer's settings through the parser that the
// simulator's adapter uses, and what only real sockets need beside them.
func (c *Config) readSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return fmt.Errorf("is missing")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps the text: 5000000 must not become 5e+06
	tree := map[string]any{}
	if err := decoder.Decode(&tree); err != nil {
		return err
	}
	var text strings.Builder
	writeSettingsText(&text, "", tree)
	var err error
	if c.Settings, err = simwire.ParseSettings(text.String()); err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	var own struct {
		Areas  []string `json:"areas"`
		Skus   []string `json:"skus"`
		Limits struct {
			Keepalive int64 `json:"keepalive"`
		} `json:"limits"`
		Reporting struct {
			Fields []string `json:"fields"`
		} `json:"reporting"`
	}
	if err := json.Unmarshal(raw, &own); err != nil {
		return err
	}
	if own.Limits.Keepalive <= 0 {
		return fmt.Errorf("limits.keepalive: %d is not positive", own.Limits.Keepalive)
	}
	if c.Settings.Limits.DialTimeout <= 0 {
		return fmt.Errorf("limits.dial-timeout: %d is not positive", c.Settings.Limits.DialTimeout)
	}
	c.Zones, c.MachineTypes, c.LoadReportFields = own.Areas, own.Skus, own.Reporting.Fields
	c.KeepaliveTimeout = time.Duration(own.Limits.Keepalive) * time.Microsecond
	return nil
}

// writeSettingsText writes a JSON value as the path=value lines of the simulator's first
// message: lists of objects by their length and index, other lists by commas.
func writeSettingsText(out *strings.Builder, path string, value any) {
	below := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := value.(type) {
	case nil: // as if absent
	case map[string]any:
		for key, item := range v {
			writeSettingsText(out, below(key), item)
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				fmt.Fprintf(out, "%s=%d\n", below("count"), len(v))
				for i, item := range v {
					writeSettingsText(out, below(strconv.Itoa(i)), item)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, item := range v {
			words[i] = scalarText(item)
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(words, ","))
	default:
		fmt.Fprintf(out, "%s=%s\n", path, scalarText(v))
	}
}

// separators may not stand in a value of the settings text.
var separators = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func scalarText(v any) string { return separators.Replace(fmt.Sprint(v)) }

// UnknownIndex numbers a zone or kind that the settings do not list.
const UnknownIndex = 255

func IndexOf(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < UnknownIndex {
		return uint8(i)
	}
	return UnknownIndex
}

// errNoPeerListen is a configuration's membership without an address for datagrams.
var errNoPeerListen = errors.New("on: needs peer_listen")

// FleetOptions returns the part of a fleet's options that the configuration decides.
func (c *Config) FleetOptions() fleet.Options {
	o := fleet.Options{
		Settings:        c.Fleet,
		Name:            c.Name,
		PersistentState: c.StateDir != "",
		Listen:          c.PeerListen,
		Peers:           c.Peers,
		PeerIndex:       c.Settings.Index,
		PeerBroadcast:   c.PeerBroadcast,
	}
	if c.Settings.Zone < len(c.Zones) {
		o.Zone = c.Zones[c.Settings.Zone]
	}
	return o
}

// validateFleet checks the fleet's settings against the rest of the configuration. Its errors begin with the key.
func (c *Config) validateFleet() error {
	if !c.Fleet.Enabled {
		return nil
	}
	if !c.PeerListen.IsValid() {
		return errNoPeerListen
	}
	o := c.FleetOptions()
	_, err := o.Self()
	return err
}
