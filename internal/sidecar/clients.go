package sidecar

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// restLeast is how long a connection must have stood between requests before
// the sidecar may close it for want of room.
const restLeast = 2 * time.Second

// freshLeast is how long a new connection is left to send its first byte before it counts as at rest.
const freshLeast = 500 * time.Millisecond

// clients keeps the connections that clients hold, and bounds their number. It holds mu over no call of a connection,
// which may call back.
type clients struct {
	mu       sync.Mutex
	most     int
	rest     time.Duration // restLeast, but for tests
	conns    map[*clientConn]*client
	accepted int // since the start

	watching sync.Mutex
	watched  map[*clientConn]bool // whose clients' leaving no read would tell
	looking  bool                 // a look at them is due
}

// client is one connection from a client.
type client struct {
	state  http.ConnState
	since  time.Time // it has been in that state
	proper bool      // a whole proper request has come on it
}

type clientKey struct{}

func newClients(most int) *clients {
	return &clients{most: most, rest: restLeast, conns: map[*clientConn]*client{}, watched: map[*clientConn]bool{}}
}

// connOf returns the connection that a request came on.
func connOf(in *http.Request) *clientConn { return in.Context().Value(clientKey{}).(*clientConn) }

// bound sets how many connections there may be. Those beyond it are left to end.
func (c *clients) bound(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
}

// room is how many more connections there may be.
func (c *clients) room() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most - len(c.conns)
}

// full says whether there are more connections than there may be.
func (c *clients) full() bool { return c.room() < 0 }

// name is the HTTP server's hook that lets a handler name its connection.
func (c *clients) name(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, conn)
}

// note is the HTTP server's hook for a connection's change of state.
func (c *clients) note(conn net.Conn, state http.ConnState) {
	own := conn.(*clientConn)
	if state == http.StateNew {
		if c.room() <= 0 {
			c.evict()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.accepted++
		c.conns[own] = &client{state: state, since: time.Now()}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.conns[own]; k != nil { // else it is closed: one that has ended counts until it has sent all off
		k.state, k.since = state, time.Now()
	}
}

// evict closes the connection that can best be spared: the oldest that has ended but for what it may still send, then
// the oldest on which no proper request has come yet, and then the one at rest for longest. Without it, peers that say
// nothing would leave no descriptor to accept a client with. The newcomer is owed an answer, and is not among them yet.
func (c *clients) evict() {
	type candidate struct {
		conn  *clientConn
		rank  int
		since time.Time
	}
	var all []candidate
	c.mu.Lock()
	for conn, k := range c.conns {
		switch {
		case k.state == http.StateClosed:
			all = append(all, candidate{conn, 0, k.since})
		case !k.proper:
			all = append(all, candidate{conn, 1, k.since})
		case k.state == http.StateIdle && time.Since(k.since) >= c.rest:
			all = append(all, candidate{conn, 2, k.since})
		}
	}
	c.mu.Unlock()
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	for _, v := range all {
		if v.conn.evict(v.rank == 2) {
			return
		}
	}
}

// closeIdle closes the connections at rest for at least so long, but for those on which a request is coming in:
// the client would have to send it again elsewhere. One on which nothing has come yet gets freshLeast for it.
func (c *clients) closeIdle(least time.Duration) {
	var all []*clientConn
	c.mu.Lock()
	for conn, k := range c.conns {
		at := time.Since(k.since)
		if k.state == http.StateIdle && at >= least || k.state == http.StateNew && at >= max(least, freshLeast) {
			all = append(all, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range all {
		conn.closeIdle()
	}
}

// closeStalled closes connections on which a head's first bytes came long ago, and no more: net/http would wait for
// the first four without end.
func (c *clients) closeStalled() {
	before := time.Now().Add(-paceSlack)
	var all []*clientConn
	c.mu.Lock()
	for conn, k := range c.conns {
		if k.state == http.StateIdle && k.since.Before(before) {
			all = append(all, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range all {
		conn.closeIf(func() bool { return !conn.begun.IsZero() && conn.begun.Before(before) })
	}
}

// sweep closes, until ctx ends, what has been at rest for too long, or stalls.
func (c *clients) sweep(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.closeIdle(idleTimeout)
			c.closeStalled()
		case <-ctx.Done():
			return
		}
	}
}

// markProper marks a connection as one of the application's. It returns false if it was evicted meanwhile.
func (c *clients) markProper(conn *clientConn) bool {
	if !conn.markProper() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.conns[conn]; k != nil {
		k.proper = true
	}
	return true
}

// remove forgets a connection that is closed.
func (c *clients) remove(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// watch has the system asked again and again whether a connection's client has left, until unwatch.
func (c *clients) watch(conn *clientConn) {
	c.watching.Lock()
	defer c.watching.Unlock()
	c.watched[conn] = true
	if !c.looking {
		c.looking = true
		time.AfterFunc(departureGap, c.look)
	}
}

func (c *clients) unwatch(conn *clientConn) {
	c.watching.Lock()
	defer c.watching.Unlock()
	delete(c.watched, conn)
}

// look asks for all that are watched.
func (c *clients) look() {
	c.watching.Lock()
	defer c.watching.Unlock()
	for conn := range c.watched {
		conn.look() // which takes no lock
	}
	if c.looking = len(c.watched) > 0; c.looking {
		time.AfterFunc(departureGap, c.look)
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
