package sidecar

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/admin"
	"bramblestand/internal/config"
	"bramblestand/internal/handover"
	"bramblestand/internal/mutant"
)

// heapTenths is how much of the platform's memory limit the heap may take; the rest is for what the runtime does not
// count.
const heapTenths = 8

// openHandover opens the file that this process shares with another of this sidecar, and restores into it what was
// persisted. Run calls it before the event loop starts.
func (s *server) openHandover() {
	l := s.loop
	s.handover = handover.Open(os.TempDir(), l.cfg.Name, l.log)
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

// applySettings brings this process in line with the operators' settings and with the presence of another process of
// this sidecar. Settings that are not newer than those in force do nothing. It returns admin.ErrBusy if the event loop does not
// get to it before the deadline.
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

// pollHandover applies what the other process changes, until ctx ends.
func (s *server) pollHandover(ctx context.Context) {
	ticker := time.NewTicker(handover.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			deadline := time.Now().Add(handover.PollInterval) // an operators' call may wait for this one
			err := s.applySettings(deadline, s.handover.Load(), s.handover.HasOtherProcess())
			if err != nil && ctx.Err() == nil {
				s.loop.log.Warn("handover state not applied yet; it will be tried again", "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// updateSettings changes the operators' settings for this process and the other. Where state is persisted the change is
// on disk before any process applies it: a call that was answered 200 has to outlive the machine's power. After an error nothing
// is changed, but for admin.ErrUnconfirmed: then the change is shared, and this process follows it with the next poll.
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

// processCount is how many processes of this sidecar run.
func processCount(hasOtherProcess bool) int {
	if hasOtherProcess {
		return 2
	}
	return 1
}

// splitLimits keeps this process to its part of the platform's limits: all of them, or half while another process runs.
// Descriptors are no exact half: each process may have clients on a third of them, and each client one attempt. A process
// that was alone cannot give up its clients' connections at once, and soon all clients connect to the new process, which
// must not reject them. Only the idle connections to endpoints are split.
func (s *server) splitLimits(hasOtherProcess bool) {
	limits := s.loop.cfg.Limits
	maxConnections := s.loop.cfg.MaxConnections()
	if hasOtherProcess {
		s.loop.log.Info("another process of this sidecar runs; limits are split")
		maxClients := min(maxConnections, limits.Sockets/clientsDescriptorDivisor)
		maxIdle := (limits.Sockets - 2*maxClients - 2*config.ReservedSockets) / 2
		s.loop.upstream.SetLimits(maxClients, max(maxIdle, 0))
		if !s.limitsSplit {
			s.clients.setMaxConns(maxClients)
		}
	} else {
		s.loop.upstream.SetLimits(maxConnections, maxConnections)
		s.clients.setMaxConns(maxConnections)
	}
	s.hasOtherProcess, s.limitsSplit = hasOtherProcess, true
	maxHeap := int64(limits.MemoryMB) << 20 / 10 * heapTenths / int64(processCount(hasOtherProcess))
	debug.SetMemoryLimit(maxHeap)
	s.requests.bodies.setMaxBytes(maxHeap / bodiesHeapDivisor)
}
