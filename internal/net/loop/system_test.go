package loop

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// withSystem replaces system calls until the test's end.
func withSystem(t *testing.T, change func(s *systemCalls)) {
	was := system
	t.Cleanup(func() { system = was })
	change(&system)
}

// failing returns a call that fails with these errors, one after the other, and then does what is to be done.
func failing[T any](then func() (T, error), errs ...unix.Errno) func() (T, error) {
	return func() (T, error) {
		if len(errs) > 0 {
			err := errs[0]
			errs = errs[1:]
			var none T
			return none, err
		}
		return then()
	}
}

func TestConnectionsBrokenOffBeforeTheyAreAccepted(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer CloseFD(ln)
	addr, err := LocalAddress(ln)
	require.NoError(t, err)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	real := system.accept
	accept := failing(func() (int, error) { return real(ln) }, unix.ECONNABORTED, unix.EINTR, unix.ECONNABORTED)
	withSystem(t, func(s *systemCalls) { s.accept = func(int) (int, error) { return accept() } })
	fd, err := Accept(ln)
	require.NoError(t, err)
	CloseFD(fd)
	calls := 0
	system.accept = func(int) (int, error) { calls++; return -1, unix.ECONNABORTED }
	_, err = Accept(ln)
	require.ErrorIs(t, err, unix.ECONNABORTED, "the other descriptors have their turn")
	require.Equal(t, acceptTries, calls)
}

func TestDialWhereTheMachineIsShort(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer CloseFD(ln)
	addr, err := LocalAddress(ln)
	require.NoError(t, err)
	for _, short := range []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ECONNABORTED, unix.ENOBUFS} {
		t.Run(short.Error(), func(t *testing.T) {
			var to unix.Sockaddr
			var fd int
			real := system.connect
			connect := failing(func() (int, error) { return 0, real(fd, to) }, short, short)
			withSystem(t, func(s *systemCalls) {
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
			system.connect = func(int, unix.Sockaddr) error { calls++; return short }
			_, err = Dial(addr)
			require.ErrorIs(t, err, short)
			require.Equal(t, dialTries, calls)
			require.Equal(t, short != unix.ENETUNREACH, IsOutOfResources(err), "a network that can't be reached may be the peer's")
		})
	}
}

func TestListenWaitsWhereTheMachineIsShort(t *testing.T) {
	real := system.socket
	socket := failing(func() (int, error) { return real(unix.AF_INET, unix.SOCK_STREAM) }, unix.ENFILE, unix.ENOBUFS, unix.EMFILE)
	withSystem(t, func(s *systemCalls) { s.socket = func(int, int) (int, error) { return socket() } })
	fd, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	CloseFD(fd)
	began := time.Now()
	_, err = Listen("192.0.2.1:1")
	require.ErrorIs(t, err, unix.EADDRNOTAVAIL, "an address that is not this machine's does not become so")
	require.Less(t, time.Since(began), listenRetry/2)
}

func TestInterruptedAndPartialTransfers(t *testing.T) {
	ours, theirs := pair(t)
	real := system
	interrupted := 0
	withSystem(t, func(s *systemCalls) {
		s.write = func(fd int, b []byte) (int, error) {
			if interrupted++; interrupted%2 == 1 {
				return -1, unix.EINTR
			}
			return real.write(fd, b[:1])
		}
		s.read = func(fd int, b []byte) (int, error) {
			if interrupted++; interrupted%3 == 0 {
				return -1, unix.EINTR
			}
			return real.read(fd, b[:1])
		}
		s.sendTo = func(fd int, b []byte, to unix.Sockaddr) error {
			if interrupted++; interrupted%2 == 1 {
				return unix.EINTR
			}
			return real.sendTo(fd, b, to)
		}
	})
	n, err := Write(ours, []byte("abc"))
	require.NoError(t, err)
	require.Equal(t, 3, n)
	var got []byte
	for len(got) < 3 {
		b := make([]byte, 3)
		n, err := Read(theirs, b)
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
	interrupted = 0
	require.NoError(t, SendUDP(from, []byte("x"), to))
}

// An interrupted wait is no more than a turn without descriptors.
func TestAnInterruptedWait(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	real := system.wait
	wait := failing(func() (int, error) { return 0, nil }, unix.EINTR, unix.EINTR)
	withSystem(t, func(s *systemCalls) {
		s.wait = func(epoll int, ready []unix.EpollEvent, most int) (int, error) {
			if _, err := wait(); err != nil {
				return -1, err
			}
			return real(epoll, ready, most)
		}
	})
	l.After(5*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(turns(func(time.Duration) time.Duration { return 0 })))
}

// A process that was stopped between two turns takes what it reads to be as old as that may be; one that was idle does
// not, and a step of the wall clock is no time that passed.
func TestATimeInWhichTheProcessStoodStill(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var late []time.Duration
	step := time.Duration(0)
	withSystem(t, func(s *systemCalls) { s.wallClock = func() time.Time { return time.Now().Add(step) } })
	before := l.Now()
	for i := range 4 {
		l.After(time.Duration(i+1)*waitMost/2, func() {
			late = append(late, l.MaxReadDelay())
			switch len(late) {
			case 1:
				step = time.Hour
			case 2:
				step = -time.Hour
				require.False(t, l.HasStalled())
				time.Sleep(2 * stalledAfter) // as if stopped
				require.True(t, l.HasStalled())
			case 4:
				l.Stop()
			}
		})
	}
	require.NoError(t, l.Run(turns(func(time.Duration) time.Duration { return 0 })))
	require.Zero(t, late[0])
	require.Zero(t, late[1])
	require.GreaterOrEqual(t, late[2], 2*stalledAfter, "timers that fell due meanwhile fire in the next turn")
	require.Less(t, l.Now()-before, time.Minute)
	require.InDelta(t, float64(time.Hour), float64(l.ClockOffset()), float64(time.Second), "the loop's clock did not follow")
	l.SetClockOffset(2 * time.Hour)
	l.ClearStop()
	l.After(0, func() { require.Zero(t, l.MaxReadDelay(), "another process's clock was taken on"); l.Stop() })
	require.NoError(t, l.Run(turns(func(time.Duration) time.Duration { return 0 })))
}

// What only makes it possible to write a request comes after all that may forbid it.
func TestTheLastOfATurn(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var order []string
	watch := func(name string) *Source {
		ours, theirs := pair(t)
		_, err := Write(theirs, []byte("x"))
		require.NoError(t, err)
		src, err := l.Watch(ours, In, handler(func(uint32) {
			order = append(order, name)
			_, _ = Read(ours, l.ReadBuffer())
		}))
		require.NoError(t, err)
		return src
	}
	connecting := watch("connecting")
	connecting.ServeLast()
	watch("client")
	watch("list")
	once := func() {
		require.NoError(t, l.Run(turns(func(time.Duration) time.Duration { l.Stop(); return 0 })))
	}
	once()
	require.Equal(t, []string{"client", "list", "connecting"}, order)
}

// A wait is interrupted, as when a process that was stopped goes on: what has come meanwhile is served before timers that
// fell due, in the same turn, and counts as late.
func TestNewsComeBeforeTimersAfterAnInterruptedWait(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	ours, theirs := pair(t)
	var order []string
	_, err = l.Watch(ours, In, handler(func(uint32) {
		order = append(order, "news")
		require.Positive(t, l.MaxReadDelay())
		_, _ = Read(ours, l.ReadBuffer())
	}))
	require.NoError(t, err)
	l.After(2*stalledAfter, func() { order = append(order, "timer"); l.Stop() })
	real, stopped := system.wait, false
	withSystem(t, func(s *systemCalls) {
		s.wait = func(epoll int, ready []unix.EpollEvent, most int) (int, error) {
			if stopped {
				return real(epoll, ready, most)
			}
			stopped = true
			time.Sleep(3 * stalledAfter)
			_, err := Write(theirs, []byte("x"))
			require.NoError(t, err)
			return -1, unix.EINTR
		}
	})
	require.NoError(t, l.Run(turns(func(time.Duration) time.Duration { return 0 })))
	require.Equal(t, []string{"news", "timer"}, order)
}
