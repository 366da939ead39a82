package controltraffic

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"bramblestand/internal/datagram"
	"bramblestand/internal/fleet"
)

// The balancer's datagrams count as gossip, all other channels as membership.
func TestDatagramsAreCountedByChannel(t *testing.T) {
	counts := map[datagram.Channel]datagram.ChannelCounts{
		datagram.ChannelGossip:     {SentDatagrams: 2, SentBytes: 100, ReceivedDatagrams: 5, ReceivedBytes: 300},
		datagram.ChannelPackets:    {SentDatagrams: 1, SentBytes: 10},
		datagram.ChannelToListener: {SentDatagrams: 1, SentBytes: 20, ReceivedDatagrams: 1, ReceivedBytes: 7},
		datagram.ChannelToDialer:   {ReceivedDatagrams: 2, ReceivedBytes: 50},
	}
	gossip, membership := datagramTraffic(counts, datagram.ChannelGossip), datagramTraffic(counts, datagram.ChannelPackets, datagram.ChannelToListener, datagram.ChannelToDialer)
	if want := (Traffic{Sent: Totals{2, 100, 2, 156}, Received: Totals{5, 300, 5, 440}}); gossip != want {
		t.Errorf("gossip %+v, want %+v", gossip, want)
	}
	if want := (Traffic{Sent: Totals{2, 30, 2, 86}, Received: Totals{3, 57, 3, 141}}); membership != want {
		t.Errorf("membership %+v, want %+v", membership, want)
	}
	// Status takes the counts of a real datagram transport with a socket.
	address := netip.MustParseAddrPort("127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f, err := fleet.Open(ctx, fleet.Options{Listen: address, PeerBroadcast: netip.MustParseAddrPort("127.0.0.1:9"), Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	f.SendGossip([]byte{byte(datagram.ChannelGossip), 1, 2, 3})
	accounting := Accounting{Started: time.Now()}
	if got := accounting.Status(f.Counts()).Kinds["news"].Sent; got != (Totals{1, 4, 1, 32}) {
		t.Errorf("after one message of 4 bytes: %+v", got)
	}
}

// Packets and bytes on the wire are estimated by the formula in the comment of Totals.
func TestWireBytesFollowTheFormula(t *testing.T) {
	var counter Counter
	counter.AddSent(100, true)
	counter.AddReceived(3000, true)
	counter.AddDial(nil)
	counter.AddDial(io.EOF)
	got := counter.Traffic()
	want := Traffic{Opened: 1, Failed: 1,
		Sent:     Totals{1, 100, 1 + 1 + 4 + 1, 100 + 52*7},
		Received: Totals{1, 3000, 1 + 2 + 1 + 3 + 1, 3000 + 52*8}}
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if d := got.Sub(want); d != (Traffic{}) || !reflect.DeepEqual(got.Sub(Traffic{}), got) {
		t.Errorf("traffic minus itself: %+v, want zero", d)
	}
}
