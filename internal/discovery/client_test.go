package discovery

import (
	"context"
	"net"
	"testing"

	"bramblestand/internal/controltraffic"
)

// The client wraps its connections to count their bytes only if it has a traffic counter.
func TestConnectionIsWrappedOnlyWhereCallsAreCounted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	dial := func(traffic *controltraffic.Counter) net.Conn {
		t.Helper()
		client := NewClient(listener.Addr().String(), Options{Traffic: traffic})
		conn, err := client.dial(context.Background(), "tcp", client.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	if conn, isTCP := dial(nil).(*net.TCPConn); !isTCP {
		t.Errorf("without a counter: connection of type %T, want *net.TCPConn", conn)
	}
	var traffic controltraffic.Counter
	if conn, isCounted := dial(&traffic).(controltraffic.Conn); !isCounted || traffic.Traffic().Opened != 1 {
		t.Errorf("with a counter: connection of type %T, traffic %+v; want controltraffic.Conn, one connection opened", conn, traffic.Traffic())
	}
}
