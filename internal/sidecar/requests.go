package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/upstream"
)

// errClientDisconnected ends a streamed response whose client has disconnected.
var errClientDisconnected = errors.New("client disconnected")

// pendingRequest is an entry of the event loop's request table: a request that has no final response yet, or has outstanding
// attempts. The goroutine that serves the client makes it and hands it over with admitRequest. From then on only the loop's
// goroutine may use it, except for what is marked as usable by any goroutine.
type pendingRequest struct {
	id       uint64
	outgoing *upstream.Request
	deadline balancer.Micros

	response  chan finalResponse // receives the only final response; buffered, so that sending it does not block
	clientCtx context.Context    // ends when the client disconnects, of which the loop may learn later; nil in some tests
	// memory is released when the request leaves the table, since an attempt may use the body for longer than the client waits; nil
	// if no memory is reserved.
	memory *memoryReservation
	// checkDisconnect asks the system whether the client has disconnected, and ends clientCtx if so. It is nil if there is no
	// connection. Any goroutine may call it.
	checkDisconnect func()
	logShare        *connLogShare // of the client; nil if there is no connection

	// The goroutine of the only outstanding attempt uses the fields below. See repeated_ids.go.
	mustNotRunTwice bool // set before admitRequest
	hasSent         bool // an attempt was recorded
	mayHaveRun      bool // an earlier attempt may have run, so that the record stays

	isDone         bool                 // the final response was given, or the client has disconnected
	cancelAttempts []context.CancelFunc // by the attempt's number
	outstanding    int                  // attempts without an outcome
}

// clientID returns the ID that the client gave the request.
func (r *pendingRequest) clientID() string { return r.outgoing.Header.Get(requestIDHeader) }

// isClientDisconnected reports whether the client has disconnected. Any goroutine may call it.
func (r *pendingRequest) isClientDisconnected() bool {
	return r.clientCtx != nil && r.clientCtx.Err() != nil
}

// finalResponse is the only response that a client's request gets.
type finalResponse struct {
	statusCode int
	retryAfter balancer.Micros // sent with status 503
	reason     string          // of a rejection, for the log
	header     http.Header
	body       []byte
	stream     *upstream.ResponseStream // the rest of the body; nil if body is complete
}

// The methods below handle the events of a request. The loop's goroutine calls them.

// admitRequest adds a new request to the table and passes it to the balancer.
func (l *eventLoop) admitRequest(now balancer.Micros, r *pendingRequest, in balancer.Request) {
	l.lastRequestID++
	r.id, in.ID, r.deadline = l.lastRequestID, l.lastRequestID, in.Deadline
	l.requests[r.id] = r
	l.balancer.RequestArrived(now, in)
	l.releaseRequest(r)
}

// clientDisconnected ends a request whose client has disconnected. If the request already has a response that the client has not
// received, the response is dropped.
func (l *eventLoop) clientDisconnected(now balancer.Micros, r *pendingRequest) {
	if !r.isDone {
		r.isDone = true
		l.balancer.ClientDisconnected(now, r.id)
		l.releaseRequest(r)
		return
	}
	select {
	case response := <-r.response:
		if response.stream != nil {
			response.stream.End(&upstream.ClientError{Err: errClientDisconnected})
		}
	default:
	}
}

// bodySent tells the balancer that the last byte of a streamed request body was sent.
func (l *eventLoop) bodySent(now balancer.Micros, r *pendingRequest) {
	if !r.isDone {
		l.balancer.BodySent(now, r.id, r.deadline)
	}
}

// responseStarted gives the beginning of a streamed response as the final response.
func (l *eventLoop) responseStarted(now balancer.Micros, r *pendingRequest, attempt int, latency balancer.Micros, response finalResponse) {
	if r.isDone {
		response.stream.End(&upstream.ClientError{Err: errClientDisconnected})
		return
	}
	l.balancer.ResponseStarted(now, r.id, attempt, latency)
	l.respond(r, response)
}

// attemptFinished handles the outcome of an attempt. It is called exactly once for each attempt, even after the end of the
// request, because the balancer still learns from the outcome.
func (l *eventLoop) attemptFinished(now balancer.Micros, r *pendingRequest, outcome balancer.Outcome, res upstream.Result) {
	r.outstanding--
	if r.isClientDisconnected() {
		l.clientDisconnected(now, r) // must come first, so that the balancer does not retry
	}
	switch {
	case res.Status == balancer.OK:
		l.respond(r, finalResponse{statusCode: http.StatusOK, header: res.Header, body: res.Body})
	case res.ClientErrorCode != 0:
		l.logFailedAttempt(r, outcome, res)
		l.respond(r, r.clientErrorResponse(res.ClientErrorCode))
	default:
		l.logFailedAttempt(r, outcome, res)
	}
	outcome.RequestDone, outcome.BodyConsumed = r.isDone, r.outgoing.IsBodyConsumed()
	l.balancer.AttemptFinished(now, outcome)
	l.releaseRequest(r)
}

// clientErrorResponse returns the response to a request that failed because of the client, or because its body is no longer read.
func (r *pendingRequest) clientErrorResponse(statusCode int) finalResponse {
	response := finalResponse{statusCode: statusCode}
	if statusCode != http.StatusServiceUnavailable {
		return response
	}
	cause := rejectionShutdown
	if body, ok := r.outgoing.Upload.(*upload); ok && body.abortReason() != nil {
		cause = body.abortReason()
	}
	response.retryAfter, response.reason = cause.retryAfter.Microseconds(), cause.reason
	return response
}

// logFailedAttempt logs an attempt that has not served its request. connect is the part of its duration before it was sent.
func (l *eventLoop) logFailedAttempt(r *pendingRequest, outcome balancer.Outcome, res upstream.Result) {
	if r.logShare != nil && !r.logShare.allow() {
		return
	}
	duration := time.Duration(outcome.Latency) * time.Microsecond
	l.log.Info("attempt not served", "request_id", r.clientID(), "attempt", outcome.Attempt,
		"endpoint", outcome.Endpoint, "outcome", res.Status, "duration", duration, "connect", max(0, duration-res.Latency), "error", res.Err)
}

// respond gives the final response, unless the request is done. A nil request is done, too: it has left the table.
func (l *eventLoop) respond(r *pendingRequest, response finalResponse) {
	if r == nil || r.isDone {
		return
	}
	r.isDone = true
	r.response <- response
	l.releaseRequest(r) // a timer or a load probe may cause a rejection while no attempt is outstanding
}

// releaseRequest removes a request from the table if it is done and has no outstanding attempts.
func (l *eventLoop) releaseRequest(r *pendingRequest) {
	if !r.isDone || r.outstanding > 0 || l.requests[r.id] != r {
		return
	}
	delete(l.requests, r.id)
	if r.memory != nil {
		r.memory.release()
	}
}
