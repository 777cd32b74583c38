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

// told stands for the core.
type told struct {
	outcomes []admission.Outcome
	answers  []core.Answer
}

func (s *told) UpstreamEnded(_ time.Duration, _ core.Ref, o admission.Outcome, a core.Answer) {
	s.outcomes, s.answers = append(s.outcomes, o), append(s.answers, a)
}
func (*told) ProbeEnded(time.Duration, core.Ref, admission.Outcome) {}

// pool is one with a single host, which does as it is told with each connection.
func pool(t *testing.T, host func(net.Conn)) (*loop.Loop, *Pool, *told) {
	addr := nettest.Serve(t, func(c net.Conn) {
		t.Cleanup(func() { c.Close() })
		host(c)
	})
	l, err := loop.New()
	require.NoError(t, err)
	lim, err := limits.For(limits.Site{Sockets: 256, MemoryMB: 64, Ingresses: 1})
	require.NoError(t, err)
	lim.RelayStallTimeout, lim.UpstreamIdleTimeout, lim.UpstreamReuseDelay = 50*time.Millisecond, time.Minute, 0
	whole, sink := uint64(0), &told{}
	p := New(l, lim, slog.New(slog.DiscardHandler), &whole)
	p.SetSink(sink)
	p.Host("h", addr, 0, false)
	return l, p, sink
}

// A host that takes nothing of a body is given up: it has not run, and what was written is gone.
func TestAHostThatTakesNothingOfABody(t *testing.T) {
	l, p, sink := pool(t, func(net.Conn) {})
	rest := flow.New(64<<10, 64<<20)
	fill := func() { rest.Append(make([]byte, rest.FreeSpace())) }
	rest.OnFreeSpace = func() { l.After(0, fill) }
	fill()
	m := &Message{Method: "POST", Target: "/", BodyPipe: rest}
	p.Start(core.Ref{Stream: 1}, "h", m, time.Minute)
	nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 })
	require.Equal(t, []admission.Outcome{admission.Unreachable}, sink.outcomes)
	require.True(t, m.Gone())
	require.Zero(t, p.OpenConnections())
}

// A host that has begun a long answer and says no more is given up, and who takes the answer can tell.
func TestAHostThatGivesNoMore(t *testing.T) {
	l, p, sink := pool(t, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nbegin") })
	p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
	nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 })
	require.Equal(t, []admission.Outcome{admission.OK}, sink.outcomes)
	rest := BodyPipe(sink.answers[0])
	require.Equal(t, int64(100000), rest.ContentLength)
	nettest.Until(t, l, rest.IsTruncated)
	require.Zero(t, p.OpenConnections())
}

// An answer that nobody takes any more lets go of its connection.
func TestALongAnswerThatNobodyTakes(t *testing.T) {
	l, p, sink := pool(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n")
		_, _ = c.Write(make([]byte, 10000000))
	})
	p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
	nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 && len(BodyPipe(sink.answers[0]).Bytes()) > 0 })
	require.Equal(t, 1, p.OpenConnections())
	BodyPipe(sink.answers[0]).CloseRead()
	require.Zero(t, p.OpenConnections())
}

// The true units of a good answer come with it; what is not a whole number from 1 up tells nothing.
func TestTheTrueUnitsOfAnAnswer(t *testing.T) {
	for header, want := range map[string]int{"X-Units-Charged: 4\r\n": 4, "X-Units-Charged: four\r\n": 0,
		"X-Units-Charged: 0\r\n": 0, "": 0} {
		l, p, sink := pool(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\n\r\nok")
		})
		p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
		nettest.Until(t, l, func() bool { return len(sink.outcomes) > 0 })
		require.Equal(t, []admission.Outcome{admission.OK}, sink.outcomes)
		require.Equal(t, want, sink.answers[0].Billed, header)
	}
}
