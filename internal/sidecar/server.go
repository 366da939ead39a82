package sidecar

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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

// preferSocket has all new connections, or datagrams, come to the later of two sockets that share an address, so that no
// connection can come to the earlier one between its last accept and its close.
func preferSocket(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	// A classic BPF program that returns the number of the socket to choose. They are numbered as they began to
	// listen; with a number that none has, as once the earlier is closed, the system chooses for itself.
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, failed)
}

// listen opens the clients' address. Where operators may start a second process, both share it.
func listen(cfg *config.Config) (net.Listener, error) {
	var socket net.ListenConfig
	if cfg.AdminAddress != "" {
		socket.Control = reusePort
		socket.SetMultipathTCP(false) // which is the default of listeners, and cannot be steered
	}
	return socket.Listen(context.Background(), "tcp", cfg.ListenAddress)
}

// reusePort lets a second process of this sidecar use a socket's address, too.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
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

// serveReadiness answers a check of readiness, and ends its connection: anyone may ask,
// and one that stays would take an application's room.
func (s *server) serveReadiness(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if s.isDraining() || !s.loop.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// invalidRequest is what a client did wrong.
type invalidRequest struct {
	status int
	reason string
}

func (e *invalidRequest) Error() string { return e.reason }

func newInvalidRequest(format string, args ...any) *invalidRequest {
	return &invalidRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// serveRequest takes one request and gives its one final answer.
func (s *server) serveRequest(w http.ResponseWriter, in *http.Request) {
	arrived := s.loop.clock.now()
	if s.clients.isOverLimit() {
		// Beyond this the process runs out of descriptors, and then it can
		// neither accept nor send.
		w.Header().Set("Connection", "close")
		s.logNotServed(in, arrived, http.StatusServiceUnavailable)
		writeBufferedResponse(w, answer{code: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter.Microseconds()})
		return
	}
	if len(in.TransferEncoding) > 0 {
		// What follows is not looked at for a head with two lengths (see framing).
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	body := &requestBody{reader: in.Body, controller: control, contentLength: in.ContentLength}
	if retry, ok := s.bodies.add(body); !ok {
		s.rejectUnread(w, in, control, arrived, retry)
		return
	}
	defer s.bodies.remove(body)
	req, m, err := s.readRequest(in, body)
	if err != nil && body.wasAborted() {
		s.rejectUnread(w, in, control, arrived, shutdownRetryAfter)
		return
	}
	if err != nil {
		s.rejectInvalid(w, in, err)
		return
	}
	conn := clientConnOf(in)
	if !s.clients.markValidRequest(conn) {
		panic(http.ErrAbortHandler) // it had to make room, and its client was told
	}
	if m.rest != nil {
		// An answer that comes before the body's end is owed at once: else the server would read on first.
		if err := control.EnableFullDuplex(); err != nil {
			panic(http.ErrAbortHandler) // the connection is gone
		}
	}
	r := &request{answer: make(chan answer, 1), message: m, left: req.Deadline - s.loop.clock.now(), client: conn.disconnected, look: conn.checkDisconnected}
	defer conn.watchDisconnect(m.rest != nil)()
	if !s.loop.postFor(conn.disconnected, func(now balancer.Micros) { s.loop.take(now, r, req) }) {
		s.logNotServed(in, arrived, 0)
		panic(http.ErrAbortHandler)
	}
	select {
	case a := <-r.answer:
		s.writeResponse(w, in, control, m, arrived, a)
	case <-conn.disconnected.Done():
		s.logNotServed(in, arrived, 0)
		s.loop.post(func(now balancer.Micros) { s.loop.gone(now, r) })
		// A client that has only stopped sending must not read a whole answer
		// that no endpoint gave.
		panic(http.ErrAbortHandler)
	}
}

// rejectUnread refuses a request for which there is no memory, or that has come whole, or would, only after this process
// has begun to end: what SIGKILL finds of it unanswered would be lost. The client's next try comes to another process.
func (s *server) rejectUnread(w http.ResponseWriter, in *http.Request, control *http.ResponseController, arrived balancer.Micros, retry time.Duration) {
	w.Header().Set("Connection", "close")
	s.logNotServed(in, arrived, http.StatusServiceUnavailable)
	writeBufferedResponse(w, answer{code: http.StatusServiceUnavailable, retryAfter: retry.Microseconds()})
	if in.ContentLength != 0 {
		s.flushAndClose(in, control)
	}
}

// rejectInvalid answers what is no proper request, and ends its connection: such peers keep what they are left, and
// clients need the room.
func (s *server) rejectInvalid(w http.ResponseWriter, in *http.Request, err *invalidRequest) {
	s.logRequest("improper request", in, "error", err)
	w.Header().Set("Connection", "close")
	http.Error(w, err.reason, err.status)
}

// writeResponse writes the final answer.
func (s *server) writeResponse(w http.ResponseWriter, in *http.Request, control *http.ResponseController, m *message, arrived balancer.Micros, a answer) {
	if a.code != http.StatusOK {
		s.logNotServed(in, arrived, a.code)
	}
	if s.isDraining() || m.rest != nil && m.rest.hasUnread() { // what is not read of its body stands before the next request
		w.Header().Set("Connection", "close")
	}
	if a.stream != nil {
		s.streamResponse(w, in, control, a)
		return
	}
	control.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write tells of a connection that is gone
	writeBufferedResponse(w, a)
	if m.rest != nil && m.rest.hasUnread() {
		s.flushAndClose(in, control)
	}
}

// flushAndClose sends an answer off and ends its connection, where the request's body was not read: net/http would read on
// first.
func (s *server) flushAndClose(in *http.Request, control *http.ResponseController) {
	if control.Flush() == nil {
		clientConnOf(in).Close()
	}
}

// streamResponse passes an answer on as it comes. Where that fails the client can tell that the answer is not whole.
func (s *server) streamResponse(w http.ResponseWriter, in *http.Request, control *http.ResponseController, a answer) {
	endToEnd(w.Header(), a.header)
	if a.stream.contentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.stream.contentLength, 10))
	}
	err := forwardResponse(w, control, a.body, a.stream)
	a.stream.end(err)
	if err != nil {
		s.logRequest("answer broken off", in, "error", err)
		panic(http.ErrAbortHandler)
	}
}

// readRequest reads a request to its end, or as far as its body is kept.
func (s *server) readRequest(in *http.Request, body *requestBody) (balancer.Request, *message, *invalidRequest) {
	if !in.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunked coding: the parser takes such a body for the next request.
		return balancer.Request{}, nil, &invalidRequest{http.StatusHTTPVersionNotSupported, "the version must be 1.1"}
	}
	req, err := s.parseRequest(in)
	if err != nil {
		return req, nil, err
	}
	if in.ContentLength > maxRequestBody {
		return req, nil, &invalidRequest{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", maxRequestBody)}
	}
	m := &message{method: in.Method, url: in.URL, host: in.Host, header: in.Header}
	whole := false
	if in.ContentLength <= maxBufferedBody {
		var failed error
		if m.body, whole, failed = body.buffer(maxBufferedBody); failed != nil {
			return req, nil, &invalidRequest{body.err.status, failed.Error()}
		}
	}
	if !whole {
		m.rest, req.IsUploading = body, true
	}
	// The request's time runs from its last byte.
	req.Deadline += s.loop.clock.now()
	return req, m, nil
}

// logNotServed logs a request that was not served; code 0 stands for a client that
// went away.
func (s *server) logNotServed(in *http.Request, arrived balancer.Micros, code int) {
	s.logRequest("request not served", in, "code", code, "ms", (s.loop.clock.now()-arrived)/1000)
}

// logRequest logs what became of a request, with its id, its connection and how
// its body was framed.
func (s *server) logRequest(what string, in *http.Request, args ...any) {
	s.loop.log.With("id", in.Header.Get("X-Correlation-Id"), "from", in.RemoteAddr, "proto", in.Proto,
		"length", in.ContentLength, "coding", in.TransferEncoding).Info(what, args...)
}

func writeBufferedResponse(w http.ResponseWriter, a answer) {
	endToEnd(w.Header(), a.header)
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.retryAfter)/1e6, 'f', 3, 64))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.code)
	w.Write(a.body) // a client that is gone by now needs no answer
}

// requestTimeout is the time that a request gets of its client's, told in milliseconds.
func requestTimeout(left int64) balancer.Micros {
	left = min(left, maxRequestTimeout.Milliseconds())
	return left*1000 - min(maxResponseMargin.Microseconds(), left*1000/responseMarginDivisor)
}

// parseRequest reads the headers of a request. Its deadline is told as the time left.
func (s *server) parseRequest(in *http.Request) (balancer.Request, *invalidRequest) {
	var req balancer.Request
	h := in.Header
	if h.Get("X-Correlation-Id") == "" {
		return req, newInvalidRequest("X-Correlation-Id is missing")
	}
	class, ok := s.classes[h.Get("X-Service-Class")]
	if !ok {
		return req, newInvalidRequest("X-Service-Class: %q is not a known class", h.Get("X-Service-Class"))
	}
	req.Class = class
	method, keyed := http.MethodPost, h.Get("Idempotency-Key") != ""
	switch s.loop.cfg.Settings.Classes[class].RetrySafety {
	case balancer.Idempotent:
		method = http.MethodGet
	case balancer.IdempotentWithKey:
		if !keyed {
			return req, newInvalidRequest("Idempotency-Key is missing")
		}
	}
	if in.Method != method {
		return req, &invalidRequest{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class are %s", method)}
	}
	left, err := strconv.ParseInt(h.Get("X-Time-Left-Ms"), 10, 64)
	if err != nil || left < 0 {
		return req, newInvalidRequest("X-Time-Left-Ms: %q is not a whole number of milliseconds", h.Get("X-Time-Left-Ms"))
	}
	req.Deadline = requestTimeout(left)
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[h.Get("X-Account")]; !ok {
			return req, newInvalidRequest("X-Account: %q is not a known tenant", h.Get("X-Account"))
		}
	}
	if key := h.Get("X-Session-Key"); key != "" {
		hash := fnv.New64a()
		hash.Write([]byte(key))
		req.Key = hash.Sum64()
	}
	if hint := h.Get("X-Weight-Hint"); hint != "" {
		if req.CostHint, err = strconv.ParseInt(hint, 10, 64); err != nil || req.CostHint < 0 {
			return req, newInvalidRequest("X-Weight-Hint: %q is not a whole number of microseconds", hint)
		}
		req.HasCostHint = true
	}
	req.IsRetry = h.Get("X-Repeat") == "1"
	return req, nil
}
