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

// readyPollInterval is the time between questions whether a process is ready.
const readyPollInterval = 10 * time.Millisecond

// process is one process of the sidecar.
type process struct {
	cmd          *exec.Cmd
	adminAddress string
	logPath      string
	startedAt    time.Time
	readyAt      time.Time // zero if it never was
	termAt       time.Time // of the first SIGTERM; zero without one
	killedAt     time.Time // of SIGKILL; zero if it had ended before
	exitedAt     time.Time
	exitErr      error
	exited       chan struct{}
}

// startProcess starts a process of the sidecar.
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

// awaitReady waits until a process answers that it is ready, or has ended, or maxStartTime is long over.
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

// hasExited reports whether the process has ended.
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

// kill sends SIGKILL unless the process has ended, and waits for its end.
func (p *process) kill() {
	if !p.hasExited() {
		p.killedAt = time.Now()
		p.cmd.Process.Kill()
	}
	<-p.exited
}

// endAfter waits for the end of a process that got SIGTERM, and sends SIGKILL when that may come.
func (p *process) endAfter(killAfter time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(time.Until(p.termAt.Add(killAfter))):
	}
	p.kill()
}

// call makes an operators' call, and reports whether it was answered yes.
func (p *process) call(path, body string) bool {
	client := &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+p.adminAddress+path, "", strings.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// failure returns what is wrong with a process's end, if anything.
func (p *process) failure() error {
	var exit *exec.ExitError
	wasSignalled := errors.As(p.exitErr, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
	switch {
	case p.readyAt.IsZero():
		return errors.New("a process was never ready")
	case p.readyAt.Sub(p.startedAt) > maxStartTime:
		return fmt.Errorf("a process was ready after %v", p.readyAt.Sub(p.startedAt))
	case p.killedAt.IsZero() && p.termAt.IsZero():
		return fmt.Errorf("a process ended by itself: %v", p.exitErr)
	case p.killedAt.IsZero() && p.exitErr != nil, !p.killedAt.IsZero() && p.exitErr != nil && !wasSignalled:
		return fmt.Errorf("a process ended with %v", p.exitErr)
	}
	if log, err := os.ReadFile(p.logPath); err != nil || bytes.Contains(log, []byte("panic")) {
		return fmt.Errorf("a process's log has a panic, or can't be read (%v)", err)
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
