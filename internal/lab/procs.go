package lab

import (
	"encoding/json"
	"fmt"
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
)

// Sidecars runs the real sidecar processes of an experiment as children of
// the lab. Each dies with the lab (the kernel's parent-death signal), and
// Stop ends those that will not end on SIGTERM with SIGKILL.
type Sidecars struct {
	program string
	folder  string // configurations and logs
	exp     *Experiment
	disco   string
	peers   *Peers // nil without peers
	ledger  *Ledger
	log     *slog.Logger

	mu       sync.Mutex
	procs    []*proc
	restarts []Restart
}

type proc struct {
	listen    string
	cmd       *exec.Cmd
	exited    chan struct{}
	accepting bool
	down      []window      // killed or paused, on the lab's clock
	cpuEnded  time.Duration // of the process's earlier lives
	cpuNow    time.Duration // of this life, when last sampled
	peakKB    int64
}

type window struct{ from, to time.Duration }

// up closes the window that is open, if any, at this time.
func (p *proc) up(at time.Duration) {
	if n := len(p.down); n > 0 && p.down[n-1].to == stillDown {
		p.down[n-1].to = at
	}
}

// stillDown marks a window that has not ended.
const stillDown = time.Duration(1<<63 - 1)

func newSidecars(program, folder string, exp *Experiment, disco string, peers *Peers, ledger *Ledger, log *slog.Logger) *Sidecars {
	s := &Sidecars{program: program, folder: folder, exp: exp, disco: disco, peers: peers, ledger: ledger, log: log}
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

func (s *Sidecars) config(i int, listen string) []byte {
	zones, _ := json.Marshal(s.exp.Fleet.Zones)
	deadline := s.exp.Load.Deadline.Microseconds()
	peers, tell := "", false
	if s.peers != nil {
		var known []string
		for j := range s.exp.Fleet.Sidecars {
			known = append(known, s.peers.Known(j))
		}
		list, _ := json.Marshal(known)
		peers, tell = fmt.Sprintf(`"peer_listen":%q,"peers_all":%q,"peers":%s,`, s.peers.Listen(i), s.peers.Hub(), list), true
	}
	return fmt.Appendf(nil, `{"name":"s%d","listen":%q,"discovery":%q,"seed":"%x",%s
"limits":{"memory_mb":192,"sockets":1024},%s"known":{"seq":0,"whole":true,"hosts":[]},
"settings":{"areas":%s,"skus":["m"],"stages":["s"],"tenants":[],"discovery":"subscribe",
"classes":[{"name":"read","repeat":"pure","target":%d,"give-up":%d,"credit":1},
 {"name":"order","repeat":"side_effect","target":%d,"give-up":%d,"credit":1}],
"contract":{"answer-slack":20000,"ask-within":1000000,"cold-from":0.3,"drain-grace":1000000,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":1},
"limits":{"may-tell":%t,"cancel":true,"dial-timeout":250000,"keepalive":5000000,"max-retry-after":1500000,"most-held":1000,"most-tries":3,"multiplex":1,"probes":true,"retry-after":true,"second-copies":true},
"prices":{"probe":1,"peer":0.01},
"reporting":{"how":"probe","fields":["failed_ps","pending"]},"peers-total":%d,"position":%d,"zone":%d}}`,
		i, listen, s.disco, s.exp.Seed*1000+uint64(i), peers, s.stateDir(), zones, deadline*6/10, deadline, deadline*6/10, deadline, tell,
		s.exp.Fleet.Sidecars, i, i%len(s.exp.Fleet.Zones))
}

// Restarts lists the starts again so far, with their times to the yes.
func (s *Sidecars) Restarts() []Restart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.restarts)
}

// stateDir is the configuration's key for the folder of kept state, where the experiment keeps it.
func (s *Sidecars) stateDir() string {
	if !s.exp.Fleet.State {
		return ""
	}
	return fmt.Sprintf(`"state_dir":%q,`, filepath.Join(s.folder, "state"))
}

// Start starts sidecar i and waits for its yes at /health/ready. A port that
// is taken meanwhile is tried anew, three times at most.
func (s *Sidecars) Start(i int) error {
	var err error
	for try := range 3 {
		if err = s.start(i, try > 0); err == nil {
			return nil
		}
		s.log.Warn("a sidecar did not start", "sidecar", i, "try", try, "error", err)
	}
	return fmt.Errorf("sidecar %d: %w", i, err)
}

func (s *Sidecars) start(i int, newPort bool) error {
	p := s.procs[i]
	s.mu.Lock()
	listen := p.listen
	s.mu.Unlock()
	if listen == "" || newPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listen = l.Addr().String()
		l.Close()
	}
	if newPort && s.peers != nil {
		if err := s.peers.Repick(i); err != nil {
			return err
		}
	}
	path := filepath.Join(s.folder, fmt.Sprintf("s%02d.json", i))
	if err := os.WriteFile(path, s.config(i, listen), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("s%02d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_LOG=json", "BALANCER_OPS=")
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	began := s.ledger.Since()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { cmd.Wait(); close(exited) }()
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		select {
		case <-exited:
			return fmt.Errorf("ended before its yes (see %s)", logFile.Name())
		default:
		}
		if response, err := client.Get("http://" + listen + "/health/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			cmd.Process.Kill()
			<-exited
			return fmt.Errorf("no yes at %s within 20 s", listen)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.cmd != nil { // a start again, after a crash or a planned end
		s.restarts = append(s.restarts, Restart{Sidecar: i, At: began.Seconds(), ReadyMs: ms(s.ledger.Since() - began)})
	}
	p.listen, p.cmd, p.exited, p.accepting = listen, cmd, exited, true
	p.cpuEnded, p.cpuNow = p.cpuEnded+p.cpuNow, 0
	p.up(s.ledger.Since())
	return nil
}

// signal sends sig to sidecar i; down opens a window in which its requests are cut.
func (s *Sidecars) signal(i int, sig syscall.Signal, down bool) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.procs[i]
	if p.cmd == nil {
		return p
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		s.sample(p)
	}
	if down {
		p.down = append(p.down, window{from: s.ledger.Since(), to: stillDown})
	}
	if sig == syscall.SIGKILL {
		p.accepting = false
	}
	p.cmd.Process.Signal(sig)
	return p
}

// Kill sends SIGKILL and waits for the end.
func (s *Sidecars) Kill(i int) {
	if p := s.signal(i, syscall.SIGKILL, true); p.exited != nil {
		<-p.exited
	}
}

// Pause sends SIGSTOP; Resume sends SIGCONT and closes the window.
func (s *Sidecars) Pause(i int) { s.signal(i, syscall.SIGSTOP, true) }

// Resume lets a paused sidecar run on.
func (s *Sidecars) Resume(i int) {
	s.signal(i, syscall.SIGCONT, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs[i].up(s.ledger.Since())
}

// Term makes a planned stop: SIGTERM; the application sends for 0.3 s more;
// SIGKILL follows when the process has not ended within the deadline and 3.7 s.
func (s *Sidecars) Term(i int) {
	p := s.signal(i, syscall.SIGTERM, false)
	if p.exited == nil {
		return
	}
	time.Sleep(300 * time.Millisecond)
	s.mu.Lock()
	p.accepting = false
	s.mu.Unlock()
	s.endWithin(i, p, max(3*time.Second, s.exp.Load.Deadline.Duration)+400*time.Millisecond)
}

// endWithin waits for the end of a process sent SIGTERM, and ends it by
// SIGKILL (its requests then cut) when it has not ended within grace.
func (s *Sidecars) endWithin(i int, p *proc, grace time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(grace):
		s.log.Warn("a sidecar did not end on SIGTERM", "sidecar", i)
		s.signal(i, syscall.SIGKILL, true)
		<-p.exited
	}
}

// sample reads what /proc tells of a running process's CPU time and peak
// memory; sampling one life twice counts it once.
func (s *Sidecars) sample(p *proc) {
	pid := p.cmd.Process.Pid
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		if at := strings.LastIndexByte(string(stat), ')'); at > 0 {
			fields := strings.Fields(string(stat)[at+2:])
			if len(fields) > 12 {
				user, _ := strconv.ParseInt(fields[11], 10, 64)
				system, _ := strconv.ParseInt(fields[12], 10, 64)
				p.cpuNow = time.Duration(user+system) * 10 * time.Millisecond // clock ticks of 100 Hz
			}
		}
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

// Stop ends every sidecar: SIGCONT and SIGTERM, then SIGKILL after 5 s.
func (s *Sidecars) Stop() {
	var wg sync.WaitGroup
	for i, p := range s.procs {
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.exited:
			continue
		default:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.signal(i, syscall.SIGCONT, false)
			s.signal(i, syscall.SIGTERM, false)
			s.endWithin(i, p, 5*time.Second)
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
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.exited:
		default:
			s.sample(p)
		}
		cpu += (p.cpuEnded + p.cpuNow).Seconds()
		meanMB += float64(p.peakKB) / 1024 / float64(len(s.procs))
		peakMB = max(peakMB, float64(p.peakKB)/1024)
	}
	return
}
