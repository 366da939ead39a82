package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/upstream"
)

// pendingRequest is the ledger's entry for a request that the balancer may still
// speak of: no final answer is out, or attempts are.
type pendingRequest struct {
	id              uint64
	outgoing        *upstream.Request
	deadline        balancer.Micros
	timeLeft        balancer.Micros    // from the last byte of a body that still comes to the deadline
	response        chan finalResponse // takes the one final answer
	clientCtx       context.Context    // ends when the client leaves, which the loop may be told late
	checkDisconnect func()             // asks the system whether it has left; nil where there is no connection to ask
	isDone          bool               // the final answer is out, or the client is gone
	cancelAttempts  []context.CancelFunc
	outstanding     int // attempts without outcome
}

// finalResponse is the final answer to a request.
type finalResponse struct {
	statusCode int
	retryAfter balancer.Micros
	header     http.Header
	body       []byte
	stream     *upstream.ResponseStream // the rest of the body, or nil
}

// admitRequest passes a new request to the balancer.
func (l *eventLoop) admitRequest(now balancer.Micros, r *pendingRequest, in balancer.Request) {
	l.lastRequestID++
	r.id, in.ID, r.deadline = l.lastRequestID, l.lastRequestID, in.Deadline
	l.requests[r.id] = r
	l.balancer.RequestArrived(now, in)
	l.releaseRequest(r)
}

// isClientGone says whether the request's client has left.
func (r *pendingRequest) isClientGone() bool { return r.clientCtx != nil && r.clientCtx.Err() != nil }

// clientDisconnected tells that the client went away.
func (l *eventLoop) clientDisconnected(now balancer.Micros, r *pendingRequest) {
	if !r.isDone {
		r.isDone = true
		l.balancer.ClientDisconnected(now, r.id)
		l.releaseRequest(r)
		return
	}
	select {
	case a := <-r.response: // it crossed the client's going, and nobody takes it
		if a.stream != nil {
			a.stream.End(&upstream.ClientError{Err: errClientDisconnected})
		}
	default:
	}
}

// errClientDisconnected says that a client left before its answer.
var errClientDisconnected = errors.New("the client is gone")

// bodySent tells that the last byte of a request's body was sent on.
func (l *eventLoop) bodySent(now balancer.Micros, r *pendingRequest) {
	if !r.isDone {
		l.balancer.BodySent(now, r.id, r.deadline)
	}
}

// responseStarted gives the beginning of an answer that is passed on as it comes, as the final one.
func (l *eventLoop) responseStarted(now balancer.Micros, r *pendingRequest, attempt int, latency balancer.Micros, a finalResponse) {
	if r.isDone {
		a.stream.End(&upstream.ClientError{Err: errClientDisconnected})
		return
	}
	l.balancer.ResponseStarted(now, r.id, attempt, latency)
	l.respond(r, a)
}

// attemptFinished tells how an attempt ended: exactly once for each, also after the
// request's end, when the balancer still learns from it.
func (l *eventLoop) attemptFinished(now balancer.Micros, r *pendingRequest, o balancer.Outcome, res upstream.Result) {
	r.outstanding--
	if r.isClientGone() {
		l.clientDisconnected(now, r) // before the balancer would try again for it
	}
	if res.Status != balancer.OK {
		l.log.Info("attempt not served", "request_id", r.outgoing.Header.Get(requestIDHeader), "attempt", o.Attempt,
			"endpoint", o.Endpoint, "outcome", res.Status, "duration", time.Duration(o.Latency)*time.Microsecond, "error", res.Err)
	}
	if res.Status == balancer.OK {
		l.respond(r, finalResponse{statusCode: http.StatusOK, header: res.Header, body: res.Body})
	} else if res.ClientErrorCode != 0 {
		a := finalResponse{statusCode: res.ClientErrorCode}
		if a.statusCode == http.StatusServiceUnavailable {
			a.retryAfter = shutdownRetryAfter.Microseconds()
		}
		l.respond(r, a)
	}
	o.RequestDone, o.BodyConsumed = r.isDone, r.outgoing.BodyConsumed()
	l.balancer.AttemptFinished(now, o)
	l.releaseRequest(r)
}

// respond gives the final answer, unless one is out already.
func (l *eventLoop) respond(r *pendingRequest, a finalResponse) {
	if r != nil && !r.isDone {
		r.isDone = true
		r.response <- a     // it has room for the one
		l.releaseRequest(r) // a refusal may come of a timer or a probe, with no attempt to follow
	}
}

func (l *eventLoop) releaseRequest(r *pendingRequest) {
	if r.isDone && r.outstanding == 0 {
		delete(l.requests, r.id)
	}
}
