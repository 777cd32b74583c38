package counter

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// desk takes the answers of calls and ends the loop when told to.
type desk struct {
	l    *loop.Loop
	got  []admission.CounterAnswered
	each func()
}

func (d *desk) CounterCallEnded(ev admission.CounterAnswered) { d.got = append(d.got, ev) }

func (d *desk) Turn(time.Duration) time.Duration {
	d.each()
	return 0
}

func setUp(t *testing.T, serve func(net.Conn)) (*desk, *Client) {
	l, err := loop.New()
	require.NoError(t, err)
	lim := limits.Limits{MaxHeaderBytes: 1 << 10, MaxBufferedBodyBytes: 1 << 10, DialTimeout: 5 * time.Second, CounterConns: 1,
		MaxPendingCounterCalls: 2, CounterCallTimeout: 30 * time.Millisecond, CounterIdleTimeout: time.Minute, CounterSilenceTimeout: time.Minute, CounterMoveTimeout: time.Minute,
		InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond}
	d := &desk{l: l}
	c := New(l, lim, slog.New(slog.DiscardHandler), nettest.Serve(t, serve))
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
	require.Equal(t, []admission.Outcome{admission.TimedOut, admission.OK, admission.Unreachable}, outcomes(d.got))
	require.Equal(t, 2.5, d.got[1].Total, "the second call's own total")
}

// A connection that breaks after a call was written: it may have been added, so it must not be given back.
func TestACallThatWasCutOffMayHaveBeenAdded(t *testing.T) {
	heard := make(chan string, 1)
	d, c := setUp(t, func(conn net.Conn) {
		b := make([]byte, 256)
		n, _ := conn.Read(b)
		heard <- string(b[:n])
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
	call := <-heard
	require.True(t, strings.HasPrefix(call, "POST /counters/q1.a?by=-2.5&expire_ms=2 HTTP/1.1\r\n"), call)
}

func outcomes(got []admission.CounterAnswered) (o []admission.Outcome) {
	for _, ev := range got {
		o = append(o, ev.Outcome)
	}
	return o
}

// A call that ends at once, since too many wait, must not overtake those of its name that are still out:
// the decision module takes answers in the order of calls.
func TestAnswersOfANameComeInTheOrderOfItsCalls(t *testing.T) {
	d, c := setUp(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for i := range 3 {
		c.Add("n", float64(i), time.Second)
	}
	require.Empty(t, d.got)
	d.each = func() {
		if len(d.got) == 3 {
			d.l.Stop()
		}
	}
	require.NoError(t, d.l.Run(d))
	require.Equal(t, []admission.Outcome{admission.TimedOut, admission.TimedOut, admission.Unreachable}, outcomes(d.got))
}

// An answer without a number: the amount was added, and nothing behind it on the connection can be trusted.
func TestAnAnswerWithoutANumberEndsItsConnection(t *testing.T) {
	closed := make(chan struct{})
	var log strings.Builder
	d, c := setUp(t, func(conn net.Conn) {
		b := make([]byte, 256)
		_, _ = conn.Read(b)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nx!yHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n9")
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	c.Add("n", 1, time.Second)
	c.Add("n", 1, time.Second)
	d.each = func() {
		if len(d.got) == 2 {
			d.l.Stop()
		}
	}
	require.NoError(t, d.l.Run(d))
	require.Equal(t, []admission.Outcome{admission.TimedOut, admission.TimedOut}, outcomes(d.got))
	<-closed
	c.log = slog.New(slog.NewTextHandler(&log, nil))
	for range 5 { // lost and back again and again: told of now and then
		c.lost = false
		c.conns[0].lost("spoilt")
	}
	require.Empty(t, log.String(), "it was told a moment ago")
}

// After a move new calls go to the new address; the one that is out still gets its answer at the old, and
// is told first, since it was made first.
func TestMove(t *testing.T) {
	release := make(chan struct{})
	d, c := setUp(t, func(conn net.Conn) {
		<-release
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
	})
	c.lim.CounterCallTimeout = time.Minute
	c.Add("n", 1, time.Second)
	c.SetAddr(nettest.Serve(t, func(conn net.Conn) {
		b := make([]byte, 256)
		_, _ = conn.Read(b)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
	}))
	c.Add("n", 1, time.Second)
	released := false
	d.each = func() {
		if q := c.turns["n"]; len(q) == 2 && q[1].ended && !released {
			require.Empty(t, d.got)
			released = true
			close(release)
		}
		if len(d.got) == 2 {
			d.l.Stop()
		}
	}
	require.NoError(t, d.l.Run(d))
	require.Equal(t, []float64{1, 2}, []float64{d.got[0].Total, d.got[1].Total})
}

// A connection that waits on an answer shorter than its length is given up once another connection is
// answered meanwhile: the counter works, and else every call behind would run out of time, one by one,
// until the connection's silence is long. Here the names slow and fine go by connections 0 and 1.
func TestAConnectionStuckBehindAnAnswerIsGivenUp(t *testing.T) {
	var spoilt atomic.Bool
	d, c := setUp(t, func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			for head, _ := r.ReadString('\n'); head != "\r\n" && head != ""; head, _ = r.ReadString('\n') {
			}
			if strings.Contains(line, "/counters/slow") && spoilt.CompareAndSwap(false, true) {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n1")
				_, _ = io.Copy(io.Discard, conn)
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
		}
	})
	c.lim.MaxPendingCounterCalls, c.lim.CounterStuckTimeout = 8, 120*time.Millisecond
	c.conns = make([]*conn, 2)
	c.fresh()
	var ask func()
	ask = func() {
		c.Add("slow", 1, time.Second)
		c.Add("fine", 1, time.Second)
		d.l.After(20*time.Millisecond, ask)
	}
	d.l.After(0, ask)
	began := d.l.Now()
	answered := func() bool {
		for _, ev := range d.got {
			if ev.Name == "slow" && ev.Outcome == admission.OK {
				return true
			}
		}
		return false
	}
	nettest.Until(t, d.l, answered)
	require.True(t, answered(), "the stuck connection was kept")
	require.True(t, spoilt.Load())
	require.Less(t, d.l.Now()-began, c.lim.CounterSilenceTimeout, "given up before its silence ran out")
}

// Moves and changes of the number of connections in quick succession, each with calls out: every connection that is left
// ends in its own time, with the calls that are out on it, and nothing is left of any.
func TestConnectionsThatAreLeftInQuickSuccession(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	silent := func(conn net.Conn) {
		defer conn.Close()
		<-hold
	}
	d, c := setUp(t, silent)
	c.lim.CounterMoveTimeout = 60 * time.Millisecond
	const moves = 6
	moved := 0
	var move func()
	move = func() {
		c.Add(fmt.Sprint("n", moved), 1, time.Second)
		if moved++; moved%3 == 0 {
			c.Resize(1 + moved)
		} else {
			c.SetAddr(nettest.Serve(t, silent))
		}
		if moved < moves {
			d.l.After(15*time.Millisecond, move)
		}
	}
	d.l.After(0, move)
	d.each = func() {
		if moved == moves && len(d.got) == moves && len(c.retired) == 0 {
			d.l.Stop()
		}
	}
	d.l.After(5*time.Second, func() { t.Error("something is left"); d.l.Stop() })
	require.NoError(t, d.l.Run(d))
	require.Equal(t, slices.Repeat([]admission.Outcome{admission.TimedOut}, moves), outcomes(d.got))
}
