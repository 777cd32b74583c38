package downstream

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// script is a front that notes requests and answers when it is told to.
type script struct {
	got  []string
	open []*Conn
}

func (f *script) HandleRequest(c *Conn, r *http1.Request) {
	f.got, f.open = append(f.got, r.Target), append(f.open, c)
}
func (f *script) HandleClientGone(*Conn)   {}
func (f *script) HandleBodyComplete(*Conn) {}
func (f *script) HandleMalformed(c *Conn, status int, what string) {
	c.Reply(status, nil, []byte(what))
}

// A held server takes up nothing, not even what it has read already; its connections go over with that, each when
// its answer is written, and the other server goes on with the very next byte.
func TestConnectionsGoOverWithWhatWasRead(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{MaxDownstreamConns: 10, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10, MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	addr, a, b := "127.0.0.1:0", &script{}, &script{}
	old, next := New(l, lim, log), New(l, lim, log)
	require.NoError(t, old.Listen(addr, a))
	fds, err := old.DuplicateListeners()
	require.NoError(t, err)
	next.Suspend()
	require.NoError(t, next.AdoptListener(fds[0], addr, b))
	where, err := loop.LocalAddress(fds[0])
	require.NoError(t, err)
	busy, idle := dial(t, where), dial(t, where)
	_, err = io.WriteString(busy, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HT")
	require.NoError(t, err)
	_, err = io.WriteString(idle, "GET /i HT")
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return len(a.got) == 1 && len(old.conns) == 2 })
	old.Suspend()
	late := dial(t, where)
	_, err = io.WriteString(late, "GET /late HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	a.open[0].Reply(200, nil, nil) // under the freeze
	nettest.Until(t, l, func() bool { return true })
	require.Equal(t, []string{"/1"}, a.got, "what was sent ahead waits")
	old.HandOver(func(st ConnState, fd int) { require.NoError(t, next.AdoptConnection(st, fd)) })
	next.Resume()
	_, err = io.WriteString(idle, "TP/1.1\r\n\r\n")
	require.NoError(t, err)
	answered := 0
	nettest.Until(t, l, func() bool {
		for _, c := range b.open {
			if c.busy {
				answered++
				c.Reply(200, nil, nil)
			}
		}
		return answered == 3
	})
	require.ElementsMatch(t, []string{"/2", "/i", "/late"}, b.got)
	_, err = io.WriteString(busy, "TP/1.1\r\n\r\n")
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return len(b.got) == 4 })
	require.Equal(t, "/3", b.got[3])
	require.Equal(t, []string{"/1"}, a.got)
	require.Zero(t, old.OpenConnections())
	old.Resume() // as after the other's death
	require.Equal(t, 3, next.OpenConnections())
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// auto answers at once, and holds the server after so many requests.
type auto struct {
	script
	s     *Server
	after int
}

func (f *auto) HandleRequest(c *Conn, r *http1.Request) {
	f.got = append(f.got, r.Target)
	if len(f.got) == f.after {
		f.s.loop.After(0, f.s.Suspend)
	}
	c.Reply(200, nil, nil)
}

// What one client has sent ahead is taken up a few a turn; the rest must not slip through a freeze.
func TestWhatWaitsForItsTurnWaitsThroughAFreeze(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{MaxDownstreamConns: 10, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10, MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	s := New(l, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f := &auto{s: s, after: lim.MaxPipelinedPerTurn}
	require.NoError(t, s.Listen("127.0.0.1:0", f))
	where, err := loop.LocalAddress(s.listeners[0].src.FD())
	require.NoError(t, err)
	c := dial(t, where)
	_, err = io.WriteString(c, strings.Repeat("GET /x HTTP/1.1\r\n\r\n", 10))
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return s.held })
	turns := 0
	nettest.Until(t, l, func() bool { turns++; return turns > 20 })
	require.Len(t, f.got, lim.MaxPipelinedPerTurn)
	s.Resume()
	nettest.Until(t, l, func() bool { return len(f.got) == 10 })
}

// A listener that another process holds, too, is told of no more once it is closed here, though a client waits.
func TestAClosedListenerThatLivesOnElsewhere(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	s := New(l, limits.Limits{MaxDownstreamConns: 10, MaxAcceptsPerTurn: 4}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, s.Listen("127.0.0.1:0", &script{}))
	where, err := loop.LocalAddress(s.listeners[0].src.FD())
	require.NoError(t, err)
	fds, err := s.DuplicateListeners()
	require.NoError(t, err)
	defer loop.CloseFD(fds[0])
	s.CloseListeners()
	dial(t, where)
	turns := 0
	l.After(50*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(counting{&turns}))
	require.Less(t, turns, 10, "the loop spins")
}

type counting struct{ turns *int }

func (c counting) Turn(time.Duration) time.Duration { *c.turns++; return 0 }
