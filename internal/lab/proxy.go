package lab

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Proxy stands between sidecars and one pin server on loopback and makes
// faults of the network there: a partition (silent, both ways or one way,
// with connections that lived through it reset on its end, as a machine's
// return does), a delay of every chunk, and resets.
type Proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	blockIn   bool // bytes to the server are held
	blockOut  bool // bytes from the server are held
	delay     time.Duration
	resetting bool
	conns     map[*proxied]struct{}
	closed    bool
	gate      chan struct{} // closed and made anew when the state changes
}

type proxied struct {
	client, server net.Conn
	cutOff         bool // lived through a partition
}

// NewProxy listens on a loopback port of the system's choice and forwards to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	p := &Proxy{listener: listener, target: target, conns: map[*proxied]struct{}{}, gate: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address is where sidecars dial, host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and every connection through it.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed()
	for c := range p.conns {
		c.client.Close()
		if c.server != nil {
			c.server.Close()
		}
	}
}

func (p *Proxy) changed() {
	close(p.gate)
	p.gate = make(chan struct{})
}

// Partition holds bytes to the server (in), from it (out), or both. Heal
// with both false: connections that lived through it are then reset.
func (p *Proxy) Partition(in, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockIn, p.blockOut = in, out
	for c := range p.conns {
		if in || out {
			c.cutOff = true
		} else if c.cutOff {
			reset(c.client)
			if c.server != nil {
				reset(c.server)
			}
		}
	}
	p.changed()
}

// Delay makes every chunk wait this long each way (0: none).
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
	p.changed()
}

// Reset resets every open connection, and while on, every new one.
func (p *Proxy) Reset(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetting = on
	for c := range p.conns {
		reset(c.client)
		if c.server != nil {
			reset(c.server)
		}
	}
	p.changed()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	c := &proxied{client: client}
	p.mu.Lock()
	if p.resetting {
		p.mu.Unlock()
		reset(client)
		return
	}
	p.conns[c] = struct{}{}
	c.cutOff = p.blockIn || p.blockOut
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		client.Close()
		if c.server != nil {
			c.server.Close()
		}
	}()
	// A machine cut off lets no new connection come up: wait silently.
	if !p.wait(func() bool { return !p.blockIn && !p.blockOut }) {
		return
	}
	server, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	c.server = server
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.pump(server, client, func() bool { return p.blockIn }); done <- struct{}{} }()
	go func() { p.pump(client, server, func() bool { return p.blockOut }); done <- struct{}{} }()
	<-done
}

// wait blocks until open says yes (true), or the proxy is closed (false).
func (p *Proxy) wait(open func() bool) bool {
	for {
		p.mu.Lock()
		ok, gate := open(), p.gate
		p.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-gate:
		}
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
	}
}

var buffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// pump copies from src to dst through a pooled buffer, holding each chunk
// while blocked says so and for the delay.
func (p *Proxy) pump(dst, src net.Conn, blocked func() bool) {
	buffer := buffers.Get().(*[16 << 10]byte)
	defer buffers.Put(buffer)
	for {
		n, err := src.Read(buffer[:])
		if n > 0 {
			p.wait(func() bool { return !blocked() })
			p.mu.Lock()
			delay := p.delay
			p.mu.Unlock()
			if delay > 0 {
				time.Sleep(delay)
			}
			if _, werr := dst.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := dst.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return
		}
	}
}
