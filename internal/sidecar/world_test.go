package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/config/configtest"
	"bramblestand/internal/discovery"
)

// testTimeout is how long a test waits for what must come.
const testTimeout = 20 * time.Second

// endpoint is a TCP server whose answers a test writes byte by byte.
type endpoint struct {
	address string

	mu       sync.Mutex
	conns    int
	requests []*http.Request // read by next
}

func newEndpoint(t *testing.T, serve func(e *endpoint, conn net.Conn, in *bufio.Reader)) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &endpoint{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			go func() {
				defer conn.Close()
				serve(e, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return e
}

// next reads a whole request, or returns nil when the connection has ended.
func (e *endpoint) next(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	e.mu.Lock()
	e.requests = append(e.requests, r)
	e.mu.Unlock()
	return r
}

// seen counts the requests read and the connections accepted.
func (e *endpoint) seen() (requests, conns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests), e.conns
}

// request returns one of the requests read.
func (e *endpoint) request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[i]
}

// always answers every request with the same bytes.
func always(answer string) func(*endpoint, net.Conn, *bufio.Reader) {
	return func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		for e.next(in) != nil {
			io.WriteString(conn, answer)
		}
	}
}

const (
	served  = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	failing = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	full    = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// silent takes requests and never answers.
func silent(e *endpoint, conn net.Conn, in *bufio.Reader) {
	for e.next(in) != nil {
	}
}

// then answers the first request in one way and all others in another, over
// all connections.
func then(first, rest string) func(*endpoint, net.Conn, *bufio.Reader) {
	return func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		for e.next(in) != nil {
			if n, _ := e.seen(); n == 1 {
				io.WriteString(conn, first)
			} else {
				io.WriteString(conn, rest)
			}
		}
	}
}

// fakeRegistry is a discovery service with one list.
type fakeRegistry struct {
	address string

	mu        sync.Mutex
	list      discovery.List
	isDown    bool
	malformed string // an answer to give in place of the list
	calls     []string
	changed   chan struct{} // closed and replaced with every change
}

func newFakeRegistry(t *testing.T, hosts ...discovery.Endpoint) *fakeRegistry {
	t.Helper()
	d := &fakeRegistry{list: discovery.List{IsFull: true, Endpoints: hosts}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: d}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *fakeRegistry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, r.URL.RawQuery)
	after, wait, news := r.FormValue("after"), r.FormValue("wait_ms"), d.changed
	waits := after == fmt.Sprint(d.list.Version) && wait != "0" && !d.isDown && d.malformed == ""
	d.mu.Unlock()
	if waits {
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.isDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(d.list) // which must not be believed
	case d.malformed != "":
		io.WriteString(w, d.malformed)
	case after == fmt.Sprint(d.list.Version):
		json.NewEncoder(w).Encode(discovery.List{Version: d.list.Version, Endpoints: []discovery.Endpoint{}})
	default:
		json.NewEncoder(w).Encode(d.list)
	}
}

// change alters the service and wakes the calls that wait.
func (d *fakeRegistry) change(alter func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	alter()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeRegistry) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// readyEndpoint is discovery's entry for an endpoint.
func readyEndpoint(name, address string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: address, Zone: "a", MachineType: "m1", Health: "Ready", Weight: 1}
}

// eventRecorder passes everything on to the balancer and keeps what it was told.
type eventRecorder struct {
	loadBalancer
	mu          sync.Mutex
	outcomes    []balancer.Outcome
	events      []string
	updateKinds []balancer.UpdateKind
	probes      []balancer.Status
	loads       [][]float32
}

func (s *eventRecorder) AttemptFinished(now balancer.Micros, o balancer.Outcome) {
	s.record(func() {
		s.outcomes = append(s.outcomes, o)
		s.events = append(s.events, "outcome")
	})
	s.loadBalancer.AttemptFinished(now, o)
}

func (s *eventRecorder) TimerFired(now balancer.Micros, token uint32) {
	if token >= 1<<20 { // names a request
		s.record(func() { s.events = append(s.events, "timer") })
	}
	s.loadBalancer.TimerFired(now, token)
}

func (s *eventRecorder) ClientDisconnected(now balancer.Micros, id uint64) {
	s.record(func() { s.events = append(s.events, "gone") })
	s.loadBalancer.ClientDisconnected(now, id)
}

func (s *eventRecorder) UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint) {
	s.loadBalancer.UpdateEndpoints(now, kind, entries)
	s.record(func() { s.updateKinds = append(s.updateKinds, kind) })
}

func (s *eventRecorder) LoadProbeResult(now balancer.Micros, id uint32, status balancer.Status, latency balancer.Micros, load []float32) {
	s.record(func() { s.probes, s.loads = append(s.probes, status), append(s.loads, load) })
	s.loadBalancer.LoadProbeResult(now, id, status, latency, load)
}

func (s *eventRecorder) record(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// statuses returns how the attempts ended so far.
func (s *eventRecorder) statuses() (all []balancer.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		all = append(all, o.Status)
	}
	return all
}

// testSidecar is a running sidecar with its surroundings.
type testSidecar struct {
	t              *testing.T
	url            string
	loop           *eventLoop
	server         *server
	recorder       *eventRecorder
	registry       *fakeRegistry
	adminAddress   string             // address, once operate has opened it
	handoverFolder string             // of the handover file, once operate has made it
	stop           context.CancelFunc // as SIGTERM does
	ended          chan error
	log            slog.Handler     // the sidecar's; nil to discard it
	configureLoop  func(*eventLoop) // called before the loop runs, where not nil
}

// newTestConfig returns a configuration that knows the given list.
func newTestConfig(t *testing.T, discoveryAddress string, alter func(settings map[string]any), hosts ...discovery.Endpoint) *config.Config {
	t.Helper()
	var settings map[string]any
	if err := json.Unmarshal([]byte(configtest.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	if alter != nil {
		alter(settings)
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"known":  discovery.List{IsFull: true, Endpoints: hosts}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// startSidecar runs a sidecar that knows these endpoints, and waits until it is ready.
func startSidecar(t *testing.T, alter func(settings map[string]any), hosts ...discovery.Endpoint) *testSidecar {
	t.Helper()
	w := &testSidecar{t: t, registry: newFakeRegistry(t, hosts...)}
	w.launch(newTestConfig(t, w.registry.address, alter, hosts...))
	w.await("ready", func() bool {
		response, err := http.Get(w.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return w
}

// launch runs a sidecar until the test ends.
func (w *testSidecar) launch(cfg *config.Config) {
	w.t.Helper()
	listener, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		w.t.Fatal(err)
	}
	w.ended = make(chan error, 1)
	w.url = "http://" + listener.Addr().String()
	loopCtx, stopLoop := context.WithCancel(context.Background())
	if w.log == nil {
		w.log = slog.DiscardHandler
	}
	w.loop, err = newEventLoop(loopCtx, cfg, slog.New(w.log))
	if err != nil {
		w.t.Fatal(err)
	}
	if w.configureLoop != nil {
		w.configureLoop(w.loop)
	}
	w.recorder = &eventRecorder{loadBalancer: w.loop.balancer}
	w.loop.balancer = w.recorder
	w.server = newServer(w.loop)
	w.server.requests.bodies.setMaxBytes(64 << 20)
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	loopEnded := make(chan struct{})
	go func() {
		w.loop.run()
		close(loopEnded)
	}()
	go func() {
		w.ended <- w.server.serve(ctx, listener)
		stopLoop()
	}()
	w.t.Cleanup(func() {
		stop()
		w.server.http.Close()
		// Not by serve's end alone: until then the loop polls discovery, whose port may by then be another test's.
		stopLoop()
		select {
		case <-loopEnded:
		case <-time.After(testTimeout):
			w.t.Error("the sidecar's loop does not end")
		}
	})
}

// await waits for something to become true.
func (w *testSidecar) await(what string, is func() bool) {
	w.t.Helper()
	await(w.t, what, is)
}

// expectCleanEnd waits for the sidecar's end and checks that it ended well.
func (w *testSidecar) expectCleanEnd() {
	w.t.Helper()
	select {
	case err := <-w.ended:
		if err != nil {
			w.t.Errorf("the sidecar ended with %v", err)
		}
	case <-time.After(testTimeout):
		w.t.Error("the sidecar does not end")
	}
}

// readsWhole is an endpoint that reads one request and tells whether its body came whole.
func readsWhole(whole chan<- bool) func(*endpoint, net.Conn, *bufio.Reader) {
	return func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			whole <- err == nil
		}
	}
}

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// onLoop runs f in the loop and waits for it.
func (w *testSidecar) onLoop(f func()) {
	w.t.Helper()
	done := make(chan struct{})
	w.loop.post(func(balancer.Micros) {
		f()
		close(done)
	})
	<-done
}

// request makes a client's request of a class.
func (w *testSidecar) request(class, body string, timeLeft time.Duration) *http.Request {
	w.t.Helper()
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, w.url+"/"+class+"/x%2Fy?q=1", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", "9b1f03aa5c7e2d41")
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	if class == "pay" || class == "close" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	return r
}

// clientResponse is a final answer as a client sees it.
type clientResponse struct {
	statusCode int
	header     http.Header
	body       string
	err        error
}

func (w *testSidecar) send(r *http.Request) clientResponse {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: testTimeout}).Do(r)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, response.Header, string(body), err}
}
