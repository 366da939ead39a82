package lab

import (
	"slices"
	"syscall"
	"time"
)

// Kill holds sidecar i down and ends its processes by SIGKILL, if any.
func (s *Sidecars) Kill(i int) {
	for _, l := range s.hold(i, true) {
		<-l.exited
	}
}

// hold counts a hold down; by force it kills at once. It returns the processes then alive.
func (s *Sidecars) hold(i int, force bool) []*life {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.procs[i]
	p.holdDown++
	if force {
		s.kill(p)
	}
	return slices.Clone(p.lives)
}

// kill ends all processes of a sidecar by SIGKILL, their requests cut. It holds s.mu.
func (s *Sidecars) kill(p *proc) {
	p.accepting = false
	p.gone(s.ledger.Since())
	for _, l := range p.lives {
		s.sample(p, l)
		l.expected = true
		l.cmd.Process.Kill()
	}
}

// Release takes one hold off; with the last the sidecar starts again.
func (s *Sidecars) Release(i int) {
	s.mu.Lock()
	s.procs[i].holdDown--
	s.mu.Unlock()
	s.StartOrTrouble(i)
}

// Pause stops sidecar i's processes by SIGSTOP.
func (s *Sidecars) Pause(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.procs[i]
	p.holdPause++
	p.gone(s.ledger.Since())
	for _, l := range p.lives {
		l.cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// Resume takes one pause off; with the last its processes run on, or it starts where it should run by now.
func (s *Sidecars) Resume(i int) {
	s.mu.Lock()
	p := s.procs[i]
	p.holdPause--
	run := p.holdPause == 0
	if run {
		for _, l := range p.lives {
			l.cmd.Process.Signal(syscall.SIGCONT)
		}
		if p.holdDown == 0 && len(p.lives) > 0 {
			p.up(s.ledger.Since())
		}
	}
	s.mu.Unlock()
	if run {
		s.StartOrTrouble(i)
	}
}

// Term holds sidecar i down by a planned stop: SIGTERM; the application sends for 0.3 s more;
// SIGKILL follows when the process has not ended within the deadline and 3.7 s.
func (s *Sidecars) Term(i int) {
	lives := s.hold(i, false)
	for _, l := range lives {
		s.terminate(i, l)
	}
	time.Sleep(300 * time.Millisecond)
	s.mu.Lock()
	s.procs[i].accepting = false
	s.mu.Unlock()
	for _, l := range lives {
		s.endWithin(i, l, s.grace())
	}
}

func (s *Sidecars) grace() time.Duration {
	return max(3*time.Second, s.exp.Load.Deadline.Duration) + 400*time.Millisecond
}

func (s *Sidecars) terminate(i int, l *life) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample(s.procs[i], l)
	l.expected = true
	l.cmd.Process.Signal(syscall.SIGTERM)
}

// Upgrade starts a second process of sidecar i beside the first and, at its
// yes, ends the first by SIGTERM, as docs/operators.md has it. It does nothing
// where the sidecar is down, paused or amid another upgrade.
func (s *Sidecars) Upgrade(i int) {
	p := s.procs[i]
	if !p.act.TryLock() {
		return
	}
	defer p.act.Unlock()
	s.mu.Lock()
	able := len(p.lives) == 1 && p.holdDown == 0 && p.holdPause == 0 && !s.ending
	var old *life
	if able {
		old = p.lives[0]
	}
	s.mu.Unlock()
	if !able {
		s.log.Info("no upgrade: the sidecar is down or paused", "sidecar", i)
		return
	}
	err := s.launch(i, s.Listen(i))
	s.mu.Lock()
	disturbed := p.holdDown > 0 || s.ending || old.over()
	s.mu.Unlock()
	switch {
	case err != nil && !disturbed:
		s.trouble(i, "upgrade: the new process did not come up: %v", err)
	case err == nil && !old.over():
		s.terminate(i, old)
		s.endWithin(i, old, s.grace()+700*time.Millisecond)
	}
}

// endWithin waits for the end of a process sent SIGTERM, and ends it by
// SIGKILL (its requests then cut) when it has not ended within grace.
func (s *Sidecars) endWithin(i int, l *life, grace time.Duration) {
	select {
	case <-l.exited:
	case <-time.After(grace):
		s.log.Warn("a sidecar did not end on SIGTERM", "sidecar", i)
		s.mu.Lock()
		p := s.procs[i]
		p.gone(s.ledger.Since())
		s.sample(p, l)
		l.cmd.Process.Kill()
		s.mu.Unlock()
		<-l.exited
		s.mu.Lock()
		if len(p.lives) > 0 && p.holdPause == 0 { // the other process of an upgrade serves on
			p.up(s.ledger.Since())
		}
		s.mu.Unlock()
	}
}
