package lab

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
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

type proc struct {
	act       sync.Mutex // one start or upgrade at a time; taken before Sidecars.mu
	listen    string
	lives     []*life // its processes: one, or two amid an upgrade
	accepting bool
	holdDown  int           // faults that keep it from running
	holdPause int           // faults that stop it by SIGSTOP
	started   bool          // once before
	down      []window      // killed or paused, on the lab's clock
	cpuEnded  time.Duration // of the lives that ended
	peakKB    int64
}

// life is one process of a sidecar.
type life struct {
	cmd      *exec.Cmd
	exited   chan struct{}
	ops      string // its operators' address, host:port; empty without
	ready    bool   // it gave its yes
	expected bool   // the lab ends it
	cpu      time.Duration
}

func (l *life) over() bool {
	select {
	case <-l.exited:
		return true
	default:
		return false
	}
}

type window struct{ from, to time.Duration }

// up closes the window that is open, if any, at this time.
func (p *proc) up(at time.Duration) {
	if n := len(p.down); n > 0 && p.down[n-1].to == stillDown {
		p.down[n-1].to = at
	}
}

// gone opens a window at this time, where none is open.
func (p *proc) gone(at time.Duration) {
	if n := len(p.down); n == 0 || p.down[n-1].to != stillDown {
		p.down = append(p.down, window{from: at, to: stillDown})
	}
}

// stillDown marks a window that has not ended.
const stillDown = time.Duration(1<<63 - 1)

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

func (s *Sidecars) config(i int, listen string) []byte {
	peers := ""
	if s.peers != nil {
		var known []string
		for j := range s.exp.Fleet.Sidecars {
			known = append(known, s.peers.Known(j))
		}
		peers = PeersConfig(s.peers.Listen(i), s.peers.Hub(), known)
	}
	return s.exp.SidecarConfig(i, s.exp.Fleet.Sidecars, listen, s.disco.listener.At(s.sub.address(i)), peers+s.stateDir(i))
}

// PeersConfig is the part of a sidecar's configuration that tells it of the others: where it listens, what reaches
// all, and what they are known by, as address:port.
func PeersConfig(listen, all string, known []string) string {
	list, _ := json.Marshal(known)
	return fmt.Sprintf(`"peer_listen":%q,"peers_all":%q,"peers":%s,`, listen, all, list)
}

// SidecarConfig is the configuration of sidecar i of so many that share its servers, which listens and finds discovery
// at these addresses; more is further keys, each with a comma after it.
func (e *Experiment) SidecarConfig(i, total int, listen, discovery, more string) []byte {
	zones, _ := json.Marshal(e.Fleet.Zones)
	deadline := e.Load.Deadline.Microseconds()
	if e.Fleet.View {
		more += `"fleet":{"on":true},`
	}
	return fmt.Appendf(nil, `{"name":"s%d","listen":%q,"discovery":%q,"seed":"%x",%s
"limits":{"memory_mb":192,"sockets":1024},"known":{"seq":0,"whole":true,"hosts":[]},
"settings":{"areas":%s,"skus":["m"],"stages":["s"],"tenants":[],"discovery":"subscribe",
"classes":[{"name":"read","repeat":"pure","target":%d,"give-up":%d,"credit":1},
 {"name":"order","repeat":"side_effect","target":%d,"give-up":%d,"credit":1}],
"contract":{"answer-slack":20000,"ask-within":1000000,"cold-from":0.3,"drain-grace":1000000,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":1},
"limits":{"may-tell":%t,"cancel":true,"dial-timeout":250000,"keepalive":5000000,"max-retry-after":1500000,"most-held":1000,"most-tries":3,"multiplex":1,"probes":true,"retry-after":true,"second-copies":true},
"prices":{"probe":%v,"peer":0.01},
"reporting":{"how":"probe","fields":["failed_ps","pending"]},"peers-total":%d,"position":%d,"zone":%d}}`,
		i, listen, discovery, e.Seed*1000+uint64(i), more, zones, deadline*6/10, deadline, deadline*6/10, deadline, e.Fleet.Peers,
		cmp.Or(e.Fleet.ProbePrice, 1), total, i, i%len(e.Fleet.Zones))
}

// Restarts lists the starts again so far, with their times to the yes.
func (s *Sidecars) Restarts() []Restart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.restarts)
}

// stateDir is the configuration's key for the folder of kept state, where the experiment keeps it.
func (s *Sidecars) stateDir(i int) string {
	if !s.exp.Fleet.State {
		return ""
	}
	return fmt.Sprintf(`"state_dir":%q,`, s.disk(i).state())
}

func (s *Sidecars) disk(i int) *disk { return s.disks[s.exp.machine(i)] }

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

// StartOrTrouble starts sidecar i where it should run, and records a start that fails.
func (s *Sidecars) StartOrTrouble(i int) {
	if err := s.Start(i); err != nil {
		s.trouble(i, "did not start: %v", err)
	}
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

// sample reads what /proc tells of a running process's CPU time and peak
// memory; sampling one life twice counts it once. It holds s.mu.
func (s *Sidecars) sample(p *proc, l *life) {
	pid := l.cmd.Process.Pid
	if fields := statFields(pid); len(fields) > 12 {
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		l.cpu = time.Duration(user+system) * 10 * time.Millisecond // clock ticks of 100 Hz
	}
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(status), "\n") {
			if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
				p.peakKB = max(p.peakKB, kb)
			}
		}
	}
}

// statFields are the fields of /proc/PID/stat from the process's state on; none where there is no such process.
func statFields(pid int) []string {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])) // the name before may hold anything
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

// Cost is what the sidecars took, those still running sampled now: CPU
// seconds over all, and the mean and largest peak resident memory of one, in MB.
func (s *Sidecars) Cost() (cpu float64, meanMB, peakMB float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.procs {
		cpu += p.cpuEnded.Seconds()
		for _, l := range p.lives {
			s.sample(p, l)
			cpu += l.cpu.Seconds()
		}
		meanMB += float64(p.peakKB) / 1024 / float64(len(s.procs))
		peakMB = max(peakMB, float64(p.peakKB)/1024)
	}
	return
}
