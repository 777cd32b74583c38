package controlserver

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/tcpstate"
)

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (theirs, ours *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// A member that lives on resets its connection, and no reset may count as the end of its process: also not one of which
// the writer got the report, so that reading ends as if in order.
func TestAResetThatAWriteHasMetIsNoOrderlyEnd(t *testing.T) {
	theirs, ours := tcpPair(t)
	require.NoError(t, theirs.SetLinger(0))
	require.NoError(t, theirs.Close())
	require.Eventually(t, func() bool { return tcpstate.WasReset(ours) }, 10*time.Second, time.Millisecond)
	_, err := ours.Write([]byte("grant"))
	require.Error(t, err)
	_, err = ours.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the report of the reset is gone")
	require.False(t, endedInOrder(ours, err))
}

func TestAnOrderlyEndIsOne(t *testing.T) {
	theirs, ours := tcpPair(t)
	require.NoError(t, theirs.Close())
	_, err := ours.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.True(t, endedInOrder(ours, err))
}
