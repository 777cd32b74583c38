package standin

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// An address that was in use is kept from others, refuses connections, and can be listened at again.
func TestReservations(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	theirs, err := ln.Accept()
	require.NoError(t, err)
	require.NoError(t, theirs.Close()) // it lingers on our side
	require.NoError(t, c.Close())
	require.NoError(t, ln.Close())
	r, err := reserve(addr)
	require.NoError(t, err)
	_, err = net.Listen("tcp", addr)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	_, err = net.Dial("tcp", addr)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	r.release()
	r.release()
	ln, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, ln.Close())
}
