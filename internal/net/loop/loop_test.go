package loop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// turnerFunc is a Turner made of a function.
type turnerFunc func(now time.Duration) time.Duration

func (f turnerFunc) Turn(now time.Duration) time.Duration { return f(now) }

// handlerFunc is a Handler made of a function.
type handlerFunc func(events uint32)

func (f handlerFunc) Ready(events uint32) { f(events) }

// socketPair returns the two ends of a non-blocking stream socket.
func socketPair(t *testing.T) (local, remote int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	return fds[0], fds[1]
}

// Two descriptors are ready in one turn, and the first handler closes the other one. A new descriptor may then get the
// same number at once. The event collected for the closed descriptor must reach neither handler.
func TestEventsOfDescriptorClosedInSameTurn(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var sources [2]*Source
	calls, misdelivered := 0, false
	for i := range sources {
		local, remote := socketPair(t)
		_, err := Write(remote, []byte("x"))
		require.NoError(t, err)
		sources[i], err = l.Watch(local, In, handlerFunc(func(uint32) {
			calls++
			other := sources[1-i]
			number := other.FD()
			other.Close()
			fresh, _ := socketPair(t)
			require.Equal(t, number, fresh, "the kernel assigns the lowest free number")
			_, err := l.Watch(fresh, In, handlerFunc(func(uint32) { misdelivered = true }))
			require.NoError(t, err)
			sources[i].Close()
		}))
		require.NoError(t, err)
	}
	require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration {
		l.Stop()
		return 0
	})))
	require.Equal(t, 1, calls)
	require.False(t, misdelivered)
}

func TestNowIsConstantWithinTurnAndSinceEpoch(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var seen []time.Duration
	stopped := l.After(time.Millisecond, func() { t.Error("a stopped timer fired") })
	stopped.Stop()
	l.After(2*time.Millisecond, func() { seen = append(seen, l.Now()) })
	go l.Post(func() { require.Equal(t, l.Now(), l.Now()) })
	require.NoError(t, l.Run(turnerFunc(func(now time.Duration) time.Duration {
		require.Zero(t, now%time.Microsecond)
		if len(seen) > 0 {
			l.Stop()
		}
		return 0
	})))
	require.WithinDuration(t, time.Now(), time.Unix(0, int64(seen[0])), time.Minute)
}

// Close closes every watched descriptor. A function posted afterwards must not write to the loop's old eventfd: another
// descriptor may have its number by then.
func TestClosedLoopHoldsNoDescriptor(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	local, remote := socketPair(t)
	_, err = l.Watch(local, In, handlerFunc(func(uint32) {}))
	require.NoError(t, err)
	l.Stop()
	require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration { return 0 })))
	l.Close()
	l.Close()
	_, err = Write(remote, []byte("x"))
	require.ErrorIs(t, err, unix.EPIPE)
	var reused []int
	for range 3 { // enough to reuse the numbers of epoll, the eventfd and the watched socket
		fd, other := socketPair(t)
		reused = append(reused, fd, other)
	}
	l.Post(func() { t.Error("called") })
	var b [8]byte
	for _, fd := range reused {
		_, err := Read(fd, b[:])
		require.ErrorIs(t, err, ErrAgain)
	}
}

// The OnTurnStart function runs with the turn's time, before handlers set to ServeFirst, other handlers, posted
// functions and timers, also in a turn that comes long after the previous one.
func TestOnTurnStartRunsFirst(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var order []string
	record := func(step string) { order = append(order, step) }
	for _, name := range []string{"first", "other"} {
		local, remote := socketPair(t)
		_, err := Write(remote, []byte("x"))
		require.NoError(t, err)
		src, err := l.Watch(local, In, handlerFunc(func(uint32) {
			record(name)
			_, _ = Read(local, l.ReadBuffer())
		}))
		require.NoError(t, err)
		if name == "first" {
			src.ServeFirst()
		}
	}
	l.After(0, func() { record("timer") })
	l.Post(func() { record("posted") })
	var turnStart time.Duration
	l.OnTurnStart(func(now time.Duration) {
		record("start")
		require.Equal(t, l.Now(), now)
		turnStart = now
	})
	before := l.Now()
	time.Sleep(20 * time.Millisecond) // as if the process had been stopped
	require.NoError(t, l.Run(turnerFunc(func(now time.Duration) time.Duration {
		require.Equal(t, turnStart, now)
		l.Stop()
		return 0
	})))
	require.Equal(t, []string{"start", "first", "other", "posted", "timer"}, order)
	require.GreaterOrEqual(t, turnStart-before, 20*time.Millisecond)
	l.ClearStop()
	l.OnTurnStart(nil)
	l.After(0, func() {})
	require.NoError(t, l.Run(turnerFunc(func(time.Duration) time.Duration {
		l.Stop()
		return 0
	})))
	require.Equal(t, 1, countEqual(order, "start"))
}

// countEqual returns how many strings of a list equal value.
func countEqual(list []string, value string) (n int) {
	for _, s := range list {
		if s == value {
			n++
		}
	}
	return n
}
