package sidecar

import (
	"context"
	"net/http"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/mutant"
	"bramblestand/internal/upstream"
)

// StartAttempt starts an attempt in its own goroutine. The attempt ends at the request's deadline, or after timeout if that is
// positive and earlier. If the request body is streamed, the deadline of its upload applies instead. Connecting may take long: the
// request is not sent from sendBefore on, if that is positive.
func (l *eventLoop) StartAttempt(id uint64, endpoint uint32, timeout, sendBefore balancer.Micros) {
	r := l.requests[id]
	now := l.clock.now()
	deadline := r.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	a := &attempt{
		loop:       l,
		request:    r,
		target:     l.targets[endpoint],
		outcome:    balancer.Outcome{ID: id, Attempt: len(r.cancelAttempts), Endpoint: endpoint},
		ctx:        ctx,
		cancel:     cancel,
		deadline:   deadline,
		sendBefore: l.sendBeforeTime(sendBefore),
		zone:       l.cfg.ZoneIndex(l.listedEndpoints[endpoint].Zone),
		pod:        l.listedEndpoints[endpoint].Pod,
		startedAt:  now,
	}
	r.cancelAttempts = append(r.cancelAttempts, cancel)
	r.outstanding++
	a.watchClient()
	go a.run()
}

// sendBeforeTime returns the time.Time for a sendBefore of the balancer; zero if there is none.
func (l *eventLoop) sendBeforeTime(sendBefore balancer.Micros) time.Time {
	if sendBefore <= 0 {
		return time.Time{}
	}
	return l.clock.wallTime(sendBefore)
}

// attempt is one attempt to get a request served, from StartAttempt until its outcome is reported. After the start, its own
// goroutine (run) owns it, until run passes it back to the loop's goroutine together with the result.
type attempt struct {
	loop    *eventLoop
	request *pendingRequest
	target  *upstream.Target // nil if no request may be sent to the endpoint
	outcome balancer.Outcome // completed by finish

	ctx        context.Context // ends when the attempt is canceled; has no deadline
	cancel     context.CancelFunc
	deadline   balancer.Micros // if the request body is buffered; for a streamed body, see upload.Deadline
	sendBefore time.Time       // the request must not be sent from then on; zero if there is no such time

	zone uint8 // of the endpoint
	pod  uint16

	startedAt   balancer.Micros // latency is measured from here: the start, or the last byte of a streamed request body
	respondedAt balancer.Micros // when a streamed response started; 0 if none did

	unwatchClient func() bool // undoes watchClient, and reports whether the client was still connected
}

// watchClient cancels the attempt if the client disconnects before unwatchClient is called.
func (a *attempt) watchClient() {
	if a.request.clientCtx == nil {
		a.unwatchClient = func() bool { return true }
		return
	}
	a.unwatchClient = context.AfterFunc(a.request.clientCtx, a.cancel)
}

// run sends the request and posts the result to the loop. It is the attempt's goroutine.
func (a *attempt) run() {
	defer a.cancel()
	defer func() { a.unwatchClient() }() // read at the end, because startResponse replaces it
	result := a.send()
	a.forgetSend(result.Status)
	a.loop.post(func(now balancer.Micros) { a.finish(now, result) })
}

// send sends the request and reads the response.
func (a *attempt) send() upstream.Result {
	if a.target == nil {
		return upstream.Result{Status: balancer.NotSent}
	}
	ctx := a.ctx
	if a.request.outgoing.Upload == nil {
		withDeadline, stop := context.WithDeadline(a.ctx, a.loop.clock.wallTime(a.deadline))
		defer stop()
		ctx = withDeadline
	}
	forwarding := &upstream.Forwarding{
		StreamContext: a.ctx,
		SendBefore:    a.sendBefore,
		MayStart:      a.mayStart,
		BodySent:      a.bodySent,
		StartResponse: a.startResponse,
	}
	if a.request.memory != nil {
		forwarding.Memory = a.request.memory
	}
	return a.loop.upstream.Attempt(ctx, a.target, a.request.outgoing, forwarding)
}

// mayStart reports whether the client is still connected, and records that the request is sent if it is. From here on a disconnect
// does not end the attempt by itself: the balancer decides whether to cancel it.
func (a *attempt) mayStart() bool {
	if a.request.checkDisconnect != nil {
		a.request.checkDisconnect() // the read that notices a disconnect may be late if many clients disconnect at once
	}
	if !a.unwatchClient() || a.request.isClientDisconnected() {
		return false
	}
	a.recordSend()
	return true
}

// bodySent records that the last byte of a streamed request body was sent, and the request's deadline.
func (a *attempt) bodySent(deadline time.Time) {
	a.startedAt = a.loop.clock.now()
	a.loop.post(func(now balancer.Micros) {
		a.request.deadline = a.loop.clock.micros(deadline)
		a.loop.bodySent(now, a.request)
	})
}

// startResponse gives the client the beginning of a streamed response. The rest is read only for this client, so from here on a
// disconnect cancels the attempt again.
func (a *attempt) startResponse(response *http.Response, buffered []byte, stream *upstream.ResponseStream) {
	a.respondedAt = a.loop.clock.now()
	latency := a.respondedAt - a.startedAt
	a.watchClient()
	stream.StopWatchingClient = a.unwatchClient
	final := finalResponse{statusCode: http.StatusOK, header: response.Header, body: buffered, stream: stream}
	a.loop.post(func(now balancer.Micros) {
		a.loop.responseStarted(now, a.request, a.outcome.Attempt, latency, final)
	})
}

// finish completes the outcome and reports it. The loop's goroutine calls it.
func (a *attempt) finish(now balancer.Micros, result upstream.Result) {
	endedAt := a.respondedAt
	if endedAt == 0 {
		endedAt = now
	}
	a.outcome.Status = result.Status
	if mutant.RepeatsUnsafe && result.Status == balancer.Reset {
		a.outcome.Status = balancer.ConnectFailed
	}
	a.outcome.LoadReport = result.LoadReport
	a.outcome.Latency = endedAt - a.startedAt
	if !result.SentAt.IsZero() && a.request.outgoing.Upload == nil {
		a.outcome.SentAt = a.loop.clock.micros(result.SentAt)
	}
	a.loop.attemptFinished(now, a.request, a.outcome, result)
}

// SendLoadProbe asks an endpoint for its load report, in a new goroutine.
func (l *eventLoop) SendLoadProbe(endpoint uint32) {
	t := l.targets[endpoint]
	go func() {
		res := upstream.Result{Status: balancer.NotSent}
		if t != nil {
			res = l.upstream.LoadProbe(l.ctx, t)
		}
		l.post(func(now balancer.Micros) {
			l.balancer.LoadProbeResult(now, endpoint, res.Status, res.Latency.Microseconds(), res.LoadReport)
		})
	}()
}
