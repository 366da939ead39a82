package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"
)

// responseStream is an answer that is passed on as it comes.
type responseStream struct {
	contentLength      int64         // -1 where the endpoint did not tell
	remainder          io.ReadCloser // beyond what is kept in the answer
	clientDone         chan error    // has room for the one
	stopWatchingClient func() bool   // takes back that the client's leaving ends the attempt
}

// end tells the endpoint's side how the client's side ended.
func (s *responseStream) end(err error) {
	s.stopWatchingClient() // what follows ends the connection, which is no client's leaving
	s.remainder.Close()
	s.clientDone <- err
}

// forwarding is what an attempt needs to pass on more than it can keep.
type forwarding struct {
	streamCtx     context.Context  // the attempt's, without a deadline
	mayStart      func() bool      // asked before the first byte is written: whether the request is still wanted
	bodySent      func() time.Time // tells that the last byte of a body is written; returns the request's deadline
	startResponse func(h *http.Response, kept []byte, s *responseStream)
}

// responseBody reads an answer's body from an endpoint.
type responseBody struct {
	conn   *conn
	ctx    context.Context
	reader io.Reader
}

// Read reads what has come, and gives an endpoint up that has fallen silent.
func (b *responseBody) Read(p []byte) (int, error) {
	b.conn.until(b.ctx, time.Now().Add(maxEndpointStall))
	return b.reader.Read(p)
}

// forwardResponse writes an answer as it comes. A nil error means that the client has all of it.
func forwardResponse(w http.ResponseWriter, control *http.ResponseController, kept []byte, s *responseStream) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	var p pace
	write := func(data []byte) error {
		start := time.Now()
		err := control.SetWriteDeadline(start.Add(p.remaining()))
		if err == nil {
			if _, err = w.Write(data); err == nil {
				err = control.Flush()
			}
		}
		p.add(len(data), start)
		if err != nil {
			return &clientError{error: err}
		}
		return nil
	}
	if err := write(kept); err != nil {
		return err
	}
	for {
		n, err := s.remainder.Read(buffer[:])
		if n > 0 {
			if failed := write(buffer[:n]); failed != nil {
				return failed
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
