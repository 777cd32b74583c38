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

// During an upgrade the new process keeps to fewer connections, and the old one gives its own up as soon as they
// owe nothing: the counter resets what is over its bound.
func TestConnectionsAreSharedAndGivenUp(t *testing.T) {
	var opened atomic.Int32
	hold := make(chan struct{})
	d, c := setUp(t, func(conn net.Conn) {
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
	c.lim.MaxPendingCounterCalls, c.lim.CounterCallTimeout = 100, time.Minute
	c.Resize(3)
	for i := range 60 {
		c.Add(fmt.Sprint("n", i), 1, time.Second)
	}
	stage, released := 0, false
	d.each = func() {
		switch {
		case stage == 0 && len(d.got) == 60:
			require.LessOrEqual(t, int(opened.Load()), 3)
			c.Resize(8) // what is out on the first three is not disturbed
			for i := range 200 {
				c.Add(fmt.Sprint("m", i), 1, time.Second)
			}
			stage = 1
		case stage == 1 && len(d.got) == 260:
			require.EqualValues(t, 8, opened.Load())
			c.Add("held", 1, time.Second)
			c.Drain(func() { released = true; d.l.Stop() })
			stage = 2
			d.l.After(20*time.Millisecond, func() {
				open := 0
				for _, k := range c.conns {
					if k.src != nil {
						open++
					}
				}
				require.Equal(t, 1, open, "one still owes an answer")
				require.False(t, released)
				close(hold)
			})
		}
	}
	require.NoError(t, d.l.Run(d))
	require.True(t, released)
	require.Len(t, d.got, 261)
	for _, k := range c.conns {
		require.Nil(t, k.src)
	}
	for _, a := range d.got {
		require.Equal(t, 1.0, a.Total)
	}
}
