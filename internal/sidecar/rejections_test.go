package sidecar

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
)

// The log names the reason and the Retry-After of each rejection, and counts rejections by reason.
func TestLogNamesTheReasonOfARejection(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.RejectedResponse))
	log := &endpointtest.LogBuffer{}
	s := &testSidecar{t: t, registry: newFakeRegistry(t, readyEndpoint("s-1", e.Address)), log: slog.NewTextHandler(log, nil)}
	s.launch(newTestConfig(t, s.registry.address, nil, readyEndpoint("s-1", e.Address)))
	s.await("the list", func() bool { return s.loop.hasEndpoints.Load() })
	expect := func(what string) {
		t.Helper()
		s.await(what+" in the log", func() bool { return strings.Contains(log.String(), what) })
	}
	reject := func(class string) {
		t.Helper()
		if got := s.send(s.request(class, "", time.Minute)); got.statusCode != http.StatusServiceUnavailable {
			t.Errorf("%+v, want 503", got)
		}
	}
	reject("order")
	expect("reason=attempt_failed retry_after=")
	s.onLoop(func() { s.loop.setBans(s.loop.clock.now(), []string{"s-1"}) })
	reject("read")
	expect("reason=no_endpoint retry_after=")
	s.server.requests.bodies.abort()
	reject("read")
	expect("reason=shutting_down retry_after=50ms")
	expect("rejected_attempt_failed=1 rejected_no_endpoint=1 rejected_shutting_down=1")
}
