package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/config/configtest"
	"bramblestand/internal/discovery"
	"bramblestand/internal/endpointtest"
)

// testTimeout is how long a test waits for an event that must happen.
const testTimeout = endpointtest.Timeout

// testSidecar is a running sidecar with the discovery service that it calls.
type testSidecar struct {
	t        *testing.T
	url      string // of the address for clients
	loop     *eventLoop
	server   *server
	recorder *eventRecorder
	registry *fakeRegistry
	stop     context.CancelFunc // does what SIGTERM does
	ended    chan error         // receives the result of server.serve

	adminAddress   string // set by openAdmin
	handoverFolder string // set by openAdmin

	// A test may set these before launch.
	log           slog.Handler     // nil discards the log
	configureLoop func(*eventLoop) // if not nil, called before the loop runs
}

// newTestConfig returns a configuration whose list of known endpoints has the given ones. If alter is not nil, it changes the
// settings.
func newTestConfig(t *testing.T, discoveryAddress string, alter func(settings map[string]any), known ...discovery.Endpoint) *config.Config {
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
		"known":  discovery.List{IsFull: true, Endpoints: known}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// startSidecar runs a sidecar with the given endpoints until the test ends, and waits until it is ready.
func startSidecar(t *testing.T, alter func(settings map[string]any), known ...discovery.Endpoint) *testSidecar {
	t.Helper()
	s := &testSidecar{t: t, registry: newFakeRegistry(t, known...)}
	s.launch(newTestConfig(t, s.registry.address, alter, known...))
	s.await("ready", func() bool {
		response, err := http.Get(s.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return s
}

// launch runs a sidecar until the test ends.
func (s *testSidecar) launch(cfg *config.Config) {
	s.t.Helper()
	listener, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.ended = make(chan error, 1)
	s.url = "http://" + listener.Addr().String()
	loopCtx, stopLoop := context.WithCancel(context.Background())
	if s.log == nil {
		s.log = slog.DiscardHandler
	}
	s.loop, err = newEventLoop(loopCtx, cfg, slog.New(s.log))
	if err != nil {
		s.t.Fatal(err)
	}
	if s.configureLoop != nil {
		s.configureLoop(s.loop)
	}
	s.recorder = &eventRecorder{loadBalancer: s.loop.balancer}
	s.loop.balancer = s.recorder
	s.server = newServer(s.loop)
	s.server.clients.memory.setMaxBytes(64 << 20)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	loopEnded := make(chan struct{})
	go func() {
		s.loop.run()
		close(loopEnded)
	}()
	go func() {
		s.ended <- s.server.serve(ctx, listener)
		stopLoop()
	}()
	s.t.Cleanup(func() {
		stop()
		s.server.http.Close()
		// Waiting for serve alone is not enough: the loop would go on polling discovery, whose port another test may use by then.
		stopLoop()
		select {
		case <-loopEnded:
		case <-time.After(testTimeout):
			s.t.Error("the event loop has not ended in time")
		}
	})
}

// await waits until the condition holds.
func (s *testSidecar) await(what string, condition func() bool) {
	s.t.Helper()
	await(s.t, what, condition)
}

// expectCleanEnd checks that the sidecar ends in time and without an error.
func (s *testSidecar) expectCleanEnd() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Errorf("the sidecar ended with error: %v", err)
		}
	case <-time.After(testTimeout):
		s.t.Error("the sidecar has not ended in time")
	}
}

// await waits until the condition holds, and fails the test if it does not hold in time.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	endpointtest.WaitFor(t, what, condition)
}

// onLoop runs f on the event loop's goroutine and waits until it returns.
func (s *testSidecar) onLoop(f func()) {
	s.t.Helper()
	done := make(chan struct{})
	s.loop.post(func(balancer.Micros) {
		f()
		close(done)
	})
	<-done
}

// request returns a client's request of the given class, with the headers that the class requires.
func (s *testSidecar) request(class, body string, timeLeft time.Duration) *http.Request {
	s.t.Helper()
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, s.url+"/"+class+"/x%2Fy?q=1", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set(requestIDHeader, "9b1f03aa5c7e2d41")
	r.Header.Set(classHeader, class)
	r.Header.Set(timeLeftHeader, fmt.Sprint(timeLeft.Milliseconds()))
	if class == "pay" || class == "close" {
		r.Header.Set(idempotencyKeyHeader, "5c0f6e1a2b3d4c59")
	}
	return r
}

// dial opens a connection to the address for clients. It is closed when the test ends.
func (s *testSidecar) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return conn
}

// awaitEndOfAccepting waits until the address for clients refuses connections.
func (s *testSidecar) awaitEndOfAccepting() {
	s.t.Helper()
	s.await("the end of accepting", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// clientResponse is the response that a client received, or the error that it got instead.
type clientResponse struct {
	statusCode int
	header     http.Header
	body       string
	err        error
}

// String returns the response for a test's message. Without it, %+v would print the address of the error instead of its text.
func (r clientResponse) String() string {
	return fmt.Sprintf("{status code %d, header %v, body %q, error %v}", r.statusCode, r.header, r.body, r.err)
}

// send sends a request on a new connection and returns the response.
func (s *testSidecar) send(request *http.Request) clientResponse {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	response, err := client.Do(request)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, response.Header, string(body), err}
}
