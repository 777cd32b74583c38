package upstream

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// recordingSink records the outcomes and answers of upstream requests.
type recordingSink struct {
	outcomes []admission.Outcome
	answers  []core.Answer
}

func (s *recordingSink) UpstreamEnded(_ time.Duration, _ core.Ref, o admission.Outcome, a core.Answer) {
	s.outcomes, s.answers = append(s.outcomes, o), append(s.answers, a)
}
func (*recordingSink) ProbeEnded(time.Duration, core.Ref, admission.Outcome) {}

// newTestPool returns a pool with a single host named "h". The function host serves each connection to it.
func newTestPool(t *testing.T, host func(net.Conn)) (*loop.Loop, *Pool, *recordingSink) {
	address := nettest.Serve(t, func(c net.Conn) {
		t.Cleanup(func() { c.Close() })
		host(c)
	})
	l, err := loop.New()
	require.NoError(t, err)
	bounds, err := limits.For(limits.Site{Sockets: 256, MemoryMB: 64, Ingresses: 1})
	require.NoError(t, err)
	bounds.RelayStallTimeout, bounds.UpstreamIdleTimeout, bounds.UpstreamReuseDelay = 50*time.Millisecond, time.Minute, 0
	requestsWritten, sink := uint64(0), &recordingSink{}
	p := New(l, bounds, slog.New(slog.DiscardHandler), &requestsWritten)
	p.SetSink(sink)
	p.SetHost("h", address, 0, false)
	return l, p, sink
}

// A host stops reading a request body. The request must fail as unreachable, since it can't have run, and its message
// can't be sent again, since part of the body is consumed.
func TestHostStopsReadingBody(t *testing.T) {
	l, p, sink := newTestPool(t, func(net.Conn) {})
	body := flow.New(64<<10, 64<<20)
	fill := func() { body.Append(make([]byte, body.FreeSpace())) }
	body.OnFreeSpace = func() { l.After(0, fill) }
	fill()
	m := &Message{Method: "POST", Target: "/", BodyPipe: body}
	p.Start(core.Ref{Stream: 1}, "h", m, time.Minute)
	nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 })
	require.Equal(t, []admission.Outcome{admission.Unreachable}, sink.outcomes)
	require.True(t, m.Gone())
	require.Zero(t, p.OpenConnections())
}

// A host stalls in the middle of a relayed response. The connection must be closed, and the pipe marked as truncated.
func TestHostStallsDuringResponse(t *testing.T) {
	l, p, sink := newTestPool(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nbegin")
	})
	p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
	nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 })
	require.Equal(t, []admission.Outcome{admission.OK}, sink.outcomes)
	body := RelayedBody(sink.answers[0])
	require.Equal(t, int64(100000), body.ContentLength)
	nettest.Until(t, l, body.IsTruncated)
	require.Zero(t, p.OpenConnections())
}

// The client of a relayed response disconnects. The upstream connection must be closed.
func TestDroppedRelayClosesConnection(t *testing.T) {
	l, p, sink := newTestPool(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n")
		_, _ = c.Write(make([]byte, 10000000))
	})
	p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
	nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 && len(RelayedBody(sink.answers[0]).Bytes()) > 0 })
	require.Equal(t, 1, p.OpenConnections())
	RelayedBody(sink.answers[0]).CloseRead()
	require.Zero(t, p.OpenConnections())
}

// X-Units-Charged is passed on with a successful response. A value that is not a whole number from 1 up is ignored.
func TestChargedUnits(t *testing.T) {
	for header, want := range map[string]int{"X-Units-Charged: 4\r\n": 4, "X-Units-Charged: four\r\n": 0,
		"X-Units-Charged: 0\r\n": 0, "": 0} {
		l, p, sink := newTestPool(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\n\r\nok")
		})
		p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
		nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 })
		require.Equal(t, []admission.Outcome{admission.OK}, sink.outcomes)
		require.Equal(t, want, sink.answers[0].Billed, header)
	}
}
