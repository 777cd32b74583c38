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

// recordingSink records results in order, and calls onTurn at the end of each turn of the loop.
type recordingSink struct {
	loop    *loop.Loop
	results []admission.CounterAnswered
	onTurn  func()
}

func (s *recordingSink) CounterCallEnded(ev admission.CounterAnswered) {
	s.results = append(s.results, ev)
}

func (s *recordingSink) Turn(time.Duration) time.Duration {
	s.onTurn()
	return 0
}

// newTestClient returns a client with one connection, to a server that handles each connection with serve.
func newTestClient(t *testing.T, serve func(net.Conn)) (*recordingSink, *Client) {
	l, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxHeaderBytes: 1 << 10, MaxBufferedBodyBytes: 1 << 10,
		DialTimeout: 5 * time.Second, CounterConns: 1,
		MaxPendingCounterCalls: 2, CounterCallTimeout: 30 * time.Millisecond, CounterIdleTimeout: time.Minute,
		CounterSilenceTimeout: time.Minute, CounterMoveTimeout: time.Minute,
		InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond}
	sink := &recordingSink{loop: l}
	c := New(l, bounds, slog.New(slog.DiscardHandler), nettest.Serve(t, serve))
	c.SetSink(sink)
	return sink, c
}

// The response to a call that timed out must not be taken for the response to the next one. A call beyond
// MaxPendingCounterCalls unanswered ones is not sent.
func TestLateResponseIsMatchedToItsCall(t *testing.T) {
	release := make(chan struct{})
	sink, c := newTestClient(t, func(conn net.Conn) {
		defer conn.Close()
		<-release
		for _, total := range []string{"1", "2.5"} {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(total), total)
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	c.Add("n", 1, time.Second)
	step := 0
	sink.onTurn = func() {
		switch {
		case step == 0 && len(sink.results) == 1: // the first call timed out
			step = 1
			c.Add("n", 1.5, time.Second)
			c.Add("n", 1, time.Second) // above MaxPendingCounterCalls
			close(release)
		case step == 1 && len(sink.results) == 3:
			sink.loop.Stop()
		}
	}
	require.NoError(t, sink.loop.Run(sink))
	require.Equal(t, []admission.Outcome{admission.TimedOut, admission.OK, admission.Unreachable}, outcomes(sink.results))
	require.Equal(t, 2.5, sink.results[1].Total, "the second call gets its own total")
}

// The amount of a call whose connection breaks after the request was written may have been added. Its outcome must not be
// Unreachable, after which the decision module would treat the amount as not added.
func TestResetAfterWriteTimesOut(t *testing.T) {
	requests := make(chan string, 1)
	sink, c := newTestClient(t, func(conn net.Conn) {
		b := make([]byte, 256)
		n, _ := conn.Read(b)
		requests <- string(b[:n])
		conn.Close()
	})
	c.Add("q1.a", -2.5, 1500*time.Microsecond)
	sink.onTurn = func() {
		if len(sink.results) > 0 {
			sink.loop.Stop()
		}
	}
	require.NoError(t, sink.loop.Run(sink))
	require.Equal(t, admission.TimedOut, sink.results[0].Outcome)
	request := <-requests
	require.True(t, strings.HasPrefix(request, "POST /counters/q1.a?by=-2.5&expire_ms=2 HTTP/1.1\r\n"), request)
}

func outcomes(results []admission.CounterAnswered) (list []admission.Outcome) {
	for _, result := range results {
		list = append(list, result.Outcome)
	}
	return list
}

// The result of a call that is refused at once, since too many are unanswered, must not be reported before those of earlier
// calls of its name: the decision module matches results to calls by their order.
func TestResultsOfANameKeepCallOrder(t *testing.T) {
	sink, c := newTestClient(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for i := range 3 {
		c.Add("n", float64(i), time.Second)
	}
	require.Empty(t, sink.results)
	sink.onTurn = func() {
		if len(sink.results) == 3 {
			sink.loop.Stop()
		}
	}
	require.NoError(t, sink.loop.Run(sink))
	require.Equal(t, []admission.Outcome{admission.TimedOut, admission.TimedOut, admission.Unreachable}, outcomes(sink.results))
}

// After a response whose body is not a number the amount may have been added, and what follows on the connection must not be
// read as a response. Repeated losses are logged at most once per lossLogInterval.
func TestMalformedTotalClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	var log strings.Builder
	sink, c := newTestClient(t, func(conn net.Conn) {
		b := make([]byte, 256)
		_, _ = conn.Read(b)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nx!yHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n9")
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	c.Add("n", 1, time.Second)
	c.Add("n", 1, time.Second)
	sink.onTurn = func() {
		if len(sink.results) == 2 {
			sink.loop.Stop()
		}
	}
	require.NoError(t, sink.loop.Run(sink))
	require.Equal(t, []admission.Outcome{admission.TimedOut, admission.TimedOut}, outcomes(sink.results))
	<-closed
	c.log = slog.New(slog.NewTextHandler(&log, nil))
	for range 5 {
		c.lossReported = false
		c.conns[0].recordFailure("malformed response")
	}
	require.Empty(t, log.String(), "logged again within lossLogInterval")
}

// After SetAddr new calls go to the new address. The call in flight completes at the old one, and its result is reported
// first, though the response to the later call comes earlier.
func TestSetAddrKeepsCallsInFlight(t *testing.T) {
	release := make(chan struct{})
	sink, c := newTestClient(t, func(conn net.Conn) {
		<-release
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
	})
	c.bounds.CounterCallTimeout = time.Minute
	c.Add("n", 1, time.Second)
	c.SetAddr(nettest.Serve(t, func(conn net.Conn) {
		b := make([]byte, 256)
		_, _ = conn.Read(b)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
	}))
	c.Add("n", 1, time.Second)
	released := false
	sink.onTurn = func() {
		if queue := c.unreported["n"]; len(queue) == 2 && queue[1].isDone && !released {
			require.Empty(t, sink.results)
			released = true
			close(release)
		}
		if len(sink.results) == 2 {
			sink.loop.Stop()
		}
	}
	require.NoError(t, sink.loop.Run(sink))
	require.Equal(t, []float64{1, 2}, []float64{sink.results[0].Total, sink.results[1].Total})
}

// A response shorter than its Content-Length blocks its connection. It must be closed once another connection gets a
// response, which shows that the counter works: else each call behind it would time out in turn until
// CounterSilenceTimeout has passed. The names slow and fine hash to connections 0 and 1.
func TestStuckConnectionIsClosed(t *testing.T) {
	var truncated atomic.Bool
	sink, c := newTestClient(t, func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			for head, _ := r.ReadString('\n'); head != "\r\n" && head != ""; head, _ = r.ReadString('\n') {
			}
			if strings.Contains(line, "/counters/slow") && truncated.CompareAndSwap(false, true) {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n1")
				_, _ = io.Copy(io.Discard, conn)
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
		}
	})
	c.bounds.MaxPendingCounterCalls, c.bounds.CounterStuckTimeout = 8, 120*time.Millisecond
	c.conns = make([]*conn, 2)
	c.replaceConns()
	var addBoth func()
	addBoth = func() {
		c.Add("slow", 1, time.Second)
		c.Add("fine", 1, time.Second)
		sink.loop.After(20*time.Millisecond, addBoth)
	}
	sink.loop.After(0, addBoth)
	start := sink.loop.Now()
	answered := func() bool {
		for _, result := range sink.results {
			if result.Name == "slow" && result.Outcome == admission.OK {
				return true
			}
		}
		return false
	}
	nettest.Until(t, sink.loop, answered)
	require.True(t, answered(), "the stuck connection was not closed")
	require.True(t, truncated.Load())
	require.Less(t, sink.loop.Now()-start, c.bounds.CounterSilenceTimeout, "closed only after CounterSilenceTimeout")
}

// Changes of address and of the number of connections in quick succession, each with a call in flight: every retired
// connection must expire by its own timer and finish its calls, and none may stay in the list of retired ones.
func TestRetiredConnectionsExpireIndependently(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	silent := func(conn net.Conn) {
		defer conn.Close()
		<-hold
	}
	sink, c := newTestClient(t, silent)
	c.bounds.CounterMoveTimeout = 60 * time.Millisecond
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
			sink.loop.After(15*time.Millisecond, move)
		}
	}
	sink.loop.After(0, move)
	sink.onTurn = func() {
		if moved == moves && len(sink.results) == moves && len(c.retired) == 0 {
			sink.loop.Stop()
		}
	}
	sink.loop.After(5*time.Second, func() { t.Error("results are missing or retired connections remain"); sink.loop.Stop() })
	require.NoError(t, sink.loop.Run(sink))
	require.Equal(t, slices.Repeat([]admission.Outcome{admission.TimedOut}, moves), outcomes(sink.results))
}
