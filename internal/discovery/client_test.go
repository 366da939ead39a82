package discovery

import (
	"context"
	"net"
	"testing"

	"bramblestand/internal/controltraffic"
)

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
	if conn, bare := dial(nil).(*net.TCPConn); !bare {
		t.Errorf("uncounted: a %T, want the system's connection itself", conn)
	}
	var traffic controltraffic.Counter
	if conn, counted := dial(&traffic).(controltraffic.Conn); !counted || traffic.Traffic().Opened != 1 {
		t.Errorf("counted: a %T, %+v, want one connection opened", conn, traffic.Traffic())
	}
}
