package sidecar

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"bramblestand/internal/upstream"
)

// This file writes the responses of a clientExchange: final responses of the event loop, rejections and errors.

// writeResponse writes the final response.
func (e *clientExchange) writeResponse(response finalResponse, body *requestBody) {
	if response.statusCode != http.StatusOK {
		e.logNotServed(response)
	}
	// An unread rest of the body would precede the next request on the connection.
	if e.isDraining() || body.hasUnread() {
		e.closeConnection()
	}
	if response.stream != nil {
		e.writeStream(response)
		return
	}
	e.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, on which the write fails as well
	e.writeBuffered(response)
	if body.hasUnread() {
		e.flushAndClose()
	}
}

// writeStream forwards a response while it arrives. If that fails, it closes the connection before the end of the response, by
// which the client recognises that the response is incomplete.
func (e *clientExchange) writeStream(response finalResponse) {
	upstream.CopyEndToEndHeaders(e.writer.Header(), response.header)
	if response.stream.ContentLength >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(response.stream.ContentLength, 10))
	}
	start := response.body
	response.body = nil // so that the start is garbage once it is written
	written, err := forwardResponse(e.writer, e.controller, e.memory, start, response.stream)
	response.stream.End(err)
	if err != nil {
		duration, cause := time.Duration(e.loop.clock.now()-e.startedAt)*time.Microsecond, breakOffCause(err)
		e.brokenOff.add(cause)
		e.logRequest("response broken off", "duration", duration, "by", cause, "body_bytes", written,
			"response_length", response.stream.ContentLength, "error", err)
		panic(http.ErrAbortHandler)
	}
}

// breakOffCause returns who has caused the end of a response before it was complete, for the log.
func breakOffCause(err error) string {
	var clientErr *upstream.ClientError
	switch {
	case errors.As(err, &clientErr):
		return "client"
	case errors.Is(err, upstream.ErrDeadlineExceeded):
		return "deadline"
	}
	return "endpoint"
}

// writeBuffered writes a response whose body is buffered in full.
func (e *clientExchange) writeBuffered(response finalResponse) {
	header := e.writer.Header()
	upstream.CopyEndToEndHeaders(header, response.header)
	if response.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(response.retryAfter)/1e6, 'f', 3, 64)) // seconds
	}
	header.Set("Content-Length", strconv.Itoa(len(response.body)))
	e.writer.WriteHeader(response.statusCode)
	e.writer.Write(response.body) // a failure means that the client has disconnected
}

// reject answers 503 and ends the connection.
func (e *clientExchange) reject(cause *rejection) {
	e.closeConnection()
	e.loop.rejections.add(cause.reason)
	response := finalResponse{statusCode: http.StatusServiceUnavailable, retryAfter: cause.retryAfter.Microseconds(), reason: cause.reason}
	e.logNotServed(response)
	e.writeBuffered(response)
}

// rejectUnread rejects a request whose body was not read to its end: there is no memory for it, or the process is shutting down
// and might be killed before it answers the request. During a shutdown, the client's retry reaches another process.
func (e *clientExchange) rejectUnread(cause *rejection) {
	e.reject(cause)
	if e.in.ContentLength != 0 {
		e.flushAndClose()
	}
}

// rejectInvalid answers an invalid request, and ends its connection to make room for clients with valid requests.
func (e *clientExchange) rejectInvalid(err *invalidRequest) {
	e.logRequest("invalid request", "error", err)
	e.closeConnection()
	http.Error(e.writer, err.reason, err.status)
}

// closeConnection makes the response the last one on its connection.
func (e *clientExchange) closeConnection() { e.writer.Header().Set("Connection", "close") }

// flushAndClose sends the response and ends the connection without reading the rest of the request's body, which net/http would
// read first.
func (e *clientExchange) flushAndClose() {
	if e.controller.Flush() == nil {
		e.conn.Close()
	}
}
