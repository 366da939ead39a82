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

// Headers that this package reads or writes.
const (
	RequestIDHeader   = "X-Correlation-Id" // of a request: the client's id of it, forwarded and logged
	TimeLeftHeader    = "X-Time-Left-Ms"   // of a request: milliseconds until its deadline, written anew by each attempt
	loadReportHeader  = "X-Backend-Load"   // of a response: name=value pairs
	unprocessedHeader = "X-Unprocessed"    // of a response: 1 if the request never ran
)

// Request is a request to endpoints. It may be sent repeatedly, by one attempt after the other, until IsBodyConsumed.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // of the client's request; X-Time-Left-Ms is written anew by each attempt
	Body   []byte      // all of it, or its buffered start if there is an Upload
	Upload Upload      // the rest of the body; nil if there is none

	traffic *controltraffic.Counter // counts the request; nil for a client's
}

// Upload is the part of a request's body that is not buffered and is still coming from the client. An attempt's goroutine reads
// it; there is one attempt at a time.
type Upload interface {
	io.Reader // fails with what ClientError returns from then on

	ContentLength() int64      // of the whole body in bytes; -1 if unknown
	IsConsumed() bool          // something was read: the request cannot be sent again
	ClientError() *ClientError // what ended reading, or nil
}

// IsBodyConsumed reports whether part of the body is gone, so that the request cannot be sent again. It must not be called
// during an attempt.
func (r *Request) IsBodyConsumed() bool { return r.Upload != nil && r.Upload.IsConsumed() }

// writeUpload writes the request with the body's buffered start and its Upload.
func (r *Request) writeUpload(ctx context.Context, w io.Writer) error {
	request := r.toHTTP(ctx)
	request.ContentLength = r.Upload.ContentLength()
	// The struct hides the reader's WriteTo, which would allocate a buffer for each request.
	request.Body = io.NopCloser(struct{ io.Reader }{io.MultiReader(bytes.NewReader(r.Body), r.Upload)})
	return request.Write(w)
}

// encode returns the bytes of a request whose body is buffered.
func (r *Request) encode(ctx context.Context) ([]byte, error) {
	request := r.toHTTP(ctx)
	if len(r.Body) > 0 {
		request.ContentLength = int64(len(r.Body))
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	var data bytes.Buffer
	if err := request.Write(&data); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}

// toHTTP returns the request without its body, with the time that is left until the deadline of ctx.
func (r *Request) toHTTP(ctx context.Context) *http.Request {
	request := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: http.Header{}}
	CopyEndToEndHeaders(request.Header, r.Header)
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft := max(0, time.Until(deadline).Milliseconds())
		request.Header.Set(TimeLeftHeader, strconv.FormatInt(timeLeft, 10))
	}
	return request
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1). Expect is among them since the sidecar answers it
// itself.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// CopyEndToEndHeaders copies the headers that are forwarded.
func CopyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
}
