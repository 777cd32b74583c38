// Package nettest is what tests of the network parts share.
package nettest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// Serve listens on loopback for the time of a test, has each connection served by a goroutine of its own, and returns
// its address.
func Serve(t *testing.T, serve func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// addressesGiven counts them in this process.
var addressesGiven atomic.Uint32

// FreeAddress returns an address on loopback of which nobody else has the host, so that its port stays free until it is
// used.
func FreeAddress(t *testing.T) string {
	n := addressesGiven.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 32+os.Getpid()%192, n>>8, n&255))
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

type still struct{}

func (still) Turn(time.Duration) time.Duration { return 0 }

// Until takes turns of a loop until a condition holds. The loop may be run again.
func Until(t *testing.T, l *loop.Loop, cond func() bool) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	var look func()
	done := false
	look = func() {
		if done = cond(); done || time.Now().After(end) {
			l.Stop()
			return
		}
		l.After(time.Millisecond, look)
	}
	l.After(0, look)
	require.NoError(t, l.Run(still{}))
	l.ClearStop()
	require.True(t, done)
}
