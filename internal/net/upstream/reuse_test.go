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

// serveRequests answers limit requests on a connection and resets it at the next; negative: never.
func serveRequests(c net.Conn, limit int) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if n == limit {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// Hosts reset reused connections at the next request. At-most-once requests must then use new connections, while the
// others go on reusing, and the number of idle connections must not grow.
func TestAtMostOnceAvoidsReuseAfterResets(t *testing.T) {
	var dials, limit atomic.Int32
	limit.Store(1)
	l, p, sink := newTestPool(t, func(c net.Conn) {
		dials.Add(1)
		serveRequests(c, int(limit.Load()))
	})
	n := 0
	send := func(atMostOnce bool) admission.Outcome {
		n++
		p.Start(core.Ref{Stream: uint64(n)}, "h", &Message{Method: "POST", Target: "/", AtMostOnce: atMostOnce}, time.Minute)
		nettest.Until(t, l, func() bool { return len(sink.outcomes) == n })
		return sink.outcomes[n-1]
	}
	lost := 0
	for range 40 {
		if send(false) != admission.OK {
			lost++
		}
	}
	require.Equal(t, 20, lost, "every second request meets a reused connection that is reset")
	for range 20 {
		require.Equal(t, admission.OK, send(true))
	}
	require.LessOrEqual(t, p.OpenConnections(), 1)
	// Once hosts stop resetting, the outcomes of the other requests lower the reset rate, and reuse resumes.
	limit.Store(-1)
	for range 600 {
		send(false)
	}
	before := dials.Load()
	for range 20 {
		require.Equal(t, admission.OK, send(true))
	}
	require.Equal(t, before, dials.Load(), "unnecessary handshake")
}

// Hosts that reset new connections as often as reused ones must not prevent reuse: a handshake would gain nothing.
func TestResetsOfNewConnectionsDoNotPreventReuse(t *testing.T) {
	var r resetStats
	for i := range 1000 {
		r.record(0, i%2 == 0, i%20 < 2)
	}
	require.False(t, r.isReuseRisky(0))
	for i := range 100 {
		r.record(0, true, i%20 == 0)
	}
	require.False(t, r.isReuseRisky(0), "5%% resets, as on new connections")
}
