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

// News of peers is passed on as it came; that of strangers, what is too long and what is of no channel is not, and
// with the view off no other channel is there.
func TestNews(t *testing.T) {
	friend, stranger := udp(t), udp(t)
	free := udp(t)
	own := addressOf(free)
	free.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	got := make(chan []byte, 8)
	f, err := Open(ctx, Options{Listen: own, Peers: []netip.AddrPort{own, addressOf(friend)}, PeerBroadcast: addressOf(friend),
		OnGossip: func(data []byte) { got <- data }, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	send := func(from *net.UDPConn, data []byte) {
		t.Helper()
		if _, err := from.WriteToUDPAddrPort(data, own); err != nil {
			t.Fatal(err)
		}
	}
	send(stranger, []byte("\x01strange"))
	send(friend, bytes.Repeat([]byte{1}, datagram.MaxSize+1))
	send(friend, []byte("\x02view"))
	send(friend, []byte("\x09later"))
	send(friend, []byte("\x01news")) // loopback keeps the order
	if data := <-got; string(data) != "\x01news" {
		t.Errorf("%d bytes passed on, %.10q", len(data), data)
	}
	f.SendGossip([]byte("\x01ours"))
	buf := make([]byte, 10)
	if n, from, err := friend.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "\x01ours" || from != own {
		t.Errorf("%q from %v, %v", buf[:n], from, err)
	}
	if len(got) != 0 {
		t.Errorf("%d more datagrams passed on", len(got))
	}
	if counts, unknown := f.transport.Counts(); unknown != 3 || counts[datagram.ChannelGossip].Rejected != 1 || counts[datagram.ChannelGossip].SentDatagrams != 1 {
		t.Errorf("counts %v, %d unknown", counts, unknown)
	}
	if _, on := f.Status(false); on || f.Snapshot() != nil {
		t.Error("a view that is off tells something")
	}
}

// Errors of the table name the key.
func TestSettings(t *testing.T) {
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
		t.Errorf("defaults %+v, %v", s, err)
	}
}
