// Package world has what the review's cases share: stand-ins for clients, pin servers and discovery that follow the operators'
// pages, a sidecar that is started with the command of the deploy file, and the record of what was sent, answered and run.
// All addresses are on the loopback interface, and every process and wait is bounded.
package world

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is a file of lines, each with the time since its start.
type Record struct {
	start time.Time
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
}

// OpenRecord creates the file.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), out: bufio.NewWriter(file), file: file}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	at := time.Since(r.start).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{at}, args...)...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// FreeAddress returns a free TCP address on 127.0.0.1.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Settings returns the settings of the operators' example for derwent-maps, as nested JSON. The class is save-pins, which has a
// key, or another one if a case replaces it.
func Settings() map[string]any {
	return map[string]any{
		"areas": []string{"hobart", "melbourne", "adelaide", "sydney", "brisbane"},
		"skus":  []string{"std-4"}, "stages": []string{"pin-servers"}, "tier": 0, "zone": 3, "position": 0, "peers-total": 2,
		"kind-of-service": "mesh", "discovery": "automatic", "weight-kind": "none", "value-by": "work", "tick": 5000,
		"over-share-worth": 0.2, "callers": map[string]any{"marks-retry": false},
		"classes": []any{map[string]any{"name": "save-pins", "credit": 1.0, "give-up": 2000000, "target": 500000, "group": "cell",
			"late-value": 0.0, "repeat": "token", "stream": false, "window": 4000000}},
		"contract": map[string]any{"answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.16, "drain-grace": 1500000,
			"fall-multiple": 4.0, "overload-for": 1500000, "ramp-time": 21000000},
		"goal": map[string]any{"whole": 0.8, "worst-class": 0.0, "worst-tenant": 0.1, "worst-window": 0.1},
		"limits": map[string]any{"cancel": true, "dial-timeout": 250000, "keepalive": 60000000, "max-retry-after": 1000000,
			"may-tell": false, "most-held": 20000, "most-tries": 5, "multiplex": 1, "probes": true, "retry-after": true,
			"second-copies": false, "cpu-us-per-s": 8000},
		"prices":    map[string]any{"cross-zone": 0.11, "late-fail": 0.08, "peer": 0.014, "probe": 0.0014, "waste": 0.05},
		"reporting": map[string]any{"fields": []string{"busy_reqs", "failed_ps", "svc_ms", "pending"}, "how": "probe"},
		"tenants": []any{
			map[string]any{"name": "huon-council", "allowance-per-s": 157.0, "share": 0.42},
			map[string]any{"name": "north-west-history", "allowance-per-s": 116.0, "share": 0.31},
			map[string]any{"name": "bothwell-society", "allowance-per-s": 101.0, "share": 0.27}},
	}
}

// Tenants are the names of the tenants in Settings.
var Tenants = []string{"huon-council", "north-west-history", "bothwell-society"}

// Sidecar is one process of the project, started with `run` of the deploy file.
type Sidecar struct {
	Name, Address string
	dir           string
	command       *exec.Cmd
	ended         chan struct{}
	log           *os.File
}

// StartSidecar starts a sidecar with its own temporary folder below dir, and waits until it is ready. The working folder has to
// be the root of the repository.
func StartSidecar(dir, name, discovery string, settings map[string]any, known []Host) (*Sidecar, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile("deploy/balancer.toml", &deploy); err != nil {
		return nil, err
	}
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	s := &Sidecar{Name: name, Address: address, dir: filepath.Join(dir, name), ended: make(chan struct{})}
	if err := os.MkdirAll(filepath.Join(s.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": address, "discovery": discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"seq": 0, "whole": true, "hosts": known},
		"settings": settings,
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	if s.log, err = os.Create(filepath.Join(s.dir, "log")); err != nil {
		return nil, err
	}
	s.command = exec.Command("/bin/sh", "-c", deploy.Run)
	s.command.Stdout, s.command.Stderr = s.log, s.log
	s.command.Env = append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN="+address, "BALANCER_DISCOVERY="+discovery,
		"BALANCER_CONFIG="+path, "TMPDIR="+filepath.Join(s.dir, "tmp"))
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		s.command.Wait()
		close(s.ended)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s.isReady() {
			return s, nil
		}
		if s.HasEnded() {
			break
		}
	}
	s.Kill()
	return nil, fmt.Errorf("sidecar %s did not become ready", name)
}

// isReady asks /health/ready.
func (s *Sidecar) isReady() bool {
	conn, err := net.DialTimeout("tcp", s.Address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return len(line) > 12 && line[9:12] == "200"
}

// HasEnded reports whether the process has ended.
func (s *Sidecar) HasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Stop ends the process with SIGTERM, and kills it if that takes more than 5 s.
func (s *Sidecar) Stop() {
	s.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-s.ended:
	case <-time.After(5 * time.Second):
		s.Kill()
	}
	s.log.Close()
}

// Kill kills the process and waits for its end.
func (s *Sidecar) Kill() {
	s.command.Process.Kill()
	<-s.ended
}
