package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"peatpost/balancer"
)

const (
	datagramMost = 256                   // bytes; a longer one is never a peer's
	tellTimeout  = 10 * time.Millisecond // a datagram that does not leave at once is as good as lost
	peersPause   = 100 * time.Millisecond
)

// peers exchanges datagrams with the other sidecars of the tier. They may be
// lost, and anyone may send one.
type peers struct {
	conn *net.UDPConn
	all  netip.AddrPort
	from map[netip.AddrPort]bool // where the others send from
	log  *slog.Logger
}

// newPeers opens the socket for peers; its owner is ctx.
func newPeers(ctx context.Context, cfg *Config, log *slog.Logger) (*peers, error) {
	var config net.ListenConfig
	if cfg.Ops != "" {
		config.Control = sharePort
	}
	packets, err := config.ListenPacket(ctx, "udp4", cfg.peerListen.String())
	if err != nil {
		return nil, fmt.Errorf("listen to peers: %w", err)
	}
	conn := packets.(*net.UDPConn)
	p := &peers{conn: conn, all: cfg.peersAll, from: map[netip.AddrPort]bool{}, log: log}
	for _, a := range cfg.peers {
		p.from[a] = a != cfg.peerListen
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	return p, nil
}

// receive passes on what peers send until the socket is closed.
func (p *peers) receive(tell func(data []byte)) {
	buf := make([]byte, datagramMost+1) // a byte more tells that one is too long
	strangers := 0
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			p.log.Warn("peers", "error", err)
			time.Sleep(peersPause) // else a socket in trouble would fill the log
		case n > datagramMost || !p.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]:
			if strangers++; strangers&(strangers-1) == 0 { // the 1st, 2nd, 4th, 8th ...
				p.log.Warn("datagram dropped", "from", from, "bytes", n, "dropped", strangers)
			}
		default:
			tell(append([]byte(nil), buf[:n]...))
		}
	}
}

// tell sends a message to all the others.
func (p *peers) tell(data []byte) {
	p.conn.SetWriteDeadline(time.Now().Add(tellTimeout))
	if _, err := p.conn.WriteToUDPAddrPort(data, p.all); err != nil {
		p.log.Debug("peers", "error", err) // as if lost on the way
	}
}

// listen starts to take what peers tell.
func (l *loop) listen(ctx context.Context) error {
	if !l.cfg.peerListen.IsValid() || !l.cfg.peersAll.IsValid() || !l.cfg.Settings.Limits.Tell {
		return nil
	}
	p, err := newPeers(ctx, l.cfg, l.log)
	if err != nil {
		return err
	}
	l.peers = p
	go p.receive(func(data []byte) {
		l.post(func(now balancer.Micros) { l.balancer.Told(now, data) })
	})
	return nil
}

// Tell sends data to all other sidecars.
func (l *loop) Tell(data []byte) {
	if l.peers != nil {
		l.peers.tell(data)
	}
}
