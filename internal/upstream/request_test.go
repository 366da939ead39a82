package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/endpointtest"
)

// fakeUpload is an Upload that reads from a Reader. After the Reader's end it ends the body or fails with a client's error.
type fakeUpload struct {
	io.Reader
	length     int64
	isConsumed bool
	failure    *ClientError     // returned at the end of Reader; nil to end the body
	err        *ClientError     // returned by ClientError
	deadline   func() time.Time // nil for one that is far away
}

func (u *fakeUpload) Read(p []byte) (int, error) {
	n, err := u.Reader.Read(p)
	u.isConsumed = u.isConsumed || n > 0
	if err == io.EOF && u.failure != nil {
		u.err = u.failure
		return n, u.err
	}
	return n, err
}

func (u *fakeUpload) Deadline() time.Time {
	if u.deadline == nil {
		return time.Now().Add(endpointtest.Timeout)
	}
	return u.deadline()
}

func (u *fakeUpload) ContentLength() int64      { return u.length }
func (u *fakeUpload) IsConsumed() bool          { return u.isConsumed }
func (u *fakeUpload) ClientError() *ClientError { return u.err }

// An endpoint receives the buffered start of a body and its upload as one body. If the client breaks off the upload, this
// counts against no endpoint. A request whose upload was read cannot be sent again.
func TestUploadFollowsTheBufferedBody(t *testing.T) {
	errBrokenOff := errors.New("the client broke off the upload")
	for _, c := range []struct {
		name     string
		length   int64
		failure  *ClientError
		want     balancer.Status
		wantCode int
	}{
		{"with a length", 10, nil, balancer.OK, 0},
		{"in chunks", -1, nil, balancer.OK, 0},
		{"broken off with a length", 12, &ClientError{http.StatusRequestTimeout, errBrokenOff}, balancer.Cancelled, http.StatusRequestTimeout},
		{"broken off in chunks", -1, &ClientError{http.StatusBadRequest, errBrokenOff}, balancer.Cancelled, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := endpointtest.NewServer(t, endpointtest.Always(endpointtest.OKResponse))
			request := get("/")
			request.Method, request.Body = http.MethodPost, []byte("start")
			request.Upload = &fakeUpload{Reader: strings.NewReader(" rest"), length: c.length, failure: c.failure}
			if request.IsBodyConsumed() {
				t.Error("the body counts as consumed before the attempt")
			}
			ctx := context.Background()
			result := newTestClient(t, 1).Attempt(ctx, &Target{Address: server.Address}, request, forwardTo(ctx, nil))
			if result.Status != c.want || result.ClientErrorCode != c.wantCode {
				t.Errorf("status %v, code %d, error %v; want %v, %d", result.Status, result.ClientErrorCode, result.Err, c.want, c.wantCode)
			}
			if !request.IsBodyConsumed() {
				t.Error("the body does not count as consumed after the attempt")
			}
			requests, _ := server.Counts()
			if c.failure != nil {
				if requests != 0 || !errors.Is(result.Err, errBrokenOff) {
					t.Errorf("the endpoint received %d requests, error %v; want none, %v", requests, result.Err, errBrokenOff)
				}
				return
			}
			if body, _ := io.ReadAll(server.Request(0).Body); string(body) != "start rest" {
				t.Errorf("the endpoint received %q", body)
			}
		})
	}
}

// If the dial fails before the upload is read, another attempt may send the request.
func TestUploadIsNotConsumedByAFailedDial(t *testing.T) {
	request := get("/")
	request.Method, request.Upload = http.MethodPost, &fakeUpload{Reader: strings.NewReader("rest"), length: 4}
	ctx := context.Background()
	target := &Target{Address: endpointtest.ClosedAddress(t)}
	result := newTestClient(t, 1).Attempt(ctx, target, request, forwardTo(ctx, nil))
	if result.Status != balancer.ConnectFailed || request.IsBodyConsumed() {
		t.Errorf("status %v, consumed %t; want ConnectFailed, not consumed", result.Status, request.IsBodyConsumed())
	}
}
