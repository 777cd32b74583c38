package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// serveOn answers so many requests of a connection and resets it at the next, negative: never.
func serveOn(c net.Conn, most int) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if n == most {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// Where hosts reset kept connections at the next request, requests that must not run twice go on new ones; the
// others go on as before, and the number of connections kept does not grow.
func TestOnceGoesOnANewConnectionWhereKeptOnesAreReset(t *testing.T) {
	var dials, most atomic.Int32
	most.Store(1)
	l, p, sink := pool(t, func(c net.Conn) {
		dials.Add(1)
		serveOn(c, int(most.Load()))
	})
	n := 0
	one := func(once bool) admission.Outcome {
		n++
		p.Start(core.Ref{Stream: uint64(n)}, "h", &Message{Method: "POST", Target: "/", AtMostOnce: once}, time.Minute)
		nettest.Until(t, l, func() bool { return len(sink.outcomes) == n })
		return sink.outcomes[n-1]
	}
	lost := 0
	for range 40 {
		if one(false) != admission.OK {
			lost++
		}
	}
	require.Equal(t, 20, lost, "every second request meets a kept connection that is reset")
	for range 20 {
		require.Equal(t, admission.OK, one(true))
	}
	require.LessOrEqual(t, p.OpenConnections(), 1)
	// Hosts that have come to keep theirs are believed again, by what the other requests see.
	most.Store(-1)
	for range 600 {
		one(false)
	}
	before := dials.Load()
	for range 20 {
		require.Equal(t, admission.OK, one(true))
	}
	require.Equal(t, before, dials.Load(), "a handshake for nothing")
}

// Hosts that reset new connections as often as kept ones give no cause for a handshake.
func TestResetsOfAnyConnectionAreNoCauseForNewOnes(t *testing.T) {
	var r reuse
	for i := range 1000 {
		r.learn(0, i%2 == 0, i%20 < 2)
	}
	require.False(t, r.risky(0))
	for i := range 100 {
		r.learn(0, true, i%20 == 0)
	}
	require.False(t, r.risky(0), "5%% as on new ones")
}
