package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// systemCalls holds the wall clock and the system calls that may fail temporarily or do less than asked. A
// fault-injecting build replaces them, see injected_faults.go.
type systemCalls struct {
	accept      func(listener int) (int, error)
	socket      func(family, kind int) (int, error)
	connect     func(fd int, to unix.Sockaddr) error
	read        func(fd int, b []byte) (int, error)
	write       func(fd int, b []byte) (int, error)
	sendTo      func(fd int, b []byte, to unix.Sockaddr) error
	receiveFrom func(fd int, b []byte) (int, error)
	wait        func(epoll int, ready []unix.EpollEvent, milliseconds int) (int, error)
	wallClock   func() time.Time
}

// system holds the calls that the package uses. Only a fault-injecting build and tests replace them, before any loop
// runs.
var system = systemCalls{
	accept: func(listener int) (int, error) {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		return fd, err
	},
	socket: func(family, kind int) (int, error) {
		return unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	},
	connect: unix.Connect,
	read:    unix.Read,
	write:   unix.Write,
	sendTo:  func(fd int, b []byte, to unix.Sockaddr) error { return unix.Sendto(fd, b, 0, to) },
	receiveFrom: func(fd int, b []byte) (int, error) {
		n, _, err := unix.Recvfrom(fd, b, 0)
		return n, err
	},
	wait:      unix.EpollWait,
	wallClock: time.Now,
}

// IsOutOfDescriptors reports whether a call failed because this process has no descriptors left, so that closing one of
// its own helps.
func IsOutOfDescriptors(err error) bool { return errors.Is(err, unix.EMFILE) }

// IsOutOfResources reports whether a call failed for a temporary reason on this machine: a lack of resources, or a
// connection that was aborted locally. Such an error says nothing about the peer, and the call is worth repeating.
func IsOutOfResources(err error) bool {
	for _, transient := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL,
		unix.ECONNABORTED, unix.EAGAIN} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// maxDialAttempts bounds how often Dial starts a connection, without a delay, that fails for a local reason.
const maxDialAttempts = 3

// retryDial calls start, which starts a connection, until it succeeds, fails for a reason that a repetition would meet
// again, or maxDialAttempts are used up.
func retryDial(start func() (int, error)) (fd int, err error) {
	for range maxDialAttempts {
		if fd, err = start(); err == nil || !(IsOutOfResources(err) || errors.Is(err, unix.ENETUNREACH)) {
			break
		}
	}
	return fd, err
}

const (
	// listenRetryTimeout bounds how long opening a listener is retried that fails for a temporary reason on this machine.
	listenRetryTimeout = 5 * time.Second
	// listenRetryInterval is the delay between two of these attempts.
	listenRetryInterval = 20 * time.Millisecond
)

// retryListen calls open, which opens a listener, until it succeeds, fails for a lasting reason, or listenRetryTimeout
// is over. It blocks, which does no harm because listeners are opened only while the process starts.
func retryListen(open func() (int, error)) (int, error) {
	startedAt := time.Now()
	for {
		fd, err := open()
		if err == nil || !IsOutOfResources(err) || errors.Is(err, unix.EADDRNOTAVAIL) ||
			time.Since(startedAt) > listenRetryTimeout {
			return fd, err
		}
		time.Sleep(listenRetryInterval)
	}
}
