package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// Where two processes of one ingress meet that somebody else has started: at a socket in a folder that both have and
// nobody else. Neither takes the other at its word: the name must be a socket, not a link to one, and both ends ask
// the kernel whose process is at the other.

// ErrNoPredecessor tells that there is nobody to meet.
var ErrNoPredecessor = errors.New("nobody there")

// socketPath is the path of an ingress's socket. One too long for an address goes by way of the folder's descriptor.
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

// maxPathBytes is well under what an address holds (108), with room for what a new socket's name has more.
const maxPathBytes = 80

// ConnectPredecessor connects to the process that awaits its successor. It returns ErrNobody where none does.
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
		return -1, fmt.Errorf("handover: %s is no socket of ours", path)
	}
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("handover: %w", err)
	}
	if err = unix.Connect(fd, &unix.SockaddrUnix{Name: address}); err == nil {
		err = checkSameUser(fd)
	} else if errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ENOENT) { // it was left by one that has ended
		err = ErrNoPredecessor
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// ListenForSuccessor opens the socket at which a successor is awaited. It takes the name from whoever had it, in one step.
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
	fresh := address + "." + strconv.Itoa(os.Getpid())
	_ = unix.Unlink(fresh) // of an earlier process with our number
	err = unix.Bind(fd, &unix.SockaddrUnix{Name: fresh})
	if err == nil {
		err = errors.Join(unix.Chmod(fresh, 0o600), unix.Listen(fd, 4))
		if err == nil {
			err = unix.Rename(fresh, address)
		}
		if err != nil {
			_ = unix.Unlink(fresh)
		}
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("handover: %w", err)
	}
	return fd, nil
}

// AcceptSuccessor takes who has come, if it is a process of ours.
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

// checkSameUser tells whether the process at the other end has our user.
func checkSameUser(fd int) error {
	cred, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("handover: process %d is another user's", cred.Pid)
	}
	return nil
}
