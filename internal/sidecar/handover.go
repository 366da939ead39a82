package sidecar

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/admin"
	"bramblestand/internal/config"
	"bramblestand/internal/handover"
	"bramblestand/internal/mutant"
)

// openHandover opens the files that the processes of this sidecar share, and writes the persisted operators' settings into the
// handover file. Run calls it before the event loop starts.
func (s *server) openHandover() {
	l := s.loop
	s.handover = handover.Open(os.TempDir(), l.cfg.Name, l.log)
	l.attemptsByID.Open(os.TempDir(), l.cfg.Name)
	if l.restoredSnapshot != nil {
		if err := s.handover.Restore(handover.State(l.restoredSnapshot.Admin)); err != nil {
			l.log.Error("restored admin settings not shared with the next process", "error", err)
		}
	}
	if mutant.ForgetsBans {
		s.handover.Update(func(settings *handover.State) { settings.Banned = nil }, func(handover.State) error { return nil })
	}
	l.adminSettings = s.handover.Cached
}

// applySettings applies the operators' settings to this process, and adapts its limits to whether another process of this sidecar
// runs. Settings that are not newer than those in force are ignored. It returns admin.ErrBusy if the event loop does not start to
// handle the change by the deadline.
func (s *server) applySettings(deadline time.Time, settings handover.State, hasOtherProcess bool) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if hasOtherProcess != s.hasOtherProcess || !s.limitsSplit {
		if err := s.loop.postUrgentBefore(deadline, func(balancer.Micros) {
			s.loop.balancer.SetProcessCount(processCount(hasOtherProcess))
		}); err != nil {
			return err
		}
		s.splitLimits(hasOtherProcess)
	}
	if settings.Revision <= s.appliedRevision {
		return nil
	}
	if err := s.loop.postUrgentBefore(deadline, func(now balancer.Micros) { s.loop.setBans(now, settings.Banned) }); err != nil {
		return err // the next poll tries again
	}
	s.appliedRevision = settings.Revision
	s.setDrained(settings.Drained)
	return nil
}

// pollHandover applies the settings that the other process changes, and adapts the limits when it starts or ends, until ctx ends.
func (s *server) pollHandover(ctx context.Context) {
	ticker := time.NewTicker(handover.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			deadline := time.Now().Add(handover.PollInterval) // short, because an operators' call may have to wait for this poll
			err := s.applySettings(deadline, s.handover.Load(), s.handover.HasOtherProcess())
			if err != nil && ctx.Err() == nil {
				s.loop.log.Warn("handover state not applied yet; it will be tried again", "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// updateSettings changes the operators' settings for all processes of this sidecar. If state is persisted, the change is on disk
// before any process applies it, because a change that was answered 200 must survive a power failure.
//
// If updateSettings returns an error, nothing has changed. The exception is admin.ErrUnconfirmed: the change is shared, and this
// process applies it with the next poll.
func (s *server) updateSettings(deadline time.Time, alter func(*handover.State)) error {
	persist := func(settings handover.State) error { return s.loop.persistAdminSettings(deadline, settings) }
	settings, err := s.handover.Update(alter, persist)
	if err != nil {
		return fmt.Errorf("state file: %w", err)
	}
	err = s.applySettings(deadline, settings, s.handover.HasOtherProcess())
	if errors.Is(err, admin.ErrBusy) {
		return admin.ErrUnconfirmed
	}
	return err
}

// processCount returns how many processes of this sidecar run.
func processCount(hasOtherProcess bool) int {
	if hasOtherProcess {
		return 2
	}
	return 1
}

// splitLimits sets this process's share of the platform's limits: all of them, or half while another process runs.
//
// Descriptors are not split exactly in half. While two processes run, each may have as many clients as a third of the
// descriptors, and one attempt for each client. A process that was alone cannot close its clients' connections at once. The new
// process must not reject clients either, because all of them will soon connect to it. Only the idle connections to endpoints are
// split.
func (s *server) splitLimits(hasOtherProcess bool) {
	limits := s.loop.cfg.Limits
	maxConnections := s.loop.cfg.MaxConnections()
	maxClients := maxConnections
	if hasOtherProcess {
		s.loop.log.Info("another process of this sidecar runs; limits are split")
		maxOpen := min(maxConnections, limits.Sockets/clientsDescriptorDivisor)
		maxIdle := (limits.Sockets - 2*maxOpen - 2*config.ReservedSockets) / 2
		s.loop.upstream.SetLimits(maxOpen, max(maxIdle, 0))
		if !s.limitsSplit {
			maxClients = maxOpen
		}
	} else {
		s.loop.upstream.SetLimits(maxConnections, maxConnections)
	}
	s.hasOtherProcess, s.limitsSplit = hasOtherProcess, true
	s.memory.setProcesses(processCount(hasOtherProcess), maxClients)
}
