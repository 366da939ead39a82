package soak

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"bramblestand/internal/lab"
)

// readyPollInterval is the time between two polls for a process's readiness.
const readyPollInterval = 10 * time.Millisecond

// process is one sidecar process.
type process struct {
	cmd          *exec.Cmd
	adminAddress string
	logPath      string
	startedAt    time.Time
	readyAt      time.Time // zero if it was never ready
	termAt       time.Time // of the first SIGTERM; zero if there was none
	killedAt     time.Time // of SIGKILL; zero if it had exited before
	exitedAt     time.Time
	exitErr      error
	exited       chan struct{} // closed after exitedAt and exitErr are set
}

// startProcess starts a sidecar process and adds it to the run's processes.
func (r *run) startProcess() (*process, error) {
	n := len(r.processes)
	p := &process{logPath: filepath.Join(r.folder, fmt.Sprintf("sidecar-%d.log", n)), exited: make(chan struct{})}
	var err error
	if p.adminAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(r.program)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+r.configPath, "BALANCER_LOG=json", "BALANCER_OPS="+p.adminAddress, "TMPDIR="+r.folder)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.startedAt = time.Now()
	if err := lab.StartChild(p.cmd); err != nil {
		return nil, err
	}
	r.processes = append(r.processes, p)
	go func() {
		p.exitErr = p.cmd.Wait()
		p.exitedAt = time.Now()
		close(p.exited)
	}()
	return p, nil
}

// awaitReady waits until a process reports that it is ready, has exited, or has run for twice maxStartTime.
func (r *run) awaitReady(p *process) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	isSignalDue := r.scenario.SignalAtStart
	for time.Since(p.startedAt) < 2*maxStartTime && !p.hasExited() {
		response, err := client.Get("http://" + p.adminAddress + "/ready")
		if err == nil {
			response.Body.Close()
			if isSignalDue {
				isSignalDue = false
				p.cmd.Process.Signal(syscall.SIGHUP)
			}
			if response.StatusCode == http.StatusOK {
				p.readyAt = time.Now()
				return
			}
		}
		time.Sleep(readyPollInterval)
	}
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM.
func (p *process) terminate() {
	p.termAt = time.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
}

// kill sends SIGKILL unless the process has exited, and waits for its exit.
func (p *process) kill() {
	if !p.hasExited() {
		p.killedAt = time.Now()
		p.cmd.Process.Kill()
	}
	<-p.exited
}

// awaitExit waits for the exit of a process that got SIGTERM, and sends SIGKILL once killAfter has passed since SIGTERM.
func (p *process) awaitExit(killAfter time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(time.Until(p.termAt.Add(killAfter))):
	}
	p.kill()
}

// postAdmin makes an admin call, and reports whether the response was 200.
func (p *process) postAdmin(path, body string) bool {
	client := &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+p.adminAddress+path, "", strings.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// failure returns how a process broke RuleProcess: in its start, its exit or its log. It returns nil if it did not.
func (p *process) failure() error {
	var exit *exec.ExitError
	wasSignalled := errors.As(p.exitErr, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
	switch {
	case p.readyAt.IsZero():
		return errors.New("a process was never ready")
	case p.readyAt.Sub(p.startedAt) > maxStartTime:
		return fmt.Errorf("a process was ready after %v", p.readyAt.Sub(p.startedAt))
	case p.killedAt.IsZero() && p.termAt.IsZero():
		return fmt.Errorf("a process exited before SIGTERM: %v", p.exitErr)
	case p.killedAt.IsZero() && p.exitErr != nil, !p.killedAt.IsZero() && p.exitErr != nil && !wasSignalled:
		return fmt.Errorf("a process exited with an error: %v", p.exitErr)
	}
	if log, err := os.ReadFile(p.logPath); err != nil || bytes.Contains(log, []byte("panic")) {
		return fmt.Errorf("a process's log contains a panic or can't be read (error: %v)", err)
	}
	return nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
