package counter

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// During an upgrade the new process uses fewer connections until the old one has closed its own, since the counter resets
// connections above its limit. Resize must not disturb calls in flight, and Drain must wait for them.
func TestResizeAndDrain(t *testing.T) {
	var opened atomic.Int32
	hold := make(chan struct{})
	sink, c := newTestClient(t, func(conn net.Conn) {
		opened.Add(1)
		defer conn.Close()
		r := bufio.NewReader(conn)
		for n := 1; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Path == "/counters/held" {
				<-hold
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
		}
	})
	c.bounds.MaxPendingCounterCalls, c.bounds.CounterCallTimeout = 100, time.Minute
	c.Resize(3)
	for i := range 60 {
		c.Add(fmt.Sprint("n", i), 1, time.Second)
	}
	stage, drained := 0, false
	sink.onTurn = func() {
		switch {
		case stage == 0 && len(sink.results) == 60:
			require.LessOrEqual(t, int(opened.Load()), 3)
			c.Resize(8)
			for i := range 200 {
				c.Add(fmt.Sprint("m", i), 1, time.Second)
			}
			stage = 1
		case stage == 1 && len(sink.results) == 260:
			require.EqualValues(t, 8, opened.Load())
			c.Add("held", 1, time.Second)
			c.Drain(func() { drained = true; sink.loop.Stop() })
			stage = 2
			sink.loop.After(20*time.Millisecond, func() {
				open := 0
				for _, cn := range c.conns {
					if cn.source != nil {
						open++
					}
				}
				require.Equal(t, 1, open, "one connection still has a call in flight")
				require.False(t, drained)
				close(hold)
			})
		}
	}
	require.NoError(t, sink.loop.Run(sink))
	require.True(t, drained)
	require.Len(t, sink.results, 261)
	for _, cn := range c.conns {
		require.Nil(t, cn.source)
	}
	for _, result := range sink.results {
		require.Equal(t, 1.0, result.Total)
	}
}
