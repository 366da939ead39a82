package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/endpointtest"
)

// errClientStopped is the error with which the client's side ends a stream in these tests.
var errClientStopped = errors.New("the client stopped reading")

// forwardTo returns a Forwarding whose responses are read by the given function in a separate goroutine.
func forwardTo(ctx context.Context, read func(buffered []byte, stream *ResponseStream) error) *Forwarding {
	return &Forwarding{
		StreamContext: ctx,
		MayStart:      func() bool { return true },
		BodySent:      func(time.Time) {},
		StartResponse: func(_ *http.Response, buffered []byte, stream *ResponseStream) {
			stream.StopWatchingClient = func() bool { return true }
			go func() { stream.End(read(buffered, stream)) }()
		},
	}
}

// writeThenClose returns a handler that reads a request, writes the parts of a response and closes the connection. It pauses
// for twice responseBufferTime between the parts.
func writeThenClose(parts ...string) endpointtest.Handler {
	return func(server *endpointtest.Server, conn net.Conn, in *bufio.Reader) {
		server.ReadRequest(in)
		for i, part := range parts {
			if i > 0 {
				time.Sleep(2 * responseBufferTime)
			}
			io.WriteString(conn, part)
		}
	}
}

// A response is streamed if it is too long to be buffered, or if it has no length and does not end within responseBufferTime. The
// attempt's status then depends on the endpoint and on the client.
func TestStreamedResponseStatus(t *testing.T) {
	long := strings.Repeat("x", MaxBufferedBody+1)
	withLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, c := range []struct {
		name       string
		serve      endpointtest.Handler
		clientErr  error
		wantStream bool
		wantLength int // of the buffered and streamed body in bytes; checked only if want is OK
		want       balancer.Status
	}{
		{"buffered below the limit", writeThenClose(chunked + chunk(long[2:]) + "0\r\n\r\n"), nil, false, len(long) - 2, balancer.OK},
		{"with a length", writeThenClose(withLength + long), nil, true, len(long), balancer.OK},
		{"long in chunks", writeThenClose(chunked + chunk(long) + "0\r\n\r\n"), nil, true, len(long), balancer.OK},
		{"slow in chunks", writeThenClose(chunked+chunk("ab"), chunk("cd"), "0\r\n\r\n"), nil, true, 4, balancer.OK},
		{"slow until the connection ends", writeThenClose("HTTP/1.1 200 OK\r\n\r\nab", "cd"), nil, true, 4, balancer.OK},
		{"broken off with a length", writeThenClose(withLength + long[1:]), nil, true, 0, balancer.Reset},
		{"broken off in chunks", writeThenClose(chunked+chunk("ab"), "4\r\nc"), nil, true, 0, balancer.Reset},
		{"client failed", writeThenClose(withLength + long), &ClientError{Err: errClientStopped}, true, 0, balancer.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, client := endpointtest.NewServer(t, c.serve), newTestClient(t, 1)
			ctx, cancel := context.WithTimeout(context.Background(), endpointtest.Timeout)
			defer cancel()
			length, isStreamed := 0, false
			forwarding := forwardTo(ctx, func(buffered []byte, stream *ResponseStream) error {
				isStreamed = true
				if c.clientErr != nil {
					return c.clientErr
				}
				n, err := io.Copy(io.Discard, stream.Remainder)
				length = len(buffered) + int(n)
				return err
			})
			result := client.Attempt(ctx, &Target{Address: server.Address}, get("/"), forwarding)
			if result.Status != c.want || isStreamed != c.wantStream {
				t.Errorf("status %v, streamed %t, error %v; want %v, %t", result.Status, isStreamed, result.Err, c.want, c.wantStream)
			}
			if got := length + len(result.Body); c.want == balancer.OK && got != c.wantLength {
				t.Errorf("%d bytes of a body, want %d", got, c.wantLength)
			}
			if c.clientErr != nil && !errors.Is(result.Err, errClientStopped) {
				t.Errorf("error %v does not wrap the client's", result.Err)
			}
		})
	}
}

// A response that is too long to be buffered is an error if the attempt has no Forwarding.
func TestLongResponseWithoutForwardingIsAnError(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", MaxBufferedBody+1)
	server := endpointtest.NewServer(t, endpointtest.Always(response))
	result := newTestClient(t, 1).Attempt(context.Background(), &Target{Address: server.Address}, get("/"), nil)
	if result.Status != balancer.Reset || !errors.Is(result.Err, errBodyTooLong) {
		t.Errorf("status %v, error %v; want Reset, %v", result.Status, result.Err, errBodyTooLong)
	}
}
