package sidecar

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/upstream"
)

const (
	maxRequestTimeout  = time.Minute           // of a request
	writeTimeout       = 2 * time.Second       // of a buffered response, from its first byte on
	overloadRetryAfter = time.Second           // for clients that find too many connections or too little memory
	shutdownRetryAfter = 50 * time.Millisecond // for clients of a process that is shutting down
	clientIdleTimeout  = 10 * time.Second      // between a client's requests
)

// readinessPath is the path of readiness checks. All other paths are the application's.
const readinessPath = "/health/ready"

// requestHandler serves the requests of the application: it reads them, hands them to the event loop, and writes the one final
// response to each. net/http calls ServeHTTP in a goroutine for each request.
type requestHandler struct {
	loop    *eventLoop
	log     *slog.Logger
	clients *clientConns
	bodies  requestBodies
	parser  requestParser

	isDraining func() bool // clients are to go elsewhere: each response ends its connection
}

func newRequestHandler(l *eventLoop, clients *clientConns, isDraining func() bool) *requestHandler {
	return &requestHandler{loop: l, log: l.log, clients: clients, parser: newRequestParser(&l.cfg.Settings), isDraining: isDraining}
}

// newHTTPServer returns the server that calls the handler.
func (h *requestHandler) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           h, // not a ServeMux, which would redirect paths that endpoints are to see unchanged
		ReadHeaderTimeout: transferGracePeriod,
		WriteTimeout:      maxRequestTimeout + writeTimeout,
		// Without IdleTimeout: clientConns closes idle connections.
		MaxHeaderBytes: upstream.MaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(h.log.Handler(), slog.LevelWarn),
		ConnState:      h.clients.connState,
		ConnContext:    h.clients.connContext,
	}
}

// ServeHTTP answers a readiness check or a request of the application.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	e := &clientExchange{requestHandler: h, writer: w, in: in, controller: http.NewResponseController(w),
		conn: clientConnOf(in), arrived: h.loop.clock.now()}
	switch {
	case e.conn.takeRequest():
		e.rejectInvalid(newInvalidRequest("both a length and a transfer coding are given"))
	case in.URL.Path == readinessPath:
		h.serveReadiness(w)
	default:
		e.serve()
	}
}

// serveReadiness answers a readiness check, and ends its connection: anyone may ask, and a connection that stays would take an
// application's place.
func (h *requestHandler) serveReadiness(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if h.isDraining() || !h.loop.hasEndpoints.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// clientExchange is one request of the application and its response. One goroutine uses it.
type clientExchange struct {
	*requestHandler
	writer     http.ResponseWriter
	in         *http.Request
	controller *http.ResponseController
	conn       *clientConn
	arrived    balancer.Micros
}

// serve reads the request and writes its one final response. It panics with http.ErrAbortHandler where the client must not take
// what it was sent for a complete response.
func (e *clientExchange) serve() {
	if e.clients.isOverLimit() {
		// With more connections the process would run out of descriptors, and could neither accept nor send.
		e.reject(overloadRetryAfter, rejectedConnections)
		return
	}
	if len(e.in.TransferEncoding) > 0 {
		e.closeConnection() // requestFraming does not look at what follows such a request
	}
	body := &requestBody{reader: e.in.Body, controller: e.controller, contentLength: e.in.ContentLength}
	if retryAfter, reason, ok := e.bodies.add(body); !ok {
		e.rejectUnread(retryAfter, reason)
		return
	}
	defer e.bodies.remove(body)
	request, outgoing, err := e.read(body)
	switch {
	case err != nil && body.wasAborted():
		e.rejectUnread(shutdownRetryAfter, rejectedShuttingDown)
	case err != nil:
		e.rejectInvalid(err)
	case !e.clients.markValidRequest(e.conn):
		e.logNotServed(finalResponse{statusCode: statusDisconnected})
		panic(http.ErrAbortHandler) // the connection was closed
	default:
		e.awaitResponse(request, outgoing, body)
	}
}

// read reads the request with as much of its body as is buffered.
func (e *clientExchange) read(body *requestBody) (balancer.Request, *upstream.Request, *invalidRequest) {
	request, err := e.parser.parse(e.in)
	if err != nil {
		return request, nil, err
	}
	outgoing := &upstream.Request{Method: e.in.Method, URL: e.in.URL, Host: e.in.Host, Header: e.in.Header}
	isComplete := false
	if body.contentLength <= upstream.MaxBufferedBody {
		var readErr error
		if outgoing.Body, isComplete, readErr = body.buffer(upstream.MaxBufferedBody); readErr != nil {
			return request, nil, &invalidRequest{body.err.StatusCode, readErr.Error()}
		}
	}
	if !isComplete {
		outgoing.Upload, request.IsUploading = unbufferedBody{body}, true
	}
	request.Deadline += e.loop.clock.now() // the client's time runs from the request's last byte
	return request, outgoing, nil
}

// awaitResponse hands the request to the event loop and writes the response that comes, unless the client disconnects first.
func (e *clientExchange) awaitResponse(in balancer.Request, outgoing *upstream.Request, body *requestBody) {
	isUploading := outgoing.Upload != nil
	if isUploading {
		// Else net/http would read the rest of the body before it writes an early response.
		if err := e.controller.EnableFullDuplex(); err != nil {
			panic(http.ErrAbortHandler) // the connection is closed
		}
	}
	r := &pendingRequest{response: make(chan finalResponse, 1), outgoing: outgoing, timeLeft: in.Deadline - e.loop.clock.now(),
		clientCtx: e.conn.disconnected, checkDisconnect: e.conn.checkDisconnected}
	stop := e.conn.watchDisconnect(isUploading)
	defer stop()
	if !e.loop.postForClient(e.conn.disconnected, func(now balancer.Micros) { e.loop.admitRequest(now, r, in) }) {
		e.logNotServed(finalResponse{statusCode: statusDisconnected})
		panic(http.ErrAbortHandler)
	}
	select {
	case response := <-r.response:
		e.writeResponse(response, body)
	case <-e.conn.disconnected.Done():
		e.logNotServed(finalResponse{statusCode: statusDisconnected})
		e.loop.post(func(now balancer.Micros) { e.loop.clientDisconnected(now, r) })
		// A client that only closed its sending side must not read an empty response that no endpoint gave.
		panic(http.ErrAbortHandler)
	}
}

// writeResponse writes the final response.
func (e *clientExchange) writeResponse(response finalResponse, body *requestBody) {
	if response.statusCode != http.StatusOK {
		e.logNotServed(response)
	}
	// What is not read of a body stands before the connection's next request.
	if e.isDraining() || body.hasUnread() {
		e.closeConnection()
	}
	if response.stream != nil {
		e.writeStream(response)
		return
	}
	e.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection, as does the write
	e.writeBuffered(response)
	if body.hasUnread() {
		e.flushAndClose()
	}
}

// writeStream forwards a response while it arrives. If that fails, the client can tell that the response is incomplete.
func (e *clientExchange) writeStream(response finalResponse) {
	upstream.CopyEndToEndHeaders(e.writer.Header(), response.header)
	if response.stream.ContentLength >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(response.stream.ContentLength, 10))
	}
	err := forwardResponse(e.writer, e.controller, response.body, response.stream)
	response.stream.End(err)
	if err != nil {
		e.logRequest("response broken off", "error", err)
		panic(http.ErrAbortHandler)
	}
}

// writeBuffered writes a response that is complete.
func (e *clientExchange) writeBuffered(response finalResponse) {
	header := e.writer.Header()
	upstream.CopyEndToEndHeaders(header, response.header)
	if response.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(response.retryAfter)/1e6, 'f', 3, 64)) // seconds
	}
	header.Set("Content-Length", strconv.Itoa(len(response.body)))
	e.writer.WriteHeader(response.statusCode)
	e.writer.Write(response.body) // a failure means that the client has disconnected
}

// reject answers 503 and ends the connection.
func (e *clientExchange) reject(retryAfter time.Duration, reason string) {
	e.closeConnection()
	e.loop.rejections.add(reason)
	response := finalResponse{statusCode: http.StatusServiceUnavailable, retryAfter: retryAfter.Microseconds(), reason: reason}
	e.logNotServed(response)
	e.writeBuffered(response)
}

// rejectUnread rejects a request whose body was not read: there is no memory for it, or the process is shutting down and might
// be killed before the request is answered. The client's retry reaches another process.
func (e *clientExchange) rejectUnread(retryAfter time.Duration, reason string) {
	e.reject(retryAfter, reason)
	if e.in.ContentLength != 0 {
		e.flushAndClose()
	}
}

// rejectInvalid answers an invalid request, and ends its connection: clients with valid requests need its place.
func (e *clientExchange) rejectInvalid(err *invalidRequest) {
	e.logRequest("invalid request", "error", err)
	e.closeConnection()
	http.Error(e.writer, err.reason, err.status)
}

// closeConnection makes the response the last one on its connection.
func (e *clientExchange) closeConnection() { e.writer.Header().Set("Connection", "close") }

// flushAndClose sends the response and ends the connection, although the request's body was not read: net/http would read it
// first.
func (e *clientExchange) flushAndClose() {
	if e.controller.Flush() == nil {
		e.conn.Close()
	}
}

// statusDisconnected stands in the log for a request whose client disconnected before its response.
const statusDisconnected = 0

// logNotServed logs a request that was not served, and for a rejection why, and when the client is to come again.
func (e *clientExchange) logNotServed(response finalResponse) {
	duration := time.Duration(e.loop.clock.now()-e.arrived) * time.Microsecond
	attributes := []any{"status", response.statusCode, "duration", duration}
	if response.reason != "" {
		attributes = append(attributes, "reason", response.reason, "retry_after", time.Duration(response.retryAfter)*time.Microsecond)
	}
	e.logRequest("request not served", attributes...)
}

// logRequest logs an event of the request, with its id, its connection and how its body is framed.
func (e *clientExchange) logRequest(message string, args ...any) {
	e.log.With("request_id", e.in.Header.Get(requestIDHeader), "client", e.in.RemoteAddr, "protocol", e.in.Proto,
		"content_length", e.in.ContentLength, "transfer_coding", e.in.TransferEncoding).Info(message, args...)
}
