package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramblestand/internal/config"
	"bramblestand/internal/handover"
	"bramblestand/internal/mutant"
	"bramblestand/internal/state"
)

// Times of accepting and shutting down.
const (
	acceptAfterShutdown   = 600 * time.Millisecond  // after SIGTERM or a drain, since clients go on connecting for 0.4 s
	acceptAfterHandover   = time.Millisecond        // after SIGTERM, if another process accepts clients
	endpointListWait      = 1500 * time.Millisecond // of a process beside another, for discovery: it has to be ready in 6 s
	drainedCheckInterval  = 100 * time.Millisecond  // between checks for idle connections while drained
	shutdownCheckInterval = 10 * time.Millisecond   // between checks for idle connections while shutting down
	maxShutdownTime       = time.Minute             // for responses that go on after accepting has ended
)

// Parts of the platform's limits.
const (
	bodiesHeapDivisor        = 2 // bodies may take one part in so many of the heap
	clientsDescriptorDivisor = 3 // clients of one of two processes may take one part in so many of the descriptors
)

// server is the sidecar's process: it accepts clients and shuts down gracefully.
type server struct {
	loop     *eventLoop
	clients  *clientConns
	requests *requestHandler
	http     *http.Server

	isListening    atomic.Bool // clients are accepted
	isShuttingDown atomic.Bool // after SIGTERM
	isDrained      atomic.Bool // by an operator

	acceptDuration time.Duration // after SIGTERM or a drain; acceptAfterShutdown, which tests change

	handover        *handover.Store // nil without operators
	applyMu         sync.Mutex      // guards the three below, and the order in which settings are applied
	appliedRevision uint64          // of the operators' settings in force
	hasOtherProcess bool            // another process of this sidecar runs
	limitsSplit     bool            // splitLimits was called
}

func newServer(l *eventLoop) *server {
	s := &server{loop: l, clients: newClientConns(l.cfg.MaxConnections()), acceptDuration: acceptAfterShutdown}
	s.requests = newRequestHandler(l, s.clients, s.isDraining)
	s.http = s.requests.newHTTPServer()
	return s
}

// Run serves clients until ctx ends, then shuts down gracefully and returns. A configuration from reloads changes the address of
// discovery; what else it says takes effect at the next start.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan *config.Config, log *slog.Logger) error {
	// The loop outlives ctx: requests in flight need it.
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	s, err := newProcess(loopCtx, cfg, log)
	if err != nil {
		return err
	}
	hasOtherProcess := false
	if cfg.AdminAddress == "" {
		s.splitLimits(false)
		go s.loop.run()
	} else {
		adminListener, err := listenAdmin(cfg)
		if err != nil {
			return err
		}
		s.openHandover()
		defer s.handover.Close()
		hasOtherProcess = s.handover.HasOtherProcess()
		if err := s.startWithOperators(loopCtx, adminListener, hasOtherProcess); err != nil {
			return err
		}
	}
	go s.loop.followReloads(reloads)
	if cfg.Fleet.Enabled {
		go s.runMembership(ctx)
	}
	if hasOtherProcess && !s.awaitEndpointList(ctx) { // until then the other process serves
		return nil
	}
	listener, err := s.listenForClients(hasOtherProcess)
	if err != nil {
		return err
	}
	return s.serve(ctx, listener)
}

// newProcess returns a server with its event loop, which is not started, and what an earlier process persisted. loopCtx ends the
// loop.
func newProcess(loopCtx context.Context, cfg *config.Config, log *slog.Logger) (*server, error) {
	l, err := newEventLoop(loopCtx, cfg, log)
	if err != nil {
		return nil, err
	}
	if err := l.openGossip(loopCtx); err != nil {
		return nil, err
	}
	s := newServer(l)
	if l.restoredSnapshot = loadSnapshot(cfg, log); l.restoredSnapshot != nil {
		l.restoredMembership = l.restoredSnapshot.Membership
	}
	if cfg.StateDir != "" {
		l.snapshots = state.NewWriter(loopCtx, cfg.StateDir, log)
	}
	return s, nil
}

// startWithOperators starts the event loop, applies the operators' settings, and then answers the operators' calls.
func (s *server) startWithOperators(loopCtx context.Context, adminListener net.Listener, hasOtherProcess bool) error {
	go s.loop.run()
	if err := s.applySettings(time.Now().Add(urgentTimeout), s.handover.Load(), hasOtherProcess); err != nil {
		return err
	}
	go newAdminServer(s).serve(loopCtx, adminListener)
	go s.pollHandover(loopCtx)
	return nil
}

// listenForClients opens the application's address. If another process of this sidecar listens there, new connections come to this
// one from here on.
func (s *server) listenForClients(hasOtherProcess bool) (net.Listener, error) {
	listener, err := listen(s.loop.cfg)
	if err != nil {
		return nil, fmt.Errorf("open the clients' address (listen): %w", err)
	}
	if !hasOtherProcess {
		return listener, nil
	}
	if err := preferSocket(listener.(*net.TCPListener)); err != nil {
		// The old process accepts what is queued all the same; a few connections may be refused as it closes.
		s.loop.log.Warn("new connections not directed to this process", "error", err)
	}
	return listener, nil
}

// awaitEndpointList waits until this process can serve from a list that discovery has confirmed, or, if discovery does not
// answer, from the cached one. It returns false if ctx ends before.
func (s *server) awaitEndpointList(ctx context.Context) bool {
	confirmed, timer := s.loop.listReceived, time.NewTimer(endpointListWait)
	defer timer.Stop()
	for {
		select {
		case <-confirmed:
			confirmed = nil // it stays closed
		case <-timer.C:
			timer.Reset(endpointListWait)
		case <-ctx.Done():
			return false
		}
		if s.loop.hasEndpoints.Load() {
			return true
		}
	}
}

// serve accepts clients until ctx ends, and shuts down.
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
	return s.shutDown(listener, served)
}

// isServing reports whether this process serves clients, drained or not.
func (s *server) isServing() bool {
	return s.isListening.Load() && s.loop.hasEndpoints.Load() && !s.isShuttingDown.Load()
}

// isDraining reports whether clients are to go elsewhere: each response ends its connection.
func (s *server) isDraining() bool { return s.isShuttingDown.Load() || s.isDrained.Load() }

// setDrained drains the process, or ends that.
func (s *server) setDrained(on bool) {
	if !s.isDrained.CompareAndSwap(!on, on) || !on {
		return
	}
	go func() {
		// By then most connections were used once more, and ended by the response; and clients no longer connect.
		time.Sleep(s.acceptDuration)
		for s.isDrained.Load() && !s.isShuttingDown.Load() {
			s.clients.closeIdle(0)
			time.Sleep(drainedCheckInterval)
		}
	}()
}

// shutDown ends the service without losing a request. Each response from here on ends its connection; idle connections are
// closed once clients no longer connect. served receives once no further connection will be registered.
func (s *server) shutDown(listener net.Listener, served <-chan error) error {
	s.isShuttingDown.Store(true)
	s.loop.log.Info("shutting down", "clients", s.clients.count())
	if l, ok := listener.(*net.TCPListener); ok && s.handover != nil && s.handover.HasOtherProcess() {
		l.SetDeadline(time.Now().Add(acceptAfterHandover)) // new clients reach the other process
	}
	time.Sleep(s.acceptDuration)
	listener.Close()
	if mutant.EndsEarly {
		return s.http.Close()
	}
	<-served // else a connection that was just accepted could be missing from the count below
	s.requests.bodies.abort()
	// Not http.Server.Shutdown: it closes idle connections on which part of a request has arrived. A response may take longer than
	// any deadline; its transfer rate limits it, and the platform decides when to kill the process.
	for deadline := time.Now().Add(maxShutdownTime); time.Now().Before(deadline); time.Sleep(shutdownCheckInterval) {
		s.clients.closeIdle(0)
		if s.clients.count() == 0 {
			break
		}
	}
	s.loop.log.Info("shut down", "clients", s.clients.count())
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}
