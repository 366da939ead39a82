package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"bramblestand/internal/config"
)

// preferSocket directs all new connections, or datagrams, to the later of two sockets that share an address. Otherwise a
// connection could reach the earlier socket between its last accept and its close, and be lost.
func preferSocket(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	// A classic BPF program that returns the index of a socket. Sockets have indices in the order in which they started to listen.
	// If no socket has the index, as after the earlier one is closed, the system selects a socket itself.
	const laterSocket = 1
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: laterSocket}}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, optionErr)
}

// listen opens the address for clients. If an admin address is configured, a second process may share the clients' address for a
// handover.
func listen(cfg *config.Config) (net.Listener, error) {
	var socket net.ListenConfig
	if cfg.AdminAddress != "" {
		socket.Control = reusePort
		socket.SetMultipathTCP(false) // listeners use multipath TCP by default, for which preferSocket does not work
	}
	return socket.Listen(context.Background(), "tcp", cfg.ListenAddress)
}

// reusePort is a net.ListenConfig.Control hook. It sets SO_REUSEPORT, so that a second process of this sidecar can share the
// socket's address.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, optionErr)
}
