package upstream

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"
)

const (
	maxEndpointStall = 10 * time.Second // a single wait for an endpoint during a body
	MaxBufferedBody  = 64 << 10         // bytes of a request's or an answer's body
	MaxHeaderBytes   = 32 << 10         // bytes of an answer's head
	loadProbeTimeout = 400 * time.Millisecond
)

// checkMayStart says, in the moment before the first byte, why nothing may be sent on a connection any more; nil where it may.
func (u *Client) checkMayStart(ctx context.Context, c *connection, p *Forwarding) error {
	// The endpoint may have been told draining while the connection was
	// dialled: nothing new may go there.
	if u.IsRetired(c.target) {
		return &notSentError{ErrTargetRetired}
	}
	// So may its time have ended, or its client have left: what wakes a write then comes a little later.
	if p != nil && !p.MayStart() || ctx.Err() != nil {
		return &notSentError{ErrRequestOver}
	}
	return nil
}

// exchange writes one request on a connection and reads the whole answer, or passes it on where it is longer than
// what is kept. It gives the connection back.
func (u *Client) exchange(ctx context.Context, c *connection, m *Request, p *Forwarding) (response *http.Response, body []byte, err error) {
	keep := false
	var stop func() bool
	guard := func(ctx context.Context) { // wakes a read or write when ctx ends
		stop = context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	}
	guard(ctx)
	defer func() {
		if err != nil && isPastDeadline(ctx) {
			err = fmt.Errorf("%w: %w", errDeadlineExceeded, err)
		}
		u.release(c, stop() && keep)
	}()

	if err := u.checkMayStart(ctx, c, p); err != nil {
		return nil, nil, err
	}
	if m.Upload == nil {
		data, err := m.encode(ctx)
		if err != nil {
			return nil, nil, &notSentError{err}
		}
		n, err := c.Write(data)
		m.traffic.AddSent(n, n == len(data))
		if n < len(data) {
			return nil, nil, &notSentError{err}
		}
	} else {
		if err := m.writeStreamed(c, p); err != nil {
			return nil, nil, err
		}
		// Its time begins with its last byte.
		until := p.BodySent()
		if !stop() {
			return nil, nil, ctx.Err()
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(p.StreamContext, until)
		defer cancel()
		c.setDeadline(ctx, time.Time{})
		guard(ctx)
	}
	c.limitedReader.N = MaxHeaderBytes + MaxBufferedBody
	limit := c.limitedReader.N
	defer func() {
		m.traffic.AddReceived(int(limit-c.limitedReader.N), err == nil)
		if err != nil {
			err = fmt.Errorf("after %d bytes of an answer: %w", limit-c.limitedReader.N, err)
		}
	}()
	for { // interim answers come before the one that counts
		if response, err = http.ReadResponse(c.reader, &http.Request{Method: m.Method}); err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	if p == nil || response.StatusCode != http.StatusOK {
		if body, err = io.ReadAll(io.LimitReader(response.Body, MaxBufferedBody+1)); err != nil {
			return nil, nil, err
		}
		if len(body) > MaxBufferedBody {
			return nil, nil, fmt.Errorf("the answer's body is over %d bytes", MaxBufferedBody)
		}
	} else {
		c.limitedReader.N, limit = math.MaxInt64, math.MaxInt64 // what is kept bounds itself, however small its chunks
		lift := func() bool {                                   // the time was for the first bytes
			if !stop() {
				return false
			}
			ctx = p.StreamContext
			guard(ctx)
			c.setDeadline(ctx, time.Now().Add(maxEndpointStall))
			return true
		}
		var s *ResponseStream
		if body, s, err = c.readOrStream(ctx, response, p, lift); s != nil {
			if failed := <-s.clientDone; failed != nil {
				err = failed // the client's failure, or what the client was told of the endpoint's
			}
			body = nil
		}
		if err != nil {
			return nil, nil, err
		}
		c.setDeadline(ctx, time.Time{})
	}
	// After a change of protocols the connection speaks no HTTP any more.
	keep = !response.Close && c.reader.Buffered() == 0 && response.StatusCode != http.StatusSwitchingProtocols
	return response, body, nil
}
