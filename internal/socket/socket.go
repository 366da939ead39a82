// Package socket reads the state of a socket from the operating system, and has a deadline that interrupts reads and writes.
package socket

import (
	"net"
	"syscall"
)

// IsQuiet reports whether a connection is open and has no data to read. It does not block, and it takes no lock that is held by
// a goroutine reading the connection. It returns false if conn is not a socket.
func IsQuiet(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(fd uintptr) { // raw.Read would wait for a goroutine that reads the connection
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = err == syscall.EAGAIN
	})
	return err == nil && isQuiet
}
