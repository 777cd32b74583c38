package loop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrAgain is returned where a descriptor has nothing to read or no space to write.
var ErrAgain = unix.EAGAIN

// Read reads what is available into b, which must not be empty. It returns io.EOF once the peer has closed its sending
// direction, and ErrAgain where nothing is available yet.
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

// Write writes as much of b as the descriptor takes without blocking and returns how many bytes that were. Fewer than
// len(b) are no error.
func Write(fd int, b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := system.write(fd, b[written:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return written, nil
		case err != nil:
			return written, err
		default:
			written += n
		}
	}
	return written, nil
}

// parseAddress parses an address of the form ip:port and returns it with its address family.
func parseAddress(addr string) (unix.Sockaddr, int, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, fmt.Errorf("address %q: %w", addr, err)
	}
	if ip := addrPort.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(addrPort.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(addrPort.Port()), Addr: addrPort.Addr().As16()}, unix.AF_INET6, nil
}

// Listen opens a non-blocking TCP listener at addr, of the form ip:port. While the machine is short of a resource it
// retries, and blocks, for up to listenRetryTimeout.
func Listen(addr string) (int, error) {
	return retryListen(func() (int, error) { return listen(addr, false) })
}

// ListenReusePort is Listen with SO_REUSEPORT: other processes of the same user may listen at the address, too, if they
// set the same option. Where the system does not support it, the listener is an ordinary one.
func ListenReusePort(addr string) (int, error) {
	return retryListen(func() (int, error) { return listen(addr, true) })
}

func listen(addr string, reusePort bool) (int, error) {
	sockaddr, family, err := parseAddress(addr)
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
			if reusePort { // if the option is refused, Bind fails where the address is taken
				_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
			return unix.Bind(fd, sockaddr)
		},
		func() error { return unix.Listen(fd, 1024) },
	} {
		if err := step(); err != nil {
			return -1, fmt.Errorf("listen on %s: %w", addr, errors.Join(err, unix.Close(fd)))
		}
	}
	return fd, nil
}

// maxAcceptAttempts bounds how many aborted connections and interrupted calls Accept passes over, so that the other
// descriptors of the turn are served.
const maxAcceptAttempts = 16

// Accept accepts one pending connection and returns its non-blocking descriptor. It returns ErrAgain where there is none.
// After any other error it is to be called again after a delay; see [IsOutOfDescriptors].
func Accept(fd int) (c int, err error) {
	for range maxAcceptAttempts {
		c, err = system.accept(fd)
		if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			continue
		}
		if err == nil {
			setNoDelay(c)
		}
		break
	}
	return c, err
}

// setNoDelay turns off Nagle's algorithm: messages are written whole, so waiting for more data would only delay them.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// Dial starts a TCP connection to addr, of the form ip:port, and returns its non-blocking descriptor. The descriptor
// becomes writable once the connection is established or has failed; [DialResult] then tells which. Where the machine
// is short of a resource or the network is unreachable, it tries up to maxDialAttempts times without a delay.
func Dial(addr string) (int, error) {
	sockaddr, family, err := parseAddress(addr)
	if err != nil {
		return -1, err
	}
	return retryDial(func() (int, error) { return dial(addr, family, sockaddr) })
}

func dial(addr string, family int, sockaddr unix.Sockaddr) (int, error) {
	fd, err := system.socket(family, unix.SOCK_STREAM)
	if err != nil {
		return -1, fmt.Errorf("dial %s: %w", addr, err)
	}
	setNoDelay(fd)
	err = system.connect(fd, sockaddr)
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) {
		return -1, fmt.Errorf("dial %s: %w", addr, errors.Join(err, unix.Close(fd)))
	}
	return fd, nil
}

// DialResult returns nil if a connection started by Dial is established, else the error it failed with. It is to be
// called once the descriptor is writable.
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

// LocalAddress returns the ip:port that a socket is bound to. It fails for a socket of another family than IPv4 and
// IPv6.
func LocalAddress(fd int) (string, error) {
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return formatAddress(sockaddr)
}

// RemoteAddress returns the ip:port that a socket is connected to, empty if it is not connected.
func RemoteAddress(fd int) string {
	sockaddr, err := unix.Getpeername(fd)
	if err != nil {
		return ""
	}
	address, _ := formatAddress(sockaddr)
	return address
}

// formatAddress returns the ip:port of a socket address.
func formatAddress(sockaddr unix.Sockaddr) (string, error) {
	switch sockaddr := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sockaddr.Addr), uint16(sockaddr.Port)).String(), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr), uint16(sockaddr.Port)).String(), nil
	}
	return "", errors.New("the socket has no IP address")
}

// IsAtEnd reports whether the peer has closed its sending direction and all that it sent before has been read.
func IsAtEnd(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n == 0
}

// UnreadBytes returns how many received bytes of a socket are unread. ok is false if the system does not tell.
func UnreadBytes(fd int) (n int, ok bool) {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	return n, err == nil
}

// Duplicate returns a new descriptor of the same socket, closed on exec.
func Duplicate(fd int) (int, error) { return unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) }

// CloseFD closes a descriptor that no Source watches.
func CloseFD(fd int) { _ = unix.Close(fd) }

// CloseWrite closes the sending direction of a connection. The peer reads an end of file; what it sends can still be
// read.
func CloseWrite(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) }
