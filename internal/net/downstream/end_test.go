package downstream

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
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
	lim := limits.Limits{MaxDownstreamConns: 4, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10, MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, EvictionGrace: time.Minute, LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	s := New(l, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f := &auto{s: s, after: -1}
	require.NoError(t, s.Listen("127.0.0.1:0", f))
	where, err := loop.LocalAddress(s.listeners[0].src.FD())
	require.NoError(t, err)
	ask := func(c net.Conn) {
		_, err := io.WriteString(c, "GET /x HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
	}
	for range lim.MaxDownstreamConns {
		ask(dial(t, where))
	}
	nettest.Until(t, l, func() bool { return len(f.got) == lim.MaxDownstreamConns })
	var waiting []net.Conn
	for range 3 {
		c := dial(t, where)
		ask(c)
		waiting = append(waiting, c)
	}
	nettest.Until(t, l, func() bool { return s.paused })
	s.Drain()
	s.CloseListeners()
	require.Len(t, f.got, lim.MaxDownstreamConns+len(waiting))
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

func (f *waits) HandleRequest(c *Conn, _ *http1.Request) {
	f.conns, f.waited = append(f.conns, c), append(f.waited, c.RequestAge())
}

// Who connects while no connection can be taken has waited since then; who connects long after that has not, whether or
// not anybody was left waiting.
func TestHowLongAConnectionHasWaitedToBeAccepted(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{MaxDownstreamConns: 2, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10, MaxAcceptsPerTurn: 1, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, EvictionGrace: time.Minute, LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	s := New(l, lim, slog.New(slog.DiscardHandler))
	f := &waits{}
	require.NoError(t, s.Listen("127.0.0.1:0", f))
	ln := s.listeners[0]
	where, err := loop.LocalAddress(ln.src.FD())
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

// holds is a front that takes requests whose bodies are still coming, and nothing of those bodies.
type holds struct {
	script
	open, left int
}

func (f *holds) HandleRequest(*Conn, *http1.Request) { f.open++ }

func (f *holds) HandleClientGone(*Conn) { f.left++ }

// A client ends its connection behind more of a body than there is room for: it has gone then, and not once all of that
// has been read.
func TestAClientEndsBehindABodyWithoutRoom(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{MaxDownstreamConns: 4, MaxHeaderBytes: 1 << 10, MaxBufferedBodyBytes: 1 << 10, MaxBodyBytes: 1 << 20, MinBodyRate: 1 << 10, MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4,
		FirstRequestTimeout: time.Minute, HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, EvictionGrace: time.Minute, LingerTimeout: time.Second,
		MaxLingerBytes: 1 << 20, RelayStallTimeout: time.Minute}
	s := New(l, lim, slog.New(slog.DiscardHandler))
	f := &holds{}
	require.NoError(t, s.Listen("127.0.0.1:0", f))
	where, err := loop.LocalAddress(s.listeners[0].src.FD())
	require.NoError(t, err)
	c := dial(t, where)
	_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 4*lim.RelayWindow(0)))
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return f.open == 1 })
	require.NoError(t, c.Close())
	nettest.Until(t, l, func() bool { return f.left == 1 })
	nettest.Until(t, l, func() bool { return s.OpenConnections() == 0 })
	require.Equal(t, 1, f.left)
}

// resting is a server with one client that has had an answer; ask has it send the next request.
func resting(t *testing.T, change func(*limits.Limits)) (l *loop.Loop, s *Server, f *auto, ask func()) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{MaxDownstreamConns: 4, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10, MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, EvictionGrace: time.Minute, LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	change(&lim)
	s = New(l, lim, slog.New(slog.DiscardHandler))
	f = &auto{s: s, after: -1}
	require.NoError(t, s.Listen("127.0.0.1:0", f))
	where, err := loop.LocalAddress(s.listeners[0].src.FD())
	require.NoError(t, err)
	c := dial(t, where)
	ask = func() {
		_, err := io.WriteString(c, "GET /x HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
	}
	ask()
	nettest.Until(t, l, func() bool { return len(f.got) == 1 })
	return l, s, f, ask
}

// A request comes in the turn in which its connection would be ended as idle: it is answered.
func TestARequestCrossesTheEndOfAnIdleConnection(t *testing.T) {
	l, _, f, ask := resting(t, func(lim *limits.Limits) { lim.DownstreamIdleTimeout = sweepEvery / 10 })
	l.After(0, func() { time.Sleep(2 * sweepEvery) }) // the next turn has both that and the sweep to do
	l.After(time.Millisecond, ask)
	nettest.Until(t, l, func() bool { return len(f.got) == 2 })
}

// A request comes as its connection would be closed to make room for another: it is answered, and the connection kept.
func TestARequestCrossesTheMakingOfRoom(t *testing.T) {
	l, s, f, ask := resting(t, func(lim *limits.Limits) { lim.EvictionGrace = time.Millisecond })
	l.After(10*s.lim.EvictionGrace, func() {
		ask()
		require.False(t, s.makeRoom(), "nothing is silent")
	})
	nettest.Until(t, l, func() bool { return len(f.got) == 2 })
	require.Equal(t, 1, s.OpenConnections())
}
