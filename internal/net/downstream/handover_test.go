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

// receiverFunc takes over connections and always has room.
type receiverFunc func(ConnState, int)

func (f receiverFunc) Receive(st ConnState, fd int) { f(st, fd) }
func (receiverFunc) HasRoom() bool                  { return true }

// recordingHandler records requests. The test answers them through pending.
type recordingHandler struct {
	targets []string // of the requests, in order
	pending []*Conn  // connections of the requests
}

func (h *recordingHandler) HandleRequest(c *Conn, r *http1.Request) {
	h.targets, h.pending = append(h.targets, r.Target), append(h.pending, c)
}
func (h *recordingHandler) HandleClientGone(*Conn)   {}
func (h *recordingHandler) HandleBodyComplete(*Conn) {}
func (h *recordingHandler) HandleMalformed(c *Conn, status int, message string) {
	c.Reply(status, nil, []byte(message))
}

// A suspended server must not process requests that it has already buffered. Its connections are handed over with the
// buffered input, each when its response is written, and the other server continues with the next byte.
func TestHandOverKeepsBufferedInput(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxDownstreamConns: 10, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10,
		MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, LingerTimeout: time.Second,
		MaxLingerBytes: 1 << 10}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	addr, oldHandler, newHandler := "127.0.0.1:0", &recordingHandler{}, &recordingHandler{}
	old, next := New(l, bounds, log), New(l, bounds, log)
	require.NoError(t, old.Listen(addr, oldHandler))
	fds, err := old.DuplicateListeners()
	require.NoError(t, err)
	next.Suspend()
	require.NoError(t, next.AdoptListener(fds[0], addr, newHandler))
	address, err := loop.LocalAddress(fds[0])
	require.NoError(t, err)
	busy, idle := dial(t, address), dial(t, address)
	_, err = io.WriteString(busy, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HT")
	require.NoError(t, err)
	_, err = io.WriteString(idle, "GET /i HT")
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return len(oldHandler.targets) == 1 && len(old.conns) == 2 })
	old.Suspend()
	late := dial(t, address)
	_, err = io.WriteString(late, "GET /late HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	oldHandler.pending[0].Reply(200, nil, nil) // while suspended
	nettest.Until(t, l, func() bool { return true })
	require.Equal(t, []string{"/1"}, oldHandler.targets, "pipelined requests must wait")
	old.HandOver(receiverFunc(func(st ConnState, fd int) { require.NoError(t, next.AdoptConnection(st, fd)) }))
	next.Resume()
	_, err = io.WriteString(idle, "TP/1.1\r\n\r\n")
	require.NoError(t, err)
	answered := 0
	nettest.Until(t, l, func() bool {
		for _, c := range newHandler.pending {
			if c.awaitingResponse {
				answered++
				c.Reply(200, nil, nil)
			}
		}
		return answered == 3
	})
	require.ElementsMatch(t, []string{"/2", "/i", "/late"}, newHandler.targets)
	_, err = io.WriteString(busy, "TP/1.1\r\n\r\n")
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return len(newHandler.targets) == 4 })
	require.Equal(t, "/3", newHandler.targets[3])
	require.Equal(t, []string{"/1"}, oldHandler.targets)
	require.Zero(t, old.OpenConnections())
	old.Resume() // as if the other process had died
	require.Equal(t, 3, next.OpenConnections())
}

// dial opens a client connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// autoReplyHandler answers each request at once, and suspends the server after suspendAfter requests; negative: never.
type autoReplyHandler struct {
	recordingHandler
	server       *Server
	suspendAfter int
}

func (h *autoReplyHandler) HandleRequest(c *Conn, r *http1.Request) {
	h.targets = append(h.targets, r.Target)
	if len(h.targets) == h.suspendAfter {
		h.server.loop.After(0, h.server.Suspend)
	}
	c.Reply(200, nil, nil)
}

// Pipelined requests are processed a few per turn. The ones that are scheduled for a later turn must wait while the
// server is suspended.
func TestSuspendHoldsPipelinedRequests(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxDownstreamConns: 10, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10,
		MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, LingerTimeout: time.Second,
		MaxLingerBytes: 1 << 10}
	s := New(l, bounds, slog.New(slog.NewTextHandler(io.Discard, nil)))
	h := &autoReplyHandler{server: s, suspendAfter: bounds.MaxPipelinedPerTurn}
	require.NoError(t, s.Listen("127.0.0.1:0", h))
	address, err := loop.LocalAddress(s.listeners[0].source.FD())
	require.NoError(t, err)
	c := dial(t, address)
	_, err = io.WriteString(c, strings.Repeat("GET /x HTTP/1.1\r\n\r\n", 10))
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return s.suspended })
	turns := 0
	nettest.Until(t, l, func() bool { turns++; return turns > 20 })
	require.Len(t, h.targets, bounds.MaxPipelinedPerTurn)
	s.Resume()
	nettest.Until(t, l, func() bool { return len(h.targets) == 10 })
}

// A listening socket that is closed here but shared with another process must not be reported as ready any more, even
// if a client waits. Otherwise the loop spins.
func TestClosedListenerSharedWithAnotherProcess(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	s := New(l, limits.Limits{MaxDownstreamConns: 10, MaxAcceptsPerTurn: 4},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, s.Listen("127.0.0.1:0", &recordingHandler{}))
	address, err := loop.LocalAddress(s.listeners[0].source.FD())
	require.NoError(t, err)
	fds, err := s.DuplicateListeners()
	require.NoError(t, err)
	defer loop.CloseFD(fds[0])
	s.CloseListeners()
	dial(t, address)
	turns := 0
	l.After(50*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(turnCounter{&turns}))
	require.Less(t, turns, 10, "the loop spins on the closed listener")
}

// turnCounter counts the turns of the loop.
type turnCounter struct{ turns *int }

func (c turnCounter) Turn(time.Duration) time.Duration { *c.turns++; return 0 }
