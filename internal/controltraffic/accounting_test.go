package controltraffic

import (
	"bramblestand/internal/fleet"
	"bramblestand/internal/fleet/link"
	"context"
	"io"
	"log/slog"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

// Datagrams are counted by channel: the module's messages as news, all of the view as view.
func TestControlCountsDatagrams(t *testing.T) {
	counts := map[link.Channel]link.Count{
		link.News:       {SentDatagrams: 2, SentBytes: 100, ReceivedDatagrams: 5, ReceivedBytes: 300},
		link.Packets:    {SentDatagrams: 1, SentBytes: 10},
		link.ToListener: {SentDatagrams: 1, SentBytes: 20, ReceivedDatagrams: 1, ReceivedBytes: 7},
		link.ToDialer:   {ReceivedDatagrams: 2, ReceivedBytes: 50},
	}
	news, view := datagramTraffic(counts, link.News), datagramTraffic(counts, link.Packets, link.ToListener, link.ToDialer)
	if want := (Traffic{Sent: Totals{2, 100, 2, 156}, Received: Totals{5, 300, 5, 440}}); news != want {
		t.Errorf("news %+v, want %+v", news, want)
	}
	if want := (Traffic{Sent: Totals{2, 30, 2, 86}, Received: Totals{3, 57, 3, 141}}); view != want {
		t.Errorf("view %+v, want %+v", view, want)
	}
	// And they are the link's own counts, over a socket.
	address := netip.MustParseAddrPort("127.0.0.1:0")
	ctx, end := context.WithCancel(context.Background())
	defer end()
	f, err := fleet.Open(ctx, fleet.Options{Listen: address, All: netip.MustParseAddrPort("127.0.0.1:9"), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	f.Tell([]byte{byte(link.News), 1, 2, 3})
	c := Accounting{Started: time.Now()}
	if got := c.Status(f).Kinds["news"].Sent; got != (Totals{1, 4, 1, 32}) {
		t.Errorf("after one message of 4 bytes: %+v", got)
	}
}

// What is reckoned of the counts follows the formula of ControlCount.
func TestControlWireBytes(t *testing.T) {
	var f Counter
	f.AddSent(100, true)
	f.AddReceived(3000, true)
	f.AddDial(nil)
	f.AddDial(io.EOF)
	got := f.Traffic()
	want := Traffic{Opened: 1, Failed: 1,
		Sent:     Totals{1, 100, 1 + 1 + 4 + 1, 100 + 52*7},
		Received: Totals{1, 3000, 1 + 2 + 1 + 3 + 1, 3000 + 52*8}}
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if d := got.Sub(want); d != (Traffic{}) || !reflect.DeepEqual(got.Sub(Traffic{}), got) {
		t.Errorf("less itself: %+v", d)
	}
}
