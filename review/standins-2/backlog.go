//go:build review2

package main

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// listenWithoutBacklog listens at an address with the shortest queue of connections. Nobody accepts them.
func listenWithoutBacklog(a *net.TCPAddr) (*os.File, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "black hole")
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	to := &unix.SockaddrInet4{Port: a.Port}
	copy(to.Addr[:], a.IP.To4())
	if err := unix.Bind(fd, to); err != nil {
		f.Close()
		return nil, err
	}
	if err := unix.Listen(fd, 0); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}
