// Package lib2 holds what the cases of the second review share: discovery's agent, the start and the end of sidecars with the
// commands of the deploy file, the settings of a small deployment, clients, and the record. All addresses are loopback addresses.
package lib2

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CouldNot  = 2
	caseLimit = 115 * time.Second
)

// Record writes what a case sent, got and saw to record.txt, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Case is one run of a case.
type Case struct {
	*Record
	Root    string // the project's root folder
	Temp    string
	Trouble bool // false if the disruption is left out

	mu       sync.Mutex
	sidecars []*Sidecar
}

// Main runs a case from the project's root folder and exits with its result. The flag -record names the file that the record is
// written to. The case is given up if it takes too long, or is told to end.
func Main(run func(*Case) (code int, verdict string)) {
	path := flag.String("record", "", "file of the record")
	flag.Parse()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	c := &Case{Record: &Record{file: file, start: time.Now()}, Root: root, Temp: temp,
		Trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		code    int
		verdict string
	}
	done := make(chan result, 1)
	go func() {
		defer func() {
			if failure := recover(); failure != nil {
				done <- result{CouldNot, fmt.Sprint("could not run: ", failure)}
			}
		}()
		code, verdict := run(c)
		done <- result{code, verdict}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-signals:
		r = result{CouldNot, "could not run: told to end"}
	case <-time.After(caseLimit):
		r = result{CouldNot, "could not run: took too long"}
	}
	c.endAll()
	os.RemoveAll(temp)
	c.Printf("verdict (trouble %t): exit %d, %s", c.Trouble, r.code, r.verdict)
	fmt.Printf("trouble %t: exit %d, %s\n", c.Trouble, r.code, r.verdict)
	os.Exit(r.code)
}

// Must panics, which ends the case with CouldNot, if err is not nil.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// FreeAddress returns an address on 127.0.0.1 that nothing listens on.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// ReadyHost returns the entry of a pin server that has been up for long.
func ReadyHost(name, dial string, block int) Host {
	return Host{Host: name, Dial: dial, Site: "hobart", Class: "std-4", Block: block, Health: "Ready", Share: 1}
}

// Agent is discovery's agent on the sidecar's machine. It answers at once with what it has, and answers a watch when something
// newer exists or its time has passed.
type Agent struct {
	Address string

	mu      sync.Mutex
	version int64
	hosts   []Host
	changed map[string]int64
	wake    chan struct{}
}

// StartAgent starts an agent that has these hosts.
func StartAgent(hosts ...Host) *Agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	a := &Agent{Address: l.Addr().String(), version: 1, changed: map[string]int64{}, wake: make(chan struct{})}
	for _, host := range hosts {
		a.hosts = append(a.hosts, host)
		a.changed[host.Host] = 1
	}
	go http.Serve(l, a)
	return a
}

// SetAll changes entries, or adds them. They become known at once.
func (a *Agent) SetAll(hosts ...Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := map[string]int{}
	for i, host := range a.hosts {
		at[host.Host] = i
	}
	a.version++
	for _, host := range hosts {
		a.changed[host.Host] = a.version
		if i, isKnown := at[host.Host]; isKnown {
			a.hosts[i] = host
		} else {
			at[host.Host] = len(a.hosts)
			a.hosts = append(a.hosts, host)
		}
	}
	close(a.wake)
	a.wake = make(chan struct{})
}

// ServeHTTP answers a call for the whole list or a watch.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	isWatch := r.URL.Query().Has("after")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(waitMs, 60_000)) * time.Millisecond)
	for isWaiting := isWatch; isWaiting; {
		a.mu.Lock()
		version, wake := a.version, a.wake
		a.mu.Unlock()
		if version > after {
			break
		}
		select {
		case <-wake:
		case <-timeout:
			isWaiting = false
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []Host `json:"hosts"`
	}{a.version, !isWatch, []Host{}}
	for _, host := range a.hosts {
		if isWatch && a.changed[host.Host] > after || !isWatch && host.Health != "Gone" {
			answer.Hosts = append(answer.Hosts, host)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// Object is a JSON object.
type Object = map[string]any

// Settings returns the settings of a small deployment like derwent-maps.
func Settings() Object {
	return Object{
		"areas": []string{"hobart"}, "skus": []string{"std-4"}, "stages": []string{"pin-servers"},
		"callers": Object{"marks-retry": false},
		"classes": []Object{{"name": "save-pins", "credit": 1.0, "give-up": 2000000, "target": 500000, "late-value": 0.0,
			"repeat": "token", "group": "cell", "window": 4000000, "stream": false}},
		"contract": Object{"answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.16, "drain-grace": 1500000,
			"fall-multiple": 4.0, "overload-for": 1500000, "ramp-time": 21000000},
		"discovery": "automatic", "kind-of-service": "mesh",
		"goal": Object{"whole": 0.8, "worst-class": 0.0, "worst-tenant": 0.1, "worst-window": 0.1},
		"limits": Object{"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 8000, "dial-timeout": 250000,
			"keepalive": 60000000, "max-retry-after": 1000000, "may-tell": false, "most-held": 20000, "most-tries": 5,
			"multiplex": 1, "probes": true, "retry-after": true, "second-copies": false},
		"over-share-worth": 0.2, "peers-total": 1, "position": 0,
		"prices": Object{"connection": 0.0, "cross-zone": 0.11, "discovery": 0.0, "handshake": 0.0, "late-fail": 0.08,
			"moves": 0.0, "origin": 0.0, "peer": 0.014, "probe": 0.0014, "waste": 0.05},
		"reporting": Object{"fields": []string{"busy_reqs", "failed_ps", "svc_ms", "pending"}, "how": "probe"},
		"tenants":   []Object{{"name": "huon-council", "allowance-per-s": 1000.0, "share": 1.0}},
		"tick":      5000, "tier": 0, "value-by": "request", "weight-kind": "none", "zone": 0,
	}
}

// Sidecar is one process of a sidecar.
type Sidecar struct {
	Listen string
	Ops    string // empty if the sidecar has no operators' address

	cmd    *exec.Cmd
	exited chan struct{}
}

// SidecarOptions configures StartSidecar.
type SidecarOptions struct {
	Name      string
	Discovery string
	Settings  Object
	MemoryMB  int // 64 if 0
	Sockets   int // 256 if 0
	WithOps   bool
	OneCore   bool // the process runs Go code on one core, which is all that a sidecar has
	Known     []Host
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// StartSidecar starts a sidecar with the deploy file's command, and waits until it is ready.
func (c *Case) StartSidecar(o SidecarOptions) *Sidecar {
	deploy, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	Must(err)
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		panic("no run command in the deploy file")
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = 64
	}
	if o.Sockets == 0 {
		o.Sockets = 256
	}
	if o.Known == nil {
		o.Known = []Host{}
	}
	s := &Sidecar{Listen: FreeAddress(), exited: make(chan struct{})}
	config := Object{"name": o.Name, "listen": s.Listen, "discovery": o.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": Object{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":  Object{"seq": 0, "whole": true, "hosts": o.Known}, "settings": o.Settings}
	if o.WithOps {
		s.Ops = FreeAddress()
		config["ops"] = s.Ops
	}
	text, err := json.Marshal(config)
	Must(err)
	folder, err := os.MkdirTemp(c.Temp, o.Name)
	Must(err)
	path := filepath.Join(folder, "config.json")
	Must(os.WriteFile(path, text, 0o600))
	scratch := filepath.Join(folder, "tmp")
	Must(os.Mkdir(scratch, 0o700))
	log, err := os.Create(filepath.Join(folder, "log"))
	Must(err)
	s.cmd = exec.Command("/bin/sh", "-c", string(match[1]))
	s.cmd.Dir, s.cmd.Stdout, s.cmd.Stderr = c.Root, log, log
	s.cmd.Env = append(os.Environ(), "TMPDIR="+scratch, "BALANCER_NAME="+o.Name, "BALANCER_LISTEN="+s.Listen,
		"BALANCER_DISCOVERY="+o.Discovery, "BALANCER_CONFIG="+path)
	if o.OneCore {
		s.cmd.Env = append(s.cmd.Env, "GOMAXPROCS=1")
	}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(s.cmd.Start())
	c.mu.Lock()
	c.sidecars = append(c.sidecars, s)
	c.mu.Unlock()
	go func() {
		s.cmd.Wait()
		close(s.exited)
	}()
	for deadline := time.Now().Add(30 * time.Second); !s.IsReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) || s.HasExited() {
			lines, _ := os.ReadFile(log.Name())
			panic(fmt.Sprintf("sidecar %s is not ready: %s", o.Name, lines))
		}
	}
	c.Printf("sidecar %s is ready, process %d", o.Name, s.cmd.Process.Pid)
	if os.Getenv("KEEP_LOG") != "" {
		fmt.Println("log:", log.Name())
	}
	return s
}

// Pid returns the process id.
func (s *Sidecar) Pid() int { return s.cmd.Process.Pid }

// HasExited reports whether the process has ended.
func (s *Sidecar) HasExited() bool {
	select {
	case <-s.exited:
		return true
	default:
		return false
	}
}

// IsReady asks GET /health/ready once.
func (s *Sidecar) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.Listen + "/health/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Call makes an operators' call and returns its status.
func (s *Sidecar) Call(method, path, body string) int {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+s.Ops+path, strings.NewReader(body))
	Must(err)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Signal sends a signal to the process.
func (s *Sidecar) Signal(signal syscall.Signal) { s.cmd.Process.Signal(signal) }

func (c *Case) endAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sidecars {
		if !s.HasExited() {
			s.cmd.Process.Kill()
			<-s.exited
		}
	}
}

// Request is a client's request.
type Request struct {
	Method, Class, ID, Key string // the method is POST if empty; no Idempotency-Key if Key is empty
	TimeLeft               time.Duration
	Body                   string
}

// Text returns the request's bytes.
func (r Request) Text() string {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Account: huon-council\r\nX-Time-Left-Ms: %d\r\n", method, r.Class, r.ID, r.Class, r.TimeLeft.Milliseconds())
	if r.Key != "" {
		text += "Idempotency-Key: " + r.Key + "\r\n"
	}
	if method != http.MethodGet {
		text += "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"
	}
	return text + "\r\n" + r.Body
}

// Answer is what a client got.
type Answer struct {
	Status int // 0 if there was no answer, or no whole one
	Body   string
	Close  bool // the connection is not to be used again
	Err    error
	Took   time.Duration
}

// ClientConn is a client's connection to a sidecar.
type ClientConn struct {
	net.Conn
	reader *bufio.Reader
	record *Record
}

// DialClient opens a connection. What is sent on it is recorded.
func (c *Case) DialClient(address string) (*ClientConn, error) {
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		return nil, err
	}
	return &ClientConn{conn, bufio.NewReader(conn), c.Record}, nil
}

// Do sends a request and waits for its whole answer, for its time left and patience beyond that.
func (c *ClientConn) Do(r Request, patience time.Duration) Answer {
	start := time.Now()
	c.record.Printf("%s is sent", r.ID)
	c.SetDeadline(start.Add(r.TimeLeft + patience))
	if _, err := io.WriteString(c, r.Text()); err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	return c.Await(r.TimeLeft + patience)
}

// Await waits for the whole answer to a request whose last byte has just been written.
func (c *ClientConn) Await(patience time.Duration) Answer {
	start := time.Now()
	c.SetDeadline(start.Add(patience))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	return Answer{Status: response.StatusCode, Body: string(body), Close: response.Close, Took: time.Since(start)}
}

// IsTimeout reports whether a wait ended without input.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Go runs a function in a goroutine that the group waits for.
func Go(group *sync.WaitGroup, run func()) {
	group.Add(1)
	go func() {
		defer group.Done()
		run()
	}()
}
