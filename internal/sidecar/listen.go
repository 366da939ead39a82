package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"bramblestand/internal/config"
)

// preferSocket has all new connections, or datagrams, come to the later of two sockets that share an address, so that no
// connection can come to the earlier one between its last accept and its close.
func preferSocket(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	// A classic BPF program that returns the number of the socket to choose. They are numbered as they began to
	// listen; with a number that none has, as once the earlier is closed, the system chooses for itself.
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, failed)
}

// listen opens the clients' address. Where operators may start a second process, both share it.
func listen(cfg *config.Config) (net.Listener, error) {
	var socket net.ListenConfig
	if cfg.AdminAddress != "" {
		socket.Control = reusePort
		socket.SetMultipathTCP(false) // which is the default of listeners, and cannot be steered
	}
	return socket.Listen(context.Background(), "tcp", cfg.ListenAddress)
}

// reusePort lets a second process of this sidecar use a socket's address, too.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}
