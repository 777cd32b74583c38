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

// other is a peer that a test plays itself.
func other(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	return c
}

func open(t *testing.T, l *loop.Loop, second int, addrs map[string]string) (*Transport, *net.UDPAddr) {
	lim, err := limits.For(limits.Site{Sockets: 256, Ingresses: 2})
	require.NoError(t, err)
	lim.MaxDatagramsPerSecond = second
	node := membership.New(membership.Config{Me: "0", Incarnation: 5, Period: lim.MemberProbeInterval, AckWithin: lim.MemberAckTimeout,
		SuspectFor: lim.MemberSuspicionTimeout, Helpers: lim.MemberIndirectProbes, Carry: lim.MemberUpdatesPerMessage, Least: 2}, l.Now())
	c := other(t)
	listen := c.LocalAddr().(*net.UDPAddr)
	require.NoError(t, c.Close())
	p, err := Open(l, lim, slog.New(slog.DiscardHandler), node, Config{Listen: listen.String(), Addrs: addrs,
		TickInterval: 10 * time.Millisecond, OnChange: func(time.Duration) {}})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, listen
}

func read(t *testing.T, c *net.UDPConn) membership.Message {
	b := make([]byte, 512)
	n, err := c.Read(b)
	require.NoError(t, err)
	msg, err := membership.Parse(b[:n])
	require.NoError(t, err)
	return msg
}

// A member says hello to the others at once, and an answer makes it known there and sure of its place.
func TestHelloAndAnswer(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := other(t)
	p, listen := open(t, l, 100, map[string]string{"1": peer.LocalAddr().String()})
	hello := read(t, peer)
	require.Equal(t, membership.JoinRequest, hello.Kind)
	require.Equal(t, "0", hello.From)
	require.False(t, p.Node().Settled(l.Now()))
	_, err = peer.WriteToUDP(membership.Append(nil, membership.Message{Kind: membership.Ack, From: "1", Seq: hello.Seq,
		Updates: []membership.Update{{Name: "0", Incarnation: 5}, {Name: "1", Incarnation: 9}}}), listen)
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return p.Node().Settled(l.Now()) })
	require.Len(t, p.Node().View().Members, 2)
	require.Positive(t, p.Counts().Sent)
	require.Equal(t, uint64(1), p.Counts().Received)
}

// What can't be read, is too long or too much is dropped and counted; the rest is heard all the same.
func TestNoiseAndFloodAreDropped(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := other(t)
	p, listen := open(t, l, 5, map[string]string{"1": peer.LocalAddr().String()})
	for _, b := range [][]byte{{}, {0xff}, make([]byte, 300), []byte("GET / HTTP/1.1\r\n\r\n")} {
		_, err := peer.WriteToUDP(b, listen)
		require.NoError(t, err)
	}
	nettest.Until(t, l, func() bool { return p.Counts().Dropped == 4 })
	ping := membership.Append(nil, membership.Message{Kind: membership.Ping, From: "1", Seq: 1})
	for range 60 {
		_, err := peer.WriteToUDP(ping, listen)
		require.NoError(t, err)
	}
	nettest.Until(t, l, func() bool { c := p.Counts(); return c.Received+c.Dropped == 64 })
	require.LessOrEqual(t, p.Counts().Received, uint64(10), "five a second, and the second may turn once")
	require.Positive(t, p.Counts().Received)
}

// Who is not among the peers is not listened to, whatever names it has: that is counted, and fills no memory.
func TestStrangersAreNotListenedTo(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := other(t)
	p, listen := open(t, l, 100, nil)
	for i := range 20 {
		stranger := membership.Message{Kind: membership.Ping, From: fmt.Sprint("7", i), Seq: 1}
		_, err = peer.WriteToUDP(membership.Append(nil, stranger), listen)
		require.NoError(t, err)
	}
	nettest.Until(t, l, func() bool { return p.Counts().Dropped == 20 })
	require.Zero(t, p.Counts().Received)
	require.Len(t, p.Node().View().Members, 1)
}

// A member that can't be reached, as a test of a network has it, is neither sent to nor heard, and that is no fault.
func TestAMemberThatCanNotBeReached(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	peer := other(t)
	p, listen := open(t, l, 100, map[string]string{"1": peer.LocalAddr().String()})
	require.Equal(t, membership.JoinRequest, read(t, peer).Kind)
	cut := true
	p.reach = func(name string) bool { return name != "1" || !cut }
	ping := membership.Append(nil, membership.Message{Kind: membership.Ping, From: "1", Seq: 1})
	sent := p.Counts().SentBytes
	_, err = peer.WriteToUDP(ping, listen)
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return p.Counts().ReceivedBytes == uint64(len(ping)) })
	require.Zero(t, p.Counts().Received)
	require.Zero(t, p.Counts().Dropped)
	require.Equal(t, sent, p.Counts().SentBytes)
	cut = false
	_, err = peer.WriteToUDP(ping, listen)
	require.NoError(t, err)
	nettest.Until(t, l, func() bool { return p.Counts().Received == 1 })
	require.Greater(t, p.Counts().SentBytes, sent, "it was answered")
}
