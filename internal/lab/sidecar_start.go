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
	p := s.procs[i]
	p.act.Lock()
	defer p.act.Unlock()
	var err error
	for try := range 3 {
		if !s.due(i) {
			return nil
		}
		if err = s.start(i, try > 0); err == nil {
			return nil
		}
		s.log.Warn("a sidecar did not start", "sidecar", i, "try", try, "error", err)
	}
	if !s.due(i) {
		return nil
	}
	return fmt.Errorf("sidecar %d: %w", i, err)
}

// due tells whether sidecar i should run and does not.
func (s *Sidecars) due(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.procs[i]
	return !s.ending && p.holdDown == 0 && p.holdPause == 0 && len(p.lives) == 0
}

func (s *Sidecars) start(i int, newPort bool) error {
	p := s.procs[i]
	s.mu.Lock()
	listen := p.listen
	s.mu.Unlock()
	if listen == "" || newPort {
		var err error
		if listen, err = s.free(i); err != nil {
			return err
		}
	}
	if newPort && s.peers != nil {
		if err := s.peers.Repick(i); err != nil {
			return err
		}
	}
	began := s.ledger.Since()
	if err := s.launch(i, listen); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.started { // a start again, after a crash or a planned end
		s.restarts = append(s.restarts, Restart{Sidecar: i, At: began.Seconds(), ReadyMs: ms(s.ledger.Since() - began)})
	}
	p.listen, p.started = listen, true
	if p.holdDown == 0 { // else it was killed as it came up
		p.accepting = true
		if p.holdPause == 0 {
			p.up(s.ledger.Since())
		}
	}
	return nil
}

// free is an address of sidecar i's own that nothing listens on.
func (s *Sidecars) free(i int) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(s.sub.address(i), "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// launch starts a process of sidecar i and waits for its yes: of its operators' address where there is one (the
// application's says no while it is drained). It holds p.act.
func (s *Sidecars) launch(i int, listen string) error {
	p := s.procs[i]
	l := &life{exited: make(chan struct{})}
	asks := "http://" + listen + "/health/ready"
	if s.exp.Ops.On {
		var err error
		if l.ops, err = s.free(i); err != nil {
			return err
		}
		asks = "http://" + l.ops + "/ready"
	}
	path := filepath.Join(s.folder, fmt.Sprintf("s%02d.json", i))
	if err := os.WriteFile(path, s.config(i, listen), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("s%02d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	l.cmd = exec.Command(s.program)
	l.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_LOG=json", "BALANCER_OPS="+l.ops, "TMPDIR="+s.disk(i).tmp())
	logged := struct{ io.Writer }{logFile} // by a pipe: a full disk must not take the log
	l.cmd.Stdout, l.cmd.Stderr = logged, logged
	l.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.mu.Lock()
	if err := startChild(l.cmd); err != nil {
		s.mu.Unlock()
		logFile.Close()
		return err
	}
	p.lives = append(p.lives, l)
	s.limit(i, l)
	if p.holdDown > 0 || s.ending { // a fault came as it started
		l.expected = true
		l.cmd.Process.Kill()
	} else if p.holdPause > 0 {
		l.cmd.Process.Signal(syscall.SIGSTOP)
	}
	s.mu.Unlock()
	go s.wait(i, l, logFile)
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startPatience); ; time.Sleep(10 * time.Millisecond) {
		if l.over() {
			return fmt.Errorf("ended before its yes (see %s)", logFile.Name())
		}
		if response, err := client.Get(asks); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.mu.Lock()
				defer s.mu.Unlock()
				l.ready = true
				return nil
			}
		}
		s.mu.Lock()
		if p.holdPause > 0 {
			end = time.Now().Add(startPatience) // a paused one is not to blame
		}
		s.mu.Unlock()
		if time.Now().After(end) {
			s.mu.Lock()
			l.expected = true
			s.mu.Unlock()
			l.cmd.Process.Kill()
			<-l.exited
			return fmt.Errorf("no yes at %s within %v", asks, startPatience)
		}
	}
}

const startPatience = 20 * time.Second

// wait sees a process to its end and records one that nobody asked for.
func (s *Sidecars) wait(i int, l *life, logFile *os.File) {
	err := l.cmd.Wait()
	logFile.Close()
	p := s.procs[i]
	s.mu.Lock()
	p.lives = slices.DeleteFunc(p.lives, func(o *life) bool { return o == l })
	p.cpuEnded += l.cpu
	byItself := l.ready && !l.expected
	if byItself {
		p.accepting = false
		p.gone(s.ledger.Since())
	}
	close(l.exited)
	s.mu.Unlock()
	if byItself {
		s.trouble(i, "ended by itself: %v", err)
	}
}

// StartOrTrouble starts sidecar i where it should run, and records a start that fails.
func (s *Sidecars) StartOrTrouble(i int) {
	if err := s.Start(i); err != nil {
		s.trouble(i, "did not start: %v", err)
	}
}

// startAll starts the fleet, all sidecars side by side.
func (s *Sidecars) startAll() error {
	var starting sync.WaitGroup
	errs := make([]error, len(s.procs))
	for i := range s.procs {
		starting.Add(1)
		go func() { defer starting.Done(); errs[i] = s.Start(i) }()
	}
	starting.Wait()
	return errors.Join(errs...)
}
