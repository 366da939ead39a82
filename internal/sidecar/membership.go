package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/fleet"
	"bramblestand/internal/handover"
)

// fleetSettings is this sidecar's part in the fleet, by its configuration.
func (c *Config) fleetSettings() fleet.Options {
	o := fleet.Options{Settings: c.Fleet, Name: c.Name, PersistentState: c.StateDir != "", Listen: c.peerListen, Peers: c.peers,
		PeerIndex: c.Settings.Index, PeerBroadcast: c.peersAll}
	if c.Settings.Zone < len(c.zones) {
		o.Zone = c.zones[c.Settings.Zone]
	}
	if c.Ops != "" {
		o.ControlSocket = sharePort
	}
	return o
}

// fleetOptions is the configuration's, with what takes the fleet's events.
func (l *loop) fleetOptions() fleet.Options {
	o := l.cfg.fleetSettings()
	o.Snapshot, o.Logger = l.restoredMembership, l.log
	if o.PeerBroadcast.IsValid() && l.cfg.Settings.Limits.AllowGossip {
		o.OnGossip = func(data []byte) {
			l.post(func(now balancer.Micros) { l.balancer.ReceiveGossip(now, data) })
		}
	}
	o.OnMemberCount = func(living int) {
		l.post(func(balancer.Micros) { l.balancer.SetFleetSize(living) })
	}
	return o
}

// openGossip starts to take what peers tell, where the view is off: then both processes of an upgrade may.
func (l *loop) openGossip(ctx context.Context) error {
	o := l.fleetOptions()
	if l.cfg.Fleet.Enabled || !o.Listen.IsValid() || o.OnGossip == nil {
		return nil
	}
	f, err := fleet.Open(ctx, o)
	if err != nil {
		return err
	}
	l.fleet.Store(f)
	return nil
}

// SendGossip sends data to all other sidecars.
func (l *loop) SendGossip(data []byte) {
	if f := l.fleet.Load(); f != nil {
		f.SendGossip(data)
	}
}

// membershipSnapshot is the fleet's view as it should be kept: the latest, or what an earlier process kept.
func (l *loop) membershipSnapshot() json.RawMessage {
	if f := l.fleet.Load(); f != nil {
		if kept := f.Snapshot(); kept != nil {
			return kept
		}
	}
	return l.restoredMembership
}

const openRetryInterval = time.Second // between tries to open the socket for peers

// runMembership is a member of the fleet from when no other process of this sidecar is until ctx ends: two processes of an
// upgrade are one member, and the later takes over as the earlier is told to end. Datagrams are taken until l's end.
func (s *server) runMembership(ctx context.Context) {
	l := s.loop
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for s.handover != nil && !s.handover.AcquireFleetMembership() {
		if !wait(handover.PollInterval) {
			return
		}
	}
	o := l.fleetOptions()
	if s.handover != nil { // a process of an earlier release may still have a socket of this address
		o.OnSocket = func(socket syscall.Conn) {
			if err := steer(socket); err != nil {
				l.log.Warn("datagrams are not steered to this process", "error", err)
			}
		}
	}
	f, err := fleet.Open(l.ctx, o)
	for ; err != nil; f, err = fleet.Open(l.ctx, o) {
		l.log.Error("fleet: no part in it yet", "error", err)
		if !wait(openRetryInterval) {
			return
		}
	}
	l.fleet.Store(f)
	<-ctx.Done()
	f.Close(s.handover == nil || !s.handover.HasOtherProcess())
	if s.handover != nil {
		s.handover.ReleaseFleetMembership()
	}
}

// validateFleet says what of the fleet's table cannot be, given the rest of the configuration.
func (c *Config) validateFleet() error {
	if !c.Fleet.Enabled {
		return nil
	}
	if !c.peerListen.IsValid() {
		return errors.New("on: needs peer_listen")
	}
	o := c.fleetSettings()
	_, err := o.Self()
	return err
}
