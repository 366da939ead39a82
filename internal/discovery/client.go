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
	// CallTimeout bounds a call that does not wait for changes, and connecting: discovery
	// answers calls in turn, and a later one may succeed.
	CallTimeout = 4 * time.Second
	// MaxWait is how long a call may wait for changes. A watch that has fallen silent is only noticed waitGrace after its wait, and
	// what it misses counts as known 6 s after that, whatever it waits for.
	MaxWait = 4 * time.Second

	// By the protocol a sidecar is expected to know a change 2 s after the end of a wait, whether the
	// answer arrived or not: this leaves a second to call again.
	waitGrace = time.Second

	listPath     = "/registry/instances"
	maxListBytes = 8 << 20
)

// ErrOlderVersion is returned for a delta with a lower version than the caller's list: discovery has
// restarted, and the delta does not apply to that list. The caller needs a full list.
var ErrOlderVersion = errors.New("changes of an older version")

// StatusError says that discovery answered with a status other than 200.
type StatusError struct {
	Code   int
	Status string // code and text
}

// Error gives the status.
func (e *StatusError) Error() string { return "discovery answered " + e.Status }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options of a Client. All may be left out.
type Options struct {
	Dial DialFunc // in place of the system's
	// Transport takes the place of connections altogether; calls are then not counted.
	Transport http.RoundTripper
	Traffic   *controltraffic.Counter // counts the calls
}

// Client calls the discovery service at one address. Its methods may be called by several goroutines.
type Client struct {
	address string
	options Options
	http    http.Client
}

// NewClient returns a client of the service at an address host:port. It connects with the first call.
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

// Address returns where the service is.
func (c *Client) Address() string { return c.address }

// Options returns what the client was made with, for a client of another address.
func (c *Client) Options() Options { return c.options }

// CloseIdleConnections closes the connections that no call uses.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// List makes one call. With after, it asks for what is newer than that version, which may be 0, and
// discovery may hold the answer back for up to wait until there is something; without, for the full
// list at once. Its errors are ErrOlderVersion, *StatusError, *MalformedError and those of the connection.
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

// get makes the HTTP call of List and returns the body of the answer.
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

// dial opens a connection, counted where calls are.
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

// dialUncounted opens a connection, or fails after CallTimeout: net/http would let the dial go on after
// its call has failed, and the system would retry for minutes, at growing intervals, while later calls
// queue behind it.
func (c *Client) dialUncounted(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if c.options.Dial != nil {
		return c.options.Dial(ctx, network, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// countWrites has requests counted as they are written, which the transport may repeat on another connection.
func (c *Client) countWrites(ctx context.Context) context.Context {
	if c.options.Traffic == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		c.options.Traffic.AddSent(0, info.Err == nil)
	}})
}
