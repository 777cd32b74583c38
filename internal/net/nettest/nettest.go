// Package nettest holds helpers for tests of the network packages: servers and addresses on loopback, and running an
// event loop until a condition holds. Each helper fails the test on an error. The program itself never imports it.
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

// Serve listens on a TCP port of loopback until the end of the test, calls serve for each connection in a goroutine of
// its own, and returns the address, ip:port. serve has to close the connection.
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

// addressCount is how many addresses FreeAddress has returned in this process.
var addressCount atomic.Uint32

// FreeAddress returns an unused TCP address, ip:port, on loopback. Its IP address differs between calls, and between test
// processes unless their ids are equal modulo 192, so the port stays free until the caller listens on it.
func FreeAddress(t *testing.T) string {
	n := addressCount.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 32+os.Getpid()%192, n>>8, n&255))
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// idleTurner is a Turner that does nothing and asks for no turn.
type idleTurner struct{}

func (idleTurner) Turn(time.Duration) time.Duration { return 0 }

// Until runs a loop on the calling goroutine until cond holds. It checks cond every millisecond, and fails the test after
// 20 seconds. The loop may be run again afterwards.
func Until(t *testing.T, l *loop.Loop, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	var check func()
	isMet := false
	check = func() {
		if isMet = cond(); isMet || time.Now().After(deadline) {
			l.Stop()
			return
		}
		l.After(time.Millisecond, check)
	}
	l.After(0, check)
	require.NoError(t, l.Run(idleTurner{}))
	l.ClearStop()
	require.True(t, isMet)
}
