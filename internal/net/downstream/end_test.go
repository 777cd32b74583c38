package downstream

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// All places are taken as the listener closes: those that rest there make room, and who has connected and written a
// request by then is answered.
func TestTheListenerClosesWhereAllPlacesAreTaken(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{Downstream: 4, HeadBytes: 1 << 10, BodyBytes: 1 << 10, Accepts: 4, Ahead: 4, FirstTime: time.Minute,
		HeadTime: time.Minute, DownstreamIdle: time.Minute, FreshTime: time.Minute, Linger: time.Second, LingerBytes: 1 << 10}
	s := New(l, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f := &auto{s: s, after: -1}
	require.NoError(t, s.Listen("127.0.0.1:0", f))
	where, err := loop.Address(s.listeners[0].src.FD())
	require.NoError(t, err)
	ask := func(c net.Conn) {
		_, err := io.WriteString(c, "GET /x HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
	}
	for range lim.Downstream {
		ask(dial(t, where))
	}
	nettest.Until(t, l, func() bool { return len(f.got) == lim.Downstream })
	var waiting []net.Conn
	for range 3 {
		c := dial(t, where)
		ask(c)
		waiting = append(waiting, c)
	}
	nettest.Until(t, l, func() bool { return s.paused })
	s.Drain()
	s.CloseListeners()
	require.Len(t, f.got, lim.Downstream+len(waiting))
	for _, c := range waiting {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.True(t, resp.Close)
	}
}

// waits is a front that leaves every request open and notes how long it had waited.
type waits struct {
	script
	conns  []*Conn
	waited []time.Duration
}

func (f *waits) Request(c *Conn, _ *http1.Request) {
	f.conns, f.waited = append(f.conns, c), append(f.waited, c.Waited())
}

// Who connects while no connection can be taken has waited since then; who connects long after that has not, whether or
// not anybody was left waiting.
func TestHowLongAConnectionHasWaitedToBeAccepted(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{Downstream: 2, HeadBytes: 1 << 10, BodyBytes: 1 << 10, Accepts: 1, Ahead: 4, FirstTime: time.Minute,
		HeadTime: time.Minute, DownstreamIdle: time.Minute, FreshTime: time.Minute, Linger: time.Second, LingerBytes: 1 << 10}
	s := New(l, lim, slog.New(slog.DiscardHandler))
	f := &waits{}
	require.NoError(t, s.Listen("127.0.0.1:0", f))
	ln := s.listeners[0]
	where, err := loop.Address(ln.src.FD())
	require.NoError(t, err)
	ask := func() {
		_, err := io.WriteString(dial(t, where), "GET /x HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
	}
	ask() // one a turn is taken, so that somebody may be left waiting; nobody is
	nettest.Until(t, l, func() bool { return len(f.conns) == 1 })
	time.Sleep(4 * toldAtOnce)
	nettest.Until(t, l, func() bool { return true })
	ask()
	nettest.Until(t, l, func() bool { return len(f.conns) == 2 })
	require.Less(t, f.waited[1], toldAtOnce)
	ask()
	nettest.Until(t, l, func() bool { return s.paused })
	const longest = 60 * time.Millisecond
	freed := false
	l.After(longest, func() { freed = true; f.conns[0].drop(closedIdle) })
	nettest.Until(t, l, func() bool { return freed && len(f.conns) == 3 })
	require.GreaterOrEqual(t, f.waited[2], longest-time.Millisecond)
}
