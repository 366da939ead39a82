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

// Durations of starting, accepting and shutting down.
const (
	acceptAfterShutdown   = 600 * time.Millisecond  // how long to accept after SIGTERM or a drain: clients go on connecting for 0.4 s
	acceptAfterHandover   = time.Millisecond        // how long to accept after SIGTERM if another process accepts clients
	endpointListWait      = 1500 * time.Millisecond // how long to wait for discovery while another process serves, to be ready in 6 s
	drainedCheckInterval  = 100 * time.Millisecond  // between checks for idle connections while drained
	shutdownCheckInterval = 10 * time.Millisecond   // between checks for idle connections while shutting down
	maxShutdownTime       = time.Minute             // how long responses may go on after accepting has ended
)

// clientsDescriptorDivisor is the platform's limit of descriptors divided by those that the clients of each process may take while
// two processes run.
const clientsDescriptorDivisor = 3

// server accepts clients, serves their requests and shuts down gracefully. There is one in each sidecar process.
type server struct {
	loop     *eventLoop
	clients  *clientConns
	requests *requestHandler
	http     *http.Server
	memory   *memoryLimits

	isListening    atomic.Bool // clients are accepted
	isShuttingDown atomic.Bool // SIGTERM was received
	isDrained      atomic.Bool // an operator has drained the process

	acceptDuration time.Duration // how long accepting goes on after SIGTERM or a drain: acceptAfterShutdown, unless a test changes it

	handover        *handover.Store // nil without an admin address
	applyMu         sync.Mutex      // guards the three fields below, and the order in which settings are applied
	appliedRevision uint64          // revision of the operators' settings in force
	hasOtherProcess bool            // another process of this sidecar runs
	limitsSplit     bool            // splitLimits was called
}

func newServer(l *eventLoop) *server {
	s := &server{loop: l, clients: newClientConns(l.cfg.MaxConnections()), acceptDuration: acceptAfterShutdown}
	s.requests = newRequestHandler(l, s.clients, s.isDraining)
	s.http = s.requests.newHTTPServer()
	s.memory = &memoryLimits{clients: s.clients, requests: s.clients.memory, memoryBytes: int64(l.cfg.Limits.MemoryMB) << 20}
	l.onEndpointCount = s.memory.setEndpoints
	return s
}

// Run serves clients until ctx ends, then shuts down gracefully and returns. Of a configuration from reloads, only the address of
// discovery takes effect; its other changes take effect at the next start.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan *config.Config, log *slog.Logger) error {
	// The loop has a context of its own, since requests in flight need the loop after ctx has ended.
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
		defer s.loop.attemptsByID.Close()
		hasOtherProcess = s.handover.HasOtherProcess()
		if err := s.startWithOperators(loopCtx, adminListener, hasOtherProcess); err != nil {
			return err
		}
	}
	go s.loop.followReloads(reloads)
	if cfg.Fleet.Enabled {
		go s.runMembership(ctx)
	}
	if hasOtherProcess && !s.awaitEndpointList(ctx) { // the other process serves meanwhile
		return nil
	}
	listener, err := s.listenForClients(hasOtherProcess)
	if err != nil {
		return err
	}
	return s.serve(ctx, listener)
}

// newProcess returns a server with its event loop, which is not started, and loads the state that an earlier process persisted.
// The loop ends with loopCtx.
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

// startWithOperators starts the event loop, applies the operators' settings, and only then starts to answer operators' calls.
func (s *server) startWithOperators(loopCtx context.Context, adminListener net.Listener, hasOtherProcess bool) error {
	go s.loop.run()
	if err := s.applySettings(time.Now().Add(urgentTimeout), s.handover.Load(), hasOtherProcess); err != nil {
		return err
	}
	go newAdminServer(s).serve(loopCtx, adminListener)
	go s.pollHandover(loopCtx)
	return nil
}

// listenForClients opens the clients' address. If another process of this sidecar listens on it, new connections reach this
// process from then on.
func (s *server) listenForClients(hasOtherProcess bool) (net.Listener, error) {
	listener, err := listen(s.loop.cfg)
	if err != nil {
		return nil, fmt.Errorf("open the clients' address (listen): %w", err)
	}
	if !hasOtherProcess {
		return listener, nil
	}
	if err := preferSocket(listener.(*net.TCPListener)); err != nil {
		// The old process still accepts the connections that are queued for it. A few may be refused when it closes its listener.
		s.loop.log.Warn("new connections not directed to this process", "error", err)
	}
	return listener, nil
}

// awaitEndpointList waits until this process has endpoints: from a list that discovery has confirmed, or from the cached list if
// discovery does not answer within endpointListWait. It returns false if ctx ends first.
func (s *server) awaitEndpointList(ctx context.Context) bool {
	confirmed, timer := s.loop.listReceived, time.NewTimer(endpointListWait)
	defer timer.Stop()
	for {
		select {
		case <-confirmed:
			confirmed = nil // it is closed, so that the select would no longer wait
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

// serve accepts clients until ctx ends, and then shuts down.
func (s *server) serve(ctx context.Context, listener net.Listener) error {
	go s.logStatusPeriodically(ctx)
	go s.clients.closeIdlePeriodically(ctx)
	served := make(chan error, 1)
	go func() {
		served <- s.http.Serve(&clientListener{Listener: listener, clients: s.clients, log: s.loop.log})
	}()
	s.isListening.Store(true)
	select {
	case err := <-served:
		return fmt.Errorf("accept clients: %w", err)
	case <-ctx.Done():
	}
	return s.shutDown(listener, served)
}

// isServing reports whether this process serves clients, whether or not it is drained.
func (s *server) isServing() bool {
	return s.isListening.Load() && s.loop.hasEndpoints.Load() && !s.isShuttingDown.Load()
}

// isDraining reports whether each response ends its connection, so that clients use another process.
func (s *server) isDraining() bool { return s.isShuttingDown.Load() || s.isDrained.Load() }

// setDrained starts a drain of the process, or ends it.
func (s *server) setDrained(on bool) {
	if !s.isDrained.CompareAndSwap(!on, on) || !on {
		return
	}
	go func() {
		// After this time clients no longer connect, and most connections have been ended by the response to one more request.
		time.Sleep(s.acceptDuration)
		for s.isDrained.Load() && !s.isShuttingDown.Load() {
			s.clients.closeIdle(0)
			time.Sleep(drainedCheckInterval)
		}
	}()
}

// shutDown ends serving without losing a request. From here on each response ends its connection, and idle connections are closed
// once clients no longer connect. served receives a value once no further connection will be registered.
func (s *server) shutDown(listener net.Listener, served <-chan error) error {
	s.isShuttingDown.Store(true)
	s.loop.log.Info("shutting down", "clients", s.clients.count())
	if l, ok := listener.(*net.TCPListener); ok && s.handover != nil && s.handover.HasOtherProcess() {
		l.SetDeadline(time.Now().Add(acceptAfterHandover)) // new clients already reach the other process
	}
	time.Sleep(s.acceptDuration)
	listener.Close()
	if mutant.EndsEarly {
		return s.http.Close()
	}
	<-served // a connection that was just accepted could otherwise be missing from the count below
	s.requests.bodies.abort()
	// http.Server.Shutdown is not used, because it closes idle connections on which part of a request has arrived. A response may
	// take longer than any request's deadline: only its transfer rate limits it, and the platform decides when to kill the process.
	for deadline := time.Now().Add(maxShutdownTime); time.Now().Before(deadline); time.Sleep(shutdownCheckInterval) {
		s.clients.closeIdle(0)
		if s.clients.count() == 0 {
			break
		}
	}
	s.loop.log.Info("shut down", "clients", s.clients.count())
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close the HTTP server: %w", err)
	}
	return nil
}
