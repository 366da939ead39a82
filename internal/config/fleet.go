package config

import (
	"errors"

	"bramblestand/internal/fleet"
)

func (c *Config) setFleet(f *file) error {
	settings, err := fleet.ParseSettings(f.Fleet)
	if err != nil {
		return &KeyError{Key: "fleet", Err: decodeError(err)}
	}
	c.Fleet = settings
	if err := c.validateFleet(); err != nil {
		return &KeyError{Key: "fleet", Err: err}
	}
	return nil
}

// validateFleet checks the fleet's settings against the rest of the configuration.
func (c *Config) validateFleet() error {
	if !c.Fleet.Enabled {
		return nil
	}
	if !c.PeerListen.IsValid() {
		return &KeyError{Key: "on", Err: errors.New("needs peer_listen")}
	}
	options := c.FleetOptions()
	_, err := options.Self()
	return err
}

// FleetOptions returns the options for this sidecar's membership in the fleet.
func (c *Config) FleetOptions() fleet.Options {
	options := fleet.Options{
		Settings:        c.Fleet,
		Name:            c.Name,
		PersistentState: c.StateDir != "",
		Listen:          c.PeerListen,
		Peers:           c.Peers,
		PeerIndex:       c.Settings.Index,
		PeerBroadcast:   c.PeerBroadcast,
	}
	if c.Settings.Zone < len(c.Zones) {
		options.Zone = c.Zones[c.Settings.Zone]
	}
	return options
}
