package sidecar

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"bramblestand/balancer"
)

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
