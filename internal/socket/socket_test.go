package socket

import (
	"net"
	"testing"
	"time"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// A connection is quiet until its other end sends something or closes it, and not once it is closed itself.
func TestIsQuiet(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(near, far net.Conn)
		want   bool
	}{
		{"open", func(near, far net.Conn) {}, true},
		{"data waits", func(near, far net.Conn) { far.Write([]byte("x")) }, false},
		{"closed by the other end", func(near, far net.Conn) { far.Close() }, false},
		{"reset by the other end", func(near, far net.Conn) { far.(*net.TCPConn).SetLinger(0); far.Close() }, false},
		{"closed", func(near, far net.Conn) { near.Close() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := connect(t)
			c.change(near, far)
			deadline := time.Now().Add(10 * time.Second)
			for IsQuiet(near) != c.want {
				if time.Now().After(deadline) {
					t.Fatalf("quiet %t, want %t", !c.want, c.want)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	if near, _ := net.Pipe(); IsQuiet(near) {
		t.Error("what is no socket is quiet")
	}
}
