package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"bramblestand/internal/controltraffic"
)

const (
	// CallTimeout limits a call that does not wait for changes, and a dial. Discovery handles calls one after the
	// other, so a later call may succeed.
	CallTimeout = 4 * time.Second
	// MaxWait is how long a call may wait for changes. If discovery stops responding to the watch, the sidecar notices only
	// waitGrace after the end of the wait. It is expected to know the missed changes 6 s after discovery stopped
	// responding, however long its call waits.
	MaxWait = 4 * time.Second

	// waitGrace is how long a response may arrive after the end of the wait. The protocol expects a sidecar to know a
	// change 2 s after the end of a wait, whether the response arrived or not: this leaves one second to call again.
	waitGrace = time.Second

	listPath     = "/registry/instances"
	maxListBytes = 8 << 20 // a longer response is cut off and fails to decode
)

// ErrOlderVersion is returned for a delta with a lower version than the caller's list. Discovery has restarted, so
// the delta does not apply to that list, and the caller must request the full list.
var ErrOlderVersion = errors.New("changes of an older version")

// StatusError means that discovery responded with a status code other than 200.
type StatusError struct {
	Code   int
	Status string // status code and reason phrase
}

// Error returns a text with the status.
func (e *StatusError) Error() string { return "discovery answered " + e.Status }

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Client. All fields are optional.
type Options struct {
	Dial DialFunc // replaces net.Dialer
	// Transport replaces connections altogether; calls are then not counted.
	Transport http.RoundTripper
	Traffic   *controltraffic.Counter // counts calls and connections; nil counts nothing
}

// Client calls the discovery service at one address. Its methods may be called from any goroutine.
type Client struct {
	address string
	options Options
	http    http.Client
}

// NewClient returns a client of the service at an address (host:port). The first call opens a connection.
func NewClient(address string, options Options) *Client {
	c := &Client{address: address, options: options}
	if options.Transport != nil {
		c.http.Transport = options.Transport
		c.options.Traffic = nil
		return c
	}
	c.http.Transport = &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: c.dial}
	return c
}

// Address returns the address of the service.
func (c *Client) Address() string { return c.address }

// Options returns the client's options, for example to create a client of another address.
func (c *Client) Options() Options { return c.options }

// CloseIdleConnections closes the connections that are not in use by a call.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// List makes one call. If after is nil, it requests the full list, and wait has no effect. Otherwise it requests the
// changes since the version *after, which may be 0, and discovery may delay its response by up to wait until there are
// changes. The errors are ErrOlderVersion, *StatusError, *MalformedError and those of the connection.
func (c *Client) List(ctx context.Context, after *uint64, wait time.Duration) (List, error) {
	body, err := c.get(ctx, after, wait)
	if err != nil {
		return List{}, err
	}
	list, err := ParseList(body)
	if err != nil {
		return List{}, fmt.Errorf("discovery's answer: %w", err)
	}
	if after != nil && !list.IsFull && list.Version < *after {
		return List{}, fmt.Errorf("discovery's answer: seq: %w: %d after %d", ErrOlderVersion, list.Version, *after)
	}
	return list, nil
}

// get makes the HTTP call of List and returns the body of the response.
func (c *Client) get(ctx context.Context, after *uint64, wait time.Duration) ([]byte, error) {
	url := "http://" + c.address + listPath
	timeout := CallTimeout
	if after != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", url, *after, wait.Milliseconds())
		if wait > 0 {
			timeout = wait + waitGrace
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(c.countWrites(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	c.options.Traffic.AddReceived(0, true)
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Code: response.StatusCode, Status: response.Status}
	}
	return body, nil
}

// dial opens a connection. It counts the connection and its bytes if the client counts calls.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialUncounted(ctx, network, address)
	if c.options.Traffic == nil {
		return conn, err
	}
	c.options.Traffic.AddDial(err)
	if err != nil {
		return nil, err
	}
	return controltraffic.Conn{Conn: conn, Counter: c.options.Traffic}, nil
}

// dialUncounted opens a connection, or fails after CallTimeout. Without this limit net/http would continue the dial
// after its call has failed, and the operating system would retry for minutes, at growing intervals, while later calls
// wait for that dial.
func (c *Client) dialUncounted(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if c.options.Dial != nil {
		return c.options.Dial(ctx, network, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// countWrites returns a context that counts each request when it is written. The transport may write a request again on
// another connection, which counts again.
func (c *Client) countWrites(ctx context.Context) context.Context {
	if c.options.Traffic == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		c.options.Traffic.AddSent(0, info.Err == nil)
	}})
}
