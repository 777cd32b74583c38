package discovery

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// withoutDescriptors does something while this process can open no descriptor.
func withoutDescriptors(t *testing.T, do func()) {
	var was unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &was))
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: was.Max}))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &was)) }()
	do()
}

// A watch can't be opened for want of something on this machine: discovery was not asked, so that a large fleet's waits,
// which spare it, do not hold. It is asked as soon as it can be.
func TestAWatchThatThisMachineCantOpenYet(t *testing.T) {
	lim, err := limits.For(limits.Site{Sockets: 384, Ingresses: 300})
	require.NoError(t, err)
	lim.ClusterJitter = 0
	addr := serve(t, func(c net.Conn, _ int64) {
		begin(c)
		chunk(c, list(7))
	})
	first, err := net.Dial("tcp", addr) // once that is taken the server only waits for the next: it must not lack descriptors
	require.NoError(t, err)
	require.NoError(t, first.Close())
	time.Sleep(50 * time.Millisecond)
	l, err := loop.New()
	require.NoError(t, err)
	s := &sink{}
	var w *Watcher
	withoutDescriptors(t, func() {
		w = New(l, lim, slog.New(slog.DiscardHandler), addr, s, s, List{}, 1)
	})
	require.Nil(t, w.next, "nothing was opened")
	began := time.Now()
	nettest.Until(t, l, func() bool { return w.HasSynced() })
	require.Less(t, time.Since(began), lim.ClusterInitialBackoff/10)
}

// A connection that the system does not let us watch is closed, and not forgotten.
func TestAWatchThatCantBeWatchedLeavesNoDescriptor(t *testing.T) {
	lim, err := limits.For(limits.Site{Sockets: 384, Ingresses: 1})
	require.NoError(t, err)
	l, err := loop.New()
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	s := &sink{}
	w := New(l, lim, slog.New(slog.DiscardHandler), ln.Addr().String(), s, s, List{}, 1)
	l.Close() // nothing can be watched from now on
	descriptors := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		require.NoError(t, err)
		return len(list)
	}
	before := descriptors()
	for range 5 {
		w.dial()
	}
	require.Equal(t, before, descriptors())
}
