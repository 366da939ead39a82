// Package socket reads the state of a socket from the operating system, and has a deadline that interrupts reads and writes.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether a connection is open and has no data to read. It does not block, and it takes no lock that is held by
// a goroutine reading the connection. It returns false if conn is not a socket.
func IsQuiet(conn net.Conn) bool {
	return peek(conn) == syscall.EAGAIN
}

// IsPeerClosed reports whether the other end of a connection has closed it, or at least its sending side, whether or not data is left to
// read. It does not block, and takes no lock. It returns false if the system does not tell.
func IsPeerClosed(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 // POLLERR and POLLHUP are reported as well
}

// peek reads a byte that stays unread, without waiting. It fails with EAGAIN if there is none, and not at the end of the input.
func peek(conn net.Conn) error {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) { // raw.Read would wait for a goroutine that reads the connection
		var b [1]byte
		for {
			_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if peekErr != syscall.EINTR {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return peekErr
}

// errNoSocket is the error of a peek at a connection that is not a socket.
var errNoSocket = errors.New("the connection is not a socket")
