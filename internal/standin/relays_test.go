package standin

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relays stand before one replica that does not listen, and one that does.
func relays(t *testing.T) (*Relays, net.Listener) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	r, err := NewRelays(2, []string{"127.0.0.1:1", ln.Addr().String()})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r, ln
}

// relayed is a connection through a relay, from both of its ends.
func relayed(t *testing.T) (r *Relays, ingress, replica net.Conn) {
	r, ln := relays(t)
	ingress, err := net.Dial("tcp", r.Addrs(1)[1])
	require.NoError(t, err)
	replica, err = ln.Accept()
	require.NoError(t, err)
	for _, c := range []net.Conn{ingress, replica} {
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	}
	return r, ingress, replica
}

func says(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func hears(t *testing.T, c net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	require.Equal(t, text, string(b))
}

func quiet(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorContains(t, err, "timeout")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
}

func TestRelaysHoldUpOneWay(t *testing.T) {
	r, ingress, replica := relayed(t)
	says(t, ingress, "a")
	hears(t, replica, "a")
	r.Set(func(i, k int, way Direction) bool { return i == 1 && k == 1 && way == ToIngress })
	says(t, ingress, "b")
	hears(t, replica, "b")
	says(t, replica, "c")
	quiet(t, ingress)
	r.Set(nil)
	hears(t, ingress, "c")
}

// An orderly end arrives as one, and a reset as one, both no sooner than the cut is over.
func TestRelaysKeepEndsApart(t *testing.T) {
	_, ingress, replica := relayed(t)
	require.NoError(t, ingress.(*net.TCPConn).CloseWrite())
	_, err := replica.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	says(t, replica, "still")
	hears(t, ingress, "still")

	r, ingress, replica := relayed(t)
	r.Set(func(_, _ int, way Direction) bool { return way == ToReplica })
	reset(ingress)
	quiet(t, replica)
	r.Set(nil)
	_, err = replica.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A reset that the relay meets in writing is passed on as one all the same.
func TestRelaysPassOnAResetMetInWriting(t *testing.T) {
	for range 20 {
		r, ingress, replica := relayed(t)
		r.Set(func(_, _ int, way Direction) bool { return way == ToReplica })
		says(t, ingress, "held")
		reset(ingress)
		for range 20 {
			_, _ = io.WriteString(replica, "x")
			time.Sleep(100 * time.Microsecond)
		}
		r.Set(nil)
		_, err := io.Copy(io.Discard, replica)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		r.Close()
	}
}

// A connection to a replica that is not there is reset, and one that is begun in a cut comes up when that is over.
func TestRelaysBeginConnections(t *testing.T) {
	r, ln := relays(t)
	c, err := net.Dial("tcp", r.Addrs(0)[0])
	if err == nil { // else the reset has come before the connection was seen to be up
		defer c.Close()
		_, err = c.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)

	r.Set(func(_, _ int, way Direction) bool { return way == ToIngress })
	begun, err := net.Dial("tcp", r.Addrs(0)[1])
	require.NoError(t, err)
	defer begun.Close()
	says(t, begun, "a")
	require.NoError(t, ln.(*net.TCPListener).SetDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = ln.Accept()
	require.ErrorContains(t, err, "timeout")
	r.Set(nil)
	require.NoError(t, ln.(*net.TCPListener).SetDeadline(time.Now().Add(10*time.Second)))
	replica, err := ln.Accept()
	require.NoError(t, err)
	defer replica.Close()
	require.NoError(t, replica.SetDeadline(time.Now().Add(10*time.Second)))
	hears(t, replica, "a")
}
