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

// The listeners close at the connection limit, while further clients have connected and sent a request. Idle
// connections must make room for them, and their requests must be answered instead of reset.
func TestCloseListenersAtConnectionLimit(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxDownstreamConns: 4, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10,
		MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, EvictionGrace: time.Minute,
		LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	s := New(l, bounds, slog.New(slog.NewTextHandler(io.Discard, nil)))
	h := &autoReplyHandler{server: s, suspendAfter: -1}
	require.NoError(t, s.Listen("127.0.0.1:0", h))
	address, err := loop.LocalAddress(s.listeners[0].source.FD())
	require.NoError(t, err)
	sendRequest := func(c net.Conn) {
		_, err := io.WriteString(c, "GET /x HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
	}
	for range bounds.MaxDownstreamConns {
		sendRequest(dial(t, address))
	}
	nettest.Until(t, l, func() bool { return len(h.targets) == bounds.MaxDownstreamConns })
	var waiting []net.Conn
	for range 3 {
		c := dial(t, address)
		sendRequest(c)
		waiting = append(waiting, c)
	}
	nettest.Until(t, l, func() bool { return s.acceptPaused })
	s.Drain()
	s.CloseListeners()
	require.Len(t, h.targets, bounds.MaxDownstreamConns+len(waiting))
	for _, c := range waiting {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.True(t, resp.Close)
	}
}

// ageRecorder leaves every request unanswered and records its age.
type ageRecorder struct {
	recordingHandler
	conns []*Conn
	ages  []time.Duration
}

func (h *ageRecorder) HandleRequest(c *Conn, _ *http1.Request) {
	h.conns, h.ages = append(h.conns, c), append(h.ages, c.RequestAge())
}

// The age of a request includes the time that its connection waited to be accepted. It must not include time before the
// client connected, even if accept had stopped at its limit, which may leave connections waiting.
func TestRequestAgeIncludesAcceptDelay(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxDownstreamConns: 2, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10,
		MaxAcceptsPerTurn: 1, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, EvictionGrace: time.Minute,
		LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	s := New(l, bounds, slog.New(slog.DiscardHandler))
	h := &ageRecorder{}
	require.NoError(t, s.Listen("127.0.0.1:0", h))
	ln := s.listeners[0]
	address, err := loop.LocalAddress(ln.source.FD())
	require.NoError(t, err)
	sendRequest := func() {
		_, err := io.WriteString(dial(t, address), "GET /x HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
	}
	const (
		idleTime    = 40 * time.Millisecond
		maxAge      = 10 * time.Millisecond // of a request that did not wait
		acceptDelay = 60 * time.Millisecond
		busyTime    = 40 * time.Millisecond // of a turn, less than what counts as a stall
	)
	sendRequest() // accept stops after one connection per turn, so others may be waiting; none is
	nettest.Until(t, l, func() bool { return len(h.conns) == 1 })
	time.Sleep(idleTime)
	nettest.Until(t, l, func() bool { return true })
	sendRequest()
	nettest.Until(t, l, func() bool { return len(h.conns) == 2 })
	require.Less(t, h.ages[1], maxAge)
	sendRequest()
	nettest.Until(t, l, func() bool { return s.acceptPaused })
	freed := false
	l.After(acceptDelay, func() {
		freed = true
		h.conns[0].close(closedIdle)
		time.Sleep(busyTime) // the next poll is late, and reports the waiting connection all the same
	})
	nettest.Until(t, l, func() bool { return freed && len(h.conns) == 3 })
	require.GreaterOrEqual(t, h.ages[2], acceptDelay-time.Millisecond)
}

// blockedUploadHandler accepts open requests and never reads their bodies. It counts requests and disconnected clients.
type blockedUploadHandler struct {
	recordingHandler
	requests, clientsGone int
}

func (h *blockedUploadHandler) HandleRequest(*Conn, *http1.Request) { h.requests++ }

func (h *blockedUploadHandler) HandleClientGone(*Conn) { h.clientsGone++ }

// A client closes its connection while the pipe of its request body is full. The handler must learn of that at once,
// not only after the rest of the body has been read.
func TestClientClosesBehindBlockedUpload(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxDownstreamConns: 4, MaxHeaderBytes: 1 << 10, MaxBufferedBodyBytes: 1 << 10,
		MaxBodyBytes: 1 << 20, MinBodyRate: 1 << 10, MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4,
		FirstRequestTimeout: time.Minute, HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute,
		EvictionGrace: time.Minute, LingerTimeout: time.Second, MaxLingerBytes: 1 << 20,
		RelayStallTimeout: time.Minute}
	s := New(l, bounds, slog.New(slog.DiscardHandler))
	h := &blockedUploadHandler{}
	require.NoError(t, s.Listen("127.0.0.1:0", h))
	address, err := loop.LocalAddress(s.listeners[0].source.FD())
	require.NoError(t, err)
	c := dial(t, address)
	_, err = io.WriteString(c,
		"POST /x HTTP/1.1\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 4*bounds.RelayWindow(0)))
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return h.requests == 1 })
	require.NoError(t, c.Close())
	nettest.Until(t, l, func() bool { return h.clientsGone == 1 })
	nettest.Until(t, l, func() bool { return s.OpenConnections() == 0 })
	require.Equal(t, 1, h.clientsGone)
}

// newServerWithServedClient returns a server with one client whose first request is answered, and a function that sends
// the client's next request.
func newServerWithServedClient(t *testing.T, change func(*limits.Limits)) (
	l *loop.Loop, s *Server, h *autoReplyHandler, sendRequest func()) {
	l, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxDownstreamConns: 4, MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10,
		MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4, FirstRequestTimeout: time.Minute,
		HeaderTimeout: time.Minute, DownstreamIdleTimeout: time.Minute, EvictionGrace: time.Minute,
		LingerTimeout: time.Second, MaxLingerBytes: 1 << 10}
	change(&bounds)
	s = New(l, bounds, slog.New(slog.DiscardHandler))
	h = &autoReplyHandler{server: s, suspendAfter: -1}
	require.NoError(t, s.Listen("127.0.0.1:0", h))
	address, err := loop.LocalAddress(s.listeners[0].source.FD())
	require.NoError(t, err)
	c := dial(t, address)
	sendRequest = func() {
		_, err := io.WriteString(c, "GET /x HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
	}
	sendRequest()
	nettest.Until(t, l, func() bool { return len(h.targets) == 1 })
	return l, s, h, sendRequest
}

// A request arrives in the turn in which its connection reaches the idle timeout. It must be answered.
func TestRequestRacesIdleTimeout(t *testing.T) {
	l, _, h, sendRequest := newServerWithServedClient(t, func(bounds *limits.Limits) {
		bounds.DownstreamIdleTimeout = sweepInterval / 10
	})
	l.After(0, func() { time.Sleep(2 * sweepInterval) }) // the next turn has to process both the request and the sweep
	l.After(time.Millisecond, sendRequest)
	nettest.Until(t, l, func() bool { return len(h.targets) == 2 })
}

// A request arrives while its connection is the candidate for eviction. It must be answered, and the connection kept.
func TestRequestRacesEviction(t *testing.T) {
	l, s, h, sendRequest := newServerWithServedClient(t, func(bounds *limits.Limits) {
		bounds.EvictionGrace = time.Millisecond
	})
	l.After(10*s.bounds.EvictionGrace, func() {
		sendRequest()
		require.False(t, s.evictOne(), "the only connection has just received a request")
	})
	nettest.Until(t, l, func() bool { return len(h.targets) == 2 })
	require.Equal(t, 1, s.OpenConnections())
}
