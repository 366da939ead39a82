package lab

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sidecars runs the real sidecar processes of an experiment as children of the
// lab. The kernel kills them when the lab ends (parent-death signal), and Stop
// kills those that do not exit after SIGTERM. Faults keep a sidecar down or
// paused; it runs again when the last of them has ended.
type Sidecars struct {
	program   string
	folder    string // of configurations and logs
	exp       *Experiment
	subnet    subnet
	discovery *FakeDiscovery
	relay     *DatagramRelay // nil without peers and views
	disks     []*disk
	requests  *RequestTable
	log       *slog.Logger

	mu                 sync.Mutex // guards the fields below
	isStopping         bool       // set by Stop
	states             []*sidecarState
	restarts           []Restart
	unexpectedFailures []string // see UnexpectedFailures
}

// newSidecars returns the sidecars of an experiment, not yet started.
func newSidecars(program, folder string, exp *Experiment, sub subnet, discovery *FakeDiscovery, relay *DatagramRelay, disks []*disk, requests *RequestTable, log *slog.Logger) *Sidecars {
	s := &Sidecars{program: program, folder: folder, exp: exp, subnet: sub, discovery: discovery, relay: relay, disks: disks, requests: requests, log: log}
	for range exp.Fleet.Sidecars {
		s.states = append(s.states, &sidecarState{})
	}
	return s
}

// ListenAddress returns the address where sidecar i accepts its application's requests, host:port.
func (s *Sidecars) ListenAddress(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[i].listenAddress
}

// AdminAddress returns the admin address of sidecar i's newest ready process, host:port, or "" if there is none.
func (s *Sidecars) AdminAddress(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, process := range slices.Backward(s.states[i].processes) {
		if process.isReady && !process.hasExited() {
			return process.adminAddress
		}
	}
	return ""
}

// IsAccepting reports whether the application of sidecar i sends requests now.
func (s *Sidecars) IsAccepting(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[i].isAccepting
}

// WasDown reports whether sidecar i was killed or paused at any time in [from, to].
func (s *Sidecars) WasDown(i int, from, to time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.states[i].outages {
		if w.from <= to && from <= w.to {
			return true
		}
	}
	return false
}

// recordFailure records and logs a failure of sidecar i that no fault caused.
func (s *Sidecars) recordFailure(i int, format string, args ...any) {
	text := fmt.Sprintf("s%d: ", i) + fmt.Sprintf(format, args...)
	s.log.Error("unexpected failure", "error", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unexpectedFailures = append(s.unexpectedFailures, text)
}

// UnexpectedFailures returns the failures that no fault caused: exits, failed starts and upgrades, invalid responses to
// observations, and errors of the lab's disks.
func (s *Sidecars) UnexpectedFailures() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unexpectedFailures)
}

// Restarts returns the restarts so far. Their fields are set up to ReadyMs.
func (s *Sidecars) Restarts() []Restart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.restarts)
}

// disk returns the disk of sidecar i's machine.
func (s *Sidecars) disk(i int) *disk { return s.disks[s.exp.machineOf(i)] }

// limitFileSize sets a process's file size limit to that of its machine's disk. The caller holds s.mu.
func (s *Sidecars) limitFileSize(i int, process *sidecarProcess) {
	limit := s.disk(i).fileSizeLimit()
	if err := unix.Prlimit(process.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: limit, Max: unix.RLIM_INFINITY}, nil); err != nil && !errors.Is(err, unix.ESRCH) {
		s.log.Warn("file size limit not set", "sidecar", i, "error", err)
	}
}

// SetFull begins or ends a fault that makes the disk of a machine full.
func (s *Sidecars) SetFull(machine int, on bool) {
	s.disks[machine].setFull(on)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, state := range s.states {
		if s.exp.machineOf(i) == machine {
			for _, process := range state.processes {
				s.limitFileSize(i, process)
			}
		}
	}
}

// Stop stops every sidecar: by SIGCONT and SIGTERM, and by SIGKILL after stopTimeout. No sidecar starts afterwards.
func (s *Sidecars) Stop() {
	s.mu.Lock()
	s.isStopping = true
	type target struct {
		i       int
		process *sidecarProcess
	}
	var all []target
	for i, state := range s.states {
		for _, process := range state.processes {
			process.cmd.Process.Signal(syscall.SIGCONT)
			all = append(all, target{i, process})
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.signalTermination(t.i, t.process)
			s.awaitExit(t.i, t.process, stopTimeout)
		}()
	}
	wg.Wait()
}
