package standin

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// reservation keeps an address on loopback from others while nobody listens there: connections to it are refused, and
// Free does not give it out.
type reservation struct{ fd int }

// reserve takes an address that a process has listened at, or is to.
func reserve(addr string) (*reservation, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	r := &reservation{fd}
	// Connections that linger at the address must not keep it from us, but nobody else may share it.
	for _, step := range []func() error{
		func() error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) },
		func() error { return unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}) },
		func() error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) },
	} {
		if err := step(); err != nil {
			r.release()
			return nil, fmt.Errorf("reserve %s: %w", addr, err)
		}
	}
	return r, nil
}

// release gives the address up. It is safe on nil.
func (r *reservation) release() {
	if r != nil && r.fd >= 0 {
		_ = unix.Close(r.fd)
		r.fd = -1
	}
}
