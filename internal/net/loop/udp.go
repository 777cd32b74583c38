package loop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// ListenUDP opens a non-blocking UDP socket bound to addr, of the form ip:port. While the machine is short of a resource
// it retries, and blocks, for up to listenRetryTimeout.
func ListenUDP(addr string) (int, error) {
	return retryListen(func() (int, error) { return listenUDP(addr) })
}

func listenUDP(addr string) (int, error) {
	sockaddr, family, err := parseAddress(addr)
	if err != nil {
		return -1, err
	}
	fd, err := system.socket(family, unix.SOCK_DGRAM)
	if err != nil {
		return -1, fmt.Errorf("listen on UDP address %s: %w", addr, err)
	}
	if err := unix.Bind(fd, sockaddr); err != nil {
		return -1, fmt.Errorf("listen on UDP address %s: %w", addr, errors.Join(err, unix.Close(fd)))
	}
	return fd, nil
}

// ReceiveUDP reads one datagram into b and returns its length; the rest of a longer datagram is lost. It returns
// ErrAgain where none has arrived.
func ReceiveUDP(fd int, b []byte) (int, error) {
	for {
		n, err := system.receiveFrom(fd, b)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// UDPAddress is an address that datagrams are sent to.
type UDPAddress struct{ sockaddr unix.Sockaddr }

// ParseUDPAddress parses an address of the form ip:port. It resolves no names.
func ParseUDPAddress(addr string) (UDPAddress, error) {
	sockaddr, _, err := parseAddress(addr)
	return UDPAddress{sockaddr}, err
}

// SendUDP sends one datagram. Where the socket buffer is full it returns ErrAgain and the datagram is lost, as any
// datagram may be.
func SendUDP(fd int, b []byte, to UDPAddress) error {
	for {
		err := system.sendTo(fd, b, to.sockaddr)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
