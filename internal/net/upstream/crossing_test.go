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

// ask is a request that may run again; the time it is given does not matter here.
func ask(p *Pool, n int) {
	p.Start(core.Ref{Stream: uint64(n)}, "h", &Message{Method: "GET", Target: "/"}, time.Minute)
}

// ends takes turns until so many have ended.
func ends(t *testing.T, l *loop.Loop, sink *told, n int) []admission.Outcome {
	nettest.Until(t, l, func() bool { return len(sink.outcomes) >= n })
	return sink.outcomes
}

// silent is a host that takes connections and tells of each request that comes.
func silent(t *testing.T) (l *loop.Loop, p *Pool, sink *told, asked chan struct{}) {
	asked = make(chan struct{}, 8)
	l, p, sink = pool(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			asked <- struct{}{}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	return l, p, sink, asked
}

// A host is told to leave, or is gone, or has moved, while a request waits for its connection: that has not run and goes
// there no more, however soon the connection comes up.
func TestAHostLeavesWhileAConnectionComesUp(t *testing.T) {
	for name, news := range map[string]func(*Pool, *host){
		"leaves": func(p *Pool, h *host) { p.Host("h", h.addr, 0, true) },
		"gone":   func(p *Pool, _ *host) { p.Gone("h") },
		"moved":  func(p *Pool, _ *host) { p.Host("h", "127.0.0.1:1", 0, false) },
	} {
		l, p, sink, asked := silent(t)
		h := p.hosts["h"]
		addr := h.addr
		ask(p, 1) // the kernel may have it up already; this turn does not know
		news(p, h)
		require.Equal(t, []admission.Outcome{admission.NotSent}, sink.outcomes, name)
		require.Zero(t, p.OpenConnections(), name)
		p.Host("h", addr, 0, false) // what comes back, under its name, is used anew
		ask(p, 2)
		require.Equal(t, admission.OK, ends(t, l, sink, 2)[1], name)
		require.Len(t, asked, 1, name)
	}
}

// What was chosen before the list came is not begun after it; what is out goes on, and its connection is not kept.
func TestAHostLeavesBesideChosenAndRunning(t *testing.T) {
	release := make(chan struct{})
	l, p, sink := pool(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			<-release
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	ask(p, 1)
	nettest.Until(t, l, func() bool { return *p.whole == 1 })
	p.Host("h", p.hosts["h"].addr, 0, true)
	ask(p, 2)
	require.Equal(t, []admission.Outcome{admission.NotSent}, sink.outcomes)
	close(release)
	require.Equal(t, admission.OK, ends(t, l, sink, 2)[1])
	require.Zero(t, p.OpenConnections())
}

// A host that has begun anew, or is at another address, gets none of what stands to the process before.
func TestConnectionsToTheProcessBefore(t *testing.T) {
	l, p, sink, _ := silent(t)
	ask(p, 1)
	ends(t, l, sink, 1)
	require.Equal(t, 1, p.OpenConnections())
	p.Host("h", p.hosts["h"].addr, 5, false)
	require.Zero(t, p.OpenConnections())
	ask(p, 2)
	nettest.Until(t, l, func() bool { return *p.whole == 2 })
	p.Host("h", "127.0.0.1:1", 5, false)
	require.Equal(t, admission.OK, ends(t, l, sink, 2)[1])
	require.Zero(t, p.OpenConnections(), "it was to the old address")
}

// A connection that another process of this ingress hands over is not kept where its host has meanwhile left.
func TestAConnectionIsHandedOverToALeavingHost(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		l, p, sink, _ := silent(t)
		ask(p, 1)
		ends(t, l, sink, 1)
		var fds []int
		p.HandOver(func(_ string, _ time.Duration, fd int) { fds = append(fds, fd) })
		p.StopHandOver()
		require.Len(t, fds, 1)
		p.Host("h", p.hosts["h"].addr, 0, leaving)
		require.NoError(t, p.AdoptConnection("h", 0, fds[0]))
		require.Equal(t, !leaving, p.OpenConnections() == 1)
	}
}

// The host's end of a kept connection waits to be read when the next request comes: that goes on another.
func TestTheEndOfAKeptConnectionCrossesTheNextRequest(t *testing.T) {
	closed := make(chan struct{})
	var second atomic.Bool
	l, p, sink := pool(t, func(c net.Conn) {
		if second.Swap(true) {
			serveOn(c, -1)
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-closed
		_ = c.Close()
		closed <- struct{}{}
	})
	ask(p, 1)
	ends(t, l, sink, 1)
	closed <- struct{}{}
	<-closed // its end has come, and no turn has read it
	ask(p, 2)
	require.Equal(t, []admission.Outcome{admission.OK, admission.OK}, ends(t, l, sink, 2))
	require.Equal(t, 1, p.OpenConnections())
}

// A second answer to one request, late by less than one may be, is taken for no other's: the next may have run, and what
// must not run twice never meets it.
func TestASecondAnswerComesLate(t *testing.T) {
	second, both := make(chan struct{}), make(chan struct{})
	var other atomic.Bool
	l, p, sink := pool(t, func(c net.Conn) {
		if other.Swap(true) {
			serveOn(c, -1)
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-second
		_, _ = http.ReadRequest(r) // the next one has come before the noise does
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")
		close(both)
	})
	p.lim.UpstreamReuseDelay = time.Hour
	ask(p, 1)
	ends(t, l, sink, 1)
	p.noisyAt = l.Now() // second answers have been seen, see below
	p.Start(core.Ref{Stream: 2}, "h", &Message{Method: "POST", Target: "/", AtMostOnce: true}, time.Minute)
	ends(t, l, sink, 2)
	require.Equal(t, "ok", string(sink.answers[1].Body))
	p.hosts["h"].idle = p.hosts["h"].idle[:1] // the first of them is the most recent again
	ask(p, 3)
	close(second)
	require.Equal(t, []admission.Outcome{admission.OK, admission.OK, admission.Broken}, ends(t, l, sink, 3))
	<-both
	require.Empty(t, p.hosts["h"].idle)
}

// Where no second answer was ever seen a host may be as fast as it likes. One that is late on a connection at rest ends
// that, and is remembered, whether it is read at once or when the next request is about to be written.
func TestSecondAnswersAreSeen(t *testing.T) {
	second, both := make(chan struct{}), make(chan struct{})
	for _, waits := range []bool{true, false} {
		l, p, sink := pool(t, func(c net.Conn) {
			r := bufio.NewReader(c)
			for range 2 {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			<-second
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")
			both <- struct{}{}
		})
		p.lim.UpstreamReuseDelay = time.Hour
		ask(p, 1)
		ends(t, l, sink, 1)
		ask(p, 2)
		require.Equal(t, []admission.Outcome{admission.OK, admission.OK}, ends(t, l, sink, 2))
		require.Equal(t, 1, p.OpenConnections())
		require.Zero(t, p.noisyAt)
		second <- struct{}{}
		<-both
		if waits {
			nettest.Until(t, l, func() bool { return p.OpenConnections() == 0 })
		} else {
			ask(p, 3) // on a new one
		}
		require.NotZero(t, p.noisyAt)
	}
}

// A request that waits for its connection can be taken back, one that is written can't; to give that up tells so.
func TestWhatIsNotWrittenIsTakenBack(t *testing.T) {
	l, p, sink, asked := silent(t)
	ask(p, 1)
	require.True(t, p.Withdraw(core.Ref{Stream: 1}))
	require.False(t, p.Withdraw(core.Ref{Stream: 1}))
	ask(p, 2)
	require.False(t, p.Cancel(core.Ref{Stream: 2}))
	ask(p, 3)
	nettest.Until(t, l, func() bool { return *p.whole == 1 })
	require.False(t, p.Withdraw(core.Ref{Stream: 3}))
	require.True(t, p.Cancel(core.Ref{Stream: 3}))
	require.Empty(t, sink.outcomes)
	<-asked
	require.Empty(t, asked)
}

// A connection comes up late, or the process stood still: the host is told what is left of the time then, and a request
// whose time is up is not written.
func TestTheTimeThatAHostIsToldWhereItsConnectionComesUpLate(t *testing.T) {
	const (
		wait  = 600 * time.Millisecond
		stood = 200 * time.Millisecond
	)
	told := make(chan string, 2)
	l, p, sink := pool(t, func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			told <- r.Header.Get("Request-Timeout")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		}
	})
	start := func(n int, wait time.Duration) {
		nettest.Until(t, l, func() bool { return true })
		p.Start(core.Ref{Stream: uint64(n)}, "h", &Message{Method: "GET", Target: "/"}, wait)
		time.Sleep(stood) // as if stopped
	}
	start(1, wait)
	require.Equal(t, []admission.Outcome{admission.OK}, ends(t, l, sink, 1))
	left, err := time.ParseDuration(<-told + "s")
	require.NoError(t, err)
	require.LessOrEqual(t, left, wait-stood)
	start(2, stood/2)
	require.Equal(t, admission.NotSent, ends(t, l, sink, 2)[1], "it can't have run, by no fault of the host's")
	require.Empty(t, told)
}

// What this machine is short of for a moment tells nothing of the host.
func TestAShortageOfThisMachineIsNoFaultOfTheHost(t *testing.T) {
	require.Equal(t, admission.NotSent, dialOutcome(fmt.Errorf("dial: %w", unix.ENOBUFS)))
	require.Equal(t, admission.Unreachable, dialOutcome(fmt.Errorf("dial: %w", unix.ECONNREFUSED)))
	require.Equal(t, admission.Unreachable, dialOutcome(errFull))
}
