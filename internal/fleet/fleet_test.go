package sidecar

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
)

func udp(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Peers' datagrams are passed on; those of strangers and those that are too long are not, and the socket ends
// with its owner.
func TestPeers(t *testing.T) {
	friend, stranger := udp(t), udp(t)
	free := udp(t)
	own := addressOf(free)
	free.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	p, err := newPeers(ctx, &Config{peerListen: own, peers: []netip.AddrPort{own, addressOf(friend)},
		peersAll: addressOf(friend)}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	got, ended := make(chan []byte, 8), make(chan struct{})
	go func() {
		p.receive(func(data []byte) { got <- data })
		close(ended)
	}()
	send := func(from *net.UDPConn, data []byte) {
		t.Helper()
		if _, err := from.WriteToUDPAddrPort(data, own); err != nil {
			t.Fatal(err)
		}
	}
	send(stranger, []byte("strange"))
	send(friend, bytes.Repeat([]byte("x"), datagramMost+1))
	send(friend, []byte("news")) // loopback keeps the order
	if data := <-got; string(data) != "news" {
		t.Errorf("%d bytes passed on, %.10q", len(data), data)
	}
	p.tell([]byte("ours"))
	buf := make([]byte, 10)
	if n, from, err := friend.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "ours" || from != own {
		t.Errorf("%q from %v, %v", buf[:n], from, err)
	}
	stop()
	<-ended
	if len(got) != 0 {
		t.Errorf("%d more datagrams passed on", len(got))
	}
}
