package loop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrAgain tells that a descriptor has nothing to give or no room to take.
var ErrAgain = unix.EAGAIN

// Read reads what is there. A closed peer is io.EOF.
func Read(fd int, b []byte) (int, error) {
	for {
		n, err := system.read(fd, b)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// Write writes what there is room for, which may be less than all, without an error.
func Write(fd int, b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n, err := system.write(fd, b[done:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return done, nil
		case err != nil:
			return done, err
		default:
			done += n
		}
	}
	return done, nil
}

func address(addr string) (unix.Sockaddr, int, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, fmt.Errorf("address %q: %w", addr, err)
	}
	if ip := ap.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}, unix.AF_INET6, nil
}

// Listen opens a listening socket. Where the machine is short of something it tries again for some seconds.
func Listen(addr string) (int, error) {
	return retryListen(func() (int, error) { return listen(addr, false) })
}

// ListenReusePort opens a listening socket at an address where another process of the same user may listen, too, if
// it has opened its socket in this way. Where the system knows of no such thing, it listens alone.
func ListenReusePort(addr string) (int, error) {
	return retryListen(func() (int, error) { return listen(addr, true) })
}

func listen(addr string, beside bool) (int, error) {
	sa, family, err := address(addr)
	if err != nil {
		return -1, err
	}
	fd, err := system.socket(family, unix.SOCK_STREAM)
	if err != nil {
		return -1, fmt.Errorf("listen on %s: %w", addr, err)
	}
	for _, step := range []func() error{
		func() error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) },
		func() error {
			if beside { // what can't be shared shows when it is bound
				_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
			return unix.Bind(fd, sa)
		},
		func() error { return unix.Listen(fd, 1024) },
	} {
		if err := step(); err != nil {
			return -1, fmt.Errorf("listen on %s: %w", addr, errors.Join(err, unix.Close(fd)))
		}
	}
	return fd, nil
}

// acceptTries is how many connections may be found broken off, or calls interrupted, before Accept gives way to the other
// descriptors of the turn.
const acceptTries = 16

// Accept takes one waiting connection; ErrAgain when there is none. Its other errors are such that it should be called
// again after a while, see [IsOutOfDescriptors].
func Accept(fd int) (c int, err error) {
	for range acceptTries {
		c, err = system.accept(fd)
		if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			continue
		}
		if err == nil {
			noDelay(c)
		}
		break
	}
	return c, err
}

// noDelay: answers are written whole, so waiting for more would only hold them up.
func noDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// Dial begins to connect; the descriptor is writable once it is up or has failed. Where the machine is short of something
// it tries a few times at once.
func Dial(addr string) (int, error) {
	sa, family, err := address(addr)
	if err != nil {
		return -1, err
	}
	return retryDial(func() (int, error) { return dial(addr, family, sa) })
}

func dial(addr string, family int, sa unix.Sockaddr) (int, error) {
	fd, err := system.socket(family, unix.SOCK_STREAM)
	if err != nil {
		return -1, fmt.Errorf("dial %s: %w", addr, err)
	}
	noDelay(fd)
	err = system.connect(fd, sa)
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) {
		return -1, fmt.Errorf("dial %s: %w", addr, errors.Join(err, unix.Close(fd)))
	}
	return fd, nil
}

// DialResult tells, once the descriptor is writable, whether it is up.
func DialResult(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// LocalAddress is where a socket is bound.
func LocalAddress(fd int) (string, error) {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)).String(), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)).String(), nil
	}
	return "", errors.New("no address of the internet's")
}

// Duplicate opens a descriptor of the same socket.
func Duplicate(fd int) (int, error) { return unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) }

// CloseFD closes a descriptor that nobody watches.
func CloseFD(fd int) { _ = unix.Close(fd) }

// CloseWrite tells the peer that nothing more comes, and leaves what it sends readable.
func CloseWrite(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) }
