package discovery

import (
	"bufio"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

type nobody struct{}

func (nobody) List(admission.ServerList) {}
func (nobody) Host(string, string)       {}
func (nobody) Gone(string)               {}

type turns func()

func (f turns) Turn(time.Duration) time.Duration {
	f()
	return 0
}

func bounds(t *testing.T, doors int) limits.Limits {
	lim, err := limits.For(limits.Site{Sockets: 384, Gateways: doors})
	require.NoError(t, err)
	return lim
}

// Discovery that turns calls away because it is overbooked is not asked the more for it: all doors together
// ask half as often as each by itself would, and ever less.
func TestAFleetDoesNotStormAnOverbookedDiscovery(t *testing.T) {
	const doors = 60
	var calls atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					calls.Add(1)
					_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	l, err := loop.New()
	require.NoError(t, err)
	lim := bounds(t, doors)
	for i := range doors {
		New(l, lim, slog.New(slog.DiscardHandler), ln.Addr().String(), nobody{}, nobody{}, List{}, uint64(i))
	}
	l.After(2500*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(turns(func() {})))
	require.Greater(t, calls.Load(), int64(doors*3/4), "each door asks")
	require.Less(t, calls.Load(), int64(4*doors))
}

// A few doors ask as promptly as ever.
func TestWaitsOfAFewDoorsAreShort(t *testing.T) {
	lim := bounds(t, 3)
	require.LessOrEqual(t, lim.ClusterSpread, 50*time.Millisecond)
	require.Equal(t, lim.BackoffMost, lim.ClusterMost)
	large := bounds(t, 80)
	require.Greater(t, large.ClusterMost, 4*time.Second)
	require.Greater(t, large.ClusterSpread, 200*time.Millisecond)
}

// Ingresses that are released together may be sent requests before they are up. One that asked discovery later
// than the grace of drains would send those to hosts that have long drained, however large the fleet.
func TestFirstWatchesComeWithinTheGraceOfDrains(t *testing.T) {
	for _, doors := range []int{3, 80, 300, 3000} {
		lim, err := limits.For(limits.Site{Sockets: 384, Gateways: doors, DrainGrace: 500 * time.Millisecond})
		require.NoError(t, err)
		require.LessOrEqual(t, lim.ClusterSpread, 250*time.Millisecond)
	}
}
