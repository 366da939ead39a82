package upstream

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bramblestand/internal/socket"
)

// Limits of an exchange.
const (
	MaxBufferedBody  = 64 << 10         // bytes of a request's or a response's body
	MaxHeaderBytes   = 32 << 10         // of a response's header
	maxEndpointStall = 10 * time.Second // a single wait for an endpoint during a body that is forwarded
)

// socketTransport makes exchanges over sockets.
type socketTransport struct{ client *Client }

func (t socketTransport) dial(ctx context.Context, target *Target) (*connection, error) {
	raw, err := t.client.Dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, err
	}
	return newConnection(raw, target), nil
}

// exchange implements transport. The returned body is nil if the response was streamed.
func (t socketTransport) exchange(ctx context.Context, conn *connection, request *Request, forwarding *Forwarding) (response *http.Response, body []byte, err error) {
	e := &exchange{conn: conn, request: request, forwarding: forwarding, cancel: func() {}}
	e.watch(ctx)
	isReusable := false
	defer func() {
		err = markDeadline(e.ctx, err)
		isWatchEnded := e.stopWatch() // before cancel, which would end the watched context
		e.cancel()
		t.client.release(conn, isWatchEnded && isReusable)
	}()
	if err := t.client.checkMayStart(ctx, conn.target, forwarding); err != nil {
		return nil, nil, err
	}
	if err := e.writeRequest(); err != nil {
		return nil, nil, err
	}
	response, body, err = e.readResponse()
	if err != nil {
		return nil, nil, err
	}
	// After a change of protocols the connection speaks no HTTP any more.
	isReusable = !response.Close && conn.reader.Buffered() == 0 && response.StatusCode != http.StatusSwitchingProtocols
	return response, body, nil
}

// checkMayStart is called in the moment before the first byte is written. It returns a *notSentError if nothing may be sent to
// the target any more.
func (c *Client) checkMayStart(ctx context.Context, target *Target, forwarding *Forwarding) error {
	// The target may have been retired while the connection was dialed.
	if c.IsRetired(target) {
		return &notSentError{ErrTargetRetired}
	}
	// The deadline may have passed, or the client have disconnected: what wakes a write then comes a little later.
	if forwarding != nil && !forwarding.MayStart() || ctx.Err() != nil {
		return &notSentError{ErrRequestOver}
	}
	return nil
}

// markDeadline wraps an error with errDeadlineExceeded if the deadline of ctx has passed by the clock. The balancer's own timer
// for that instant may already have cancelled the attempt, but a cancellation in place of a timeout would hide the endpoint's
// silence from the balancer.
func markDeadline(ctx context.Context, err error) error {
	deadline, ok := ctx.Deadline()
	if err == nil || !ok || time.Now().Before(deadline) {
		return err
	}
	return fmt.Errorf("%w: %w", errDeadlineExceeded, err)
}

// exchange is one request and its response on a connection. One goroutine uses it.
type exchange struct {
	conn       *connection
	request    *Request
	forwarding *Forwarding // nil if there is nothing to forward

	ctx       context.Context    // ends what is read and written now
	stopWatch func() bool        // ends watch; false if ctx has ended before
	cancel    context.CancelFunc // releases a context that the exchange made
	readLimit int64              // of the connection, at the response's start
}

// watch has ctx end what is read and written from now on.
func (e *exchange) watch(ctx context.Context) {
	e.ctx = ctx
	e.stopWatch = context.AfterFunc(ctx, func() { e.conn.SetDeadline(socket.LongAgo) })
}

// writeRequest writes the request to its last byte.
func (e *exchange) writeRequest() error {
	if e.request.Upload == nil {
		return e.writeBuffered()
	}
	return e.writeUpload()
}

// writeBuffered writes a request whose body is buffered.
func (e *exchange) writeBuffered() error {
	data, err := e.request.encode(e.ctx)
	if err != nil {
		return &notSentError{err}
	}
	n, err := e.conn.Write(data)
	e.request.traffic.AddSent(n, n == len(data))
	if n < len(data) {
		return &notSentError{err}
	}
	return nil
}

// writeUpload writes a request whose body is still coming from the client. The request's deadline counts from the last byte.
func (e *exchange) writeUpload() error {
	streamCtx := e.forwarding.StreamContext
	err := e.request.writeUpload(streamCtx, stallLimitedWriter{e.conn, streamCtx})
	if clientErr := e.request.Upload.ClientError(); clientErr != nil {
		return clientErr
	}
	if err != nil {
		return &notSentError{err}
	}
	deadline := e.forwarding.BodySent()
	if !e.stopWatch() {
		return e.ctx.Err()
	}
	ctx, cancel := context.WithDeadline(streamCtx, deadline)
	e.cancel = cancel
	e.conn.setDeadline(ctx, time.Time{})
	e.watch(ctx)
	return nil
}

// readResponse reads a response and, unless it is streamed, its body.
func (e *exchange) readResponse() (response *http.Response, body []byte, err error) {
	e.limitRead(MaxHeaderBytes + MaxBufferedBody)
	defer func() {
		bytesRead := e.readLimit - e.conn.limitedReader.N
		e.request.traffic.AddReceived(int(bytesRead), err == nil)
		if err != nil {
			err = fmt.Errorf("after %d bytes of a response: %w", bytesRead, err)
		}
	}()
	if response, err = e.readHeader(); err != nil {
		return nil, nil, err
	}
	if e.forwarding != nil && response.StatusCode == http.StatusOK {
		body, err = e.readOrStream(response)
	} else {
		body, err = readBuffered(response)
	}
	if err != nil {
		return nil, nil, err
	}
	return response, body, nil
}

// limitRead sets how many bytes may be read from here on.
func (e *exchange) limitRead(limit int64) {
	e.conn.limitedReader.N, e.readLimit = limit, limit
}

// readHeader reads the header of the final response, and skips interim responses before it.
func (e *exchange) readHeader() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}
