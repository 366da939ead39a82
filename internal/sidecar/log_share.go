package sidecar

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Shares of the log, in lines about requests.
const (
	// connLogRate and connLogBurst limit the lines of each connection.
	connLogRate  = 20 // lines per second
	connLogBurst = 20
	// newConnsLogRate and newConnsLogBurst limit those of all connections together that are younger than newConnAge, once for the
	// connections that have sent a valid request and once for the others.
	newConnsLogRate  = 500 // lines per second
	newConnsLogBurst = 1000
	newConnAge       = time.Second
)

// logShares decides which lines about clients' requests are logged. Every connection has its share, and new connections have one together, so
// that a client that causes a line with each request leaves room in the log for others, whether it uses one connection or many. Its
// methods may be called from any goroutine.
type logShares struct {
	provenConns   *rate.Limiter // new connections with a valid request
	unprovenConns *rate.Limiter // the other new connections
	suppressed    atomic.Int64  // lines since the start
}

func newLogShares() *logShares {
	return &logShares{provenConns: rate.NewLimiter(newConnsLogRate, newConnsLogBurst),
		unprovenConns: rate.NewLimiter(newConnsLogRate, newConnsLogBurst)}
}

// connLogShare is the part of the log that one connection may take.
type connLogShare struct {
	shares    *logShares
	limiter   *rate.Limiter
	createdAt time.Time
	isProven  atomic.Bool // a valid request was read on the connection
}

// newConn returns the share of a new connection.
func (s *logShares) newConn() *connLogShare {
	return &connLogShare{shares: s, limiter: rate.NewLimiter(connLogRate, connLogBurst), createdAt: time.Now()}
}

// allow reports whether a line about a request of the connection is logged, and counts it if it is not.
func (c *connLogShare) allow() bool {
	now := time.Now()
	isAllowed := c.limiter.AllowN(now, 1) && c.isCommonShareLeft(now)
	if !isAllowed {
		c.shares.suppressed.Add(1)
	}
	return isAllowed
}

// isCommonShareLeft takes a line from the share of the new connections of its kind, and reports whether one was left. Other connections
// need none.
func (c *connLogShare) isCommonShareLeft(now time.Time) bool {
	switch {
	case now.Sub(c.createdAt) >= newConnAge:
		return true
	case c.isProven.Load():
		return c.shares.provenConns.AllowN(now, 1)
	default:
		return c.shares.unprovenConns.AllowN(now, 1)
	}
}
