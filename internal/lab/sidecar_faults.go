package lab

import (
	"slices"
	"syscall"
	"time"
)

// Kill holds sidecar i down and ends its processes by SIGKILL, if any.
func (s *Sidecars) Kill(i int) {
	for _, process := range s.holdDown(i, true) {
		<-process.exited
	}
}

// holdDown counts a hold down; by force it kills at once. It returns the processes then alive.
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

// killProcesses ends all processes of a sidecar by SIGKILL, their requests cut. It holds s.mu.
func (s *Sidecars) killProcesses(state *sidecarState) {
	state.isAccepting = false
	state.beginOutage(s.requests.Elapsed())
	for _, process := range state.processes {
		s.sampleUsage(state, process)
		process.isEndExpected = true
		process.cmd.Process.Kill()
	}
}

// Release takes one hold off; with the last the sidecar starts again.
func (s *Sidecars) Release(i int) {
	s.mu.Lock()
	s.states[i].downFaults--
	s.mu.Unlock()
	s.StartOrRecordFailure(i)
}

// Pause stops sidecar i's processes by SIGSTOP.
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

// Resume takes one pause off; with the last its processes run on, or it starts where it should run by now.
func (s *Sidecars) Resume(i int) {
	s.mu.Lock()
	state := s.states[i]
	state.pauseFaults--
	run := state.pauseFaults == 0
	if run {
		for _, process := range state.processes {
			process.cmd.Process.Signal(syscall.SIGCONT)
		}
		if state.downFaults == 0 && len(state.processes) > 0 {
			state.endOutage(s.requests.Elapsed())
		}
	}
	s.mu.Unlock()
	if run {
		s.StartOrRecordFailure(i)
	}
}

// Terminate holds sidecar i down by a planned stop: SIGTERM; the application sends for 0.3 s more;
// SIGKILL follows when the process has not ended within the deadline and 3.7 s.
func (s *Sidecars) Terminate(i int) {
	processes := s.holdDown(i, false)
	for _, process := range processes {
		s.signalTermination(i, process)
	}
	time.Sleep(300 * time.Millisecond)
	s.mu.Lock()
	s.states[i].isAccepting = false
	s.mu.Unlock()
	for _, process := range processes {
		s.awaitExit(i, process, s.shutdownGrace())
	}
}

func (s *Sidecars) shutdownGrace() time.Duration {
	return max(3*time.Second, s.exp.Load.Deadline.Duration) + 400*time.Millisecond
}

func (s *Sidecars) signalTermination(i int, process *sidecarProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sampleUsage(s.states[i], process)
	process.isEndExpected = true
	process.cmd.Process.Signal(syscall.SIGTERM)
}

// Upgrade starts a second process of sidecar i beside the first and, at its
// yes, ends the first by SIGTERM, as docs/operators.md has it. It does nothing
// where the sidecar is down, paused or amid another upgrade.
func (s *Sidecars) Upgrade(i int) {
	state := s.states[i]
	if !state.startMu.TryLock() {
		return
	}
	defer state.startMu.Unlock()
	s.mu.Lock()
	able := len(state.processes) == 1 && state.downFaults == 0 && state.pauseFaults == 0 && !s.isStopping
	var old *sidecarProcess
	if able {
		old = state.processes[0]
	}
	s.mu.Unlock()
	if !able {
		s.log.Info("no upgrade: the sidecar is down or paused", "sidecar", i)
		return
	}
	err := s.launch(i, s.ListenAddress(i))
	s.mu.Lock()
	disturbed := state.downFaults > 0 || s.isStopping || old.hasExited()
	s.mu.Unlock()
	switch {
	case err != nil && !disturbed:
		s.recordFailure(i, "upgrade: the new process did not come up: %v", err)
	case err == nil && !old.hasExited():
		s.signalTermination(i, old)
		s.awaitExit(i, old, s.shutdownGrace()+700*time.Millisecond)
	}
}

// awaitExit waits for the end of a process sent SIGTERM, and ends it by
// SIGKILL (its requests then cut) when it has not ended within grace.
func (s *Sidecars) awaitExit(i int, process *sidecarProcess, grace time.Duration) {
	select {
	case <-process.exited:
	case <-time.After(grace):
		s.log.Warn("a sidecar did not end on SIGTERM", "sidecar", i)
		s.mu.Lock()
		state := s.states[i]
		state.beginOutage(s.requests.Elapsed())
		s.sampleUsage(state, process)
		process.cmd.Process.Kill()
		s.mu.Unlock()
		<-process.exited
		s.mu.Lock()
		if len(state.processes) > 0 && state.pauseFaults == 0 { // the other process of an upgrade serves on
			state.endOutage(s.requests.Elapsed())
		}
		s.mu.Unlock()
	}
}
