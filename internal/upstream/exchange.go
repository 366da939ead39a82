package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bramblestand/internal/socket"
)

// Limits of an exchange.
const (
	MaxBufferedBody = 64 << 10 // bytes of a request's or a response's body that are buffered
	MaxHeaderBytes  = 32 << 10 // bytes of a response's header
)

// maxTimerDelay is how late a dial's timeout may be noticed by a process that has the processor.
const maxTimerDelay = 50 * time.Millisecond

// socketTransport is a transport over TCP sockets.
type socketTransport struct{ client *Client }

func (t socketTransport) dial(ctx context.Context, target *Target) (*connection, error) {
	start := time.Now()
	raw, err := t.client.Dialer.DialContext(ctx, "tcp", target.Address)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && time.Since(start) > t.client.Dialer.Timeout+maxTimerDelay {
		// The connection may have come up in time without the process having noticed.
		return nil, fmt.Errorf("%w: %w", errHeldUp, err)
	}
	if err != nil {
		return nil, err
	}
	return newConnection(raw, target), nil
}

// exchange implements transport. The returned body is nil if the response was streamed.
func (t socketTransport) exchange(ctx context.Context, conn *connection, request *Request, forwarding *Forwarding) (response *http.Response, body []byte, err error) {
	e := &exchange{conn: conn, request: request, forwarding: forwarding, cancel: func() {}}
	e.watchContext(ctx)
	isReusable := false
	defer func() {
		err = wrapIfDeadlinePassed(e.ctx, err)
		isUninterrupted := e.unwatchContext() // must precede cancel, which ends the watched context
		e.cancel()
		t.client.release(conn, isUninterrupted && isReusable)
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
	// After a change of protocols the connection no longer carries HTTP.
	isReusable = !response.Close && conn.reader.Buffered() == 0 && response.StatusCode != http.StatusSwitchingProtocols
	return response, body, nil
}

// checkMayStart is called right before the first byte is written. It returns a *notSentError if the target is retired, if it is too
// late to send the request, or if the request has ended.
func (c *Client) checkMayStart(ctx context.Context, target *Target, forwarding *Forwarding) error {
	// While the connection was dialed, the target may have been retired, or it may have become too late to send the request.
	if c.IsRetired(target) {
		return &notSentError{ErrTargetRetired}
	}
	if forwarding.isSendTooLate() {
		return &notSentError{ErrSendTooLate}
	}
	// The deadline may have passed or the client may have disconnected just now; a write is interrupted only a little later.
	if forwarding != nil && !forwarding.MayStart() || ctx.Err() != nil {
		return &notSentError{ErrRequestOver}
	}
	return nil
}

// wrapIfDeadlinePassed wraps an error with ErrDeadlineExceeded, once, if the clock is past the deadline of ctx. The balancer has its own
// timer for the same deadline and may have cancelled the attempt first. A status of Cancelled instead of Timeout would hide from
// the balancer that the endpoint did not respond.
func wrapIfDeadlinePassed(ctx context.Context, err error) error {
	deadline, ok := ctx.Deadline()
	if err == nil || !ok || time.Now().Before(deadline) || errors.Is(err, ErrDeadlineExceeded) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrDeadlineExceeded, err)
}

// exchange is one request and its response on a connection. It is used by a single goroutine.
type exchange struct {
	conn       *connection
	request    *Request
	forwarding *Forwarding // nil if there is nothing to forward

	ctx            context.Context    // interrupts the current reads and writes when it ends
	unwatchContext func() bool        // reverts watchContext; returns false if ctx has already ended
	cancel         context.CancelFunc // releases a context that the exchange created
	readLimit      int64              // bytes; set by limitRead
}

// watchContext makes the end of ctx interrupt reads and writes from now on.
func (e *exchange) watchContext(ctx context.Context) {
	e.ctx = ctx
	e.unwatchContext = context.AfterFunc(ctx, func() { e.conn.SetDeadline(socket.LongAgo) })
}

// writeRequest writes the whole request.
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
	sendBefore := e.forwarding.sendBefore()
	if !sendBefore.IsZero() {
		e.conn.setDeadline(e.ctx, sendBefore)
	}
	n, err := e.conn.Write(data)
	e.request.traffic.AddSent(n, n == len(data))
	if n < len(data) {
		return &notSentError{e.forwarding.explainNotSent(err)}
	}
	if !sendBefore.IsZero() {
		e.conn.setDeadline(e.ctx, time.Time{})
	}
	return nil
}

// writeUpload writes a request whose body still arrives from the client. Until the last byte is written, the deadline may move on.
func (e *exchange) writeUpload() error {
	upload, streamCtx := e.request.Upload, e.forwarding.StreamContext
	err := e.request.writeUpload(uploadWriter{e.conn, streamCtx, upload, e.forwarding.SendBefore}, e.forwarding.memory())
	if clientErr := upload.ClientError(); clientErr != nil {
		return clientErr
	}
	if err != nil {
		return &notSentError{e.forwarding.explainNotSent(err)}
	}
	deadline := upload.Deadline()
	e.forwarding.BodySent(deadline)
	if !e.unwatchContext() {
		return e.ctx.Err()
	}
	ctx, cancel := context.WithDeadline(streamCtx, deadline)
	e.cancel = cancel
	e.conn.setDeadline(ctx, time.Time{})
	e.watchContext(ctx)
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
	switch {
	case e.forwarding == nil:
		body, err = readBuffered(response)
	case response.StatusCode == http.StatusOK:
		body, err = e.readOrStream(response)
	default:
		err = discardBody(response)
	}
	if err != nil {
		return nil, nil, err
	}
	return response, body, nil
}

// limitRead sets how many bytes may be read from the connection from now on.
func (e *exchange) limitRead(limit int64) {
	e.conn.limitedReader.N, e.readLimit = limit, limit
}

// readHeader reads the header of the final response and skips interim (1xx) responses, except 101 Switching Protocols.
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
