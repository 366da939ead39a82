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

// testTimeout is how long a test waits for what must come.
const testTimeout = endpointtest.Timeout

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

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	endpointtest.WaitFor(t, what, is)
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
