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

// pendingRequest is an entry of the event loop's request table: a request without a final response, or with attempts that are
// outstanding. The goroutine that serves the client makes it and hands it over with admitRequest; from then on the loop's goroutine
// owns it, but for what is marked.
type pendingRequest struct {
	id       uint64
	outgoing *upstream.Request
	deadline balancer.Micros
	timeLeft balancer.Micros // from the last byte of a streamed request body to the deadline

	response  chan finalResponse // receives the one final response; has room for it
	clientCtx context.Context    // ends when the client disconnects, which the loop may learn late; nil in tests
	// checkDisconnect asks the system whether the client has disconnected, and ends clientCtx if so. It is nil where there is no
	// connection. Any goroutine may call it.
	checkDisconnect func()

	isDone         bool                 // the final response was given, or the client has disconnected
	cancelAttempts []context.CancelFunc // by attempt
	outstanding    int                  // attempts without an outcome
}

// isClientDisconnected reports whether the client has disconnected. Any goroutine may call it.
func (r *pendingRequest) isClientDisconnected() bool {
	return r.clientCtx != nil && r.clientCtx.Err() != nil
}

// finalResponse is the one response to a client's request.
type finalResponse struct {
	statusCode int
	retryAfter balancer.Micros // with status 503
	reason     string          // of a rejection, for the log
	header     http.Header
	body       []byte
	stream     *upstream.ResponseStream // of the rest of the body; nil if body is all of it
}

// The methods below are events of a request. The loop's goroutine calls them.

// admitRequest enters a new request in the table and passes it to the balancer.
func (l *eventLoop) admitRequest(now balancer.Micros, r *pendingRequest, in balancer.Request) {
	l.lastRequestID++
	r.id, in.ID, r.deadline = l.lastRequestID, l.lastRequestID, in.Deadline
	l.requests[r.id] = r
	l.balancer.RequestArrived(now, in)
	l.releaseRequest(r)
}

// clientDisconnected ends a request whose client has disconnected. A response that was given meanwhile is dropped.
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

// attemptFinished takes the outcome of an attempt: exactly once for each attempt, also after the request's end, when the balancer
// still learns from it.
func (l *eventLoop) attemptFinished(now balancer.Micros, r *pendingRequest, outcome balancer.Outcome, res upstream.Result) {
	r.outstanding--
	if r.isClientDisconnected() {
		l.clientDisconnected(now, r) // before the balancer would retry
	}
	switch {
	case res.Status == balancer.OK:
		l.respond(r, finalResponse{statusCode: http.StatusOK, header: res.Header, body: res.Body})
	case res.ClientErrorCode != 0:
		l.logFailedAttempt(r, outcome, res)
		l.respond(r, clientErrorResponse(res.ClientErrorCode))
	default:
		l.logFailedAttempt(r, outcome, res)
	}
	outcome.RequestDone, outcome.BodyConsumed = r.isDone, r.outgoing.IsBodyConsumed()
	l.balancer.AttemptFinished(now, outcome)
	l.releaseRequest(r)
}

// clientErrorResponse returns the response to a request that failed by the client's fault.
func clientErrorResponse(statusCode int) finalResponse {
	response := finalResponse{statusCode: statusCode}
	if statusCode == http.StatusServiceUnavailable {
		response.retryAfter = shutdownRetryAfter.Microseconds()
		response.reason = rejectedShuttingDown
	}
	return response
}

func (l *eventLoop) logFailedAttempt(r *pendingRequest, outcome balancer.Outcome, res upstream.Result) {
	l.log.Info("attempt not served", "request_id", r.outgoing.Header.Get(requestIDHeader), "attempt", outcome.Attempt,
		"endpoint", outcome.Endpoint, "outcome", res.Status, "duration", time.Duration(outcome.Latency)*time.Microsecond, "error", res.Err)
}

// respond gives the final response, unless the request is done. A nil request, one that has left the table, is done.
func (l *eventLoop) respond(r *pendingRequest, response finalResponse) {
	if r == nil || r.isDone {
		return
	}
	r.isDone = true
	r.response <- response
	l.releaseRequest(r) // a rejection may come of a timer or a load probe, with no attempt outstanding
}

// releaseRequest takes a request that is done and has no outstanding attempt from the table.
func (l *eventLoop) releaseRequest(r *pendingRequest) {
	if r.isDone && r.outstanding == 0 {
		delete(l.requests, r.id)
	}
}
