package loop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// ListenUDP opens a socket for datagrams at an address. Where the machine is short of something it tries again for
// some seconds.
func ListenUDP(addr string) (int, error) {
	return retryListen(func() (int, error) { return listenDatagrams(addr) })
}

func listenDatagrams(addr string) (int, error) {
	sa, family, err := address(addr)
	if err != nil {
		return -1, err
	}
	fd, err := system.socket(family, unix.SOCK_DGRAM)
	if err != nil {
		return -1, fmt.Errorf("datagrams at %s: %w", addr, err)
	}
	if err := unix.Bind(fd, sa); err != nil {
		return -1, fmt.Errorf("datagrams at %s: %w", addr, errors.Join(err, unix.Close(fd)))
	}
	return fd, nil
}

// ReceiveUDP reads one datagram; ErrAgain when there is none. Of one longer than b the rest is dropped.
func ReceiveUDP(fd int, b []byte) (int, error) {
	for {
		n, err := system.receiveFrom(fd, b)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// UDPAddress is an address that datagrams are sent to.
type UDPAddress struct{ sa unix.Sockaddr }

// ParseUDPAddress reads one, of the form ip:port.
func ParseUDPAddress(addr string) (UDPAddress, error) {
	sa, _, err := address(addr)
	return UDPAddress{sa}, err
}

// SendUDP sends one datagram. One that there is no room for is lost, as any may be.
func SendUDP(fd int, b []byte, to UDPAddress) error {
	for {
		err := system.sendTo(fd, b, to.sa)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
