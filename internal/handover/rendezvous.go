package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// A new process that wasn't started by the running one connects to it at a socket in a directory that only these
// processes share. Each end checks the other: the path must be a socket and not a symbolic link to one, and both ends ask
// the kernel for the user of the process at the other end, which must be their own.

// ErrNoPredecessor is returned by ConnectPredecessor if no process listens for a successor.
var ErrNoPredecessor = errors.New("no process listens for a successor")

// socketPath returns the path of an ingress's socket and the address to bind or connect to. The address of a path that is
// too long goes through /proc and a descriptor of the directory, which free closes.
func socketPath(dir, name string) (path, address string, free func(), err error) {
	path = filepath.Join(dir, ".ferryfront-"+strconv.Quote(name)[1:])
	path = path[:len(path)-1]
	if len(path) < maxPathBytes {
		return path, path, func() {}, nil
	}
	fd, err := unix.Open(dir, unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return "", "", nil, fmt.Errorf("handover: %w", err)
	}
	return path, fmt.Sprintf("/proc/self/fd/%d/%s", fd, filepath.Base(path)), func() { _ = unix.Close(fd) }, nil
}

// maxPathBytes bounds a path that is used as an address. An address holds 108 bytes; the rest is for the suffix of a new
// socket's temporary name.
const maxPathBytes = 80

// ConnectPredecessor connects to the running process of the named ingress and returns the socket's descriptor. It returns
// ErrNoPredecessor if none listens, and another error if the socket or its process belongs to another user.
func ConnectPredecessor(dir, name string) (int, error) {
	path, address, free, err := socketPath(dir, name)
	if err != nil {
		return -1, err
	}
	defer free()
	var st unix.Stat_t
	if err := unix.Lstat(path, &st); err != nil {
		return -1, ErrNoPredecessor
	}
	if st.Mode&unix.S_IFMT != unix.S_IFSOCK || int(st.Uid) != os.Getuid() {
		return -1, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("handover: %w", err)
	}
	if err = unix.Connect(fd, &unix.SockaddrUnix{Name: address}); err == nil {
		err = checkSameUser(fd)
	} else if errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ENOENT) { // the process that opened it has ended
		err = ErrNoPredecessor
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// ListenForSuccessor listens at the named ingress's socket and returns its descriptor. The socket atomically replaces one
// that another process may have there.
func ListenForSuccessor(dir, name string) (int, error) {
	_, address, free, err := socketPath(dir, name)
	if err != nil {
		return -1, err
	}
	defer free()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("handover: %w", err)
	}
	temporary := address + "." + strconv.Itoa(os.Getpid())
	_ = unix.Unlink(temporary) // an earlier process with the same id may have left it
	err = unix.Bind(fd, &unix.SockaddrUnix{Name: temporary})
	if err == nil {
		err = errors.Join(unix.Chmod(temporary, 0o600), unix.Listen(fd, 4))
		if err == nil {
			err = unix.Rename(temporary, address)
		}
		if err != nil {
			_ = unix.Unlink(temporary)
		}
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("handover: %w", err)
	}
	return fd, nil
}

// AcceptSuccessor accepts a connection at a socket that ListenForSuccessor opened and returns its descriptor. It returns
// an error if there is no connection or its process belongs to another user.
func AcceptSuccessor(fd int) (int, error) {
	c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return -1, err
	}
	if err := checkSameUser(c); err != nil {
		_ = unix.Close(c)
		return -1, err
	}
	return c, nil
}

// checkSameUser returns an error unless the process at the other end runs as this process's user.
func checkSameUser(fd int) error {
	cred, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("handover: process %d belongs to another user", cred.Pid)
	}
	return nil
}
