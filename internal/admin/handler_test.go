package admin

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bramblestand/internal/controltraffic"
	"bramblestand/internal/fleet"
)

// fakeController records the calls that it gets and returns err from them.
type fakeController struct {
	calls   []string
	serving bool
	err     error
}

func (c *fakeController) IsServing() bool { return c.serving }

func (c *fakeController) Settings() Settings { return Settings{Banned: []string{"s-2", "s-1"}} }

func (c *fakeController) SetBanned(endpoint string, banned bool) error {
	c.calls = append(c.calls, fmt.Sprintf("SetBanned(%q, %v)", endpoint, banned))
	return c.err
}

func (c *fakeController) SetDrained(drained bool) error {
	c.calls = append(c.calls, fmt.Sprintf("SetDrained(%v)", drained))
	return c.err
}

func (c *fakeController) FleetStatus(brief bool) (fleet.Status, error) {
	c.calls = append(c.calls, fmt.Sprintf("FleetStatus(%v)", brief))
	return fleet.Status{Name: "n0"}, c.err
}

func (c *fakeController) ControlTraffic() (controltraffic.Status, error) {
	return controltraffic.Status{}, c.err
}

func TestCallsReachTheController(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		wantCall           string
		wantBody           string // prefix of the answer's body
	}{
		{"GET", "/pin-servers", "", "", `{"banned":["s-1","s-2"],"drained":false}`},
		{"POST", "/pin-servers/disable", " s-1\n", `SetBanned("s-1", true)`, ""},
		{"POST", "/pin-servers/enable", "s-1", `SetBanned("s-1", false)`, ""},
		{"POST", "/drain", "", "SetDrained(true)", ""},
		{"POST", "/undrain", "", "SetDrained(false)", ""},
		{"GET", "/fleet", "", "FleetStatus(false)", `{"name":"n0"`},
		{"GET", "/fleet?brief=1", "", "FleetStatus(true)", `{"name":"n0"`},
		{"GET", "/fleet?format=text", "", "FleetStatus(false)", "n0: 0 members"},
		{"GET", "/control", "", "", `{"seconds":0`},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			controller := &fakeController{}
			completed := 0
			handler := NewHandler(controller, slog.New(slog.DiscardHandler), func(*http.Request) { completed++ })
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			if recorder.Code != http.StatusOK || !strings.HasPrefix(recorder.Body.String(), c.wantBody) {
				t.Errorf("answered %d %s, want 200 %s", recorder.Code, recorder.Body, c.wantBody)
			}
			if got := strings.Join(controller.calls, ", "); got != c.wantCall {
				t.Errorf("called %s, want %s", got, c.wantCall)
			}
			if completed != 1 {
				t.Errorf("onComplete was called %d times, want 1", completed)
			}
		})
	}
}

func TestErrorsAreAnsweredWithTheirStatus(t *testing.T) {
	for _, c := range []struct {
		method, path string
		err          error
		want         int
		isLogged     bool
	}{
		{"POST", "/pin-servers/disable", ErrUnknownEndpoint, http.StatusNotFound, false},
		{"POST", "/pin-servers/disable", ErrBusy, http.StatusServiceUnavailable, true},
		{"POST", "/drain", fmt.Errorf("state file: %w", io.ErrShortWrite), http.StatusServiceUnavailable, true},
		{"GET", "/fleet", ErrFleetDisabled, http.StatusNotFound, false},
		{"GET", "/fleet", ErrNoFleetMember, http.StatusServiceUnavailable, false},
		{"GET", "/control", ErrTrafficNotCounted, http.StatusNotFound, false},
	} {
		t.Run(fmt.Sprint(c.path, " ", c.err), func(t *testing.T) {
			var log strings.Builder
			handler := NewHandler(&fakeController{err: c.err}, slog.New(slog.NewTextHandler(&log, nil)), func(*http.Request) {})
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, strings.NewReader("s-1")))
			if got := recorder.Body.String(); recorder.Code != c.want || got != c.err.Error()+"\n" {
				t.Errorf("answered %d %q, want %d with the error's text", recorder.Code, got, c.want)
			}
			if isLogged := strings.Contains(log.String(), "admin call failed"); isLogged != c.isLogged {
				t.Errorf("logged %q, want a line: %v", log.String(), c.isLogged)
			}
		})
	}
}

// A call whose body breaks off must not reach the controller: part of an endpoint's name may be the name of another endpoint.
func TestIncompleteCallsAreNotCarriedOut(t *testing.T) {
	for name, c := range map[string]struct {
		body io.Reader
		want int
	}{
		"broken off": {io.MultiReader(strings.NewReader("s-1"), failingReader{}), http.StatusBadRequest},
		"too long":   {strings.NewReader(strings.Repeat("s", MaxBodyBytes+1)), http.StatusRequestEntityTooLarge},
		"empty":      {strings.NewReader(" \n"), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			controller := &fakeController{}
			handler := NewHandler(controller, slog.New(slog.DiscardHandler), func(*http.Request) {})
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest("POST", "/pin-servers/disable", c.body))
			if recorder.Code != c.want || len(controller.calls) > 0 {
				t.Errorf("answered %d after the calls %v, want %d and no calls", recorder.Code, controller.calls, c.want)
			}
		})
	}
}

// failingReader is a body that breaks off: every read returns an error.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
