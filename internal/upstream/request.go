package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"bramblestand/internal/controltraffic"
)

// Request is a request as it goes to endpoints, any number of times.
type Request struct {
	Method  string
	URL     *url.URL
	Host    string
	Header  http.Header             // X-Time-Left-Ms is written for each attempt
	Body    []byte                  // all of it, or what is kept of one that still comes:
	Upload  Upload                  // the rest of it, or nil
	traffic *controltraffic.Counter // counts it; nil for a client's request
}

// Upload is the part of a request's body that has not been buffered and is still to come from the client. An attempt's
// goroutine reads it; there is one attempt at a time.
type Upload interface {
	io.Reader // fails with what ClientError returns from then on

	ContentLength() int64      // of the whole body in bytes; -1 if unknown
	IsConsumed() bool          // something was read: the request cannot be sent again
	ClientError() *ClientError // what ended reading, or nil
}

// BodyConsumed says that part of the body is gone, so that the request cannot be sent again.
func (m *Request) BodyConsumed() bool { return m.Upload != nil && m.Upload.IsConsumed() }

// writeStreamed writes a request whose body still comes from the client. It never ran if this fails: its last byte was not
// written.
func (m *Request) writeStreamed(c *connection, p *Forwarding) error {
	request := m.httpRequest(p.StreamContext)
	request.ContentLength = m.Upload.ContentLength()
	// Without the reader's own WriteTo, which would take a buffer for each request.
	request.Body = io.NopCloser(struct{ io.Reader }{io.MultiReader(bytes.NewReader(m.Body), m.Upload)})
	err := request.Write(stallGuardedWriter{c, p.StreamContext})
	if failed := m.Upload.ClientError(); failed != nil {
		return failed
	}
	if err != nil {
		return &notSentError{err}
	}
	return nil
}

// httpRequest is the message as net/http writes it, with the time that this attempt has left and without a body.
func (m *Request) httpRequest(ctx context.Context) *http.Request {
	request := &http.Request{Method: m.Method, URL: m.URL, Host: m.Host, Header: http.Header{}}
	CopyEndToEndHeaders(request.Header, m.Header)
	if until, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(until).Milliseconds())
		request.Header.Set("X-Time-Left-Ms", strconv.FormatInt(left, 10))
	}
	return request
}

// encode writes the request with the time that this attempt has left.
func (m *Request) encode(ctx context.Context) ([]byte, error) {
	request := m.httpRequest(ctx)
	if len(m.Body) > 0 {
		request.ContentLength = int64(len(m.Body))
		request.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	var data bytes.Buffer
	if err := request.Write(&data); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}

// hopByHopHeaders headers concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// CopyEndToEndHeaders copies the headers that are to be passed on.
func CopyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
}
