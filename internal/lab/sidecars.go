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
	program string
	folder  string // configurations and logs
	exp     *Experiment
	sub     subnet
	disco   *Discovery
	peers   *Peers // nil without peers
	disks   []*disk
	ledger  *Ledger
	log     *slog.Logger

	mu       sync.Mutex
	ending   bool
	procs    []*proc
	restarts []Restart
	troubles []string // what no fault explains: ends by themselves, starts and upgrades that failed
}

func newSidecars(program, folder string, exp *Experiment, sub subnet, disco *Discovery, peers *Peers, disks []*disk, ledger *Ledger, log *slog.Logger) *Sidecars {
	s := &Sidecars{program: program, folder: folder, exp: exp, sub: sub, disco: disco, peers: peers, disks: disks, ledger: ledger, log: log}
	for range exp.Fleet.Sidecars {
		s.procs = append(s.procs, &proc{})
	}
	return s
}

// Listen is where sidecar i takes its application's requests.
func (s *Sidecars) Listen(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[i].listen
}

// Ops is where operators reach sidecar i: its newest process that gave its yes; empty while there is none.
func (s *Sidecars) Ops(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range slices.Backward(s.procs[i].lives) {
		if l.ready && !l.over() {
			return l.ops
		}
	}
	return ""
}

// Accepting tells whether the application beside sidecar i sends now.
func (s *Sidecars) Accepting(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[i].accepting
}

// Crashed tells whether sidecar i was killed or paused in [from, to].
func (s *Sidecars) Crashed(i int, from, to time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.procs[i].down {
		if w.from <= to && from <= w.to {
			return true
		}
	}
	return false
}

// trouble records what no fault explains.
func (s *Sidecars) trouble(i int, format string, args ...any) {
	text := fmt.Sprintf("s%d: ", i) + fmt.Sprintf(format, args...)
	s.log.Error("trouble", "what", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles = append(s.troubles, text)
}

// Troubles lists what no fault explains: sidecars that ended by themselves, starts and upgrades that failed.
func (s *Sidecars) Troubles() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.troubles)
}

// Restarts lists the starts again so far, with their times to the yes.
func (s *Sidecars) Restarts() []Restart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.restarts)
}

func (s *Sidecars) disk(i int) *disk { return s.disks[s.exp.machine(i)] }

// limit gives a process the file size limit of its machine's disk. It holds s.mu.
func (s *Sidecars) limit(i int, l *life) {
	most := s.disk(i).limit()
	if err := unix.Prlimit(l.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}, nil); err != nil && !errors.Is(err, unix.ESRCH) {
		s.log.Warn("the file size limit could not be set", "sidecar", i, "error", err)
	}
}

// SetFull makes the disk of a machine full, or ends one such fault.
func (s *Sidecars) SetFull(machine int, on bool) {
	s.disks[machine].setFull(on)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, p := range s.procs {
		if s.exp.machine(i) == machine {
			for _, l := range p.lives {
				s.limit(i, l)
			}
		}
	}
}

// Stop ends every sidecar: SIGCONT and SIGTERM, then SIGKILL after 5 s. None starts after it.
func (s *Sidecars) Stop() {
	s.mu.Lock()
	s.ending = true
	type target struct {
		i int
		l *life
	}
	var all []target
	for i, p := range s.procs {
		for _, l := range p.lives {
			l.cmd.Process.Signal(syscall.SIGCONT)
			all = append(all, target{i, l})
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.terminate(t.i, t.l)
			s.endWithin(t.i, t.l, 5*time.Second)
		}()
	}
	wg.Wait()
}
