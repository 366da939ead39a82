package lab

import (
	"slices"
	"syscall"
	"time"
)

const (
	sendAfterTerm = 300 * time.Millisecond // how long the application goes on sending after SIGTERM
	minDrainTime  = 3 * time.Second        // how long a sidecar may drain after SIGTERM, unless the load's deadline is longer
	shutdownSlack = 400 * time.Millisecond // added to the drain time until SIGKILL
	upgradeSlack  = 700 * time.Millisecond // added to that for the old process of an upgrade
	stopTimeout   = 5 * time.Second        // from SIGTERM to SIGKILL at a run's end
)

// Kill begins a fault that keeps sidecar i down. It kills the sidecar's processes and waits for their exit.
func (s *Sidecars) Kill(i int) {
	for _, process := range s.holdDown(i, true) {
		<-process.exited
	}
}

// holdDown begins a fault that keeps sidecar i down. With force it kills the sidecar's processes. It returns those that
// have not exited yet.
func (s *Sidecars) holdDown(i int, force bool) []*sidecarProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[i]
	state.downFaults++
	if force {
		s.killProcesses(state)
	}
	return slices.Clone(state.processes)
}

// killProcesses kills all processes of a sidecar, which interrupts their requests. The caller holds s.mu.
func (s *Sidecars) killProcesses(state *sidecarState) {
	state.isAccepting = false
	state.beginOutage(s.requests.Elapsed())
	for _, process := range state.processes {
		s.sampleUsage(state, process)
		process.isEndExpected = true
		process.cmd.Process.Kill()
	}
}

// Release ends a fault that keeps sidecar i down. The sidecar starts again when the last one ends.
func (s *Sidecars) Release(i int) {
	s.mu.Lock()
	s.states[i].downFaults--
	s.mu.Unlock()
	s.StartOrRecordFailure(i)
}

// Pause begins a fault that pauses sidecar i's processes by SIGSTOP.
func (s *Sidecars) Pause(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[i]
	state.pauseFaults++
	state.beginOutage(s.requests.Elapsed())
	for _, process := range state.processes {
		process.cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// Resume ends a fault that Pause began. When the last one ends, the processes continue, or the sidecar starts if none
// runs and no fault keeps it down.
func (s *Sidecars) Resume(i int) {
	s.mu.Lock()
	state := s.states[i]
	state.pauseFaults--
	mayRun := state.pauseFaults == 0
	if mayRun {
		for _, process := range state.processes {
			process.cmd.Process.Signal(syscall.SIGCONT)
		}
		if state.downFaults == 0 && len(state.processes) > 0 {
			state.endOutage(s.requests.Elapsed())
		}
	}
	s.mu.Unlock()
	if mayRun {
		s.StartOrRecordFailure(i)
	}
}

// Terminate begins a fault that keeps sidecar i down after a graceful shutdown. It sends SIGTERM, while the application
// goes on sending for sendAfterTerm, and SIGKILL to a process that has not exited shutdownGrace later.
func (s *Sidecars) Terminate(i int) {
	processes := s.holdDown(i, false)
	for _, process := range processes {
		s.signalTermination(i, process)
	}
	time.Sleep(sendAfterTerm)
	s.mu.Lock()
	s.states[i].isAccepting = false
	s.mu.Unlock()
	for _, process := range processes {
		s.awaitExit(i, process, s.shutdownGrace())
	}
}

// shutdownGrace returns how long a process may take to exit after SIGTERM.
func (s *Sidecars) shutdownGrace() time.Duration {
	return max(minDrainTime, s.exp.Load.Deadline.Duration) + shutdownSlack
}

// signalTermination sends SIGTERM to a process, whose exit is then expected.
func (s *Sidecars) signalTermination(i int, process *sidecarProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sampleUsage(s.states[i], process)
	process.isEndExpected = true
	process.cmd.Process.Signal(syscall.SIGTERM)
}

// Upgrade starts a second process of sidecar i beside the first and, once it is
// ready, terminates the first by SIGTERM, as docs/operators.md describes. It
// does nothing while the sidecar is down, paused, starting or in another
// upgrade.
func (s *Sidecars) Upgrade(i int) {
	state := s.states[i]
	if !state.startMu.TryLock() {
		return
	}
	defer state.startMu.Unlock()
	s.mu.Lock()
	canUpgrade := len(state.processes) == 1 && state.downFaults == 0 && state.pauseFaults == 0 && !s.isStopping
	var old *sidecarProcess
	if canUpgrade {
		old = state.processes[0]
	}
	s.mu.Unlock()
	if !canUpgrade {
		s.log.Info("sidecar not upgraded: it is down, paused or stopping", "sidecar", i)
		return
	}
	err := s.launch(i, s.ListenAddress(i))
	s.mu.Lock()
	interrupted := state.downFaults > 0 || s.isStopping || old.hasExited()
	s.mu.Unlock()
	switch {
	case err != nil && !interrupted:
		s.recordFailure(i, "upgrade: the new process did not come up: %v", err)
	case err == nil && !old.hasExited():
		s.signalTermination(i, old)
		s.awaitExit(i, old, s.shutdownGrace()+upgradeSlack)
	}
}

// awaitExit waits for the exit of a process that was sent SIGTERM. It kills the
// process, which interrupts its requests, if it has not exited within grace.
func (s *Sidecars) awaitExit(i int, process *sidecarProcess, grace time.Duration) {
	select {
	case <-process.exited:
	case <-time.After(grace):
		s.log.Warn("sidecar did not exit after SIGTERM, killing it", "sidecar", i)
		s.mu.Lock()
		state := s.states[i]
		state.beginOutage(s.requests.Elapsed())
		s.sampleUsage(state, process)
		process.cmd.Process.Kill()
		s.mu.Unlock()
		<-process.exited
		s.mu.Lock()
		if len(state.processes) > 0 && state.pauseFaults == 0 { // the sidecar serves by the other process of an upgrade
			state.endOutage(s.requests.Elapsed())
		}
		s.mu.Unlock()
	}
}
