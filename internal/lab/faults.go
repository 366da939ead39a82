package lab

import (
	"net"
	"sync"
	"time"
)

// bell tells waiters that something changed: heard gives a channel that the
// next ring closes. Its owner's lock guards it.
type bell struct{ ch chan struct{} }

func newBell() bell { return bell{make(chan struct{})} }

func (b *bell) ring() {
	close(b.ch)
	b.ch = make(chan struct{})
}

func (b *bell) heard() <-chan struct{} { return b.ch }

// Faults wraps a listener and makes faults of the network on the
// connections it accepts, in the lab's own process at one descriptor a
// connection: a partition (silent, both ways or one way; new connections
// never come up, and those that lived through it are reset at its end, as a
// machine's return does), a delay of every chunk, and resets.
type Faults struct {
	net.Listener

	mu        sync.Mutex
	blockIn   bool // bytes to the server are held
	blockOut  bool // bytes from the server are held
	delay     time.Duration
	resetting bool
	closed    bool
	conns     map[*faultConn]struct{}
	changes   bell
}

// NewFaults wraps inner; none is on at first.
func NewFaults(inner net.Listener) *Faults {
	return &Faults{Listener: inner, conns: map[*faultConn]struct{}{}, changes: newBell()}
}

// Listen makes a loopback listener on a port of the system's choice, with faults.
func Listen() (*Faults, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return NewFaults(inner), nil
}

// cut resets a connection and forgets it; the lock is held.
func (f *Faults) cut(c *faultConn) {
	c.closed = true
	reset(c.Conn)
	delete(f.conns, c)
}

// wait blocks until open says yes (true) or c or the listener is closed (false).
func (f *Faults) wait(c *faultConn, open func() bool) bool {
	for {
		f.mu.Lock()
		ok, changed, closed := open(), f.changes.heard(), f.closed || c.closed
		f.mu.Unlock()
		if closed {
			return false
		}
		if ok {
			return true
		}
		<-changed
	}
}

// Accept returns the next connection that comes up: while a partition lasts,
// connections are held silent and reset at its end; while resets are on,
// each is reset at once.
func (f *Faults) Accept() (net.Conn, error) {
	for {
		inner, err := f.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &faultConn{Conn: inner, faults: f}
		f.mu.Lock()
		resetting, parted := f.resetting, f.blockIn || f.blockOut
		if !resetting {
			f.conns[c] = struct{}{}
			c.cutOff = parted
		}
		f.mu.Unlock()
		switch {
		case resetting:
			reset(inner)
		case parted:
			go f.wait(c, func() bool { return false }) // held until reset or closed
		default:
			return c, nil
		}
	}
}

// Close stops the listener and every connection it accepted.
func (f *Faults) Close() error {
	err := f.Listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.conns {
		c.Conn.Close()
	}
	f.changes.ring()
	return err
}

// Partition holds bytes to the server (in), from it (out), or both. Heal
// with both false: connections that lived through it are then reset.
func (f *Faults) Partition(in, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blockIn, f.blockOut = in, out
	for c := range f.conns {
		if in || out {
			c.cutOff = true
		} else if c.cutOff {
			f.cut(c)
		}
	}
	f.changes.ring()
}

// Delay makes every chunk wait this long each way (0: none).
func (f *Faults) Delay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
	f.changes.ring()
}

// Reset resets every open connection, and while on, every new one.
func (f *Faults) Reset(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetting = on
	if on {
		for c := range f.conns {
			f.cut(c)
		}
	}
	f.changes.ring()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// faultConn is one accepted connection under its listener's faults.
type faultConn struct {
	net.Conn
	faults *Faults
	cutOff bool // lived through a partition
	closed bool
}

func (c *faultConn) pass(blocked func() bool) error {
	if !c.faults.wait(c, func() bool { return !blocked() }) {
		return net.ErrClosed
	}
	c.faults.mu.Lock()
	delay := c.faults.delay
	c.faults.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return nil
}

// Read passes on what came once the way to the server is open.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if held := c.pass(func() bool { return c.faults.blockIn }); held != nil {
			return 0, held
		}
	}
	return n, err
}

// Write sends once the way from the server is open.
func (c *faultConn) Write(b []byte) (int, error) {
	if err := c.pass(func() bool { return c.faults.blockOut }); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close ends the connection.
func (c *faultConn) Close() error {
	c.faults.mu.Lock()
	c.closed = true
	delete(c.faults.conns, c)
	c.faults.changes.ring()
	c.faults.mu.Unlock()
	return c.Conn.Close()
}
