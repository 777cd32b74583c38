//go:build faultinject

package loop

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// FaultsEnvVar names the environment variable that configures the faults of a build with the tag faultinject. Its value
// is a list of name=value pairs separated by commas:
//
//   - seed: the seed of the random numbers, 1 by default.
//   - accept, shortage, socket, connect, interrupt, short and broken: the probability from 0 to 1 of a fault. accept,
//     socket and connect fail for a reason on this machine; shortage makes accept fail for a lack of resources only;
//     interrupt makes a read, a write or the wait for events fail with EINTR; short makes a read or write transfer only
//     a part; broken makes a read or write fail as on a lost connection.
//   - from, until: when faults are injected, since the start of the process, as Go durations; 0 and one hour by default.
//   - step: how far the wall clock is set forward at the time from, as a Go duration.
//   - sendbuffer: the size of the send buffer of the connections that are dialed, in bytes.
//   - spare: a local port whose connections are not broken. Clients see the loss of their own connections, and no ingress
//     can make up for it.
//
// A malformed value ends the process with exit status 2.
const FaultsEnvVar = "FERRYFRONT_FAULTS"

// injector decides which calls fail. The loop's goroutine calls it, and goroutines that post to the loop.
type injector struct {
	mu            sync.Mutex // guards random
	random        *rand.Rand
	probabilities map[string]float64 // by kind of fault
	startedAt     time.Time
	from, until   time.Duration // since startedAt
	clockStep     time.Duration // added to the wall clock at the time from
	sparedPort    int
	sendBuffer    int // bytes; 0: the system's choice
}

func init() {
	text := os.Getenv(FaultsEnvVar)
	if text == "" {
		return
	}
	f, err := parseFaults(text)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", FaultsEnvVar, err)
		os.Exit(2)
	}
	f.install()
}

// parseFaults parses the value of FaultsEnvVar.
func parseFaults(text string) (*injector, error) {
	f := &injector{probabilities: map[string]float64{}, startedAt: time.Now(), until: time.Hour}
	seed := uint64(1)
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "seed":
			seed, err = strconv.ParseUint(value, 10, 64)
		case "from":
			f.from, err = time.ParseDuration(value)
		case "until":
			f.until, err = time.ParseDuration(value)
		case "step":
			f.clockStep, err = time.ParseDuration(value)
		case "spare":
			f.sparedPort, err = strconv.Atoi(value)
		case "sendbuffer":
			f.sendBuffer, err = strconv.Atoi(value)
		case "accept", "shortage", "socket", "connect", "interrupt", "short", "broken":
			f.probabilities[name], err = strconv.ParseFloat(value, 64)
		default:
			err = fmt.Errorf("unknown fault %q", name)
		}
		if err != nil {
			return nil, err
		}
	}
	f.random = rand.New(rand.NewPCG(seed, seed))
	return f, nil
}

// shouldFail reports whether a call of a kind is to fail now.
func (f *injector) shouldFail(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if since := time.Since(f.startedAt); since < f.from || since > f.until {
		return false
	}
	return f.random.Float64() < f.probabilities[kind]
}

// randomError returns one of the given errors.
func (f *injector) randomError(errs ...unix.Errno) unix.Errno {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errs[f.random.IntN(len(errs))]
}

// randomPrefix returns a beginning of b, at least one byte long.
func (f *injector) randomPrefix(b []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return b[:1+f.random.IntN(len(b))]
}

// install replaces the calls of system with ones that may fail. It must be called before any loop runs.
func (f *injector) install() {
	original := system
	system.accept = func(listener int) (int, error) {
		if f.shouldFail("shortage") {
			return -1, f.randomError(unix.ENFILE, unix.ENOBUFS)
		}
		if f.shouldFail("accept") {
			return -1, f.randomError(unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.EINTR, unix.EMFILE)
		}
		return original.accept(listener)
	}
	system.socket = func(family, kind int) (int, error) {
		if f.shouldFail("socket") {
			return -1, f.randomError(unix.ENFILE, unix.ENOBUFS)
		}
		fd, err := original.socket(family, kind)
		if err == nil && f.sendBuffer > 0 {
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, f.sendBuffer)
		}
		return fd, err
	}
	system.connect = func(fd int, to unix.Sockaddr) error {
		if f.shouldFail("connect") {
			return f.randomError(unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ECONNABORTED)
		}
		return original.connect(fd, to)
	}
	system.read = f.wrapTransfer(original.read)
	system.write = f.wrapTransfer(original.write)
	system.wait = func(epoll int, ready []unix.EpollEvent, milliseconds int) (int, error) {
		if f.shouldFail("interrupt") {
			return -1, unix.EINTR
		}
		return original.wait(epoll, ready, milliseconds)
	}
	system.wallClock = func() time.Time {
		now := original.wallClock()
		if time.Since(f.startedAt) > f.from {
			return now.Add(f.clockStep)
		}
		return now
	}
}

// wrapTransfer returns a read or write that may be interrupted, transfer only a part, or find the connection broken.
func (f *injector) wrapTransfer(original func(int, []byte) (int, error)) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		switch {
		case f.shouldFail("interrupt"):
			return -1, unix.EINTR
		case f.shouldFail("broken") && isConnection(fd) && localPort(fd) != f.sparedPort:
			return -1, f.randomError(unix.ETIMEDOUT, unix.EHOSTUNREACH)
		case len(b) > 1 && f.shouldFail("short") && isConnection(fd):
			return original(fd, f.randomPrefix(b))
		}
		return original(fd, b)
	}
}

// localPort returns the local port of an IPv4 socket, 0 for any other descriptor.
func localPort(fd int) int {
	if sa, err := unix.Getsockname(fd); err == nil {
		if sa, ok := sa.(*unix.SockaddrInet4); ok {
			return sa.Port
		}
	}
	return 0
}

// isConnection reports whether a descriptor is a connected socket, not one of the loop's own descriptors.
func isConnection(fd int) bool {
	_, err := unix.Getpeername(fd)
	return err == nil
}
