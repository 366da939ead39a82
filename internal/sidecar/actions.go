package sidecar

import (
	"log/slog"
	"net/http"
	"time"

	"bramblestand/balancer"
)

// Reject answers that a retry is harmless, and when it is welcome.
func (l *eventLoop) Reject(id uint64, retryAfter balancer.Micros) {
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail answers that the request failed.
func (l *eventLoop) Fail(id uint64) {
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusBadGateway})
}

// CancelAttempt gives an attempt up: its connection is closed, its outcome still comes.
func (l *eventLoop) CancelAttempt(id uint64, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.cancelAttempts) {
		r.cancelAttempts[attempt]()
	}
}

// SetTimer gives a token back after a while.
func (l *eventLoop) SetTimer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.post(func(now balancer.Micros) { l.balancer.TimerFired(now, token) })
	})
}

// Log records an event of the balancer's.
func (l *eventLoop) Log(message string, fields ...balancer.LogField) {
	attributes := make([]slog.Attr, len(fields))
	for i, field := range fields {
		attributes[i] = slog.Any(field.Key, field.Value)
	}
	l.log.LogAttrs(l.ctx, slog.LevelInfo, message, attributes...)
}
