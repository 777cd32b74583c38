package discovery

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// discardSink is a Sink and a Hosts that ignores all calls.
type discardSink struct{}

func (discardSink) ServerListReceived(admission.ServerList)     {}
func (discardSink) SetHost(string, string, time.Duration, bool) {}
func (discardSink) RemoveHost(string)                           {}

// turnFunc is a loop.Turner that calls a function at the end of each turn.
type turnFunc func()

func (f turnFunc) Turn(time.Duration) time.Duration {
	f()
	return 0
}

// testBounds returns the limits of one ingress in a fleet of the given size.
func testBounds(t *testing.T, ingresses int) limits.Limits {
	bounds, err := limits.For(limits.Site{Sockets: 384, Ingresses: ingresses})
	require.NoError(t, err)
	return bounds
}

// serveWatches runs a fake discovery service. It calls answer for each watch, numbered from 1, and closes the watch when
// answer returns.
func serveWatches(t *testing.T, answer func(c net.Conn, n int64)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	var watches atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c, watches.Add(1))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Discovery that refuses watches because it is overloaded must not get more of them for that. The backoff is proportional to
// the size of the fleet, so that the rate of watches of all ingresses together does not grow with their number, and it gets
// longer with each failure.
func TestFleetBacksOffFromOverloadedDiscovery(t *testing.T) {
	const ingresses = 60
	var watches atomic.Int64
	addr := serveWatches(t, func(c net.Conn, n int64) {
		watches.Store(n)
		_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	})
	l, err := loop.New()
	require.NoError(t, err)
	bounds := testBounds(t, ingresses)
	for i := range ingresses {
		New(l, bounds, slog.New(slog.DiscardHandler), addr, discardSink{}, discardSink{}, List{}, uint64(i))
	}
	l.After(2500*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(turnFunc(func() {})))
	require.Greater(t, watches.Load(), int64(ingresses*3/4), "each ingress opens a watch")
	require.Less(t, watches.Load(), int64(4*ingresses))
}

// A watch that falls silent, after its first list or before any data, is replaced after no longer a delay than that of a
// first watch, without the backoff of a large fleet: changes that discovery publishes meanwhile count as known to the
// ingress.
func TestSilentWatchIsReopenedWithoutBackoff(t *testing.T) {
	testEnd := make(chan struct{})
	defer close(testEnd)
	addr := serveWatches(t, func(c net.Conn, n int64) {
		if n != 2 { // the second watch is accepted and receives nothing
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{\"version\":%d,\"full\":true,\"servers\":[]}\n", n)
		}
		<-testEnd
	})
	l, err := loop.New()
	require.NoError(t, err)
	bounds := testBounds(t, 300)
	bounds.ClusterSilenceTimeout, bounds.ClusterJitter = 600*time.Millisecond, 20*time.Millisecond
	bounds.ClusterInitialBackoff, bounds.ClusterMaxBackoff = time.Minute, time.Minute // a backoff would take at least 6 s
	s := &recordingSink{}
	New(l, bounds, slog.New(slog.DiscardHandler), addr, s, s, List{}, 1)
	l.After(5*time.Second, l.Stop)
	require.NoError(t, l.Run(turnFunc(func() {
		if len(s.lists) == 3 { // the one from before the start, and two from discovery
			l.Stop()
		}
	})))
	require.Len(t, s.lists, 3)
	require.Equal(t, uint64(3), s.lists[2].Version)
}

// The spread of first watches and the longest backoff grow with the size of the fleet. In a small one both must stay short.
func TestSmallFleetHasShortDelays(t *testing.T) {
	small := testBounds(t, 3)
	require.LessOrEqual(t, small.ClusterJitter, 50*time.Millisecond)
	require.Equal(t, small.MaxBackoff, small.ClusterMaxBackoff)
	large := testBounds(t, 80)
	require.Greater(t, large.ClusterMaxBackoff, 4*time.Second)
	require.Greater(t, large.ClusterJitter, 200*time.Millisecond)
}

// Ingresses that start together may get requests before they are ready. One that opened its first watch later than the drain
// grace would send those to hosts that have long drained. The delay must stay below it in a fleet of any size.
func TestFirstWatchOpensWithinDrainGrace(t *testing.T) {
	for _, ingresses := range []int{3, 80, 300, 3000} {
		bounds, err := limits.For(limits.Site{Sockets: 384, Ingresses: ingresses, DrainGrace: 500 * time.Millisecond})
		require.NoError(t, err)
		require.LessOrEqual(t, bounds.ClusterJitter, 250*time.Millisecond)
	}
}

// recordingSink records the lists that it receives.
type recordingSink struct {
	discardSink
	lists []admission.ServerList
}

func (s *recordingSink) ServerListReceived(l admission.ServerList) { s.lists = append(s.lists, l) }

// Hosts that the operators drain count as draining while discovery reports them as up, until a later SetDrained leaves them
// out. A host that discovery itself reports as draining is not affected.
func TestSetDrained(t *testing.T) {
	s := &recordingSink{}
	w := &Watcher{sink: s, hosts: s, known: map[string]Entry{}}
	entry := func(name string, state admission.ServerState) Entry {
		return Entry{Addr: "127.0.0.1:1", ServerEntry: admission.ServerEntry{Name: name, State: state}}
	}
	states := func() map[string]admission.ServerState {
		got := map[string]admission.ServerState{}
		for _, e := range s.lists[len(s.lists)-1].Servers {
			got[e.Name] = e.State
		}
		return got
	}
	w.apply(List{Full: true, Entries: []Entry{entry("a", admission.Up), entry("b", admission.Up),
		entry("c", admission.Draining)}}, admission.ListChanges)
	w.SetDrained([]string{"a", "c", "unknown"})
	require.Equal(t, map[string]admission.ServerState{"a": admission.Draining}, states())
	require.Equal(t, admission.ListChanges, s.lists[len(s.lists)-1].Kind)
	w.apply(List{Full: true, Entries: []Entry{entry("a", admission.Up), entry("b", admission.Up)}}, admission.ListChanges)
	require.Equal(t, map[string]admission.ServerState{"a": admission.Draining, "b": admission.Up}, states())
	require.Equal(t, admission.Up, w.known["a"].State, "the state reported by discovery is kept for a successor process")
	n := len(s.lists)
	w.SetDrained([]string{"a"})
	require.Len(t, s.lists, n, "an unchanged set must send nothing")
	w.SetDrained([]string{"b"})
	require.Equal(t, map[string]admission.ServerState{"a": admission.Up, "b": admission.Draining}, states())
}
