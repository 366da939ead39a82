package lab

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Faults wraps a listener and lets the network's faults act on the
// connections it accepts, in the lab's own process at one descriptor a
// connection. A link that is cut holds bytes (new connections come up when it
// is whole); where the cut is a partition of a machine, connections that
// lived through it are reset at its end.
type Faults struct {
	net.Listener
	net     *Network
	self    endpoint
	sub     subnet
	carried carried

	mu        sync.Mutex
	resetting int // faults that reset connections
	closed    bool
	conns     map[*faultConn]struct{}
}

// Listen makes a listener for endpoint self on a port of the system's
// choice, reached by any loopback address and by nothing else.
func (n *Network) Listen(self endpoint, sub subnet) (*Faults, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // best effort: Accept checks each peer as well
			syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
		})
	}}
	inner, err := config.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	f := &Faults{Listener: inner, net: n, self: self, sub: sub, conns: map[*faultConn]struct{}{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, f)
	return f, nil
}

// At is the listener's address as the holder of this loopback address dials it, host:port.
func (f *Faults) At(ip string) string {
	_, port, _ := net.SplitHostPort(f.Addr().String())
	return net.JoinHostPort(ip, port)
}

// recheck marks connections that a partition parts, and resets those whose partition ended.
func (f *Faults) recheck() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_, in, _ := f.net.stream(c.peer, f.self)
		_, out, _ := f.net.stream(f.self, c.peer)
		if in || out {
			c.parted = true
		} else if c.parted {
			f.cut(c)
		}
	}
}

// cut resets a connection and forgets it; the lock is held.
func (f *Faults) cut(c *faultConn) {
	delete(f.conns, c)
	c.end.Do(func() { close(c.done) })
	reset(c.Conn)
}

// Accept returns the next connection that comes up: one whose link is cut
// comes up once it is whole, or is reset at the end of a partition; while
// resets are on, each is reset at once.
func (f *Faults) Accept() (net.Conn, error) {
	for {
		inner, err := f.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if ip := inner.RemoteAddr().(*net.TCPAddr).IP; !ip.IsLoopback() {
			inner.Close()
			continue
		}
		c := &faultConn{Conn: inner, faults: f, done: make(chan struct{}), peer: f.sub.sidecar(inner.LocalAddr().(*net.TCPAddr).IP)}
		f.mu.Lock()
		if f.resetting > 0 || f.closed {
			f.mu.Unlock()
			reset(inner)
			continue
		}
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		f.carried.conns.Add(1)
		f.recheck()
		return c, nil
	}
}

// Close stops the listener and every connection it accepted.
func (f *Faults) Close() error {
	err := f.Listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.conns {
		f.cut(c)
	}
	return err
}

// Reset resets every open connection, and until the matching Reset(false) every new one.
func (f *Faults) Reset(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !on {
		f.resetting--
		return
	}
	f.resetting++
	for c := range f.conns {
		f.cut(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// faultConn is one accepted connection under the faults of its two links.
type faultConn struct {
	net.Conn
	faults *Faults
	peer   endpoint
	parted bool          // lived through a partition; the listener's lock guards it
	end    sync.Once     // of done
	done   chan struct{} // closed with the connection
	got    atomic.Int64  // when the last bytes came to the machine, before any hold: Unix nanoseconds
}

// pass waits until the link from one end to the other is whole, and for its delay.
func (c *faultConn) pass(from, to endpoint) error {
	for {
		changed := c.faults.net.heard()
		cut, _, delay := c.faults.net.stream(from, to)
		if cut {
			select {
			case <-changed:
				continue
			case <-c.done:
				return net.ErrClosed
			}
		}
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-c.done:
				return net.ErrClosed
			}
		}
		return nil
	}
}

// Read passes on what came once the way to the server is open.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.faults.carried.in.Add(int64(n))
		c.got.Store(time.Now().UnixNano())
		if held := c.pass(c.peer, c.faults.self); held != nil {
			return 0, held
		}
	}
	return n, err
}

// Write sends once the way from the server is open.
func (c *faultConn) Write(b []byte) (int, error) {
	if err := c.pass(c.faults.self, c.peer); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.faults.carried.out.Add(int64(n))
	return n, err
}

// Close ends the connection.
func (c *faultConn) Close() error {
	c.faults.mu.Lock()
	delete(c.faults.conns, c)
	c.faults.mu.Unlock()
	c.end.Do(func() { close(c.done) })
	return c.Conn.Close()
}
