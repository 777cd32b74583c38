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

type nobody struct{}

func (nobody) ServerListReceived(admission.ServerList) {}
func (nobody) Gone(string)                             {}

func (nobody) Host(string, string, time.Duration, bool) {}

type turns func()

func (f turns) Turn(time.Duration) time.Duration {
	f()
	return 0
}

func bounds(t *testing.T, doors int) limits.Limits {
	lim, err := limits.For(limits.Site{Sockets: 384, Ingresses: doors})
	require.NoError(t, err)
	return lim
}

// serve stands in for discovery: it answers each watch, the first being number 1, and ends it when answer returns.
func serve(t *testing.T, answer func(c net.Conn, n int64)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	var calls atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c, calls.Add(1))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Discovery that turns calls away because it is overbooked is not asked the more for it: all doors together
// ask half as often as each by itself would, and ever less.
func TestAFleetDoesNotStormAnOverbookedDiscovery(t *testing.T) {
	const doors = 60
	var calls atomic.Int64
	addr := serve(t, func(c net.Conn, n int64) {
		calls.Store(n)
		_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	})
	l, err := loop.New()
	require.NoError(t, err)
	lim := bounds(t, doors)
	for i := range doors {
		New(l, lim, slog.New(slog.DiscardHandler), addr, nobody{}, nobody{}, List{}, uint64(i))
	}
	l.After(2500*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(turns(func() {})))
	require.Greater(t, calls.Load(), int64(doors*3/4), "each door asks")
	require.Less(t, calls.Load(), int64(4*doors))
}

// A watch that falls silent after it was heard is opened anew as soon as a first one, and so is one on which nothing
// was heard, however large the fleet: what discovery has meanwhile told counts as told.
func TestASilentWatchIsOpenedAnewAtOnce(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	addr := serve(t, func(c net.Conn, n int64) {
		if n != 2 { // the second is accepted and hears nothing
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{\"version\":%d,\"full\":true,\"servers\":[]}\n", n)
		}
		<-over
	})
	l, err := loop.New()
	require.NoError(t, err)
	lim := bounds(t, 300)
	lim.ClusterSilenceTimeout, lim.ClusterJitter = 600*time.Millisecond, 20*time.Millisecond
	lim.ClusterInitialBackoff, lim.ClusterMaxBackoff = time.Minute, time.Minute // 6 s at least, once it was turned away
	s := &sink{}
	New(l, lim, slog.New(slog.DiscardHandler), addr, s, s, List{}, 1)
	l.After(5*time.Second, l.Stop)
	require.NoError(t, l.Run(turns(func() {
		if len(s.lists) == 3 { // the one known before, and two told
			l.Stop()
		}
	})))
	require.Len(t, s.lists, 3)
	require.Equal(t, uint64(3), s.lists[2].Version)
}

// A few doors ask as promptly as ever.
func TestWaitsOfAFewDoorsAreShort(t *testing.T) {
	lim := bounds(t, 3)
	require.LessOrEqual(t, lim.ClusterJitter, 50*time.Millisecond)
	require.Equal(t, lim.MaxBackoff, lim.ClusterMaxBackoff)
	large := bounds(t, 80)
	require.Greater(t, large.ClusterMaxBackoff, 4*time.Second)
	require.Greater(t, large.ClusterJitter, 200*time.Millisecond)
}

// Ingresses that are released together may be sent requests before they are up. One that asked discovery later
// than the grace of drains would send those to hosts that have long drained, however large the fleet.
func TestFirstWatchesComeWithinTheGraceOfDrains(t *testing.T) {
	for _, doors := range []int{3, 80, 300, 3000} {
		lim, err := limits.For(limits.Site{Sockets: 384, Ingresses: doors, DrainGrace: 500 * time.Millisecond})
		require.NoError(t, err)
		require.LessOrEqual(t, lim.ClusterJitter, 250*time.Millisecond)
	}
}

// sink keeps the lists that it is told.
type sink struct {
	nobody
	lists []admission.ServerList
}

func (s *sink) ServerListReceived(l admission.ServerList) { s.lists = append(s.lists, l) }

// Hosts that the operators drain count as draining whatever discovery says, until they are taken off the list; what
// discovery itself drains stays so.
func TestOperatorsDrainHosts(t *testing.T) {
	s := &sink{}
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
	w.apply(List{Full: true, Entries: []Entry{entry("a", admission.Up), entry("b", admission.Up), entry("c", admission.Draining)}}, admission.ListChanges)
	w.SetDrained([]string{"a", "c", "unknown"})
	require.Equal(t, map[string]admission.ServerState{"a": admission.Draining}, states())
	require.Equal(t, admission.ListChanges, s.lists[len(s.lists)-1].Kind)
	w.apply(List{Full: true, Entries: []Entry{entry("a", admission.Up), entry("b", admission.Up)}}, admission.ListChanges)
	require.Equal(t, map[string]admission.ServerState{"a": admission.Draining, "b": admission.Up}, states())
	require.Equal(t, admission.Up, w.known["a"].State, "a successor is told what discovery says")
	n := len(s.lists)
	w.SetDrained([]string{"a"})
	require.Len(t, s.lists, n, "nothing has changed")
	w.SetDrained([]string{"b"})
	require.Equal(t, map[string]admission.ServerState{"a": admission.Up, "b": admission.Draining}, states())
}
