package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Network carries a hollow sidecar's requests to endpoints.
type Network interface {
	// Dial opens a connection to an endpoint, or fails as a dial does.
	Dial(ctx context.Context, address string) (SimulatedConnection, error)
}

// SimulatedConnection takes one request at a time.
type SimulatedConnection interface {
	// Do sends a request (a probe is one without id) and gives the answer. An error is as a broken connection's;
	// where ctx ends first it is ctx's.
	Do(ctx context.Context, path, id string) (code int, header http.Header, body []byte, err error)
	IsOpen() bool // nothing has closed it
	Close()       // called once
}

// simulatedConn is a SimulatedConnection in the place of a socket; what only sockets have must not be called.
type simulatedConn struct {
	net.Conn
	SimulatedConnection
}

// Close ends the connection.
func (c simulatedConn) Close() error { c.SimulatedConnection.Close(); return nil }

func (u *Client) dialSimulated(ctx context.Context, t *Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, u.Dialer.Timeout)
	defer cancel()
	c, err := u.Network.Dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	return simulatedConn{SimulatedConnection: c}, nil
}

// exchangeSimulated is exchange where no byte is written: the same checks before a send, and the same end of the connection.
func (u *Client) exchangeSimulated(ctx context.Context, c *connection, m *Request, p *Forwarding) (response *http.Response, body []byte, err error) {
	keep := false
	defer func() {
		if err != nil && isPastDeadline(ctx) {
			err = fmt.Errorf("%w: %w", errDeadlineExceeded, err)
		}
		u.release(c, keep)
	}()
	if err := u.checkMayStart(ctx, c, p); err != nil {
		return nil, nil, err
	}
	code, header, body, err := c.Conn.(simulatedConn).Do(ctx, m.URL.Path, m.Header.Get("X-Correlation-Id"))
	if err != nil {
		return nil, nil, err
	}
	keep = true
	return &http.Response{StatusCode: code, Header: header}, body, nil
}
