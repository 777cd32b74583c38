package peers

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// newTestPeer returns the socket of a fake peer.
func newTestPeer(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	return c
}

// openTransport opens the transport of member 0, with a limit of accepted messages per second, and returns it and its
// address.
func openTransport(t *testing.T, l *loop.Loop, messagesPerSecond int, addrs map[string]string) (*Transport, *net.UDPAddr) {
	bounds, err := limits.For(limits.Site{Sockets: 256, Ingresses: 2})
	require.NoError(t, err)
	bounds.MaxDatagramsPerSecond = messagesPerSecond
	node := membership.New(membership.Config{Name: "0", Incarnation: 5, ProbePeriod: bounds.MemberProbeInterval,
		AckTimeout:       bounds.MemberAckTimeout,
		SuspicionTimeout: bounds.MemberSuspicionTimeout, IndirectProbes: bounds.MemberIndirectProbes, MaxUpdates: bounds.MemberUpdatesPerMessage,
		MinMembers: 2}, l.Now())
	c := newTestPeer(t)
	listen := c.LocalAddr().(*net.UDPAddr)
	require.NoError(t, c.Close())
	transport, err := Open(l, bounds, slog.New(slog.DiscardHandler), node, Config{Listen: listen.String(), Addrs: addrs,
		TickInterval: 10 * time.Millisecond, OnChange: func(time.Duration) {}})
	require.NoError(t, err)
	t.Cleanup(transport.Close)
	return transport, listen
}

// readMessage returns the next message that a fake peer receives.
func readMessage(t *testing.T, c *net.UDPConn) membership.Message {
	b := make([]byte, 512)
	n, err := c.Read(b)
	require.NoError(t, err)
	msg, err := membership.Parse(b[:n])
	require.NoError(t, err)
	return msg
}

// A member sends a join request to the others at once. After an acknowledgement that lists it, its membership is settled.
func TestJoin(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := newTestPeer(t)
	transport, listen := openTransport(t, l, 100, map[string]string{"1": peer.LocalAddr().String()})
	request := readMessage(t, peer)
	require.Equal(t, membership.JoinRequest, request.Kind)
	require.Equal(t, "0", request.From)
	require.False(t, transport.Node().IsSettled(l.Now()))
	_, err = peer.WriteToUDP(membership.Append(nil, membership.Message{Kind: membership.Ack, From: "1", Seq: request.Seq,
		Updates: []membership.Update{{Name: "0", Incarnation: 5}, {Name: "1", Incarnation: 9}}}), listen)
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return transport.Node().IsSettled(l.Now()) })
	require.Len(t, transport.Node().View().Members, 2)
	require.Positive(t, transport.Counts().Sent)
	require.Equal(t, uint64(1), transport.Counts().Received)
}

// Malformed datagrams, too long ones and those above the limit per second are dropped and counted; the others are handled.
func TestMalformedAndExcessDatagramsAreDropped(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := newTestPeer(t)
	transport, listen := openTransport(t, l, 5, map[string]string{"1": peer.LocalAddr().String()})
	for _, b := range [][]byte{{}, {0xff}, make([]byte, 300), []byte("GET / HTTP/1.1\r\n\r\n")} {
		_, err := peer.WriteToUDP(b, listen)
		require.NoError(t, err)
	}
	nettest.Until(t, l, func() bool { return transport.Counts().Dropped == 4 })
	ping := membership.Append(nil, membership.Message{Kind: membership.Ping, From: "1", Seq: 1})
	for range 60 {
		_, err := peer.WriteToUDP(ping, listen)
		require.NoError(t, err)
	}
	nettest.Until(t, l, func() bool { c := transport.Counts(); return c.Received+c.Dropped == 64 })
	require.LessOrEqual(t, transport.Counts().Received, uint64(10), "5 per second, in at most two seconds")
	require.Positive(t, transport.Counts().Received)
}

// Messages from senders without a configured address are dropped and counted. Their names must not enter the view, where
// they would fill memory.
func TestUnknownSendersAreDropped(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := newTestPeer(t)
	transport, listen := openTransport(t, l, 100, nil)
	for i := range 20 {
		message := membership.Message{Kind: membership.Ping, From: fmt.Sprint("7", i), Seq: 1}
		_, err = peer.WriteToUDP(membership.Append(nil, message), listen)
		require.NoError(t, err)
	}
	nettest.Until(t, l, func() bool { return transport.Counts().Dropped == 20 })
	require.Zero(t, transport.Counts().Received)
	require.Len(t, transport.Node().View().Members, 1)
}

// While a simulated partition separates a member, nothing is sent to it, and its messages count neither as received nor as
// dropped.
func TestUnreachableMember(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := newTestPeer(t)
	transport, listen := openTransport(t, l, 100, map[string]string{"1": peer.LocalAddr().String()})
	require.Equal(t, membership.JoinRequest, readMessage(t, peer).Kind)
	isPartitioned := true
	transport.isReachable = func(name string) bool { return name != "1" || !isPartitioned }
	ping := membership.Append(nil, membership.Message{Kind: membership.Ping, From: "1", Seq: 1})
	sent := transport.Counts().SentBytes
	_, err = peer.WriteToUDP(ping, listen)
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return transport.Counts().ReceivedBytes == uint64(len(ping)) })
	require.Zero(t, transport.Counts().Received)
	require.Zero(t, transport.Counts().Dropped)
	require.Equal(t, sent, transport.Counts().SentBytes)
	isPartitioned = false
	_, err = peer.WriteToUDP(ping, listen)
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return transport.Counts().Received == 1 })
	require.Greater(t, transport.Counts().SentBytes, sent, "the ping was not acknowledged")
}
