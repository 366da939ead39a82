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

// maxAdminAnswerTime is the time within which operators must get an answer, under any load.
const maxAdminAnswerTime = time.Second

// adminAnswer is the answer to an operators' call.
type adminAnswer struct {
	status   int
	text     string
	duration time.Duration
}

// callAdmin makes an operators' call and returns the answer, whatever its status.
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

// A call that a busy sidecar answers with ErrBusy must not take effect later. A call that it answers with ErrUnconfirmed must
// take effect.
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

// A call consists of several steps that each wait for the event loop. If the loop is busy again at every step, the call must
// still be answered in time.
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
