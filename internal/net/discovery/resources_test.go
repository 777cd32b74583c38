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

// withoutFreeDescriptors calls do while this process can open no descriptor.
func withoutFreeDescriptors(t *testing.T, do func()) {
	var previous unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &previous))
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: previous.Max}))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &previous)) }()
	do()
}

// A watch that can't be opened because this machine lacks descriptors puts no load on discovery. It must be retried soon,
// not after the backoff of a large fleet.
func TestDescriptorShortageIsRetriedWithoutBackoff(t *testing.T) {
	bounds, err := limits.For(limits.Site{Sockets: 384, Ingresses: 300})
	require.NoError(t, err)
	bounds.ClusterJitter = 0
	addr := serveWatches(t, func(c net.Conn, _ int64) {
		startResponse(c)
		writeChunk(c, emptyList(7))
	})
	// After one accepted connection the server blocks in the next accept and needs no descriptor while there are none.
	first, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, first.Close())
	time.Sleep(50 * time.Millisecond)
	l, err := loop.New()
	require.NoError(t, err)
	s := &recordingSink{}
	var w *Watcher
	withoutFreeDescriptors(t, func() {
		w = New(l, bounds, slog.New(slog.DiscardHandler), addr, s, s, List{}, 1)
	})
	require.Nil(t, w.next, "a watch was opened without a descriptor")
	start := time.Now()
	nettest.Until(t, l, func() bool { return w.HasSynced() })
	require.Less(t, time.Since(start), bounds.ClusterInitialBackoff/10)
}

// A connection that can't be registered with the loop must be closed, else its descriptor leaks.
func TestFailedWatchClosesItsDescriptor(t *testing.T) {
	bounds, err := limits.For(limits.Site{Sockets: 384, Ingresses: 1})
	require.NoError(t, err)
	l, err := loop.New()
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	s := &recordingSink{}
	w := New(l, bounds, slog.New(slog.DiscardHandler), ln.Addr().String(), s, s, List{}, 1)
	l.Close() // no descriptor can be registered from now on
	descriptors := func() int {
		entries, err := os.ReadDir("/proc/self/fd")
		require.NoError(t, err)
		return len(entries)
	}
	before := descriptors()
	for range 5 {
		w.dial()
	}
	require.Equal(t, before, descriptors())
}
