package counter

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// desk takes the answers of calls and ends the loop when told to.
type desk struct {
	l    *loop.Loop
	got  []admission.CounterAnswered
	each func()
}

func (d *desk) Counted(ev admission.CounterAnswered) { d.got = append(d.got, ev) }

func (d *desk) Turn(time.Duration) time.Duration {
	d.each()
	return 0
}

func setUp(t *testing.T, serve func(net.Conn)) (*desk, *Client) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{HeadBytes: 1 << 10, BodyBytes: 1 << 10, DialLimit: 5 * time.Second, CounterConns: 1,
		CounterPending: 2, CounterLimit: 30 * time.Millisecond, CounterIdle: time.Minute, CounterSilence: time.Minute,
		BackoffFirst: time.Millisecond, BackoffMost: time.Millisecond}
	d := &desk{l: l}
	c := New(l, lim, slog.New(slog.DiscardHandler), ln.Addr().String())
	c.SetSink(d)
	return d, c
}

// A call that has run out of time keeps its place: its answer, when it comes, is not taken for the next
// call's. And what a silent counter is owed is bounded: a further call is not written, so not added.
func TestLateAnswersAreReadInTheirPlace(t *testing.T) {
	release := make(chan struct{})
	d, c := setUp(t, func(conn net.Conn) {
		defer conn.Close()
		<-release
		for _, total := range []string{"1", "2.5"} {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(total), total)
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	c.Add("n", 1, time.Second)
	step := 0
	d.each = func() {
		switch {
		case step == 0 && len(d.got) == 1: // the first has run out of time
			step = 1
			c.Add("n", 1.5, time.Second)
			c.Add("n", 1, time.Second) // one too many
			close(release)
		case step == 1 && len(d.got) == 3:
			d.l.Stop()
		}
	}
	require.NoError(t, d.l.Run(d))
	require.Equal(t, []admission.Outcome{admission.TimedOut, admission.Unreachable, admission.OK},
		[]admission.Outcome{d.got[0].Outcome, d.got[1].Outcome, d.got[2].Outcome})
	require.Equal(t, 2.5, d.got[2].Total, "the second call's own total")
}

// A connection that breaks after a call was written: it may have been added, so it must not be given back.
func TestACallThatWasCutOffMayHaveBeenAdded(t *testing.T) {
	var heard strings.Builder
	d, c := setUp(t, func(conn net.Conn) {
		b := make([]byte, 256)
		n, _ := conn.Read(b)
		heard.Write(b[:n])
		conn.Close()
	})
	c.Add("q1.a", -2.5, 1500*time.Microsecond)
	d.each = func() {
		if len(d.got) > 0 {
			d.l.Stop()
		}
	}
	require.NoError(t, d.l.Run(d))
	require.Equal(t, admission.TimedOut, d.got[0].Outcome)
	require.True(t, strings.HasPrefix(heard.String(), "POST /counters/q1.a?by=-2.5&expire_ms=2 HTTP/1.1\r\n"), heard.String())
}
