package sidecar

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/admin"
	"bramblestand/internal/config"
	"bramblestand/internal/discovery"
	"bramblestand/internal/endpointtest"
	"bramblestand/internal/handover"
)

// openAdmin opens the admin address of a running sidecar and returns a function that makes a call and returns its status.
func (s *testSidecar) openAdmin() func(method, path, body string) int {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.handoverFolder = s.t.TempDir()
	s.server.handover = handover.Open(s.handoverFolder, "n0", slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	s.t.Cleanup(stop)
	go newAdminServer(s.server).serve(ctx, listener)
	s.adminAddress = listener.Addr().String()
	return func(method, path, body string) int {
		s.t.Helper()
		r, err := http.NewRequest(method, "http://"+s.adminAddress+path, strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		got := s.send(r)
		if got.err != nil {
			s.t.Fatalf("%s %s: %v", method, path, got.err)
		}
		return got.statusCode
	}
}

func TestRejectedAdminCallsChangeNothing(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	call := s.openAdmin()
	for _, c := range []struct {
		method, path, body string
		code               int
	}{
		{"GET", "/ready", "", 200},
		{"POST", "/ready", "", 405},
		{"GET", "/drain", "", 405},
		{"GET", "/health/ready", "", 404},
		{"GET", "/fleet", "", 404},
		{"POST", "/pin-servers/disable", "", 400},
		{"POST", "/pin-servers/disable", " \n", 400},
		{"POST", "/pin-servers/disable", "s-9", 404},
		{"POST", "/pin-servers/enable", "s-9", 404},
		{"GET", "/pin-servers/disable", "", 405},
		{"POST", "/pin-servers/disable", strings.Repeat("s", admin.MaxBodyBytes+1), 413},
		{"POST", "/drain", strings.Repeat("x", admin.MaxBodyBytes+1), 413},
	} {
		if code := call(c.method, c.path, c.body); code != c.code {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, code, c.code)
		}
		if now := s.server.handover.Load(); now.Revision != 0 {
			t.Fatalf("%s %s changed something: %+v", c.method, c.path, now)
		}
	}
}

// Callers that do not send a complete call are disconnected, and never keep others out.
func TestStalledAdminCallersAreDisconnected(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	call := s.openAdmin()
	var stalled []net.Conn
	for i := range 2 * config.MaxAdminConnections {
		conn, err := net.Dial("tcp", s.adminAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		io.WriteString(conn, []string{"", "POST /dr", "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"}[i%3])
		stalled = append(stalled, conn)
	}
	if code := call("GET", "/ready", ""); code != 200 {
		t.Errorf("while other callers are stalled: %d, want 200", code)
	}
	for _, conn := range stalled {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.Copy(io.Discard, conn); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("a stalled caller: %v, want the connection closed", err)
		}
	}
	if s.server.isDrained.Load() {
		t.Error("an incomplete call was carried out")
	}
}

// clientConnection is a client's connection that is used for several requests.
type clientConnection struct {
	sidecar *testSidecar
	conn    net.Conn
	in      *bufio.Reader
}

// connect opens a client's connection. It is closed when the test ends.
func (s *testSidecar) connect() *clientConnection {
	s.t.Helper()
	conn := s.dial()
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &clientConnection{s, conn, bufio.NewReader(conn)}
}

// roundTrip sends a request and reads the response.
func (c *clientConnection) roundTrip() *http.Response {
	c.sidecar.t.Helper()
	c.sidecar.request("read", "", time.Minute).Write(c.conn)
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.sidecar.t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	return response
}

func TestDrainAndUndrain(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	s.server.acceptDuration = time.Minute // idle connections stay open in this test until they are used
	call := s.openAdmin()
	readiness := func() int {
		r, _ := http.NewRequest("GET", s.url+"/health/ready", nil)
		return s.send(r).statusCode
	}
	first, second := s.connect(), s.connect()
	first.roundTrip()
	second.roundTrip()
	for range 2 { // repeated calls are harmless
		if code := call("POST", "/drain", ""); code != 200 {
			t.Fatalf("drain: %d", code)
		}
	}
	if code := readiness(); code != 503 {
		t.Errorf("readiness while drained: %d, want 503", code)
	}
	if code := call("GET", "/ready", ""); code != 200 {
		t.Errorf("GET /ready of a drained process, which still serves: %d, want 200", code)
	}
	if got := first.roundTrip(); got.StatusCode != 200 || !got.Close {
		t.Errorf("an open connection during a drain: %d, close %v; want 200 and the connection closed", got.StatusCode, got.Close)
	}
	if got := s.connect().roundTrip(); got.StatusCode != 200 || !got.Close {
		t.Errorf("a new connection during a drain: %d, close %v; want 200 and the connection closed", got.StatusCode, got.Close)
	}
	for range 2 {
		if code := call("POST", "/undrain", ""); code != 200 {
			t.Fatalf("undrain: %d", code)
		}
	}
	if code := readiness(); code != 200 {
		t.Errorf("readiness after the drain: %d, want 200", code)
	}
	for range 2 {
		if got := second.roundTrip(); got.StatusCode != 200 || got.Close {
			t.Errorf("a connection that was open before and after the drain: %d, close %v; want 200 and the connection kept open", got.StatusCode, got.Close)
		}
	}
}

// A drain closes idle connections, but not one on which a request is arriving.
func TestDrainClosesIdleConnections(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	s.server.acceptDuration = 0
	call := s.openAdmin()
	idle, sending := s.connect(), s.connect()
	idle.roundTrip()
	sending.roundTrip()
	s.await("both idle", func() bool { return s.server.clients.counts().idle == 2 })
	var header strings.Builder
	s.request("read", "", time.Minute).Write(&header)
	io.WriteString(sending.conn, header.String()[:10])
	call("POST", "/drain", "")
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v, want it closed", err)
	}
	io.WriteString(sending.conn, header.String()[10:])
	response, err := http.ReadResponse(sending.in, nil)
	if err != nil || response.StatusCode != 200 || !response.Close {
		t.Errorf("an arriving request: %v, %v; want 200 and the connection closed", response, err)
	}
}

// A banned endpoint gets no requests, whatever the list reports, until the ban ends.
func TestBannedEndpointGetsNoRequests(t *testing.T) {
	one, two := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)), endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
	endpoints := []discovery.Endpoint{readyEndpoint("s-1", one.Address), readyEndpoint("s-2", two.Address)}
	s := startSidecar(t, nil, endpoints...)
	call := s.openAdmin()
	for range 2 {
		if code := call("POST", "/pin-servers/disable", "s-1\n"); code != 200 {
			t.Fatalf("disable: %d", code)
		}
	}
	lists := s.listCount()
	s.registry.change(func() {
		s.registry.list.Version++
		endpoints[0].StartedAtMillis = time.Now().UnixMilli()
		s.registry.list.Endpoints = endpoints
	})
	s.await("the list that reports its restart", func() bool { return s.listCount() > lists })
	before, _ := one.Counts()
	for range 20 {
		if got := s.send(s.request("read", "", 3*time.Second)); got.statusCode != 200 {
			t.Fatalf("with one of two endpoints banned: %+v", got)
		}
	}
	if n, _ := one.Counts(); n != before {
		t.Errorf("%d requests came to the banned endpoint", n-before)
	}
	if code := call("POST", "/pin-servers/enable", "s-1"); code != 200 {
		t.Fatalf("enable: %d", code)
	}
	s.await("the endpoint to be used again", func() bool {
		s.send(s.request("read", "", 3*time.Second))
		n, _ := one.Counts()
		return n > before
	})
}

// listCount returns how many updates of the endpoint list the balancer has received, including failed ones.
func (s *testSidecar) listCount() int {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return len(s.recorder.updateKinds)
}

// A call whose change cannot be stored is answered 503 and changes nothing.
func TestCallThatIsNotPersistedFails(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	call := s.openAdmin()
	s.server.handover.Close()
	for path, body := range map[string]string{"/drain": "", "/pin-servers/disable": "s-1"} {
		if code := call("POST", path, body); code != 503 {
			t.Errorf("%s: %d, want 503", path, code)
		}
	}
	if s.server.isDrained.Load() || len(s.loop.banned) != 0 {
		t.Error("a call that was answered 503 changed something")
	}
}

// Readiness follows bans at once, without a new list from discovery. Otherwise a sidecar would still be sent requests while all
// its endpoints are banned, or would go on reporting that it is not ready after the bans are lifted.
func TestReadinessFollowsBans(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	call := s.openAdmin()
	readiness := func() int {
		r, _ := http.NewRequest("GET", s.url+"/health/ready", nil)
		return s.send(r).statusCode
	}
	for range 2 {
		for _, c := range []struct {
			path string
			want int
		}{{"/pin-servers/disable", 503}, {"/pin-servers/enable", 200}} {
			if code := call("POST", c.path, "s-1"); code != 200 {
				t.Fatalf("%s: %d", c.path, code)
			}
			if own, application := call("GET", "/ready", ""), readiness(); own != c.want || application != c.want {
				t.Errorf("after %s: operators read %d, the application %d; want %d", c.path, own, application, c.want)
			}
		}
	}
}
