package sidecar

import (
	"net"
	"net/http"
	"sync"
)

// clients keeps the connections that clients hold, by state.
type clients struct {
	mu       sync.Mutex
	conns    map[net.Conn]http.ConnState
	accepted int // since the start
}

// note is the HTTP server's hook for a connection's change of state.
func (c *clients) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = state
		c.accepted++
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	default:
		c.conns[conn] = state
	}
}

// open counts the connections.
func (c *clients) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// total counts the connections accepted since the start.
func (c *clients) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// states counts the connections that have sent nothing yet, those with a
// request in hand and those between requests.
func (c *clients) states() (fresh, active, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.conns {
		switch state {
		case http.StateNew:
			fresh++
		case http.StateActive:
			active++
		case http.StateIdle:
			idle++
		}
	}
	return fresh, active, idle
}
