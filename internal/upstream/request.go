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
	RequestIDHeader   = "X-Correlation-Id" // of a request: its ID, chosen by the client, forwarded and logged
	TimeLeftHeader    = "X-Time-Left-Ms"   // of a request: milliseconds until its deadline, set by each attempt
	loadReportHeader  = "X-Backend-Load"   // of a response: name=value pairs
	unprocessedHeader = "X-Unprocessed"    // of a response: 1 if the request never ran
)

// Request is a request to endpoints. Successive attempts may send it again as long as IsBodyConsumed returns false.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // of the client's request; each attempt sets X-Time-Left-Ms anew
	Body   []byte      // the whole body, or its buffered start if there is an Upload
	Upload Upload      // the rest of the body; nil if there is none

	traffic *controltraffic.Counter // counts a load probe; nil for a client's request
}

// Upload is the part of a request's body that is not buffered and still arrives from the client. The attempt's goroutine reads
// it; there is only one attempt at a time.
type Upload interface {
	io.Reader // if it fails, ClientError returns the same error from then on

	Deadline() time.Time       // of the request; it moves on while the client is known not to have sent the whole body
	ContentLength() int64      // of the whole body in bytes; -1 if unknown
	IsConsumed() bool          // reports whether something was read, so that the request cannot be sent again
	ClientError() *ClientError // the error that ended reading, or nil
}

// IsBodyConsumed reports whether part of the body was read and not kept, so that the request cannot be sent again. It must not
// be called during an attempt.
func (r *Request) IsBodyConsumed() bool { return r.Upload != nil && r.Upload.IsConsumed() }

// startContext returns ctx with the deadline by which an attempt has to begin to write the request. The caller calls cancel at
// the end.
func (r *Request) startContext(ctx context.Context, forwarding *Forwarding) (startCtx context.Context, cancel context.CancelFunc) {
	deadline := forwarding.sendBefore()
	if r.Upload != nil {
		deadline = earliest(r.Upload.Deadline(), deadline)
	}
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// encode returns the HTTP/1.1 bytes of a request whose whole body is buffered.
func (r *Request) encode(ctx context.Context) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	request := r.toHTTP(deadline)
	if len(r.Body) > 0 {
		request.ContentLength = int64(len(r.Body))
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	var data bytes.Buffer
	data.Grow(len(r.Body) + headSize(request))
	if err := request.Write(&data); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}

// headSize returns about how many bytes the encoded head of a request takes, rounded up.
func headSize(request *http.Request) int {
	const requestLine = 256 // the method, Host and the headers that http.Request.Write adds
	size := requestLine + len(request.URL.RequestURI())
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// toHTTP returns the request without its body, with X-Time-Left-Ms set from the deadline unless that is zero.
func (r *Request) toHTTP(deadline time.Time) *http.Request {
	request := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: http.Header{}}
	CopyEndToEndHeaders(request.Header, r.Header)
	if !deadline.IsZero() {
		timeLeft := max(0, time.Until(deadline).Milliseconds())
		request.Header.Set(TimeLeftHeader, strconv.FormatInt(timeLeft, 10))
	}
	return request
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1) and are not forwarded. The list includes Expect because
// the sidecar responds to it itself.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// CopyEndToEndHeaders copies all headers except the hop-by-hop ones.
func CopyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
}
