package sidecar

import (
	"log/slog"
	"net/http"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/upstream"
)

const (
	maxRequestTimeout  = time.Minute           // maximum timeout of a request
	writeTimeout       = 2 * time.Second       // for writing a buffered response, from its first byte on
	overloadRetryAfter = time.Second           // Retry-After if there are too many connections or too little memory
	shutdownRetryAfter = 50 * time.Millisecond // Retry-After if the process is shutting down
	clientIdleTimeout  = 10 * time.Second      // after which an idle client connection is closed
)

// readinessPath is the path of readiness checks. Requests to all other paths are forwarded.
const readinessPath = "/health/ready"

// requestHandler serves the application's requests. It reads each request, passes it to the event loop and writes the final
// response. net/http calls ServeHTTP on a goroutine for each connection.
type requestHandler struct {
	loop    *eventLoop
	log     *slog.Logger
	clients *clientConns
	bodies  requestBodies
	parser  requestParser

	brokenOff reasonCounts // responses that were broken off after their beginning

	isDraining func() bool // reports whether each response is to end its connection, so that clients use another process
}

func newRequestHandler(l *eventLoop, clients *clientConns, isDraining func() bool) *requestHandler {
	return &requestHandler{loop: l, log: l.log, clients: clients, parser: newRequestParser(&l.cfg.Settings),
		brokenOff: reasonCounts{prefix: "broken_off_by_"}, isDraining: isDraining}
}

// newHTTPServer returns the server that calls the handler.
func (h *requestHandler) newHTTPServer() *http.Server {
	return &http.Server{
		Handler: h, // not a ServeMux, which would redirect paths that endpoints are to see unchanged
		// Every request has to reach the handler, which takes it. By default net/http answers "OPTIONS *" itself.
		DisableGeneralOptionsHandler: true,

		ReadHeaderTimeout: transferGracePeriod,
		WriteTimeout:      maxRequestTimeout + writeTimeout,
		// IdleTimeout is not set: clientConns closes idle connections.
		MaxHeaderBytes: upstream.MaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(h.log.Handler(), slog.LevelWarn),
		ConnState:      h.clients.connState,
		ConnContext:    h.clients.connContext,
	}
}

// ServeHTTP answers a readiness check or a request of the application.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	e := &clientExchange{requestHandler: h, writer: w, in: in, controller: http.NewResponseController(w),
		conn: clientConnOf(in), startedAt: h.loop.clock.now()}
	if err := e.take(); err != nil {
		e.rejectInvalid(err)
		return
	}
	if len(in.TransferEncoding) > 0 {
		e.closeConnection() // requestFraming ignores the input that follows such a request
	}
	if isReadinessCheck(in) {
		h.serveReadiness(w)
		return
	}
	e.serve()
}

// isReadinessCheck reports whether a request is a readiness check. Any other is treated as a request of the application.
func isReadinessCheck(in *http.Request) bool {
	return (in.Method == http.MethodGet || in.Method == http.MethodHead) && in.URL.EscapedPath() == readinessPath
}

// serveReadiness answers a readiness check, and ends its connection. Checks may come from any client, and connections that they
// left open would count towards the limit and keep out the application's.
func (h *requestHandler) serveReadiness(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if h.isDraining() || !h.loop.hasEndpoints.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// clientExchange is one request of the application and its response. Only one goroutine uses it.
type clientExchange struct {
	*requestHandler
	writer     http.ResponseWriter
	in         *http.Request
	controller *http.ResponseController
	conn       *clientConn
	startedAt  balancer.Micros
	headMemory int64              // bytes that the request's head takes
	memory     *memoryReservation // of the request; nil until serve
}

// take starts on the request. It returns an error if net/http and the framing of the connection differ on where the request ends.
func (e *clientExchange) take() *invalidRequest {
	head, isInStep := e.conn.takeRequest()
	if !isInStep {
		e.clients.countOutOfStep()
		return newInvalidRequest("the end of the head is ambiguous")
	}
	e.headMemory = head.memory()
	return head.check(e.in)
}

// serve reads the request and writes its final response. It panics with http.ErrAbortHandler, which makes net/http close the
// connection, if the client must not take the output, or its absence, for a complete response.
func (e *clientExchange) serve() {
	if e.clients.isOverLimit() {
		// With more connections the process would run out of descriptors, and could neither accept clients nor connect to endpoints.
		e.reject(rejectionConnections)
		return
	}
	e.memory = e.conn.retainMemory()
	defer e.memory.release()
	body := e.newBody()
	if !e.bodies.add(body) {
		e.rejectUnread(rejectionShutdown)
		return
	}
	defer e.bodies.remove(body)
	request, outgoing, err := e.read(body)
	switch {
	case err != nil && body.abortReason() != nil:
		e.rejectUnread(body.abortReason())
	case err != nil:
		e.rejectInvalid(err)
	case !e.memory.admit(outgoing.Upload == nil):
		e.rejectUnread(rejectionMemory)
	case !e.clients.markValidRequest(e.conn):
		e.logNotServed(finalResponse{statusCode: statusDisconnected})
		panic(http.ErrAbortHandler) // the connection was closed
	default:
		e.awaitResponse(request, outgoing, body)
	}
}

// newBody returns the request's body. If the memory for it is revoked, the body is aborted.
func (e *clientExchange) newBody() *requestBody {
	body := &requestBody{reader: e.in.Body, controller: e.controller, contentLength: e.in.ContentLength,
		memory: e.memory, headMemory: e.headMemory}
	if isRevoked := e.memory.setOnRevoke(func() { body.abort(rejectionMemory) }); isRevoked {
		body.abort(rejectionMemory)
	}
	return body
}

// read parses the request and reads the part of its body that is buffered. The result's Deadline is in the loop's time.
func (e *clientExchange) read(body *requestBody) (balancer.Request, *upstream.Request, *invalidRequest) {
	request, err := e.parser.parse(e.in)
	if err != nil {
		return request, nil, err
	}
	timeLeft := request.Deadline // the client's timeout starts with the last byte of the request
	outgoing := &upstream.Request{Method: e.in.Method, URL: e.in.URL, Host: e.in.Host, Header: e.in.Header}
	isComplete := false
	if body.contentLength <= upstream.MaxBufferedBody {
		var readErr error
		if outgoing.Body, isComplete, readErr = body.buffer(upstream.MaxBufferedBody); readErr != nil {
			return request, nil, &invalidRequest{body.err.StatusCode, readErr.Error()}
		}
	}
	arrivedAt := e.conn.requestArrivedAt()
	if !isComplete {
		timeout := time.Duration(timeLeft) * time.Microsecond
		outgoing.Upload, request.IsUploading = newUpload(body, e.conn, arrivedAt, timeout), true
	}
	request.Deadline = e.loop.clock.micros(arrivedAt) + timeLeft
	return request, outgoing, nil
}

// awaitResponse passes the request to the event loop and writes its response, unless the client disconnects first.
func (e *clientExchange) awaitResponse(in balancer.Request, outgoing *upstream.Request, body *requestBody) {
	isUploading := outgoing.Upload != nil
	if isUploading {
		// Without full duplex, net/http would read the rest of the body before it writes an early response.
		if err := e.controller.EnableFullDuplex(); err != nil {
			panic(http.ErrAbortHandler) // the connection is closed
		}
	}
	r := &pendingRequest{response: make(chan finalResponse, 1), outgoing: outgoing, memory: e.memory,
		clientCtx: e.conn.disconnected, checkDisconnect: e.conn.checkDisconnected, logShare: e.conn.logShare}
	if in.Prior = r.findPriorAttempt(e.loop, &in); in.Prior.MayHaveRun {
		e.logRequest("request comes again and may have run")
	}
	stop := e.conn.watchDisconnect(isUploading)
	defer stop()
	e.memory.retain() // for the event loop
	if !e.loop.postForClient(e.conn.disconnected, func(now balancer.Micros) { e.loop.admitRequest(now, r, in) }) {
		e.memory.release()
		e.logNotServed(finalResponse{statusCode: statusDisconnected})
		panic(http.ErrAbortHandler)
	}
	select {
	case response := <-r.response:
		e.writeResponse(response, body)
	case <-e.conn.disconnected.Done():
		e.logNotServed(finalResponse{statusCode: statusDisconnected})
		e.loop.post(func(now balancer.Micros) { e.loop.clientDisconnected(now, r) })
		// The client may have closed only its sending side. It must not receive an empty response that no endpoint sent.
		panic(http.ErrAbortHandler)
	}
}
