package fleet

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"

	"bramblestand/internal/datagram"
)

// listenUDP returns a socket on a free port. It is closed when the test ends.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Gossip of peers is passed on unchanged. Gossip from other addresses, datagrams over the size limit and datagrams on other
// channels are dropped and counted. With the membership disabled, no other channel has a handler.
func TestGossipIsAcceptedFromPeersAlone(t *testing.T) {
	peer, stranger := listenUDP(t), listenUDP(t)
	free := listenUDP(t)
	own := addressOf(free)
	free.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	received := make(chan []byte, 8)
	f, err := Open(ctx, Options{Listen: own, Peers: []netip.AddrPort{own, addressOf(peer)}, PeerBroadcast: addressOf(peer),
		OnGossip: func(data []byte) { received <- data }, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	send := func(from *net.UDPConn, data []byte) {
		t.Helper()
		if _, err := from.WriteToUDPAddrPort(data, own); err != nil {
			t.Fatal(err)
		}
	}
	send(stranger, []byte("\x01forged"))
	send(peer, bytes.Repeat([]byte{1}, datagram.MaxSize+1))
	send(peer, []byte("\x02packet"))
	send(peer, []byte("\x09later"))
	send(peer, []byte("\x01news")) // the loopback interface keeps the order, so the datagrams before were dropped
	if data := <-received; string(data) != "\x01news" {
		t.Errorf("received %d bytes: %.10q", len(data), data)
	}
	f.SendGossip([]byte("\x01ours"))
	buf := make([]byte, 10)
	if n, from, err := peer.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "\x01ours" || from != own {
		t.Errorf("the peer received %q from %v, %v", buf[:n], from, err)
	}
	if len(received) != 0 {
		t.Errorf("%d more datagrams received", len(received))
	}
	if counts, unknown := f.transport.Counts(); unknown != 3 || counts[datagram.ChannelGossip].Rejected != 1 || counts[datagram.ChannelGossip].SentDatagrams != 1 {
		t.Errorf("counts are %v, %d unknown", counts, unknown)
	}
	if _, isEnabled := f.Status(false); isEnabled || f.Snapshot() != nil {
		t.Error("a disabled membership has a status or a snapshot")
	}
}

// The error for an invalid setting names its key.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	for text, want := range map[string]string{
		`{"on":true,"quiet_s":0}`: "quiet_s",
		`{"probe_ms":1e9}`:        "probe_ms",
		`{"members":1}`:           "members",
		`{"datagrams_per_s":-1}`:  "datagrams_per_s",
		`{"advertise":"host:1"}`:  "advertise",
		`{"advertise":"[::1]:1"}`: "advertise",
		`{"quiet":1}`:             "quiet",
		`{"on":"yes"}`:            "on",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if s, err := ParseSettings(nil); err != nil || s.Enabled || s.StabilizationSeconds != 1 || s.MaxMembers != 1000 {
		t.Errorf("the defaults are %+v, %v", s, err)
	}
}
