package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/handover"
)

const (
	maxAdminConnections = 16              // connections of operators at once
	adminTimeout        = 2 * time.Second // for a whole call, and for its answer
	maxAdminBodyBytes   = 1 << 10         // bytes of a call's body
)

// adminServer answers operators' calls at an address of their own.
type adminServer struct {
	server      *server
	log         *slog.Logger
	http        http.Server
	connections *clients
}

// listenAdmin opens the operators' address of a configuration that has one.
func listenAdmin(cfg *Config) (net.Listener, error) {
	listener, err := net.Listen("tcp", cfg.Ops)
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	return listener, nil
}

func newAdminServer(s *server) *adminServer {
	o := &adminServer{server: s, log: s.loop.log, connections: newClients(maxAdminConnections)}
	if s.loop.control != nil {
		o.connections.flow = &s.loop.control.Admin
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", o.ready)
	mux.HandleFunc("GET /pin-servers", o.settings)
	mux.HandleFunc("GET /fleet", o.fleet)
	mux.HandleFunc("GET /control", o.controlTraffic)
	mux.HandleFunc("POST /pin-servers/disable", o.setBanned(true))
	mux.HandleFunc("POST /pin-servers/enable", o.setBanned(false))
	mux.HandleFunc("POST /drain", o.setDrained(true))
	mux.HandleFunc("POST /undrain", o.setDrained(false))
	handler := func(w http.ResponseWriter, in *http.Request) {
		o.connections.flow.AddReceived(0, true)
		defer o.connections.flow.AddSent(0, true)
		body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, maxAdminBodyBytes))
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			http.Error(w, fmt.Sprintf("the body is over %d bytes", maxAdminBodyBytes), http.StatusRequestEntityTooLarge)
			return
		} else if err != nil {
			http.Error(w, "the body could not be read", http.StatusBadRequest)
			return
		}
		in.Body = io.NopCloser(bytes.NewReader(body))
		o.connections.markProper(connOf(in)) // only a whole call keeps its connection when room is short
		mux.ServeHTTP(w, in)
	}
	o.http = http.Server{Handler: http.HandlerFunc(handler), ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		MaxHeaderBytes: headMost, ErrorLog: slog.NewLogLogger(o.log.Handler(), slog.LevelWarn),
		ConnState: o.connections.note, ConnContext: o.connections.name}
	o.http.SetKeepAlivesEnabled(false)
	return o
}

// serve answers calls until ctx ends.
func (o *adminServer) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { o.http.Close() })
	defer stop()
	if err := o.http.Serve(clientListener{listener, o.connections}); !errors.Is(err, http.ErrServerClosed) {
		o.log.Error("operators' address", "error", err)
	}
}

// ready says whether this process serves clients, be it told to send them away or not.
func (o *adminServer) ready(w http.ResponseWriter, in *http.Request) {
	if !o.server.isServing() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	}
}

// settings answers with what operators ordered of this sidecar, as JSON: the ids of pin servers out by hand, sorted, and
// whether it is drained. Both processes of an upgrade tell the same.
func (o *adminServer) settings(w http.ResponseWriter, in *http.Request) {
	state := o.server.handover.Load()
	banned := append([]string{}, state.Banned...)
	slices.Sort(banned)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(struct {
		Banned  []string `json:"banned"`
		Drained bool     `json:"drained"`
	}{banned, state.Drained})
}

// fleet answers with the fleet's view as JSON, or as text where format=text is asked for; brief=1 leaves out members
// and traffic. 404 where the view is off, 503 where another process of this sidecar keeps it.
func (o *adminServer) fleet(w http.ResponseWriter, in *http.Request) {
	if !o.server.loop.cfg.Fleet.Enabled {
		http.Error(w, "the view of the fleet is off (fleet.on)", http.StatusNotFound)
		return
	}
	f := o.server.loop.fleet.Load()
	if f == nil {
		http.Error(w, "another process of this sidecar keeps the view, or none does yet", http.StatusServiceUnavailable)
		return
	}
	query := in.URL.Query()
	status, _ := f.Status(query.Get("brief") == "1")
	if query.Get("format") == "text" {
		io.WriteString(w, status.Text())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status)
}

// controlTraffic answers with what control has cost since the start, as JSON.
func (o *adminServer) controlTraffic(w http.ResponseWriter, in *http.Request) {
	if o.server.loop.control == nil {
		http.Error(w, "what control costs is not counted", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(o.server.loop.control.Status(o.server.loop.datagramCounts()))
}

// setBanned answers a call that takes a pin server out of use by hand, or into use again.
func (o *adminServer) setBanned(on bool) http.HandlerFunc {
	return func(w http.ResponseWriter, in *http.Request) {
		body, err := io.ReadAll(in.Body)
		if err != nil {
			o.finish(w, in, err)
			return
		}
		id := strings.TrimSpace(string(body))
		if id == "" {
			http.Error(w, "the body must be a pin server's id", http.StatusBadRequest)
			return
		}
		var known bool
		if err := o.server.loop.urge(func(balancer.Micros) { _, known = o.server.loop.ids[id] }); err != nil {
			o.finish(w, in, err)
			return
		}
		if !known {
			http.Error(w, "no such pin server was ever listed", http.StatusNotFound)
			return
		}
		o.finish(w, in, o.server.updateSettings(func(state *handover.State) {
			state.Banned = slices.DeleteFunc(state.Banned, func(name string) bool { return name == id })
			if on {
				state.Banned = append(state.Banned, id)
			}
		}))
	}
}

// finish says yes, or why a call was not carried out.
func (o *adminServer) finish(w http.ResponseWriter, in *http.Request, err error) {
	if err != nil {
		o.log.Error("operators' call not carried out", "path", in.URL.Path, "from", in.RemoteAddr, "error", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	o.log.Info("operators' call", "path", in.URL.Path, "from", in.RemoteAddr)
}

// setDrained answers a call that sends clients away or takes them again.
func (o *adminServer) setDrained(on bool) http.HandlerFunc {
	return func(w http.ResponseWriter, in *http.Request) {
		o.finish(w, in, o.server.updateSettings(func(state *handover.State) { state.Drained = on }))
	}
}
