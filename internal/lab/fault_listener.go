package lab

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// FaultListener wraps a listener and applies the network's faults to the
// connections that it accepts. A cut link blocks the bytes of old and new
// connections until it is restored. If the cut is a partition of a machine,
// connections that existed during it are reset at its end.
type FaultListener struct {
	net.Listener
	net     *Network
	self    endpoint
	subnet  subnet
	traffic connTraffic

	mu          sync.Mutex
	resetFaults int // active faults that reset connections
	closed      bool
	conns       map[*faultConn]struct{}
}

// Listen opens a listener for endpoint self on a free port. It accepts connections on all loopback addresses, and from
// loopback addresses only.
func (n *Network) Listen(self endpoint, sub subnet) (*FaultListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // errors are ignored, since Accept also checks each peer's address
			syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
		})
	}}
	inner, err := config.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	f := &FaultListener{Listener: inner, net: n, self: self, subnet: sub, conns: map[*faultConn]struct{}{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, f)
	return f, nil
}

// AddressFor returns the listener's address on a loopback IP address, as host:port.
func (f *FaultListener) AddressFor(ip string) string {
	_, port, _ := net.SplitHostPort(f.Addr().String())
	return net.JoinHostPort(ip, port)
}

// updatePartitions marks the connections that are in a partition, and resets those whose partition has ended. It must be called
// after every change of the network's rules and of the connections.
func (f *FaultListener) updatePartitions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_, in, _ := f.net.streamState(c.peer, f.self)
		_, out, _ := f.net.streamState(f.self, c.peer)
		if in || out {
			c.wasPartitioned = true
		} else if c.wasPartitioned {
			f.resetConn(c)
		}
	}
}

// resetConn resets a connection and removes it from the listener's. The caller holds f.mu.
func (f *FaultListener) resetConn(c *faultConn) {
	delete(f.conns, c)
	c.closeOnce.Do(func() { close(c.closed) })
	reset(c.Conn)
}

// Accept returns the next connection. While a reset fault is active it resets new connections and waits for later ones.
func (f *FaultListener) Accept() (net.Conn, error) {
	for {
		inner, err := f.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if ip := inner.RemoteAddr().(*net.TCPAddr).IP; !ip.IsLoopback() {
			inner.Close()
			continue
		}
		c := &faultConn{Conn: inner, listener: f, closed: make(chan struct{}), peer: f.subnet.sidecar(inner.LocalAddr().(*net.TCPAddr).IP)}
		f.mu.Lock()
		if f.resetFaults > 0 || f.closed {
			f.mu.Unlock()
			reset(inner)
			continue
		}
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		f.traffic.conns.Add(1)
		f.updatePartitions()
		return c, nil
	}
}

// Close stops the listener and every connection it accepted.
func (f *FaultListener) Close() error {
	err := f.Listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.conns {
		f.resetConn(c)
	}
	return err
}

// Reset begins or ends a fault that resets every connection that is open at its begin or made before its end.
func (f *FaultListener) Reset(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !on {
		f.resetFaults--
		return
	}
	f.resetFaults++
	for c := range f.conns {
		f.resetConn(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// faultConn is one accepted connection, subject to the faults of the links in both directions.
type faultConn struct {
	net.Conn
	listener       *FaultListener
	peer           endpoint
	wasPartitioned bool          // whether a partition has affected it; guarded by the listener's mu
	closeOnce      sync.Once     // guards closing closed
	closed         chan struct{} // closed with the connection
	receivedAt     atomic.Int64  // when the last bytes reached the machine, before any delay: Unix nanoseconds
}

// awaitLink waits until the link from one endpoint to the other is not cut, then for the link's delay. It returns
// net.ErrClosed if the connection is closed meanwhile.
func (c *faultConn) awaitLink(from, to endpoint) error {
	for {
		changed := c.listener.net.changed()
		cut, _, delay := c.listener.net.streamState(from, to)
		if cut {
			select {
			case <-changed:
				continue
			case <-c.closed:
				return net.ErrClosed
			}
		}
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-c.closed:
				return net.ErrClosed
			}
		}
		return nil
	}
}

// Read returns received bytes once the link to the server is not cut, and after its delay.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.traffic.in.Add(int64(n))
		c.receivedAt.Store(time.Now().UnixNano())
		if err := c.awaitLink(c.peer, c.listener.self); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write sends bytes once the link from the server is not cut, and after its delay.
func (c *faultConn) Write(b []byte) (int, error) {
	if err := c.awaitLink(c.listener.self, c.peer); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.listener.traffic.out.Add(int64(n))
	return n, err
}

// Close closes the connection and unblocks its Read and Write.
func (c *faultConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
