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

// FaultsEnvVar names the environment variable that tells a fault-injecting build what to fail: pairs "name=value" with
// commas between. seed is of the random numbers; accept, shortage (of
// accept for want of something on the machine), socket, connect, interrupt, short and broken are the parts of the
// calls that fail, from 0 to 1; from and until bound the time in which they do, counted from the start of the process;
// step sets the wall clock by so much at the time from. Connections of the local port spare are not broken: their loss is
// seen by clients, which no ingress can make good.
const FaultsEnvVar = "FERRYFRONT_FAULTS"

// injector decides which calls fail. It is called by the loop's goroutine and by those that post to it.
type injector struct {
	mu          sync.Mutex
	rng         *rand.Rand
	parts       map[string]float64
	began       time.Time
	from, until time.Duration
	step        time.Duration
	spare       int
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

func parseFaults(text string) (*injector, error) {
	f := &injector{parts: map[string]float64{}, began: time.Now(), until: time.Hour}
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
			f.step, err = time.ParseDuration(value)
		case "spare":
			f.spare, err = strconv.Atoi(value)
		case "accept", "shortage", "socket", "connect", "interrupt", "short", "broken":
			f.parts[name], err = strconv.ParseFloat(value, 64)
		default:
			err = fmt.Errorf("no fault %q", name)
		}
		if err != nil {
			return nil, err
		}
	}
	f.rng = rand.New(rand.NewPCG(seed, seed))
	return f, nil
}

// fails tells whether a call of a kind is to fail now.
func (f *injector) fails(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if since := time.Since(f.began); since < f.from || since > f.until {
		return false
	}
	return f.rng.Float64() < f.parts[kind]
}

// one returns one of some errors.
func (f *injector) one(of ...unix.Errno) unix.Errno {
	f.mu.Lock()
	defer f.mu.Unlock()
	return of[f.rng.IntN(len(of))]
}

// some returns the beginning of a buffer, of a byte at least.
func (f *injector) some(b []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return b[:1+f.rng.IntN(len(b))]
}

func (f *injector) install() {
	real := system
	system.accept = func(listener int) (int, error) {
		if f.fails("shortage") {
			return -1, f.one(unix.ENFILE, unix.ENOBUFS)
		}
		if f.fails("accept") {
			return -1, f.one(unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.EINTR, unix.EMFILE)
		}
		return real.accept(listener)
	}
	system.socket = func(family, kind int) (int, error) {
		if f.fails("socket") {
			return -1, f.one(unix.ENFILE, unix.ENOBUFS)
		}
		return real.socket(family, kind)
	}
	system.connect = func(fd int, to unix.Sockaddr) error {
		if f.fails("connect") {
			return f.one(unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ECONNABORTED)
		}
		return real.connect(fd, to)
	}
	system.read = f.transfer(real.read)
	system.write = f.transfer(real.write)
	system.wait = func(epoll int, ready []unix.EpollEvent, milliseconds int) (int, error) {
		if f.fails("interrupt") {
			return -1, unix.EINTR
		}
		return real.wait(epoll, ready, milliseconds)
	}
	system.wallClock = func() time.Time {
		now := real.wallClock()
		if time.Since(f.began) > f.from {
			return now.Add(f.step)
		}
		return now
	}
}

// transfer wraps read or write: it is interrupted, does a part, or finds the connection broken.
func (f *injector) transfer(real func(int, []byte) (int, error)) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		switch {
		case f.fails("interrupt"):
			return -1, unix.EINTR
		case f.fails("broken") && isConnection(fd) && localPort(fd) != f.spare:
			return -1, f.one(unix.ETIMEDOUT, unix.EHOSTUNREACH)
		case len(b) > 1 && f.fails("short") && isConnection(fd):
			return real(fd, f.some(b))
		}
		return real(fd, b)
	}
}

// localPort is that of a socket over IPv4, 0 of any other descriptor.
func localPort(fd int) int {
	if sa, err := unix.Getsockname(fd); err == nil {
		if sa, ok := sa.(*unix.SockaddrInet4); ok {
			return sa.Port
		}
	}
	return 0
}

// isConnection tells a TCP connection from the descriptors of the loop's own.
func isConnection(fd int) bool {
	_, err := unix.Getpeername(fd)
	return err == nil
}
