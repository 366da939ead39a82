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

// Sidecars runs the real sidecar processes of an experiment as children of
// the lab. Each dies with the lab (the kernel's parent-death signal), and
// Stop ends those that will not end on SIGTERM with SIGKILL. Faults hold a
// sidecar down or paused; it runs when the last of its holds is gone.
type Sidecars struct {
	program   string
	folder    string // configurations and logs
	exp       *Experiment
	subnet    subnet
	discovery *FakeDiscovery
	relay     *DatagramRelay // nil without peers
	disks     []*disk
	requests  *RequestTable
	log       *slog.Logger

	mu                 sync.Mutex
	isStopping         bool
	states             []*sidecarState
	restarts           []Restart
	unexpectedFailures []string // what no fault explains: ends by themselves, starts and upgrades that failed
}

func newSidecars(program, folder string, exp *Experiment, sub subnet, disco *FakeDiscovery, peers *DatagramRelay, disks []*disk, ledger *RequestTable, log *slog.Logger) *Sidecars {
	s := &Sidecars{program: program, folder: folder, exp: exp, subnet: sub, discovery: disco, relay: peers, disks: disks, requests: ledger, log: log}
	for range exp.Fleet.Sidecars {
		s.states = append(s.states, &sidecarState{})
	}
	return s
}

// ListenAddress is where sidecar i takes its application's requests.
func (s *Sidecars) ListenAddress(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[i].listenAddress
}

// AdminAddress is where operators reach sidecar i: its newest process that gave its yes; empty while there is none.
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

// IsAccepting tells whether the application beside sidecar i sends now.
func (s *Sidecars) IsAccepting(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[i].isAccepting
}

// WasDown tells whether sidecar i was killed or paused in [from, to].
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

// recordFailure records what no fault explains.
func (s *Sidecars) recordFailure(i int, format string, args ...any) {
	text := fmt.Sprintf("s%d: ", i) + fmt.Sprintf(format, args...)
	s.log.Error("trouble", "what", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unexpectedFailures = append(s.unexpectedFailures, text)
}

// UnexpectedFailures lists what no fault explains: sidecars that ended by themselves, starts and upgrades that failed.
func (s *Sidecars) UnexpectedFailures() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unexpectedFailures)
}

// Restarts lists the starts again so far, with their times to the yes.
func (s *Sidecars) Restarts() []Restart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.restarts)
}

func (s *Sidecars) disk(i int) *disk { return s.disks[s.exp.machineOf(i)] }

// limitFileSize gives a process the file size limit of its machine's disk. It holds s.mu.
func (s *Sidecars) limitFileSize(i int, process *sidecarProcess) {
	most := s.disk(i).fileSizeLimit()
	if err := unix.Prlimit(process.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}, nil); err != nil && !errors.Is(err, unix.ESRCH) {
		s.log.Warn("the file size limit could not be set", "sidecar", i, "error", err)
	}
}

// SetFull makes the disk of a machine full, or ends one such fault.
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

// Stop ends every sidecar: SIGCONT and SIGTERM, then SIGKILL after 5 s. None starts after it.
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
			s.awaitExit(t.i, t.process, 5*time.Second)
		}()
	}
	wg.Wait()
}
