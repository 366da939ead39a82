package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"bramblestand/internal/config"
)

// preferSocket makes all new connections, or datagrams, reach the later of two sockets that share an address, so that no
// connection can reach the earlier one between its last accept and its close.
func preferSocket(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	// A classic BPF program that returns the index of the socket. Sockets are numbered in the order in which they started to
	// listen. If no socket has the index, as after the earlier one is closed, the system chooses one itself.
	const laterSocket = 1
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: laterSocket}}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, optionErr)
}

// listen opens the clients' address. If there is an admin address, a second process may share it for a handover.
func listen(cfg *config.Config) (net.Listener, error) {
	var socket net.ListenConfig
	if cfg.AdminAddress != "" {
		socket.Control = reusePort
		socket.SetMultipathTCP(false) // the default of listeners, for which preferSocket does not work
	}
	return socket.Listen(context.Background(), "tcp", cfg.ListenAddress)
}

// reusePort lets a second process of this sidecar share a socket's address.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, optionErr)
}
