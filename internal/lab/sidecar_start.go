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
	"sync"
	"syscall"
	"time"
)

// Start starts sidecar i and waits for its yes, unless a fault holds it down
// or paused (it then starts when the last hold is gone) or it runs already. A
// port that is taken meanwhile is tried anew, three times at most.
func (s *Sidecars) Start(i int) error {
	state := s.states[i]
	state.startMu.Lock()
	defer state.startMu.Unlock()
	var err error
	for try := range 3 {
		if !s.shouldStart(i) {
			return nil
		}
		if err = s.start(i, try > 0); err == nil {
			return nil
		}
		s.log.Warn("a sidecar did not start", "sidecar", i, "try", try, "error", err)
	}
	if !s.shouldStart(i) {
		return nil
	}
	return fmt.Errorf("sidecar %d: %w", i, err)
}

// shouldStart tells whether sidecar i should run and does not.
func (s *Sidecars) shouldStart(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[i]
	return !s.isStopping && state.downFaults == 0 && state.pauseFaults == 0 && len(state.processes) == 0
}

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
	began := s.requests.Elapsed()
	if err := s.launch(i, listen); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.wasStarted { // a start again, after a crash or a planned end
		s.restarts = append(s.restarts, Restart{Sidecar: i, At: began.Seconds(), ReadyMs: ms(s.requests.Elapsed() - began)})
	}
	state.listenAddress, state.wasStarted = listen, true
	if state.downFaults == 0 { // else it was killed as it came up
		state.isAccepting = true
		if state.pauseFaults == 0 {
			state.endOutage(s.requests.Elapsed())
		}
	}
	return nil
}

// freeAddress is an address of sidecar i's own that nothing listens on.
func (s *Sidecars) freeAddress(i int) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.subnet.address(i), "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// launch starts a process of sidecar i and waits for its yes: of its operators' address where there is one (the
// application's says no while it is drained). It holds p.act.
func (s *Sidecars) launch(i int, listen string) error {
	state := s.states[i]
	process := &sidecarProcess{exited: make(chan struct{})}
	asks := "http://" + listen + "/health/ready"
	if s.exp.Ops.On {
		var err error
		if process.adminAddress, err = s.freeAddress(i); err != nil {
			return err
		}
		asks = "http://" + process.adminAddress + "/ready"
	}
	path := filepath.Join(s.folder, fmt.Sprintf("s%02d.json", i))
	if err := os.WriteFile(path, s.config(i, listen), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("s%02d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process.cmd = exec.Command(s.program)
	process.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_LOG=json", "BALANCER_OPS="+process.adminAddress, "TMPDIR="+s.disk(i).tmp())
	logged := struct{ io.Writer }{logFile} // by a pipe: a full disk must not take the log
	process.cmd.Stdout, process.cmd.Stderr = logged, logged
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.mu.Lock()
	if err := startChild(process.cmd); err != nil {
		s.mu.Unlock()
		logFile.Close()
		return err
	}
	state.processes = append(state.processes, process)
	s.limitFileSize(i, process)
	if state.downFaults > 0 || s.isStopping { // a fault came as it started
		process.isEndExpected = true
		process.cmd.Process.Kill()
	} else if state.pauseFaults > 0 {
		process.cmd.Process.Signal(syscall.SIGSTOP)
	}
	s.mu.Unlock()
	go s.watchProcess(i, process, logFile)
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		if process.hasExited() {
			return fmt.Errorf("ended before its yes (see %s)", logFile.Name())
		}
		if response, err := client.Get(asks); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.mu.Lock()
				defer s.mu.Unlock()
				process.isReady = true
				return nil
			}
		}
		s.mu.Lock()
		if state.pauseFaults > 0 {
			end = time.Now().Add(startTimeout) // a paused one is not to blame
		}
		s.mu.Unlock()
		if time.Now().After(end) {
			s.mu.Lock()
			process.isEndExpected = true
			s.mu.Unlock()
			process.cmd.Process.Kill()
			<-process.exited
			return fmt.Errorf("no yes at %s within %v", asks, startTimeout)
		}
	}
}

const startTimeout = 20 * time.Second

// watchProcess sees a process to its end and records one that nobody asked for.
func (s *Sidecars) watchProcess(i int, process *sidecarProcess, logFile *os.File) {
	err := process.cmd.Wait()
	logFile.Close()
	state := s.states[i]
	s.mu.Lock()
	state.processes = slices.DeleteFunc(state.processes, func(o *sidecarProcess) bool { return o == process })
	state.endedCPU += process.cpu
	byItself := process.isReady && !process.isEndExpected
	if byItself {
		state.isAccepting = false
		state.beginOutage(s.requests.Elapsed())
	}
	close(process.exited)
	s.mu.Unlock()
	if byItself {
		s.recordFailure(i, "ended by itself: %v", err)
	}
}

// StartOrRecordFailure starts sidecar i where it should run, and records a start that fails.
func (s *Sidecars) StartOrRecordFailure(i int) {
	if err := s.Start(i); err != nil {
		s.recordFailure(i, "did not start: %v", err)
	}
}

// startAll starts the fleet, all sidecars side by side.
func (s *Sidecars) startAll() error {
	var starting sync.WaitGroup
	errs := make([]error, len(s.states))
	for i := range s.states {
		starting.Add(1)
		go func() { defer starting.Done(); errs[i] = s.Start(i) }()
	}
	starting.Wait()
	return errors.Join(errs...)
}
