package upstream

import (
	"context"
	"net"
	"net/http"
)

// Network carries a hollow sidecar's requests to endpoints and replaces sockets and HTTP. Only the lab provides one.
type Network interface {
	// Dial opens a connection to an address, or returns an error as a failed dial does.
	Dial(ctx context.Context, address string) (SimulatedConnection, error)
}

// SimulatedConnection is a connection of a Network. It carries one request at a time.
type SimulatedConnection interface {
	// Do sends a request and returns the response. The id is the request's X-Correlation-Id, empty for a load probe. Do returns
	// the error of a broken connection, or that of ctx if ctx ends first.
	Do(ctx context.Context, path, id string) (statusCode int, header http.Header, body []byte, err error)
	IsOpen() bool // reports whether neither side has closed the connection
	Close()       // called once
}

// simulatedConn wraps a SimulatedConnection as a net.Conn. The other methods of the embedded net.Conn must not be called.
type simulatedConn struct {
	net.Conn
	SimulatedConnection
}

// Close closes the connection.
func (c simulatedConn) Close() error {
	c.SimulatedConnection.Close()
	return nil
}

// simulatedTransport is a transport over a Network.
type simulatedTransport struct{ client *Client }

func (t simulatedTransport) dial(ctx context.Context, target *Target) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, t.client.Dialer.Timeout)
	defer cancel()
	conn, err := t.client.Network.Dial(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: simulatedConn{SimulatedConnection: conn}, target: target}, nil
}

// exchange implements transport. Before a request is sent it makes the same checks as socketTransport.
func (t simulatedTransport) exchange(ctx context.Context, conn *connection, request *Request, forwarding *Forwarding) (response *http.Response, body []byte, err error) {
	defer func() {
		isReusable := err == nil
		err = wrapIfDeadlinePassed(ctx, err)
		t.client.release(conn, isReusable)
	}()
	if err := t.client.checkMayStart(ctx, conn.target, forwarding); err != nil {
		return nil, nil, err
	}
	statusCode, header, body, err := conn.Conn.(simulatedConn).Do(ctx, request.URL.Path, request.Header.Get(RequestIDHeader))
	if err != nil {
		return nil, nil, err
	}
	return &http.Response{StatusCode: statusCode, Header: header}, body, nil
}
