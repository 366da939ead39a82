package upstream

import (
	"context"
	"net"
	"net/http"
)

// Network carries a hollow sidecar's requests to endpoints, in place of sockets and HTTP. Only the lab has one.
type Network interface {
	// Dial opens a connection to an address, or fails as a dial does.
	Dial(ctx context.Context, address string) (SimulatedConnection, error)
}

// SimulatedConnection takes one request at a time.
type SimulatedConnection interface {
	// Do sends a request and returns the response. The id is empty for a load probe. It fails as a broken connection does, or
	// with ctx's error if ctx ends first.
	Do(ctx context.Context, path, id string) (statusCode int, header http.Header, body []byte, err error)
	IsOpen() bool // neither side has closed it
	Close()       // called once
}

// simulatedConn stands for a socket. The methods of the embedded net.Conn must not be called.
type simulatedConn struct {
	net.Conn
	SimulatedConnection
}

// Close closes the connection.
func (c simulatedConn) Close() error {
	c.SimulatedConnection.Close()
	return nil
}

// simulatedTransport makes exchanges over a Network.
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

// exchange implements transport. It makes the same checks before a request is sent as with a socket.
func (t simulatedTransport) exchange(ctx context.Context, conn *connection, request *Request, forwarding *Forwarding) (response *http.Response, body []byte, err error) {
	defer func() {
		isReusable := err == nil
		err = markDeadline(ctx, err)
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
