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

type until func() bool

func (u until) Turn(time.Duration) time.Duration { return 0 }

// pool is one with a single host, which does as it is told with each connection.
func pool(t *testing.T, host func(net.Conn)) (*loop.Loop, *Pool, *told) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go host(c)
		}
	}()
	l, err := loop.New()
	require.NoError(t, err)
	lim, err := limits.For(limits.Site{Sockets: 256, MemoryMB: 64, Gateways: 1})
	require.NoError(t, err)
	lim.FlowSilence, lim.UpstreamIdle = 50*time.Millisecond, time.Minute
	whole, sink := uint64(0), &told{}
	p := New(l, lim, slog.New(slog.DiscardHandler), &whole)
	p.SetSink(sink)
	p.Host("h", ln.Addr().String())
	return l, p, sink
}

// run takes turns until a condition holds.
func run(t *testing.T, l *loop.Loop, cond func() bool) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	var look func()
	done := false
	look = func() {
		if done = cond(); done || time.Now().After(end) {
			l.Stop()
			return
		}
		l.After(time.Millisecond, look)
	}
	l.After(0, look)
	l.Restart()
	require.NoError(t, l.Run(until(nil)))
	require.True(t, done)
}

// A host that takes nothing of a body is given up: it has not run, and what was written is gone.
func TestAHostThatTakesNothingOfABody(t *testing.T) {
	l, p, sink := pool(t, func(net.Conn) {})
	rest := flow.New(64<<10, 64<<20)
	fill := func() { rest.Put(make([]byte, rest.Room())) }
	rest.OnRoom = func() { l.After(0, fill) }
	fill()
	m := &Message{Method: "POST", Target: "/", Rest: rest}
	p.Start(core.Ref{Stream: 1}, "h", m, time.Minute)
	run(t, l, func() bool { return len(sink.outcomes) > 0 })
	require.Equal(t, []admission.Outcome{admission.Unreachable}, sink.outcomes)
	require.True(t, m.Gone())
	require.Zero(t, p.Connections())
}

// A host that has begun a long answer and says no more is given up, and who takes the answer can tell.
func TestAHostThatGivesNoMore(t *testing.T) {
	l, p, sink := pool(t, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nbegin") })
	p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
	run(t, l, func() bool { return len(sink.outcomes) > 0 })
	require.Equal(t, []admission.Outcome{admission.OK}, sink.outcomes)
	rest := Rest(sink.answers[0])
	require.Equal(t, int64(100000), rest.Length)
	run(t, l, rest.Broken)
	require.Zero(t, p.Connections())
}

// An answer that nobody takes any more lets go of its connection.
func TestALongAnswerThatNobodyTakes(t *testing.T) {
	l, p, sink := pool(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n")
		_, _ = c.Write(make([]byte, 10000000))
	})
	p.Start(core.Ref{Stream: 1}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
	run(t, l, func() bool { return len(sink.outcomes) > 0 && len(Rest(sink.answers[0]).Next()) > 0 })
	require.Equal(t, 1, p.Connections())
	Rest(sink.answers[0]).Drop()
	require.Zero(t, p.Connections())
}
