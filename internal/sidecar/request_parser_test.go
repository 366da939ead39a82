package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/endpointtest"
	"bramblestand/internal/upstream"
)

// However short a client's timeout is, most of it is left for the request. A fixed margin would leave nothing of 10 ms.
func TestResponseMarginIsAFractionOfShortTimeouts(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", "127.0.0.1:1"))
	for timeout, want := range map[time.Duration]time.Duration{
		0:                      0,
		10 * time.Millisecond:  9500 * time.Microsecond,
		100 * time.Millisecond: 95 * time.Millisecond,
		2 * time.Second:        1990 * time.Millisecond,
	} {
		request, err := s.server.requests.parser.parse(s.request("pay", "x", timeout))
		if err != nil || request.Deadline != want.Microseconds() {
			t.Errorf("of %v the request gets %d us (%v), want %v", timeout, request.Deadline, err, want)
		}
	}
}

// The response to an invalid request names what is wrong, and the request is not forwarded.
func TestInvalidRequestsAreRejectedWithTheReason(t *testing.T) {
	e := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	s := startSidecar(t, func(s map[string]any) {
		s["tenants"] = []any{map[string]any{"name": "acme", "share": 1, "allowance-per-s": 10}}
	}, readyEndpoint("s-1", e.Address))
	for _, c := range []struct {
		name       string
		alter      func(*http.Request)
		statusCode int
		reason     string // part of the response
	}{
		{"no id", func(r *http.Request) { r.Header.Del(requestIDHeader) }, 400, requestIDHeader},
		{"no class", func(r *http.Request) { r.Header.Del(classHeader) }, 400, classHeader},
		{"unknown class", func(r *http.Request) { r.Header.Set(classHeader, "gift") }, 400, "gift"},
		{"no time left", func(r *http.Request) { r.Header.Del(timeLeftHeader) }, 400, timeLeftHeader},
		{"bad time left", func(r *http.Request) { r.Header.Set(timeLeftHeader, "1e3") }, 400, "1e3"},
		{"negative time left", func(r *http.Request) { r.Header.Set(timeLeftHeader, "-5") }, 400, "-5"},
		{"time left out of range", func(r *http.Request) { r.Header.Set(timeLeftHeader, "99999999999999999999") }, 400, timeLeftHeader},
		{"no key", func(r *http.Request) { r.Header.Del(idempotencyKeyHeader) }, 400, idempotencyKeyHeader},
		{"wrong method", func(r *http.Request) { r.Method = http.MethodPut }, 405, "POST"},
		{"bad hint", func(r *http.Request) { r.Header.Set(costHintHeader, "heavy") }, 400, "heavy"},
		{"unknown tenant", func(r *http.Request) { r.Header.Set(tenantHeader, "nobody") }, 400, "nobody"},
	} {
		r := s.request("pay", "x", 3*time.Second)
		r.Header.Set(tenantHeader, "acme")
		c.alter(r)
		if got := s.send(r); got.statusCode != c.statusCode || !strings.Contains(got.body, c.reason) {
			t.Errorf("%s: got %+v, want %d with %q", c.name, got, c.statusCode, c.reason)
		}
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("%d invalid requests reached the endpoint", n)
	}
	r := s.request("pay", strings.Repeat("x", upstream.MaxBufferedBody), 3*time.Second)
	r.Header.Set(tenantHeader, "acme")
	r.Header.Set(costHintHeader, "90000")
	r.Header.Set(keyHeader, "7f3a9c21e0b4d655")
	if got := s.send(r); got.statusCode != http.StatusOK {
		t.Errorf("a valid request with the largest body: %+v", got)
	}
}
