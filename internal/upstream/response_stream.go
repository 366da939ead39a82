package upstream

import (
	"io"
	"net/http"

	"bramblestand/internal/bodybuffer"
)

// ResponseStream is a response that is forwarded while it arrives. The attempt's goroutine creates it. The goroutine of the
// client's request forwards the buffered start of the body, calls StartForwarded, reads Remainder and calls End exactly once.
type ResponseStream struct {
	ContentLength      int64         // bytes; -1 if unknown
	Remainder          io.ReadCloser // the body after its buffered start
	StopWatchingClient func() bool   // after this call a disconnect of the client does not end the attempt

	start      startMemory // of the buffered start
	clientDone chan error  // receives End's error; buffered, so that End does not block
}

// StartForwarded gives back the memory of the buffered start of the body, of which the caller keeps no reference. A client may take
// long to read the rest.
func (s *ResponseStream) StartForwarded() { s.start.giveBack() }

// End tells the attempt's goroutine how forwarding to the client ended; nil means that the client has received everything.
func (s *ResponseStream) End(err error) {
	s.StopWatchingClient() // the sidecar may close the client's connection next, which must not count as a disconnect by the client
	s.Remainder.Close()
	s.clientDone <- err
}

// startStream passes a response on to the client's side: the buffered start of its body, whose memory is start, and a reader of the
// remainder.
func (e *exchange) startStream(response *http.Response, buffered []byte, start startMemory, remainder io.ReadCloser) *ResponseStream {
	stream := &ResponseStream{
		ContentLength: response.ContentLength,
		Remainder:     remainder,
		start:         start,
		clientDone:    make(chan error, 1),
	}
	e.forwarding.StartResponse(response, buffered, stream)
	return stream
}

// copyToPipe writes the result of a read (n bytes of the buffer, and err) and then the rest of the body to a pipe. It returns
// the body's read error. If the pipe's reader was closed first, it returns nil: ResponseStream.End reports the reason.
func copyToPipe(pipe *io.PipeWriter, rest io.Reader, buffer *bodybuffer.Adaptive, n int, err error) error {
	for {
		if _, writeErr := pipe.Write(buffer.Bytes()[:n]); writeErr != nil {
			return nil
		}
		if err == io.EOF {
			pipe.Close()
			return nil
		}
		if err != nil {
			pipe.CloseWithError(err)
			return err
		}
		buffer.Adapt(n)
		n, err = rest.Read(buffer.Bytes())
	}
}
