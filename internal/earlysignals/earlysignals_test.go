package earlysignals

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A crowd of SIGHUPs that nobody has taken yet ends no process, and crowds out no other signal.
func TestACrowdOfHangups(t *testing.T) {
	others := make(chan os.Signal, 1)
	signal.Notify(others, syscall.SIGTERM)
	defer signal.Reset(syscall.SIGTERM)
	for range 10 * cap(Hangups) {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(time.Millisecond) // the same signal twice at a time is one
	}
	require.Len(t, Hangups, cap(Hangups))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case got := <-others:
		require.Equal(t, syscall.SIGTERM, got)
	case <-time.After(10 * time.Second):
		require.Fail(t, "SIGTERM is lost")
	}
}
