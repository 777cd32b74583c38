package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Ports that Free gives out: below those that systems give to outgoing connections, one of which could take an address
// before who asked for it listens there.
const (
	firstPort  = 10000
	portCount  = 22000
	portsTried = 100
)

// errNoPort: all ports that were tried are in use or claimed.
var errNoPort = errors.New("no free port on loopback")

// Free returns an address on loopback that nobody listens at, and that no other process of these tests is given as long
// as this one lives: between Free and the moment in which a started process listens, another could take it.
func Free() (string, error) {
	for range portsTried {
		port := firstPort + rand.IntN(portCount)
		claimed, err := claimPort(port)
		if err != nil {
			return "", err
		}
		if !claimed {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer listener.Close()
		return listener.Addr().String(), nil
	}
	return "", errNoPort
}

// claimPort locks a file that stands for a port until this process ends. It tells false where it is locked already.
func claimPort(port int) (bool, error) {
	folder := filepath.Join(os.TempDir(), "ferryfront-ports")
	if err := os.MkdirAll(folder, 0o777); err != nil {
		return false, fmt.Errorf("claim a port: %w", err)
	}
	path := filepath.Join(folder, fmt.Sprint(port))
	fd, err := unix.Open(path, unix.O_RDWR|unix.O_CREAT|unix.O_CLOEXEC, 0o666)
	if err != nil {
		return false, fmt.Errorf("claim port %d: %w", port, err)
	}
	if err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return false, unix.Close(fd)
	}
	return true, nil // the descriptor stays open, and with it the lock
}
