package lab

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

const (
	maxStartAttempts = 3                // of a sidecar, each with another port
	startTimeout     = 20 * time.Second // from the start of a process until it is ready
)

// Start starts sidecar i and waits until it is ready. It does nothing if the
// sidecar runs already, or if a fault keeps it down or paused, at the end of
// which it is started. If an attempt fails, for instance since a port is in use,
// Start tries again with other ports, up to maxStartAttempts.
func (s *Sidecars) Start(i int) error {
	state := s.states[i]
	state.startMu.Lock()
	defer state.startMu.Unlock()
	var err error
	for attempt := range maxStartAttempts {
		if !s.shouldStart(i) {
			return nil
		}
		if err = s.start(i, attempt > 0); err == nil {
			return nil
		}
		s.log.Warn("sidecar did not start", "sidecar", i, "attempt", attempt, "error", err)
	}
	if !s.shouldStart(i) {
		return nil
	}
	return fmt.Errorf("sidecar %d: %w", i, err)
}

// shouldStart reports whether sidecar i is not running, no fault keeps it down or paused, and the run is not stopping.
func (s *Sidecars) shouldStart(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[i]
	return !s.isStopping && state.downFaults == 0 && state.pauseFaults == 0 && len(state.processes) == 0
}

// start makes one attempt to start sidecar i, with its previous ports or with new ones. The caller holds the sidecar's
// startMu.
func (s *Sidecars) start(i int, newPort bool) error {
	state := s.states[i]
	s.mu.Lock()
	listen := state.listenAddress
	s.mu.Unlock()
	if listen == "" || newPort {
		var err error
		if listen, err = s.freeAddress(i); err != nil {
			return err
		}
	}
	if newPort && s.relay != nil {
		if err := s.relay.ReassignAddress(i); err != nil {
			return err
		}
	}
	startedAt := s.requests.Elapsed()
	if err := s.launch(i, listen); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.wasStarted { // a restart, after a crash or a shutdown
		s.restarts = append(s.restarts, Restart{Sidecar: i, At: startedAt.Seconds(), ReadyMs: ms(s.requests.Elapsed() - startedAt)})
	}
	state.listenAddress, state.wasStarted = listen, true
	if state.downFaults == 0 { // otherwise a fault killed it during the start
		state.isAccepting = true
		if state.pauseFaults == 0 {
			state.endOutage(s.requests.Elapsed())
		}
	}
	return nil
}

// freeAddress returns an address with a free port on sidecar i's own IP address.
func (s *Sidecars) freeAddress(i int) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.subnet.address(i), "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// launch starts a process of sidecar i and waits until it is ready. The caller holds the sidecar's startMu.
func (s *Sidecars) launch(i int, listenAddress string) error {
	process := &sidecarProcess{exited: make(chan struct{})}
	readyURL := "http://" + listenAddress + "/health/ready"
	if s.exp.Ops.On { // the admin address reports readiness even while the sidecar is drained
		var err error
		if process.adminAddress, err = s.freeAddress(i); err != nil {
			return err
		}
		readyURL = "http://" + process.adminAddress + "/ready"
	}
	logFile, err := s.prepareCommand(i, listenAddress, process)
	if err != nil {
		return err
	}
	if err := s.startProcess(i, process); err != nil {
		logFile.Close()
		return err
	}
	go s.watchProcess(i, process, logFile)
	return s.awaitReady(i, process, readyURL, logFile.Name())
}

// prepareCommand writes the configuration of sidecar i, opens its log file and sets the command of a process. The caller
// closes the log file.
func (s *Sidecars) prepareCommand(i int, listenAddress string, process *sidecarProcess) (*os.File, error) {
	configPath := filepath.Join(s.folder, fmt.Sprintf("s%02d.json", i))
	if err := os.WriteFile(configPath, s.config(i, listenAddress), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("s%02d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	process.cmd = exec.Command(s.program)
	process.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+configPath, "BALANCER_LOG=json", "BALANCER_OPS="+process.adminAddress, "TMPDIR="+s.disk(i).tmp())
	throughPipe := struct{ io.Writer }{logFile} // not an *os.File, so that the lab writes the log: the file size limit of a full disk would stop the sidecar's own writes
	process.cmd.Stdout, process.cmd.Stderr = throughPipe, throughPipe
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return logFile, nil
}

// startProcess starts a process and applies the faults that are active on its sidecar to it.
func (s *Sidecars) startProcess(i int, process *sidecarProcess) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := StartChild(process.cmd); err != nil {
		return err
	}
	state := s.states[i]
	state.processes = append(state.processes, process)
	s.limitFileSize(i, process)
	if state.downFaults > 0 || s.isStopping { // a fault began during the start
		process.isEndExpected = true
		process.cmd.Process.Kill()
	} else if state.pauseFaults > 0 {
		process.cmd.Process.Signal(syscall.SIGSTOP)
	}
	return nil
}

// awaitReady waits until a process is ready, and kills it if it is not within startTimeout.
func (s *Sidecars) awaitReady(i int, process *sidecarProcess, readyURL, logPath string) error {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		if process.hasExited() {
			return fmt.Errorf("process ended before it was ready (see %s)", logPath)
		}
		if response, err := client.Get(readyURL); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.mu.Lock()
				defer s.mu.Unlock()
				process.isReady = true
				return nil
			}
		}
		s.mu.Lock()
		if s.states[i].pauseFaults > 0 {
			deadline = time.Now().Add(startTimeout) // the timeout starts again after a pause
		}
		s.mu.Unlock()
		if time.Now().After(deadline) {
			s.mu.Lock()
			process.isEndExpected = true
			s.mu.Unlock()
			process.cmd.Process.Kill()
			<-process.exited
			return fmt.Errorf("not ready at %s within %v", readyURL, startTimeout)
		}
	}
}

// watchProcess waits for the exit of a process, and records a failure if a ready process exits without the lab having
// killed or terminated it.
func (s *Sidecars) watchProcess(i int, process *sidecarProcess, logFile *os.File) {
	err := process.cmd.Wait()
	logFile.Close()
	state := s.states[i]
	s.mu.Lock()
	state.processes = slices.DeleteFunc(state.processes, func(o *sidecarProcess) bool { return o == process })
	state.endedCPU += process.cpu
	isUnexpected := process.isReady && !process.isEndExpected
	if isUnexpected {
		state.isAccepting = false
		state.beginOutage(s.requests.Elapsed())
	}
	close(process.exited)
	s.mu.Unlock()
	if isUnexpected {
		s.recordFailure(i, "ended by itself: %v", err)
	}
}

// StartOrRecordFailure calls Start and records its error as a failure.
func (s *Sidecars) StartOrRecordFailure(i int) {
	if err := s.Start(i); err != nil {
		s.recordFailure(i, "did not start: %v", err)
	}
}

// startAll starts all sidecars concurrently.
func (s *Sidecars) startAll() error {
	errs := make([]error, len(s.states))
	ForEach(len(s.states), len(s.states), func(i int) { errs[i] = s.Start(i) })
	return errors.Join(errs...)
}
