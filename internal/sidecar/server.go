package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/config"
	"bramblestand/internal/handover"
	"bramblestand/internal/state"
)

const (
	maxResponseMargin        = 10 * time.Millisecond   // of a client's time, at most, kept for writing the final answer
	responseMarginDivisor    = 20                      // and one part in so many of it: a deadline may be as short as that
	acceptAfterShutdown      = 600 * time.Millisecond  // after SIGTERM or a drain: clients go on connecting for 0.4 s
	acceptAfterHandover      = time.Millisecond        // after SIGTERM, with another process there to take clients
	endpointListWait         = 1500 * time.Millisecond // a process beside another waits so long for discovery: its yes is owed in 6 s
	drainedCheckInterval     = 100 * time.Millisecond  // between looks for connections at rest while drained
	overloadRetryAfter       = time.Second             // wait told to clients that find all connections in use
	maxRequestTimeout        = time.Minute             // that a request gets
	statusLogInterval        = time.Second             // between log lines of what the sidecar holds
	controlLogInterval       = 10                      // reports between log lines of control traffic
	writeTimeout             = 2 * time.Second         // for an answer, from its first byte on
	bodiesHeapDivisor        = 2                       // one part in so many of the heap may be bodies
	clientsDescriptorDivisor = 3                       // one part in so many of the descriptors is the most that clients hold
	shutdownRetryAfter       = 50 * time.Millisecond   // wait told to clients that a process about to end turns away
	shutdownCheckInterval    = 10 * time.Millisecond   // between looks for connections at rest at the end
	maxShutdownTime          = time.Minute             // after that, for what still goes on when it ends
	clientIdleTimeout        = 10 * time.Second        // between a client's requests
)

// server takes the application's requests.
type server struct {
	loop           *loop
	http           http.Server
	classes        map[string]uint8
	tenants        map[string]uint16
	clients        *clientConns
	isListening    atomic.Bool // it takes connections
	isShuttingDown atomic.Bool // after SIGTERM
	isDrained      atomic.Bool // by an operator

	bodies requestBodies

	acceptDuration time.Duration // after SIGTERM, or a call to drain

	handover        *handover.Store // nil without operators
	applyMu         sync.Mutex      // guards the three below, and the order in which settings are applied
	appliedRevision uint64          // of the operators' settings in force
	hasOtherProcess bool            // another process of this sidecar runs
	limitsSplit     bool            // splitLimits was called
}

// Run serves until ctx ends, then answers what it has taken and returns. Each
// configuration from reloads replaces the address of discovery; all else in it
// holds from a start on only.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan *config.Config, log *slog.Logger) error {
	// The loop outlives ctx: requests in hand still need it.
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := newLoop(loopCtx, cfg, log)
	if err != nil {
		return err
	}
	if err := l.openGossip(loopCtx); err != nil {
		return err
	}
	s := newServer(l)
	if l.restored = loadSnapshot(cfg, log); l.restored != nil {
		l.restoredMembership = l.restored.Membership
	}
	if cfg.StateDir != "" {
		l.snapshots = state.NewWriter(loopCtx, cfg.StateDir, log)
	}
	paired := false
	if cfg.AdminAddress != "" {
		calls, err := listenAdmin(cfg)
		if err != nil {
			return err
		}
		s.openHandover()
		defer s.handover.Close()
		paired = s.handover.HasOtherProcess()
		go l.run()
		if err := s.applySettings(s.handover.Load(), paired); err != nil {
			return err
		}
		go newAdminServer(s).serve(loopCtx, calls)
		go s.pollHandover(loopCtx)
	} else {
		s.splitLimits(false)
		go l.run()
	}
	go l.follow(reloads)
	if cfg.Fleet.Enabled {
		go s.runMembership(ctx)
	}
	if paired && !s.awaitEndpointList(ctx) { // the other process serves as yet
		return nil
	}
	listener, err := listen(cfg)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if paired {
		if err := preferSocket(listener.(*net.TCPListener)); err != nil {
			// The old process empties its queue all the same: a few may be turned back as it closes.
			log.Warn("new connections are not steered to this process", "error", err)
		}
	}
	return s.serve(ctx, listener)
}

// awaitEndpointList waits until this process can serve from a list that discovery has confirmed, or, where discovery is
// silent, from the one it was started with. It returns false if ctx ends before.
func (s *server) awaitEndpointList(ctx context.Context) bool {
	told, patience := s.loop.told, time.NewTimer(endpointListWait)
	defer patience.Stop()
	for {
		select {
		case <-told:
			told = nil // it stays closed
		case <-patience.C:
			patience.Reset(endpointListWait)
		case <-ctx.Done():
			return false
		}
		if s.loop.listed.Load() {
			return true
		}
	}
}

func (s *server) serve(ctx context.Context, listener net.Listener) error {
	go s.logStatusPeriodically(ctx)
	go s.clients.closeIdlePeriodically(ctx)
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(clientListener{listener, s.clients}) }()
	s.isListening.Store(true)
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.shutDown(listener)
}

// isServing says whether this process serves clients, be it told to send them away or not.
func (s *server) isServing() bool {
	return s.isListening.Load() && s.loop.listed.Load() && !s.isShuttingDown.Load()
}

// isDraining says whether clients are to go elsewhere: each answer ends its connection.
func (s *server) isDraining() bool { return s.isShuttingDown.Load() || s.isDrained.Load() }

// setDrained sends clients away, or takes them again.
func (s *server) setDrained(on bool) {
	if !s.isDrained.CompareAndSwap(!on, on) || !on {
		return
	}
	go func() {
		// By then most connections at rest have been used once more, and their clients were told; and no new ones come.
		time.Sleep(s.acceptDuration)
		for s.isDrained.Load() && !s.isShuttingDown.Load() {
			s.clients.closeIdle(0)
			time.Sleep(drainedCheckInterval)
		}
	}()
}

func newServer(l *loop) *server {
	s := &server{loop: l, classes: map[string]uint8{}, tenants: map[string]uint16{},
		clients: newClientConns(l.cfg.MaxConnections()), acceptDuration: acceptAfterShutdown}
	for i, c := range l.cfg.Settings.Classes {
		s.classes[c.Name] = uint8(i)
	}
	for i, t := range l.cfg.Settings.Tenants {
		s.tenants[t.Name] = uint16(i)
	}
	// Not a ServeMux: it would redirect paths that endpoints are to see as they are.
	handler := func(w http.ResponseWriter, in *http.Request) {
		if clientConnOf(in).takeRequest() {
			s.rejectInvalid(w, in, newInvalidRequest("both a length and a transfer coding are given"))
			return
		}
		if in.URL.Path == "/health/ready" {
			s.serveReadiness(w)
		} else {
			s.serveRequest(w, in)
		}
	}
	s.http = http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: paceGrace, // no IdleTimeout: see clients.sweep
		WriteTimeout: maxRequestTimeout + writeTimeout, MaxHeaderBytes: headMost, ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelWarn),
		ConnState: s.clients.connState, ConnContext: s.clients.connContext}
	return s
}

// logStatusPeriodically logs once in a while what the sidecar holds, so that a bad stretch can
// be told from a good one.
func (s *server) logStatusPeriodically(ctx context.Context) {
	tick := time.NewTicker(statusLogInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-tick.C:
			s.loop.post(s.logStatus)
			if s.loop.control != nil && n%controlLogInterval == 0 {
				s.loop.control.Log(s.loop.log, s.loop.datagramCounts())
			}
		case <-ctx.Done():
			return
		}
	}
}

// logStatus logs the counts. The loop runs it.
func (s *server) logStatus(balancer.Micros) {
	clients := s.clients.counts()
	open, spare := s.loop.up.connections()
	s.loop.log.Info("holds", "taken", s.loop.lastID, "accepted", clients.accepted, "clients_new", clients.fresh, "clients_active", clients.active, "clients_idle", clients.idle,
		"upstream_open", open, "upstream_idle", spare, "requests", len(s.loop.requests),
		"events", len(s.loop.events), "goroutines", runtime.NumGoroutine())
}

// shutDown ends the service without losing a request. Every answer from here on ends its connection; those still at
// rest when clients no longer connect are closed.
func (s *server) shutDown(listener net.Listener) error {
	s.isShuttingDown.Store(true)
	s.loop.log.Info("ending", "clients", s.clients.count())
	if l, ok := listener.(*net.TCPListener); ok && s.handover != nil && s.handover.HasOtherProcess() {
		l.SetDeadline(time.Now().Add(acceptAfterHandover)) // new clients go to the other process from here on
	}
	time.Sleep(s.acceptDuration)
	listener.Close()
	s.bodies.abort()
	// Not http.Server.Shutdown: it closes what is at rest though half a request has come on it. An answer on its way
	// may take longer than any deadline, and its pace bounds it: when that is too long is the platform's decision.
	for until := time.Now().Add(maxShutdownTime); time.Now().Before(until); time.Sleep(shutdownCheckInterval) {
		s.clients.closeIdle(0)
		if s.clients.count() == 0 {
			break
		}
	}
	s.loop.log.Info("ended", "clients", s.clients.count())
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}
