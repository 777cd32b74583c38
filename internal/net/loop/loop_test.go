package loop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// turns ends each turn by a function.
type turns func(now time.Duration) time.Duration

func (f turns) Turn(now time.Duration) time.Duration { return f(now) }

type handler func(events uint32)

func (f handler) Ready(events uint32) { f(events) }

func pair(t *testing.T) (ours, theirs int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	return fds[0], fds[1]
}

// Two descriptors are ready in one turn, and the first handler closes the other's; a new one may get the same
// number at once. What was gathered for the closed one must reach neither.
func TestEventsOfADescriptorClosedInTheSameTurn(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var sources [2]*Source
	reached, strayed := 0, false
	for i := range sources {
		ours, theirs := pair(t)
		_, err := Write(theirs, []byte("x"))
		require.NoError(t, err)
		sources[i], err = l.Watch(ours, In, handler(func(uint32) {
			reached++
			other := sources[1-i]
			number := other.FD()
			other.Close()
			fresh, _ := pair(t)
			require.Equal(t, number, fresh, "the kernel gives out the lowest free number")
			_, err := l.Watch(fresh, In, handler(func(uint32) { strayed = true }))
			require.NoError(t, err)
			sources[i].Close()
		}))
		require.NoError(t, err)
	}
	require.NoError(t, l.Run(turns(func(time.Duration) time.Duration {
		l.Stop()
		return 0
	})))
	require.Equal(t, 1, reached)
	require.False(t, strayed)
}

func TestTheClockStandsWithinATurnAndCountsFromTheEpoch(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var seen []time.Duration
	stopped := l.After(time.Millisecond, func() { t.Error("a stopped timer fired") })
	stopped.Stop()
	l.After(2*time.Millisecond, func() { seen = append(seen, l.Now()) })
	go l.Post(func() { require.Equal(t, l.Now(), l.Now()) })
	require.NoError(t, l.Run(turns(func(now time.Duration) time.Duration {
		require.Zero(t, now%time.Microsecond)
		if len(seen) > 0 {
			l.Stop()
		}
		return 0
	})))
	require.WithinDuration(t, time.Now(), time.Unix(0, int64(seen[0])), time.Minute)
}

// A loop that has ended gives up every descriptor that it watched, and takes what is posted late without harm: another
// descriptor may have the number of its own by then.
func TestAClosedLoopHoldsNoDescriptor(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	ours, theirs := pair(t)
	_, err = l.Watch(ours, In, handler(func(uint32) {}))
	require.NoError(t, err)
	l.Stop()
	require.NoError(t, l.Run(turns(func(time.Duration) time.Duration { return 0 })))
	l.Close()
	l.Close()
	_, err = Write(theirs, []byte("x"))
	require.ErrorIs(t, err, unix.EPIPE)
	var again []int
	for range 3 { // of epoll, eventfd and the pair
		fd, other := pair(t)
		again = append(again, fd, other)
	}
	l.Post(func() { t.Error("called") })
	var b [8]byte
	for _, fd := range again {
		_, err := Read(fd, b[:])
		require.ErrorIs(t, err, ErrAgain)
	}
}

// The function of the turn's start runs with the turn's time, before handlers that go first, before others, posted
// functions and timers, also where a turn comes long after the last one.
func TestTheTurnsStartComesBeforeAllElse(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	var order []string
	note := func(what string) { order = append(order, what) }
	for _, name := range []string{"first", "other"} {
		ours, theirs := pair(t)
		_, err := Write(theirs, []byte("x"))
		require.NoError(t, err)
		src, err := l.Watch(ours, In, handler(func(uint32) {
			note(name)
			_, _ = Read(ours, l.ReadBuffer())
		}))
		require.NoError(t, err)
		if name == "first" {
			src.ServeFirst()
		}
	}
	l.After(0, func() { note("timer") })
	l.Post(func() { note("posted") })
	var began time.Duration
	l.OnTurnStart(func(now time.Duration) {
		note("start")
		require.Equal(t, l.Now(), now)
		began = now
	})
	before := l.Now()
	time.Sleep(20 * time.Millisecond) // as if stopped
	require.NoError(t, l.Run(turns(func(now time.Duration) time.Duration {
		require.Equal(t, began, now)
		l.Stop()
		return 0
	})))
	require.Equal(t, []string{"start", "first", "other", "posted", "timer"}, order)
	require.GreaterOrEqual(t, began-before, 20*time.Millisecond)
	l.ClearStop()
	l.OnTurnStart(nil)
	l.After(0, func() {})
	require.NoError(t, l.Run(turns(func(time.Duration) time.Duration {
		l.Stop()
		return 0
	})))
	require.Equal(t, 1, countOf(order, "start"))
}

func countOf(list []string, what string) (n int) {
	for _, s := range list {
		if s == what {
			n++
		}
	}
	return n
}
