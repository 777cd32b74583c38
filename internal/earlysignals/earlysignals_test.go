package earlysignals

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Many SIGHUPs that are not read yet don't end the process, and don't displace another signal.
func TestManyUnreadHangups(t *testing.T) {
	otherSignals := make(chan os.Signal, 1)
	signal.Notify(otherSignals, syscall.SIGTERM)
	defer signal.Reset(syscall.SIGTERM)
	for range 10 * cap(Hangups) {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(time.Millisecond) // the system merges a signal with a pending one of the same number
	}
	require.Len(t, Hangups, cap(Hangups))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case received := <-otherSignals:
		require.Equal(t, syscall.SIGTERM, received)
	case <-time.After(10 * time.Second):
		require.Fail(t, "SIGTERM was not delivered")
	}
}
