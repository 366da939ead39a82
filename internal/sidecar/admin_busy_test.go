package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/admin"
	"bramblestand/internal/endpointtest"
)

// maxAdminAnswerTime is within what operators are owed an answer, under any load.
const maxAdminAnswerTime = time.Second

// adminAnswer is the answer to an operators' call.
type adminAnswer struct {
	status   int
	text     string
	duration time.Duration
}

// callAdmin makes a call whose answer may be any.
func (s *testSidecar) callAdmin(method, path, body string) adminAnswer {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+s.adminAddress+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatalf("%s %s: %v after %v", method, path, err, time.Since(start))
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return adminAnswer{response.StatusCode, strings.TrimSpace(string(text)), time.Since(start)}
}

// blockLoop keeps the event loop busy until release is called.
func (s *testSidecar) blockLoop() (release func()) {
	blocked, released := make(chan struct{}), make(chan struct{})
	s.loop.post(func(balancer.Micros) { close(blocked); <-released })
	<-blocked
	return func() { close(released) }
}

// Guards against an operators' call that is answered "could not be carried out" by a busy sidecar and takes effect all the same.
func TestAnswerOfABusySidecarAgreesWithTheEffect(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	s.openAdmin()
	go s.server.pollHandover(s.loop.ctx)

	release := s.blockLoop()
	got := s.callAdmin("POST", "/pin-servers/disable", "s-1")
	if got.status != http.StatusServiceUnavailable || got.text != admin.ErrBusy.Error() || got.duration > maxAdminAnswerTime {
		t.Errorf("a ban that was not recorded: %+v", got)
	}
	release()
	time.Sleep(300 * time.Millisecond) // several polls of the handover file
	s.onLoop(func() {
		if len(s.loop.banned) > 0 {
			t.Error("the ban that was not carried out is in force")
		}
	})

	release = s.blockLoop()
	got = s.callAdmin("POST", "/drain", "")
	if got.status != http.StatusServiceUnavailable || got.text != admin.ErrUnconfirmed.Error() || got.duration > maxAdminAnswerTime {
		t.Errorf("a drain that was recorded: %+v", got)
	}
	release()
	s.await("the recorded drain", s.server.isDrained.Load)
	if got := s.callAdmin("POST", "/drain", ""); got.status != http.StatusOK {
		t.Errorf("the same call again: %+v", got)
	}
}

// Guards against an answer that comes late, or never, because each step of the call waits for a loop that is busy again.
func TestAdminAnswersComeInTimeFromABusyLoop(t *testing.T) {
	s := startSidecar(t, nil, readyEndpoint("s-1", endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse)).Address))
	s.openAdmin()
	go s.server.pollHandover(s.loop.ctx)
	for range 10 {
		s.loop.post(func(balancer.Micros) { time.Sleep(600 * time.Millisecond) })
	}
	for _, path := range []string{"/pin-servers/disable", "/pin-servers/enable"} {
		if got := s.callAdmin("POST", path, "s-1"); got.duration > maxAdminAnswerTime {
			t.Errorf("%s: %+v", path, got)
		}
	}
}
