package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// systemCalls are the calls of the operating system that may fail for a moment, or do less than they were asked to, and
// the wall clock. They stand in one place so that a fault-injecting build can put its own there, see injected_faults.go.
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

// system is what the package calls. Only a fault-injecting build and tests replace parts of it, before any loop runs.
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

// IsOutOfDescriptors tells whether an error is for want of descriptors of this process: to close one of its own helps.
func IsOutOfDescriptors(err error) bool { return errors.Is(err, unix.EMFILE) }

// IsOutOfResources tells whether an error is for want of something that the machine may have again in a moment, and that
// tells nothing of the peer: a call that failed so is worth repeating.
func IsOutOfResources(err error) bool {
	for _, transient := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL,
		unix.ECONNABORTED, unix.EAGAIN} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// dialTries is how often a connection is begun that fails for a reason of this machine, in one go.
const dialTries = 3

// retryDial calls a function that begins a connection until it succeeds, or fails for a reason that another call would
// meet, too.
func retryDial(begin func() (int, error)) (fd int, err error) {
	for range dialTries {
		if fd, err = begin(); err == nil || !(IsOutOfResources(err) || errors.Is(err, unix.ENETUNREACH)) {
			break
		}
	}
	return fd, err
}

// listenRetry is for how long a listener is tried to be opened that can't be for a reason of this machine, and how often.
const (
	listenRetry = 5 * time.Second
	listenEvery = 20 * time.Millisecond
)

// retryListen calls a function that opens a listener until it succeeds, fails for a lasting reason, or time is up. It
// blocks, which is harmless where listeners are opened: at a start.
func retryListen(open func() (int, error)) (int, error) {
	began := time.Now()
	for {
		fd, err := open()
		if err == nil || !IsOutOfResources(err) || errors.Is(err, unix.EADDRNOTAVAIL) || time.Since(began) > listenRetry {
			return fd, err
		}
		time.Sleep(listenEvery)
	}
}
