package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/discovery"
	"bramblestand/internal/endpointtest"
)

// dedupWindowMicros is the dedup window of the class "close" in these tests. It is longer than a busy machine needs for a retry.
const dedupWindowMicros = 2_000_000

// dedupWindowTest is a sidecar with two endpoints in one pod. The first request that reaches one of them is reset.
type dedupWindowTest struct {
	*testSidecar
	requests atomic.Int64 // that have reached an endpoint
	dials    atomic.Int64
}

// startDedupWindowTest starts the sidecar. It calls beforeDial before each connection is made; dials are counted from 1. Load probes
// are off, so that each dial is for a request.
func startDedupWindowTest(t *testing.T, beforeDial func(d *dedupWindowTest, dial int64)) *dedupWindowTest {
	t.Helper()
	d := &dedupWindowTest{}
	serve := func(e *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			if d.requests.Add(1) == 1 {
				conn.(*net.TCPConn).SetLinger(0)
				return
			}
			io.WriteString(conn, endpointtest.OKResponse)
		}
	}
	first, second := endpointtest.NewServer(t, serve), endpointtest.NewServer(t, serve)
	d.testSidecar = startSidecar(t, func(settings map[string]any) {
		settings["limits"].(map[string]any)["probes"] = false
		settings["limits"].(map[string]any)["dial-timeout"] = 10_000_000
		for _, class := range settings["classes"].([]any) {
			if class := class.(map[string]any); class["name"] == "close" {
				class["window"] = dedupWindowMicros
				class["give-up"] = 10_000_000
			}
		}
	}, readyEndpoint("s-1", first.Address), readyEndpoint("s-2", second.Address))
	d.loop.upstream.Dialer.Control = func(string, string, syscall.RawConn) error {
		beforeDial(d, d.dials.Add(1))
		return nil
	}
	return d
}

// A retry of a request that is idempotent with its key for a while is sent only in that time, whenever its connection comes up.
// Guards against a retry that is decided within the dedup window and sent after it, and so runs twice (issue 52, review/9).
func TestRetryIsSentWithinTheDedupWindow(t *testing.T) {
	const window = dedupWindowMicros * time.Microsecond
	for name, c := range map[string]struct {
		beforeDial func(d *dedupWindowTest, dial int64)
		statusCode int
		statuses   []balancer.Status
		maxTime    time.Duration // of the response
	}{
		"both come up at once": {func(*dedupWindowTest, int64) {}, 200, []balancer.Status{balancer.Reset, balancer.OK}, window},
		"the retry comes up in the window": {func(_ *dedupWindowTest, dial int64) {
			if dial == 2 {
				time.Sleep(window / 4)
			}
		}, 200, []balancer.Status{balancer.Reset, balancer.OK}, window},
		"the retry comes up after the window": {func(_ *dedupWindowTest, dial int64) {
			if dial == 2 {
				time.Sleep(window + window/4)
			}
		}, 502, []balancer.Status{balancer.Reset, balancer.NotSent}, window + window/2},
		// The window begins when the first attempt is sent, not when it is decided.
		"the first comes up late": {func(_ *dedupWindowTest, dial int64) {
			if dial == 1 {
				time.Sleep(window + window/4)
			}
		}, 200, []balancer.Status{balancer.Reset, balancer.OK}, 2 * window},
		"the retry's endpoint moves to another pod": {func(d *dedupWindowTest, dial int64) {
			if dial == 2 {
				d.moveEndpoints()
			}
		}, 502, []balancer.Status{balancer.Reset, balancer.NotSent}, window},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDedupWindowTest(t, c.beforeDial)
			start := time.Now()
			got := d.send(d.request("close", "x", 9*time.Second))
			if took := time.Since(start); got.statusCode != c.statusCode || took > c.maxTime {
				t.Errorf("%v after %v, want %d within %v", got, took, c.statusCode, c.maxTime)
			}
			d.await("the outcomes", func() bool { return len(d.recorder.statuses()) >= len(c.statuses) })
			if all := d.recorder.statuses(); !slices.Equal(all, c.statuses) {
				t.Errorf("outcomes %v, want %v", all, c.statuses)
			}
			want := int64(1)
			if c.statusCode == http.StatusOK {
				want = 2
			}
			if n := d.requests.Load(); n != want {
				t.Errorf("%d requests reached the endpoints, want %d", n, want)
			}
		})
	}
}

// moveEndpoints moves all endpoints to another pod.
func (d *dedupWindowTest) moveEndpoints() {
	done := make(chan struct{})
	d.loop.post(func(now balancer.Micros) {
		defer close(done)
		var moved []discovery.Endpoint
		for _, listed := range d.loop.listedEndpoints {
			listed.Pod++
			moved = append(moved, listed.Endpoint)
		}
		d.loop.applyEndpointUpdate(now, balancer.UpdateDelta, discovery.List{Version: 2, Endpoints: moved})
	})
	<-done
}
