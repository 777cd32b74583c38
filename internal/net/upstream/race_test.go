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

// Guards against clients that get the response made for another request: a late duplicate response was taken for the response
// to the next request on its connection, and each later response for that of the request after its own. The connection must
// not be used while a duplicate may arrive, and be closed by one.
func TestConnectionRestsWhileDuplicateMayArrive(t *testing.T) {
	sendDuplicate := make(chan struct{})
	var dials atomic.Int32
	l, p, sink := newTestPool(t, func(c net.Conn) {
		isFirst := dials.Add(1) == 1
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			body := fmt.Sprintf("%v%d", isFirst, n)
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			if isFirst {
				<-sendDuplicate
				_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			}
		}
	})
	p.bounds.UpstreamReuseDelay = time.Hour
	for n := 1; n <= 3; n++ {
		startGet(p, n)
		waitForOutcomes(t, l, sink, n)
	}
	bodies := []string{string(sink.answers[0].Body), string(sink.answers[1].Body), string(sink.answers[2].Body)}
	require.Equal(t, []string{"true0", "false0", "false0"}, bodies)
	require.Equal(t, 3, p.OpenConnections())
	sendDuplicate <- struct{}{}
	nettest.Until(t, l, func() bool { return p.OpenConnections() == 2 })
	p.bounds.UpstreamReuseDelay = 0 // as if the time had passed
	startGet(p, 4)
	waitForOutcomes(t, l, sink, 4)
	require.Equal(t, "false1", string(sink.answers[3].Body))
	require.EqualValues(t, 3, dials.Load(), "a connection that has rested is used again")
}

// At the connection limit connections do not rest. A duplicate response within the time in which one may arrive must not be
// taken for the response to the next request, which ends as broken because it may have run. An at-most-once request must not
// use the connection.
func TestLateDuplicateResponse(t *testing.T) {
	sendDuplicate, sent := make(chan struct{}), make(chan struct{})
	var isSecondConn atomic.Bool
	l, p, sink := newTestPool(t, func(c net.Conn) {
		if isSecondConn.Swap(true) {
			serveRequests(c, -1)
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-sendDuplicate
		_, _ = http.ReadRequest(r) // the next request arrives before the duplicate is sent
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")
		close(sent)
	})
	p.bounds.UpstreamReuseDelay = time.Hour
	startGet(p, 1)
	waitForOutcomes(t, l, sink, 1)
	p.unsolicitedAt = l.Now() // as if unsolicited bytes had been received, as in the test below
	p.Start(core.Ref{Stream: 2}, "h", &Message{Method: "POST", Target: "/", AtMostOnce: true}, time.Minute)
	waitForOutcomes(t, l, sink, 2)
	require.Equal(t, "ok", string(sink.answers[1].Body))
	p.hosts["h"].idle = p.hosts["h"].idle[:1] // leaves only the first connection for reuse
	p.bounds.MaxUpstreamConns = p.OpenConnections()
	startGet(p, 3)
	close(sendDuplicate)
	require.Equal(t, []admission.Outcome{admission.OK, admission.OK, admission.Broken}, waitForOutcomes(t, l, sink, 3))
	<-sent
	require.Empty(t, p.hosts["h"].idle)
}

// Without unsolicited bytes, a connection is reused however soon the next request follows at the connection limit. A late
// duplicate response on an idle connection must close it and be recorded, whether the loop reads it or the next request
// finds it.
func TestUnsolicitedBytesAreDetected(t *testing.T) {
	sendDuplicate, sent := make(chan struct{}), make(chan struct{})
	for _, readByLoop := range []bool{true, false} {
		l, p, sink := newTestPool(t, func(c net.Conn) {
			r := bufio.NewReader(c)
			for range 2 {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			<-sendDuplicate
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")
			sent <- struct{}{}
		})
		p.bounds.UpstreamReuseDelay, p.bounds.MaxUpstreamConns = time.Hour, 1
		startGet(p, 1)
		waitForOutcomes(t, l, sink, 1)
		startGet(p, 2)
		require.Equal(t, []admission.Outcome{admission.OK, admission.OK}, waitForOutcomes(t, l, sink, 2))
		require.Equal(t, 1, p.OpenConnections())
		require.Zero(t, p.unsolicitedAt)
		sendDuplicate <- struct{}{}
		<-sent
		if readByLoop {
			nettest.Until(t, l, func() bool { return p.OpenConnections() == 0 })
		} else {
			startGet(p, 3) // on a new connection
		}
		require.NotZero(t, p.unsolicitedAt)
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
