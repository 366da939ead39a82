package upstream

import (
	"slices"
	"time"
)

// Target is one life of an endpoint at one address. It is closed for good once
// the endpoint is told draining or gone, or has restarted.
type Target struct {
	Address         string
	StartedAtMillis int64
	retired         bool // under upstream.mu
}

// takeIdle returns an idle connection, or none with the right to open one.
func (u *Client) takeIdle(t *Target) (*connection, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.retired {
		return nil, ErrTargetRetired
	}
	for list := u.idle[t]; len(list) > 0; list = u.idle[t] {
		c := list[len(list)-1]
		u.idle[t] = list[:len(list)-1]
		if time.Since(c.idleSince) < u.maxIdleTime && c.isQuiet() {
			return c, nil
		}
		u.closeLocked(c)
	}
	u.closeIdleUntil(u.maxOpen - 1)
	if u.open >= u.maxOpen {
		return nil, ErrNoFreeConnection
	}
	u.open++
	return nil, nil
}

// closeIdleUntil closes idle connections until so many are open, or none is idle. It holds u.mu.
func (u *Client) closeIdleUntil(most int) {
	for t, list := range u.idle {
		for u.open > most && len(list) > 0 {
			u.closeLocked(list[0])
			list = list[1:]
		}
		u.idle[t] = list
	}
}

// SetLimits sets how many connections there may be, and how many of them idle.
func (u *Client) SetLimits(most, rest int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpen, u.maxIdle = most, rest
	u.closeIdleUntil(min(most, u.open-u.idleCount()+rest))
}

// idleCount counts the idle connections. It holds u.mu.
func (u *Client) idleCount() (n int) {
	for _, list := range u.idle {
		n += len(list)
	}
	return n
}

// ConnectionCounts counts the open connections and the idle ones among them.
func (u *Client) ConnectionCounts() (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open, u.idleCount()
}

// closeLocked closes a connection. It holds u.mu.
func (u *Client) closeLocked(c *connection) {
	c.Close()
	u.open--
}

// release keeps a connection for the next request, or closes it.
func (u *Client) release(c *connection, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || c.target.retired {
		u.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	u.idle[c.target] = append(u.idle[c.target], c)
	if u.idleCount() > u.maxIdle {
		u.closeIdleUntil(u.open - 1)
	}
}

// Retire closes a target for good, and its idle connections. What is out there
// goes on.
func (u *Client) Retire(t *Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t.retired = true
	for _, c := range u.idle[t] {
		u.closeLocked(c)
	}
	delete(u.idle, t)
}

// IsRetired reports whether Retire was called for a target.
func (u *Client) IsRetired(t *Target) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return t.retired
}

// CloseExpired closes connections that have been idle for too long.
func (u *Client) CloseExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for t, list := range u.idle {
		old := 0 // the longest idle come first
		for old < len(list) && time.Since(list[old].idleSince) >= u.maxIdleTime {
			u.closeLocked(list[old])
			old++
		}
		u.idle[t] = slices.Delete(list, 0, old)
	}
}
