package sidecar

import (
	"log/slog"
	"net/http"
	"time"

	"bramblestand/balancer"
)

// The methods below and in attempts.go, discovery_watch.go and membership.go implement balancer.Actions. The balancer calls them, amid
// an event, from the loop's goroutine.

// Reject responds 503: the request may be sent again, after retryAfter, without a second effect.
func (l *eventLoop) Reject(id uint64, retryAfter balancer.Micros, reason balancer.RejectReason) {
	l.rejections.add(reason.String())
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusServiceUnavailable, retryAfter: retryAfter, reason: reason.String()})
}

// Fail responds 502: the request failed, and may have run.
func (l *eventLoop) Fail(id uint64) {
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusBadGateway})
}

// CancelAttempt closes an attempt's connection. Its outcome still follows.
func (l *eventLoop) CancelAttempt(id uint64, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.cancelAttempts) {
		r.cancelAttempts[attempt]()
	}
}

// SetTimer has the balancer's TimerFired called with token after delay.
func (l *eventLoop) SetTimer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.post(func(now balancer.Micros) { l.balancer.TimerFired(now, token) })
	})
}

// Log logs a line of the balancer.
func (l *eventLoop) Log(message string, fields ...balancer.LogField) {
	attributes := make([]slog.Attr, len(fields))
	for i, field := range fields {
		attributes[i] = slog.Any(field.Key, field.Value)
	}
	l.log.LogAttrs(l.ctx, slog.LevelInfo, message, attributes...)
}
