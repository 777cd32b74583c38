package loop

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// replaceSystemCalls lets change replace system calls until the end of the test.
func replaceSystemCalls(t *testing.T, change func(s *systemCalls)) {
	original := system
	t.Cleanup(func() { system = original })
	change(&system)
}

// failFirst returns a call that fails with each of errs in turn and calls then afterwards.
func failFirst[T any](then func() (T, error), errs ...unix.Errno) func() (T, error) {
	return func() (T, error) {
		if len(errs) > 0 {
			err := errs[0]
			errs = errs[1:]
			var zero T
			return zero, err
		}
		return then()
	}
}

func TestAcceptPassesOverAbortedConnections(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer CloseFD(ln)
	addr, err := LocalAddress(ln)
	require.NoError(t, err)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	original := system.accept
	accept := failFirst(func() (int, error) { return original(ln) }, unix.ECONNABORTED, unix.EINTR, unix.ECONNABORTED)
	replaceSystemCalls(t, func(s *systemCalls) { s.accept = func(int) (int, error) { return accept() } })
	fd, err := Accept(ln)
	require.NoError(t, err)
	CloseFD(fd)
	calls := 0
	system.accept = func(int) (int, error) { calls++; return -1, unix.ECONNABORTED }
	_, err = Accept(ln)
	require.ErrorIs(t, err, unix.ECONNABORTED, "the other descriptors are to be served")
	require.Equal(t, maxAcceptAttempts, calls)
}

func TestDialRetriesLocalErrors(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer CloseFD(ln)
	addr, err := LocalAddress(ln)
	require.NoError(t, err)
	for _, transient := range []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ECONNABORTED, unix.ENOBUFS} {
		t.Run(transient.Error(), func(t *testing.T) {
			var to unix.Sockaddr
			var fd int
			original := system.connect
			connect := failFirst(func() (int, error) { return 0, original(fd, to) }, transient, transient)
			replaceSystemCalls(t, func(s *systemCalls) {
				s.connect = func(f int, sa unix.Sockaddr) error {
					fd, to = f, sa
					_, err := connect()
					return err
				}
			})
			got, err := Dial(addr)
			require.NoError(t, err)
			CloseFD(got)
			calls := 0
			system.connect = func(int, unix.Sockaddr) error { calls++; return transient }
			_, err = Dial(addr)
			require.ErrorIs(t, err, transient)
			require.Equal(t, maxDialAttempts, calls)
			require.Equal(t, transient != unix.ENETUNREACH, IsOutOfResources(err),
				"an unreachable network may be the fault of the peer")
		})
	}
}

func TestListenRetriesTransientErrors(t *testing.T) {
	original := system.socket
	socket := failFirst(func() (int, error) { return original(unix.AF_INET, unix.SOCK_STREAM) },
		unix.ENFILE, unix.ENOBUFS, unix.EMFILE)
	replaceSystemCalls(t, func(s *systemCalls) { s.socket = func(int, int) (int, error) { return socket() } })
	fd, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	CloseFD(fd)
	startedAt := time.Now()
	_, err = Listen("192.0.2.1:1")
	require.ErrorIs(t, err, unix.EADDRNOTAVAIL, "an address of another machine is a lasting error")
	require.Less(t, time.Since(startedAt), listenRetryTimeout/2)
}

func TestInterruptedAndPartialTransfers(t *testing.T) {
	local, remote := socketPair(t)
	original := system
	calls := 0
	replaceSystemCalls(t, func(s *systemCalls) {
		s.write = func(fd int, b []byte) (int, error) {
			if calls++; calls%2 == 1 {
				return -1, unix.EINTR
			}
			return original.write(fd, b[:1])
		}
		s.read = func(fd int, b []byte) (int, error) {
			if calls++; calls%3 == 0 {
				return -1, unix.EINTR
			}
			return original.read(fd, b[:1])
		}
		s.sendTo = func(fd int, b []byte, to unix.Sockaddr) error {
			if calls++; calls%2 == 1 {
				return unix.EINTR
			}
			return original.sendTo(fd, b, to)
		}
	})
	n, err := Write(local, []byte("abc"))
	require.NoError(t, err)
	require.Equal(t, 3, n)
	var got []byte
	for len(got) < 3 {
		b := make([]byte, 3)
		n, err := Read(remote, b)
		require.NoError(t, err)
		got = append(got, b[:n]...)
	}
	require.Equal(t, "abc", string(got))
	from, err := ListenUDP("127.0.0.1:0")
	require.NoError(t, err)
	defer CloseFD(from)
	addr, err := LocalAddress(from)
	require.NoError(t, err)
	to, err := ParseUDPAddress(addr)
	require.NoError(t, err)
	calls = 0
	require.NoError(t, SendUDP(from, []byte("x"), to))
}

// An interrupted wait must not end Run with an error: the loop polls again, and its timers fire.
func TestInterruptedWait(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	original := system.wait
	wait := failFirst(func() (int, error) { return 0, nil }, unix.EINTR, unix.EINTR)
	replaceSystemCalls(t, func(s *systemCalls) {
		s.wait = func(epoll int, ready []unix.EpollEvent, milliseconds int) (int, error) {
			if _, err := wait(); err != nil {
				return -1, err
			}
			return original(epoll, ready, milliseconds)
		}
	})
	l.After(5*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration { return 0 })))
}

// After a stall of the process, MaxReadDelay covers the time of the stall. Neither an idle time nor a step of the wall
// clock counts as a stall.
func TestStallOfProcess(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var delays []time.Duration
	step := time.Duration(0)
	replaceSystemCalls(t, func(s *systemCalls) { s.wallClock = func() time.Time { return time.Now().Add(step) } })
	before := l.Now()
	for i := range 4 {
		l.After(time.Duration(i+1)*maxWait/2, func() {
			delays = append(delays, l.MaxReadDelay())
			switch len(delays) {
			case 1:
				step = time.Hour
			case 2:
				step = -time.Hour
				require.False(t, l.HasStalled())
				time.Sleep(2 * stallThreshold) // as if the process had been stopped
				require.True(t, l.HasStalled())
			case 4:
				l.Stop()
			}
		})
	}
	require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration { return 0 })))
	require.Zero(t, delays[0])
	require.Zero(t, delays[1])
	require.GreaterOrEqual(t, delays[2], 2*stallThreshold, "timers that became due meanwhile fire in the next turn")
	require.Less(t, l.Now()-before, time.Minute)
	require.InDelta(t, float64(time.Hour), float64(l.ClockOffset()), float64(time.Second),
		"the loop's clock must not follow the wall clock")
	l.SetClockOffset(2 * time.Hour)
	l.ClearStop()
	l.After(0, func() { require.Zero(t, l.MaxReadDelay(), "continuing another process's clock is no stall"); l.Stop() })
	require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration { return 0 })))
}

// A handler set to ServeLast, as that of a connection being established is, runs after all others: what they read may
// forbid the request that it would write.
func TestServeLast(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var order []string
	watch := func(name string) *Source {
		local, remote := socketPair(t)
		_, err := Write(remote, []byte("x"))
		require.NoError(t, err)
		src, err := l.Watch(local, In, handlerFunc(func(uint32) {
			order = append(order, name)
			_, _ = Read(local, l.ReadBuffer())
		}))
		require.NoError(t, err)
		return src
	}
	connecting := watch("connecting")
	connecting.ServeLast()
	watch("client")
	watch("discovery")
	runOneTurn := func() {
		require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration { l.Stop(); return 0 })))
	}
	runOneTurn()
	require.Equal(t, []string{"client", "discovery", "connecting"}, order)
}

// A wait is interrupted when a stopped process is continued. Data that arrived meanwhile is read before timers that
// became due, in the same turn, and counts as delayed.
func TestEventsBeforeTimersAfterInterruptedWait(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	local, remote := socketPair(t)
	var order []string
	_, err = l.Watch(local, In, handlerFunc(func(uint32) {
		order = append(order, "event")
		require.Positive(t, l.MaxReadDelay())
		_, _ = Read(local, l.ReadBuffer())
	}))
	require.NoError(t, err)
	l.After(2*stallThreshold, func() { order = append(order, "timer"); l.Stop() })
	original, hasStopped := system.wait, false
	replaceSystemCalls(t, func(s *systemCalls) {
		s.wait = func(epoll int, ready []unix.EpollEvent, milliseconds int) (int, error) {
			if hasStopped {
				return original(epoll, ready, milliseconds)
			}
			hasStopped = true
			time.Sleep(3 * stallThreshold)
			_, err := Write(remote, []byte("x"))
			require.NoError(t, err)
			return -1, unix.EINTR
		}
	})
	require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration { return 0 })))
	require.Equal(t, []string{"event", "timer"}, order)
}
