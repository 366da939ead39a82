// Package socket asks the operating system about the state of a socket.
package socket

import (
	"net"
	"syscall"
)

// IsQuiet reports whether a connection is open and nothing waits to be read from it. It does not block, and takes no lock
// that a goroutine reading the connection holds. It is false for what is no socket.
func IsQuiet(conn net.Conn) bool {
	own, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := own.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(fd uintptr) { // not Read: it would wait for a goroutine that is reading
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = err == syscall.EAGAIN
	})
	return err == nil && isQuiet
}
