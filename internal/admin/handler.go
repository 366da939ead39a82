package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
)

// MaxBodyBytes is the maximum length of a call's body. A longer body is answered with 413.
const MaxBodyBytes = 1 << 10

// handler answers calls by means of a Controller.
type handler struct {
	controller Controller
	log        *slog.Logger
}

// NewHandler returns the handler for the operators' calls. It calls onComplete for each call whose body has been received
// completely, before the call is carried out.
func NewHandler(controller Controller, log *slog.Logger, onComplete func(*http.Request)) http.Handler {
	h := &handler{controller: controller, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", h.ready)
	mux.HandleFunc("GET /pin-servers", h.settings)
	mux.HandleFunc("GET /fleet", h.fleet)
	mux.HandleFunc("GET /control", h.controlTraffic)
	mux.HandleFunc("POST /pin-servers/disable", h.setBanned(true))
	mux.HandleFunc("POST /pin-servers/enable", h.setBanned(false))
	mux.HandleFunc("POST /drain", h.setDrained(true))
	mux.HandleFunc("POST /undrain", h.setDrained(false))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !readBody(w, r) {
			return
		}
		onComplete(r)
		mux.ServeHTTP(w, r)
	})
}

// readBody reads the body of a call to its end, so that a call whose body breaks off is not carried out. If the body breaks
// off or is too long, readBody answers the call with an error and reports false.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		http.Error(w, fmt.Sprintf("the body is over %d bytes", MaxBodyBytes), http.StatusRequestEntityTooLarge)
		return false
	}
	if err != nil {
		http.Error(w, "the body could not be read", http.StatusBadRequest)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// ready answers with 503 if this process does not serve clients, and with 200 if it does.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.controller.IsServing() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	}
}

// settings answers with the settings as JSON, with the banned endpoints sorted.
func (h *handler) settings(w http.ResponseWriter, _ *http.Request) {
	settings := h.controller.Settings()
	settings.Banned = append([]string{}, settings.Banned...) // JSON's [] rather than null
	slices.Sort(settings.Banned)
	writeJSON(w, settings)
}

// fleet answers with the fleet's status as JSON, or as text for format=text; brief=1 leaves out members and traffic.
func (h *handler) fleet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	status, err := h.controller.FleetStatus(query.Get("brief") == "1")
	if err != nil {
		writeError(w, err)
		return
	}
	if query.Get("format") == "text" {
		io.WriteString(w, status.Text())
		return
	}
	writeJSON(w, status)
}

// controlTraffic answers with the control traffic as JSON.
func (h *handler) controlTraffic(w http.ResponseWriter, _ *http.Request) {
	status, err := h.controller.ControlTraffic()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, status)
}

// setBanned returns the handler of the calls that ban an endpoint or lift its ban. The body is the endpoint's name.
func (h *handler) setBanned(banned bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			h.finish(w, r, err)
			return
		}
		endpoint := strings.TrimSpace(string(body))
		if endpoint == "" {
			http.Error(w, "the body must be a pin server's id", http.StatusBadRequest)
			return
		}
		h.finish(w, r, h.controller.SetBanned(endpoint, banned))
	}
}

// setDrained returns the handler of the calls that begin or end a drain.
func (h *handler) setDrained(drained bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.finish(w, r, h.controller.SetDrained(drained))
	}
}

// finish logs and answers a call that changes a setting. err is nil if the call succeeded.
func (h *handler) finish(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, ErrUnknownEndpoint): // not logged: the caller's mistake
	case err != nil:
		h.log.Error("admin call failed", "path", r.URL.Path, "client", r.RemoteAddr, "error", err)
	default:
		h.log.Info("admin call", "path", r.URL.Path, "client", r.RemoteAddr)
		return
	}
	writeError(w, err)
}

// writeError answers with an error's text and the matching status.
func writeError(w http.ResponseWriter, err error) { http.Error(w, err.Error(), statusOf(err)) }

// statusOf returns the status that an error is answered with.
func statusOf(err error) int {
	for _, notFound := range []error{ErrUnknownEndpoint, ErrFleetDisabled, ErrTrafficNotCounted} {
		if errors.Is(err, notFound) {
			return http.StatusNotFound
		}
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value) // the error is ignored: a caller that has disconnected needs no answer
}
