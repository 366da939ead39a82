package sidecar

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/fleet"
	"bramblestand/internal/handover"
)

const openRetryInterval = time.Second // between attempts to open the socket to the peers

// fleetOptions returns the configured options, with the restored membership snapshot and with handlers that post to the event
// loop.
func (l *eventLoop) fleetOptions() fleet.Options {
	o := l.cfg.FleetOptions()
	if l.cfg.AdminAddress != "" { // a second process may share the address during an upgrade
		o.ControlSocket = reusePort
	}
	o.Snapshot, o.Logger = l.restoredMembership, l.log
	if o.PeerBroadcast.IsValid() && l.cfg.Settings.Limits.AllowGossip {
		o.OnGossip = func(data []byte) {
			l.post(func(now balancer.Micros) { l.balancer.ReceiveGossip(now, data) })
		}
	}
	o.OnMemberCount = func(members int) {
		l.post(func(balancer.Micros) { l.balancer.SetFleetSize(members) })
	}
	return o
}

// openGossip starts to receive and send gossip if membership is disabled; both processes may then do so during an upgrade. If
// membership is enabled, runMembership starts gossip. The socket is closed when ctx ends.
func (l *eventLoop) openGossip(ctx context.Context) error {
	o := l.fleetOptions()
	if l.cfg.Fleet.Enabled || !hasGossip(o) {
		return nil
	}
	f, err := fleet.Open(ctx, o)
	if err != nil {
		return err
	}
	l.fleet.Store(f)
	return nil
}

// hasGossip reports whether a sidecar with these options sends and receives gossip.
func hasGossip(o fleet.Options) bool { return o.Listen.IsValid() && o.OnGossip != nil }

// SendGossip sends data to all other sidecars. It implements balancer.Actions.
func (l *eventLoop) SendGossip(data []byte) {
	if f := l.fleet.Load(); f != nil {
		f.SendGossip(data)
	}
}

// membershipSnapshot returns the membership snapshot to persist: the current one or, if there is none, the restored one.
func (l *eventLoop) membershipSnapshot() json.RawMessage {
	if f := l.fleet.Load(); f != nil {
		if snapshot := f.Snapshot(); snapshot != nil {
			return snapshot
		}
	}
	return l.restoredMembership
}

// runMembership takes part in the fleet's membership until ctx ends. During an upgrade the two processes count as one member: the
// new process takes over the membership when the old one is told to shut down. Gossip is received until the event loop ends.
func (s *server) runMembership(ctx context.Context) {
	if !s.acquireMembership(ctx) {
		return
	}
	f := s.openFleet(ctx)
	if f == nil {
		return
	}
	s.loop.fleet.Store(f)
	<-ctx.Done()
	hasSuccessor := s.handover != nil && s.handover.HasOtherProcess()
	f.Close(!hasSuccessor)
	if s.handover != nil {
		s.handover.ReleaseFleetMembership()
	}
}

// acquireMembership waits until no other process of this sidecar is the member. It returns false if ctx ends first.
func (s *server) acquireMembership(ctx context.Context) bool {
	for s.handover != nil && !s.handover.AcquireFleetMembership() {
		if !sleep(ctx, handover.PollInterval) {
			return false
		}
	}
	return true
}

// openFleet opens the fleet, and tries again until it succeeds. It returns nil if ctx ends first.
func (s *server) openFleet(ctx context.Context) *fleet.Fleet {
	l := s.loop
	o := l.fleetOptions()
	if s.handover != nil { // a process of an earlier release may still have a socket at this address
		o.OnSocket = func(socket syscall.Conn) {
			if err := preferSocket(socket); err != nil {
				l.log.Warn("datagrams not directed to this process", "error", err)
			}
		}
	}
	for {
		f, err := fleet.Open(l.ctx, o)
		if err == nil {
			return f
		}
		l.log.Error("fleet not joined; it will be tried again", "error", err)
		if !sleep(ctx, openRetryInterval) {
			return nil
		}
	}
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
