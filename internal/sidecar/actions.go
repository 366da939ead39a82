package sidecar

import (
	"log/slog"
	"net/http"
	"time"

	"bramblestand/balancer"
)

// The methods below, and those in attempts.go, discovery_watch.go and membership.go, implement balancer.Actions. The balancer calls
// them on the loop's goroutine while it handles an event.

// Reject responds 503, which promises that the client may send the request again, after retryAfter, without the request taking
// effect twice.
func (l *eventLoop) Reject(id uint64, retryAfter balancer.Micros, reason balancer.RejectReason) {
	l.rejections.add(reason.String())
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusServiceUnavailable, retryAfter: retryAfter, reason: reason.String()})
}

// Fail responds 502, which says that the request failed and that an endpoint may have executed it.
func (l *eventLoop) Fail(id uint64) {
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusBadGateway})
}

// CancelAttempt closes the connection of an attempt. The balancer still receives the attempt's outcome.
func (l *eventLoop) CancelAttempt(id uint64, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.cancelAttempts) {
		r.cancelAttempts[attempt]()
	}
}

// SetTimer schedules a call of the balancer's TimerFired with this token after delay.
func (l *eventLoop) SetTimer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.post(func(now balancer.Micros) { l.balancer.TimerFired(now, token) })
	})
}

// Log writes a log line of the balancer.
func (l *eventLoop) Log(message string, fields ...balancer.LogField) {
	attributes := make([]slog.Attr, len(fields))
	for i, field := range fields {
		attributes[i] = slog.Any(field.Key, field.Value)
	}
	l.log.LogAttrs(l.ctx, slog.LevelInfo, message, attributes...)
}
