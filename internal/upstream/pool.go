package upstream

import (
	"slices"
	"sync"
	"time"
)

// An endpoint closes a connection that has been idle for the keepalive timeout, and a request written to it after that is
// lost. Therefore the pool reuses an idle connection only within keepaliveNumerator/keepaliveDenominator of that timeout.
const (
	keepaliveNumerator   = 3
	keepaliveDenominator = 4
)

// Target is one run of an endpoint, from its start to its next restart, at one address. A restarted endpoint gets a new Target.
type Target struct {
	Address         string // host:port
	StartedAtMillis int64  // Unix time; 0 if unknown

	isRetired bool // guarded by pool.mu
}

// pool limits the number of connections to all endpoints together and keeps the idle ones for reuse. Its methods may be called
// from any goroutine.
type pool struct {
	maxIdleTime time.Duration // an idle connection is not reused after this time

	mu      sync.Mutex                // guards the fields below and Target.isRetired
	open    int                       // number of connections, including those being dialed
	maxOpen int                       // limit of open; connections in use stay open beyond it
	maxIdle int                       // limit of the idle connections among the open ones
	idle    map[*Target][]*connection // the most recently used last
}

func newPool(maxOpen int, keepaliveTimeout time.Duration) pool {
	return pool{
		maxIdleTime: keepaliveTimeout * keepaliveNumerator / keepaliveDenominator,
		maxOpen:     maxOpen,
		maxIdle:     maxOpen,
		idle:        map[*Target][]*connection{},
	}
}

// takeIdle returns an idle connection to the target. If there is none, it returns nil and counts a connection as open, which
// the caller then dials; if the dial fails, the caller calls cancelOpen. It fails with ErrTargetRetired or ErrNoFreeConnection.
func (p *pool) takeIdle(target *Target) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.isRetired {
		return nil, ErrTargetRetired
	}
	for conns := p.idle[target]; len(conns) > 0; conns = p.idle[target] {
		conn := conns[len(conns)-1]
		p.idle[target] = conns[:len(conns)-1]
		if time.Since(conn.idleSince) < p.maxIdleTime && conn.isQuiet() {
			return conn, nil
		}
		p.closeLocked(conn)
	}
	p.closeIdleLocked(p.maxOpen - 1)
	if p.open >= p.maxOpen {
		return nil, ErrNoFreeConnection
	}
	p.open++
	return nil, nil
}

// cancelOpen reverts what takeIdle counted as open, after a failed dial.
func (p *pool) cancelOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// release takes back a connection after an exchange. It keeps a reusable connection for the next request and closes any other.
func (p *pool) release(conn *connection, isReusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isReusable || conn.target.isRetired {
		p.closeLocked(conn)
		return
	}
	conn.idleSince = time.Now()
	p.idle[conn.target] = append(p.idle[conn.target], conn)
	if p.idleCountLocked() > p.maxIdle {
		p.closeIdleLocked(p.open - 1)
	}
}

// SetLimits sets how many connections may be open, and how many of those may be idle. It closes idle connections beyond the
// limits.
func (p *pool) SetLimits(maxOpen, maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen, p.maxIdle = maxOpen, maxIdle
	inUse := p.open - p.idleCountLocked()
	p.closeIdleLocked(min(maxOpen, inUse+maxIdle))
}

// ConnectionCounts returns how many connections are open, and how many of them are idle.
func (p *pool) ConnectionCounts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.idleCountLocked()
}

// Retire ends the use of a target that is draining, removed, banned or restarted. It closes the target's idle connections; no
// request is started on its other connections.
func (p *pool) Retire(target *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target.isRetired = true
	for _, conn := range p.idle[target] {
		p.closeLocked(conn)
	}
	delete(p.idle, target)
}

// IsRetired reports whether Retire was called for the target.
func (p *pool) IsRetired(target *Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return target.isRetired
}

// CloseExpired closes connections that have been idle for maxIdleTime. The event loop calls it once a second.
func (p *pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, conns := range p.idle {
		expired := 0 // the connections idle the longest come first
		for expired < len(conns) && time.Since(conns[expired].idleSince) >= p.maxIdleTime {
			p.closeLocked(conns[expired])
			expired++
		}
		p.idle[target] = slices.Delete(conns, 0, expired)
	}
}

// closeIdleLocked closes idle connections until no more than maxOpen are open, or none is idle. The caller holds p.mu.
func (p *pool) closeIdleLocked(maxOpen int) {
	for target, conns := range p.idle {
		for p.open > maxOpen && len(conns) > 0 {
			p.closeLocked(conns[0])
			conns = conns[1:]
		}
		p.idle[target] = conns
	}
}

// idleCountLocked counts the idle connections. The caller holds p.mu.
func (p *pool) idleCountLocked() (count int) {
	for _, conns := range p.idle {
		count += len(conns)
	}
	return count
}

// closeLocked closes a connection. The caller holds p.mu.
func (p *pool) closeLocked(conn *connection) {
	conn.Close()
	p.open--
}
