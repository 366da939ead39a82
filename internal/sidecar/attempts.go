package sidecar

import (
	"context"
	"net/http"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/upstream"
)

// StartAttempt starts an attempt in a goroutine of its own. The attempt ends by timeout, if that is positive, and by the request's
// deadline.
func (l *eventLoop) StartAttempt(id uint64, endpoint uint32, timeout balancer.Micros) {
	r, t := l.requests[id], l.targets[endpoint]
	now, until := l.clock.now(), r.deadline
	if timeout > 0 {
		until = min(until, now+timeout)
	}
	life, cancel := context.WithCancel(l.ctx)
	o := balancer.Outcome{ID: id, Attempt: len(r.cancelAttempts), Endpoint: endpoint}
	r.cancelAttempts = append(r.cancelAttempts, cancel)
	r.outstanding++
	began, ended := now, balancer.Micros(0) // what counts as the attempt's time
	// A client that leaves takes back what was not begun to be sent, whatever may be cancelled beyond that.
	unguard := func() bool { return true }
	guard := func() {
		if r.clientCtx != nil {
			unguard = context.AfterFunc(r.clientCtx, cancel)
		}
	}
	guard()
	p := &upstream.Forwarding{StreamContext: life,
		MayStart: func() bool {
			if r.checkDisconnect != nil {
				r.checkDisconnect() // whoever reads the connection may be far behind, where many come at once
			}
			return unguard() && !r.isClientGone()
		},
		BodySent: func() time.Time {
			began = l.clock.now()
			deadline := began + r.timeLeft
			l.post(func(at balancer.Micros) {
				r.deadline = deadline
				l.bodySent(at, r)
			})
			return l.clock.wallTime(deadline)
		},
		StartResponse: func(h *http.Response, kept []byte, s *upstream.ResponseStream) {
			ended = l.clock.now()
			latency := ended - began
			guard() // what is passed on as it comes has nobody else to come for
			s.StopWatchingClient = unguard
			l.post(func(at balancer.Micros) {
				l.responseStarted(at, r, o.Attempt, latency, finalResponse{statusCode: http.StatusOK, header: h.Header, body: kept, stream: s})
			})
		}}
	go func() {
		defer cancel()
		defer func() { unguard() }()
		res := upstream.Result{Status: balancer.NotSent}
		if t != nil {
			ctx, stop := life, context.CancelFunc(func() {})
			if r.outgoing.Upload == nil { // else its time begins with its last byte
				ctx, stop = context.WithDeadline(life, l.clock.wallTime(until))
			}
			res = l.upstream.Attempt(ctx, t, r.outgoing, p)
			stop()
		}
		l.post(func(at balancer.Micros) {
			if ended == 0 {
				ended = at
			}
			o.Status, o.LoadReport, o.Latency = res.Status, res.LoadReport, ended-began
			l.attemptFinished(at, r, o, res)
		})
	}()
}

// SendLoadProbe asks an endpoint for its load report in a goroutine of its own.
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
