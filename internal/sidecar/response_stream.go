package sidecar

import (
	"io"
	"net/http"
	"time"

	"bramblestand/internal/bodybuffer"
	"bramblestand/internal/upstream"
)

// timedWriter writes to a client and flushes each write. It fails with a *upstream.ClientError if the client is too slow or has
// disconnected.
type timedWriter struct {
	writer     io.Writer
	controller *http.ResponseController
	rate       transferRate
}

// Write writes and flushes data.
func (w *timedWriter) Write(data []byte) (int, error) {
	start := time.Now()
	defer func() { w.rate.add(len(data), start) }()
	if err := w.controller.SetWriteDeadline(start.Add(w.rate.remaining())); err != nil {
		return 0, &upstream.ClientError{Err: err}
	}
	if n, err := w.writer.Write(data); err != nil {
		return n, &upstream.ClientError{Err: err}
	}
	if err := w.controller.Flush(); err != nil {
		return len(data), &upstream.ClientError{Err: err}
	}
	return len(data), nil
}

// forwardResponse writes the buffered start of a body, and then the remainder while it arrives from the endpoint. It returns how many
// bytes of the body were written, and nil once that is the whole body, a *upstream.ClientError if writing to the client failed, and
// otherwise the error of reading from the endpoint.
func forwardResponse(w http.ResponseWriter, controller *http.ResponseController, memory bodybuffer.Lender, buffered []byte, stream *upstream.ResponseStream) (written int64, err error) {
	client := &timedWriter{writer: w, controller: controller}
	if _, err := client.Write(buffered); err != nil {
		return client.rate.bytes, err
	}
	stream.StartForwarded()
	err = bodybuffer.Copy(client, stream.Remainder, memory)
	return client.rate.bytes, err
}
