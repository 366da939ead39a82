package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// restLeast is how long a connection must have stood between requests before
// the sidecar may close it for want of room.
const restLeast = 2 * time.Second

// freshLeast is how long a new connection is left to send its first byte before it counts as at rest.
const freshLeast = 500 * time.Millisecond

// clients keeps the connections that clients hold, and bounds their number.
type clients struct {
	most int

	mu       sync.Mutex
	rest     time.Duration // restLeast, but for tests
	conns    map[net.Conn]*client
	accepted int // since the start
}

// clientListener wraps what it accepts, so that a connection tells more of what was read from it.
type clientListener struct{ net.Listener }

// Accept waits for the next client.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Accepting was to end, and nobody waits: one who comes between this and the close is turned back.
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, framing: newFraming()}, nil
}

type clientConn struct {
	net.Conn

	mu      sync.Mutex
	framing framing
	taken   int // requests
}

// Read notes what has come.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.framing.read(p[:n])
		c.mu.Unlock()
	}
	return n, err
}

// coming says whether something of a request has come that was not taken yet. When it came does not tell: a client
// may begin its next request before the server knows that the last one is done.
func (c *clientConn) coming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.begun || c.framing.heads > c.taken
}

// take counts a request and says whether its head contradicted itself on where it ends.
func (c *clientConn) take() (conflict bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken++
	return c.taken == c.framing.conflict
}

// client is one connection from a client.
type client struct {
	state  http.ConnState
	since  time.Time // it has been in that state
	proper bool      // a whole proper request has come on it
}

type clientKey struct{}

func newClients(most int) *clients {
	return &clients{most: most, rest: restLeast, conns: map[net.Conn]*client{}}
}

// bound sets how many connections there may be. Those beyond it are left to end.
func (c *clients) bound(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
}

// full says whether there are more connections than there may be.
func (c *clients) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) > c.most
}

// name is the HTTP server's hook that lets a handler name its connection.
func (c *clients) name(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, conn)
}

// note is the HTTP server's hook for a connection's change of state.
func (c *clients) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.accepted++
		c.conns[conn] = &client{state: state, since: time.Now()}
		if len(c.conns) > c.most {
			c.evict(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	default:
		if k := c.conns[conn]; k != nil { // else it was evicted meanwhile
			k.state, k.since = state, time.Now()
		}
	}
}

// evict closes the connection that can best be spared: the oldest on which no
// proper request has come yet, or else the one at rest for longest, but not the
// newcomer, which is owed an answer. It holds c.mu. Without it, peers that say
// nothing would leave no descriptor to accept a client with.
func (c *clients) evict(newcomer net.Conn) {
	var victim net.Conn
	var least *client
	for conn, k := range c.conns {
		if conn == newcomer || k.proper && (k.state != http.StateIdle || time.Since(k.since) < c.rest) {
			continue
		}
		if least == nil || !k.proper && least.proper || k.proper == least.proper && k.since.Before(least.since) {
			victim, least = conn, k
		}
	}
	if victim != nil {
		victim.Close()
		delete(c.conns, victim)
	}
}

// closeIdle closes the connections at rest for at least so long, but for those on which a request is coming in:
// the client would have to send it again elsewhere. One on which nothing has come yet gets freshLeast for it.
func (c *clients) closeIdle(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, k := range c.conns {
		switch at := time.Since(k.since); {
		case k.state == http.StateIdle && at >= least:
		case k.state == http.StateNew && at >= max(least, freshLeast):
		default:
			continue
		}
		if own, ok := conn.(*clientConn); ok && (own.coming() || !quiet(own.Conn)) {
			continue
		}
		conn.Close()
		delete(c.conns, conn)
	}
}

// proper marks the connection of a handler's context as one of the application's.
func (c *clients) proper(ctx context.Context) {
	conn, _ := ctx.Value(clientKey{}).(net.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.conns[conn]; k != nil {
		k.proper = true
	}
}

// open counts the connections.
func (c *clients) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// counts tells how many connections were accepted so far, and how many of the
// open ones have sent nothing yet, have a request in hand or are at rest.
func (c *clients) counts() (accepted, fresh, active, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.conns {
		switch k.state {
		case http.StateNew:
			fresh++
		case http.StateActive:
			active++
		case http.StateIdle:
			idle++
		}
	}
	return c.accepted, fresh, active, idle
}
