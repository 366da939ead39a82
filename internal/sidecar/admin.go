package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/admin"
	"bramblestand/internal/config"
	"bramblestand/internal/controltraffic"
	"bramblestand/internal/fleet"
	"bramblestand/internal/handover"
	"bramblestand/internal/upstream"
)

const (
	adminTimeout   = 2 * time.Second // for reading a whole call, and for writing its answer
	adminMaxMemory = 1 << 20         // bytes that the heads of all calls may take; part of processMemory
	// adminCallTimeout limits how long a call waits for the event loop in total. Operators must get an answer within 1 s.
	adminCallTimeout = 800 * time.Millisecond
)

// adminServer serves the operators' calls at a separate address. It limits the number of connections in the same way as for
// clients, so that callers that send nothing cannot keep others out.
type adminServer struct {
	log         *slog.Logger
	http        http.Server
	connections *clientConns
}

// listenAdmin opens the operators' address. The configuration must have one.
func listenAdmin(cfg *config.Config) (net.Listener, error) {
	listener, err := net.Listen("tcp", cfg.AdminAddress)
	if err != nil {
		return nil, fmt.Errorf("open the operators' address (ops): %w", err)
	}
	return listener, nil
}

func newAdminServer(s *server) *adminServer {
	a := &adminServer{log: s.loop.log, connections: newClientConns(config.MaxAdminConnections)}
	a.connections.memory.setMaxBytes(adminMaxMemory)
	if s.loop.controlTraffic != nil {
		a.connections.traffic = &s.loop.controlTraffic.Admin
	}
	calls := admin.NewHandler(adminController{s}, a.log, a.retainConnection)
	a.http = http.Server{
		Handler: a.countCalls(calls),
		// Every call has to reach the handler. By default net/http answers "OPTIONS *" itself.
		DisableGeneralOptionsHandler: true,

		ReadTimeout:    adminTimeout,
		WriteTimeout:   adminTimeout,
		MaxHeaderBytes: upstream.MaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(a.log.Handler(), slog.LevelWarn),
		ConnState:      a.connections.connState,
		ConnContext:    a.connections.connContext,
	}
	a.http.SetKeepAlivesEnabled(false)
	return a
}

// retainConnection protects the connection of a complete call from being closed to make room for others.
func (a *adminServer) retainConnection(in *http.Request) {
	a.connections.markValidRequest(clientConnOf(in))
}

// countCalls counts each call and each answer as a message of control traffic. The connections count the bytes.
func (a *adminServer) countCalls(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		a.connections.traffic.AddReceived(0, true)
		defer a.connections.traffic.AddSent(0, true)
		calls.ServeHTTP(w, in)
	})
}

// serve answers calls until ctx ends.
func (a *adminServer) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { a.http.Close() })
	defer stop()
	callers := &clientListener{Listener: listener, clients: a.connections, log: a.log, answersHalfClosed: true}
	if err := a.http.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
		a.log.Error("admin server ended", "error", err)
	}
}

// adminController carries out the operators' calls. It implements admin.Controller.
type adminController struct{ server *server }

// IsServing reports whether this process serves clients.
func (c adminController) IsServing() bool { return c.server.isServing() }

// Settings returns the operators' settings, whichever process of this sidecar received them.
func (c adminController) Settings() admin.Settings {
	settings := c.server.handover.Load()
	return admin.Settings{Banned: settings.Banned, Drained: settings.Drained}
}

// SetBanned bans an endpoint, or lifts its ban. The endpoint must have been listed in this process at some time.
func (c adminController) SetBanned(endpoint string, banned bool) error {
	var isKnown bool
	deadline := time.Now().Add(adminCallTimeout)
	err := c.server.loop.postUrgentBefore(deadline, func(balancer.Micros) { _, isKnown = c.server.loop.endpointIDs.lookup(endpoint) })
	if err != nil {
		return err
	}
	if !isKnown {
		return admin.ErrUnknownEndpoint
	}
	return c.server.updateSettings(deadline, func(settings *handover.State) {
		settings.Banned = slices.DeleteFunc(settings.Banned, func(name string) bool { return name == endpoint })
		if banned {
			settings.Banned = append(settings.Banned, endpoint)
		}
	})
}

// SetDrained starts a drain, which sends clients to other sidecars, or ends it.
func (c adminController) SetDrained(drained bool) error {
	return c.server.updateSettings(time.Now().Add(adminCallTimeout), func(settings *handover.State) { settings.Drained = drained })
}

// FleetStatus returns the fleet as this process sees it.
func (c adminController) FleetStatus(brief bool) (fleet.Status, error) {
	if !c.server.loop.cfg.Fleet.Enabled {
		return fleet.Status{}, admin.ErrFleetDisabled
	}
	member := c.server.loop.fleet.Load()
	if member == nil {
		return fleet.Status{}, admin.ErrNoFleetMember
	}
	status, _ := member.Status(brief)
	return status, nil
}

// ControlTraffic returns the control traffic since the start of this process.
func (c adminController) ControlTraffic() (controltraffic.Status, error) {
	if c.server.loop.controlTraffic == nil {
		return controltraffic.Status{}, admin.ErrTrafficNotCounted
	}
	return c.server.loop.controlTraffic.Status(c.server.loop.datagramCounts()), nil
}
