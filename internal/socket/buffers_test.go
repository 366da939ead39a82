package socket

import (
	"syscall"
	"testing"
	"time"
)

// The greatest size of a send buffer is read from the system's text, and has a default.
func TestMaxSendBuffer(t *testing.T) {
	for text, want := range map[string]int64{
		"4096\t16384\t6291456\n": 6 << 20,
		"4096 16384":             defaultMaxSendBuffer,
		"4096 16384 x":           defaultMaxSendBuffer,
		"4096 16384 0":           defaultMaxSendBuffer,
		"":                       defaultMaxSendBuffer,
	} {
		if got := parseMaxSendBuffer(text); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	}
	if MaxSendBuffer() <= maxSegment {
		t.Errorf("this machine: %d", MaxSendBuffer())
	}
}

// The bytes that wait to be read are counted.
func TestUnreadBytes(t *testing.T) {
	local, remote := connect(t)
	raw, err := local.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	remote.Write([]byte("12345"))
	var n int64
	var ok bool
	for deadline := time.Now().Add(10 * time.Second); n < 5 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) { n, ok = UnreadBytes(fd) })
	}
	if n != 5 || !ok {
		t.Errorf("%d bytes, %t; want 5", n, ok)
	}
	if _, ok := UnreadBytes(^uintptr(0)); ok {
		t.Error("the count of no socket is known")
	}
}
