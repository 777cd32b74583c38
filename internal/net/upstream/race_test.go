package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// startGet starts a request that may be repeated, with a deadline that the test does not reach.
func startGet(p *Pool, n int) {
	p.Start(core.Ref{Stream: uint64(n)}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
}

// waitForOutcomes runs the loop until n requests have ended, and returns their outcomes.
func waitForOutcomes(t *testing.T, l *loop.Loop, sink *recordingSink, n int) []admission.Outcome {
	nettest.Until(t, l, func() bool { return len(sink.outcomes) >= n })
	return sink.outcomes
}

// newTestPoolWithNotifications returns a pool with a host that answers the first request of each connection, and sends
// to received before each answer.
func newTestPoolWithNotifications(t *testing.T) (l *loop.Loop, p *Pool, sink *recordingSink, received chan struct{}) {
	received = make(chan struct{}, 8)
	l, p, sink = newTestPool(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			received <- struct{}{}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	return l, p, sink, received
}

// A host leaves, is removed or moves while a request waits for its connection. The request must end as not sent and
// must not reach the host, even if the connection is established right afterwards.
func TestHostChangesWhileConnecting(t *testing.T) {
	for name, change := range map[string]func(*Pool, *upstreamHost){
		"leaves": func(p *Pool, h *upstreamHost) { p.SetHost("h", h.address, 0, true) },
		"gone":   func(p *Pool, _ *upstreamHost) { p.RemoveHost("h") },
		"moved":  func(p *Pool, _ *upstreamHost) { p.SetHost("h", "127.0.0.1:1", 0, false) },
	} {
		l, p, sink, received := newTestPoolWithNotifications(t)
		h := p.hosts["h"]
		address := h.address
		startGet(p, 1) // the kernel may have established the connection, but this turn does not know
		change(p, h)
		require.Equal(t, []admission.Outcome{admission.NotSent}, sink.outcomes, name)
		require.Zero(t, p.OpenConnections(), name)
		p.SetHost("h", address, 0, false) // a host that returns under its name is used again
		startGet(p, 2)
		require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 2)[1], name)
		require.Len(t, received, 1, name)
	}
}

// A host leaves with one request in progress and another one about to start. The first must complete, and its
// connection be closed. The second must not be sent, although the host was chosen before the change.
func TestHostLeavesWithRequestInProgress(t *testing.T) {
	release := make(chan struct{})
	l, p, sink := newTestPool(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			<-release
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	startGet(p, 1)
	nettest.Until(t, l, func() bool { return *p.requestsWritten == 1 })
	p.SetHost("h", p.hosts["h"].address, 0, true)
	startGet(p, 2)
	require.Equal(t, []admission.Outcome{admission.NotSent}, sink.outcomes)
	close(release)
	require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 2)[1])
	require.Zero(t, p.OpenConnections())
}

// A host restarts or moves. Connections to its previous process must not be reused: requests on them would be lost.
func TestHostRestartsOrMoves(t *testing.T) {
	l, p, sink, _ := newTestPoolWithNotifications(t)
	startGet(p, 1)
	waitForOutcomes(t, l, sink, 1)
	require.Equal(t, 1, p.OpenConnections())
	p.SetHost("h", p.hosts["h"].address, 5, false)
	require.Zero(t, p.OpenConnections())
	startGet(p, 2)
	nettest.Until(t, l, func() bool { return *p.requestsWritten == 2 })
	p.SetHost("h", "127.0.0.1:1", 5, false)
	require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 2)[1])
	require.Zero(t, p.OpenConnections(), "the connection led to the old address")
}

// A host restarts while a request waits until its connection has rested. The request must not be written to the process
// that has ended.
func TestHostRestartsWhileRequestRests(t *testing.T) {
	var conns, requests atomic.Int64
	l, p, sink := newTestPool(t, func(c net.Conn) {
		isFirst := conns.Add(1) == 1
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if n := requests.Add(1); isFirst && n > 1 {
				return // the process that has ended answers nothing more
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p.bounds.UpstreamReuseDelay = 100 * time.Millisecond
	startGet(p, 1)
	waitForOutcomes(t, l, sink, 1)
	startGet(p, 2) // rests
	p.SetHost("h", p.hosts["h"].address, 5, false)
	require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 2)[1])
	require.Equal(t, int64(2), requests.Load())
	require.Equal(t, int64(2), conns.Load())
}

// The predecessor process hands over a connection to a host that has moved or restarted since. A request on it would reach
// whoever is there now.
func TestAdoptConnectionOfMovedOrRestartedHost(t *testing.T) {
	for name, change := range map[string]func(*Pool, *upstreamHost){
		"moved":     func(p *Pool, _ *upstreamHost) { p.SetHost("h", "127.0.0.1:1", 0, false) },
		"restarted": func(p *Pool, h *upstreamHost) { p.SetHost("h", h.address, p.loop.Now()+time.Second, false) },
		"unchanged": func(*Pool, *upstreamHost) {},
	} {
		l, p, sink, _ := newTestPoolWithNotifications(t)
		startGet(p, 1)
		waitForOutcomes(t, l, sink, 1)
		var fds []int
		since := l.Now()
		p.HandOver(func(_ string, _ time.Duration, fd int) { fds = append(fds, fd) })
		p.StopHandOver()
		change(p, p.hosts["h"])
		require.Len(t, fds, 1)
		require.NoError(t, p.AdoptConnection("h", since, fds[0]))
		require.Equal(t, name == "unchanged", p.OpenConnections() == 1, name)
	}
}

// The predecessor process hands over an idle connection to a host that is leaving. The connection must be closed.
func TestAdoptConnectionOfLeavingHost(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		l, p, sink, _ := newTestPoolWithNotifications(t)
		startGet(p, 1)
		waitForOutcomes(t, l, sink, 1)
		var fds []int
		p.HandOver(func(_ string, _ time.Duration, fd int) { fds = append(fds, fd) })
		p.StopHandOver()
		require.Len(t, fds, 1)
		p.SetHost("h", p.hosts["h"].address, 0, leaving)
		require.NoError(t, p.AdoptConnection("h", 0, fds[0]))
		require.Equal(t, !leaving, p.OpenConnections() == 1)
	}
}

// A host closes an idle connection, and the next request starts before the loop has read the end of the stream. The
// request must use another connection.
func TestHostCloseRacesNextRequest(t *testing.T) {
	closed := make(chan struct{})
	var isSecondConn atomic.Bool
	l, p, sink := newTestPool(t, func(c net.Conn) {
		if isSecondConn.Swap(true) {
			serveRequests(c, -1)
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-closed
		_ = c.Close()
		closed <- struct{}{}
	})
	startGet(p, 1)
	waitForOutcomes(t, l, sink, 1)
	closed <- struct{}{}
	<-closed // the end of the stream has arrived, and no turn has read it
	startGet(p, 2)
	require.Equal(t, []admission.Outcome{admission.OK, admission.OK}, waitForOutcomes(t, l, sink, 2))
	require.Equal(t, 1, p.OpenConnections())
}

// duplicatingHost returns a host that answers each request with its number on the connection, and sends the answer to the
// first once more when told; nil: never. connections counts the connections.
func duplicatingHost(sendDuplicate <-chan struct{}, connections *atomic.Int32) func(net.Conn) {
	return func(c net.Conn) {
		connection := connections.Add(1)
		answer := func(request int) {
			body := fmt.Sprintf("%d/%d", connection, request)
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		}
		if connection == 1 && sendDuplicate != nil {
			go func() {
				<-sendDuplicate
				answer(1)
			}()
		}
		r := bufio.NewReader(c)
		for request := 1; ; request++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			answer(request)
		}
	}
}

// Guards against clients that get the response made for another request: a late duplicate response was taken for the response
// to the next request on its connection, and each later response for that of the request after its own. The next request,
// of any class, must wait, and go on another connection when the duplicate arrives, also at the connection limit.
func TestLateDuplicateResponse(t *testing.T) {
	for _, atMostOnce := range []bool{false, true} {
		sendDuplicate, connections := make(chan struct{}), atomic.Int32{}
		l, p, sink := newTestPool(t, duplicatingHost(sendDuplicate, &connections))
		p.bounds.UpstreamReuseDelay, p.bounds.MaxUpstreamConns = time.Hour, 1
		startGet(p, 1)
		waitForOutcomes(t, l, sink, 1)
		p.Start(core.Ref{Stream: 2}, "h", &Message{Method: "POST", Target: "/", AtMostOnce: atMostOnce}, time.Minute)
		require.Len(t, p.active, 1)
		sendDuplicate <- struct{}{}
		require.Equal(t, []admission.Outcome{admission.OK, admission.OK}, waitForOutcomes(t, l, sink, 2))
		require.Equal(t, "1/1", string(sink.answers[0].Body))
		require.Equal(t, "2/1", string(sink.answers[1].Body))
		require.Equal(t, 1, p.OpenConnections())
		require.EqualValues(t, 2, *p.requestsWritten)
	}
}

// A request waits until its connection has rested, and no connection is opened for that. While it waits it can be
// withdrawn, it ends as not sent when the host changes, and it is told the time that is left when it is written.
func TestRequestWaitsUntilConnectionHasRested(t *testing.T) {
	const rest = 50 * time.Millisecond
	connections := atomic.Int32{}
	l, p, sink := newTestPool(t, duplicatingHost(nil, &connections))
	p.bounds.UpstreamReuseDelay = rest
	for n := 1; n <= 3; n++ {
		startGet(p, n)
		started := l.Now()
		waitForOutcomes(t, l, sink, n)
		require.Equal(t, n > 1, l.Now()-started >= rest)
		require.Equal(t, fmt.Sprintf("1/%d", n), string(sink.answers[n-1].Body))
	}
	startGet(p, 4)
	require.True(t, p.Withdraw(core.Ref{Stream: 4}), "it can't have run")
	startGet(p, 5)
	waitForOutcomes(t, l, sink, 4)
	startGet(p, 6)
	p.SetHost("h", p.hosts["h"].address, 0, true)
	require.Equal(t, admission.NotSent, sink.outcomes[4])
	p.SetHost("h", p.hosts["h"].address, 0, false)
	startGet(p, 7)
	waitForOutcomes(t, l, sink, 6)
	p.Start(core.Ref{Stream: 8}, "h", &Message{Method: "GET", Target: "/"}, rest/2)
	require.Equal(t, admission.NotSent, waitForOutcomes(t, l, sink, 7)[6], "its deadline passes before")
	require.EqualValues(t, 3, connections.Load())
	require.EqualValues(t, 5, *p.requestsWritten)
}

// A connection has rested in a turn in which the process stalls. What arrived in the stall is read before its request is
// written, in a later turn.
func TestConnectionHasRestedAfterStall(t *testing.T) {
	const rest, stall = 20 * time.Millisecond, 200 * time.Millisecond
	connections := atomic.Int32{}
	l, p, sink := newTestPool(t, duplicatingHost(nil, &connections))
	p.bounds.UpstreamReuseDelay = rest
	startGet(p, 1)
	waitForOutcomes(t, l, sink, 1)
	// Timers are served in the order of their times, and those of one millisecond in one turn.
	l.At(p.hosts["h"].idle[0].idleSince+rest-time.Microsecond, func() { time.Sleep(stall) })
	startGet(p, 2)
	started := l.Now()
	require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 2)[1])
	require.GreaterOrEqual(t, l.Now()-started, stall)
	require.EqualValues(t, 2, *p.requestsWritten)
}

// The beginning of a long request body waits with its head until the connection has rested.
func TestBodyWaitsUntilConnectionHasRested(t *testing.T) {
	l, p, sink := newTestPool(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		}
	})
	p.bounds.UpstreamReuseDelay = 20 * time.Millisecond
	startGet(p, 1)
	waitForOutcomes(t, l, sink, 1)
	body := flow.New(1<<10, 8)
	p.Start(core.Ref{Stream: 2}, "h", &Message{Method: "POST", Target: "/", BodyPipe: body}, time.Minute)
	body.Append([]byte("begin"))
	body.Append([]byte("end"))
	body.CloseWrite(true)
	require.Equal(t, "beginend", string(body.Bytes()), "nothing is consumed yet")
	require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 2)[1])
	require.Equal(t, "beginend", string(sink.answers[1].Body))
	require.Equal(t, 1, p.OpenConnections())
}

// A duplicate response on an idle connection must close it, whether the loop reads it or the next request finds it.
func TestUnsolicitedBytesAreDetected(t *testing.T) {
	for _, readByLoop := range []bool{true, false} {
		sent := make(chan struct{})
		connections := atomic.Int32{}
		l, p, sink := newTestPool(t, func(c net.Conn) {
			connection := connections.Add(1)
			r := bufio.NewReader(c)
			for range 2 {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			if connection == 1 {
				<-sent
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")
				sent <- struct{}{}
			}
		})
		startGet(p, 1)
		waitForOutcomes(t, l, sink, 1)
		startGet(p, 2)
		require.Equal(t, []admission.Outcome{admission.OK, admission.OK}, waitForOutcomes(t, l, sink, 2))
		require.Equal(t, 1, p.OpenConnections())
		sent <- struct{}{}
		<-sent
		if readByLoop {
			nettest.Until(t, l, func() bool { return p.OpenConnections() == 0 })
		}
		startGet(p, 3) // on a new connection
		require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 3)[2])
		require.Equal(t, "ok", string(sink.answers[2].Body))
		require.EqualValues(t, 2, connections.Load())
	}
}

// A request that waits for its connection can be withdrawn; one that is written can't. Cancel must report whether the
// request may have run.
func TestWithdrawAndCancel(t *testing.T) {
	l, p, sink, received := newTestPoolWithNotifications(t)
	startGet(p, 1)
	require.True(t, p.Withdraw(core.Ref{Stream: 1}))
	require.False(t, p.Withdraw(core.Ref{Stream: 1}))
	startGet(p, 2)
	require.False(t, p.Cancel(core.Ref{Stream: 2}))
	startGet(p, 3)
	nettest.Until(t, l, func() bool { return *p.requestsWritten == 1 })
	require.False(t, p.Withdraw(core.Ref{Stream: 3}))
	require.True(t, p.Cancel(core.Ref{Stream: 3}))
	require.Empty(t, sink.outcomes)
	<-received
	require.Empty(t, received)
}

// A connection is established late, or the process stalls meanwhile. The host must be told the time that is left then,
// and a request whose deadline has passed must not be written.
func TestRequestTimeoutAfterSlowConnect(t *testing.T) {
	const (
		wait  = 600 * time.Millisecond
		stall = 200 * time.Millisecond
	)
	timeouts := make(chan string, 2)
	l, p, sink := newTestPool(t, func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			timeouts <- r.Header.Get("Request-Timeout")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		}
	})
	start := func(n int, wait time.Duration) {
		nettest.Until(t, l, func() bool { return true })
		p.Start(core.Ref{Stream: uint64(n)}, "h", &Message{Method: "GET", Target: "/"}, wait)
		time.Sleep(stall) // as if the process were stopped
	}
	start(1, wait)
	require.Equal(t, []admission.Outcome{admission.OK}, waitForOutcomes(t, l, sink, 1))
	left, err := time.ParseDuration(<-timeouts + "s")
	require.NoError(t, err)
	require.LessOrEqual(t, left, wait-stall)
	start(2, stall/2)
	require.Equal(t, admission.NotSent, waitForOutcomes(t, l, sink, 2)[1],
		"it can't have run, which is not the host's fault")
	require.Empty(t, timeouts)
}

// A shortage of resources on this machine must not count against the host. A refused connection and an exhausted pool
// count as unreachable.
func TestLocalResourceShortageIsNotTheHostsFault(t *testing.T) {
	require.Equal(t, admission.NotSent, dialOutcome(fmt.Errorf("dial: %w", unix.ENOBUFS)))
	require.Equal(t, admission.Unreachable, dialOutcome(fmt.Errorf("dial: %w", unix.ECONNREFUSED)))
	require.Equal(t, admission.Unreachable, dialOutcome(errPoolExhausted))
}
