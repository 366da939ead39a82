package sidecar

import (
	"log/slog"
	"time"
)

// statusDisconnected is the status that is logged for a request whose client disconnected before the response.
const statusDisconnected = 0

// logNotServed logs a request that was not served. unread is how long it waited before it was read, which is not part of duration. For a
// rejection it logs the reason and the Retry-After as well.
func (e *clientExchange) logNotServed(response finalResponse) {
	if !e.conn.logShare.allow() {
		return
	}
	duration := time.Duration(e.loop.clock.now()-e.startedAt) * time.Microsecond
	attributes := []any{"status", response.statusCode, "duration", duration, "unread", e.unreadTime()}
	if response.reason != "" {
		attributes = append(attributes, "reason", response.reason, "retry_after", time.Duration(response.retryAfter)*time.Microsecond)
	}
	e.requestLog().Info("request not served", attributes...)
}

// logRequest logs an event of the request, if the client's share of the log allows it.
func (e *clientExchange) logRequest(message string, args ...any) {
	if e.conn.logShare.allow() {
		e.requestLog().Info(message, args...)
	}
}

// requestLog returns a logger whose lines have the request's id, the client's address, and the framing of the body.
func (e *clientExchange) requestLog() *slog.Logger {
	return e.log.With("request_id", e.in.Header.Get(requestIDHeader), "client", e.in.RemoteAddr, "protocol", e.in.Proto,
		"content_length", e.in.ContentLength, "transfer_coding", e.in.TransferEncoding)
}

// unreadTime returns how long the request waited to be read, in the system's buffers or for its connection to be accepted.
func (e *clientExchange) unreadTime() time.Duration {
	return max(0, e.loop.clock.wallTime(e.startedAt).Sub(e.conn.requestArrivedAt()))
}
