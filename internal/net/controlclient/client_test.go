package controlclient

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// clientFixture is a client with a recording member and the log of both.
type clientFixture struct {
	loop        *loop.Loop
	limits      limits.Limits
	member      *member
	client      *Client
	changeCount int
	onChange    func() // called at each change, unless nil
	log         bytes.Buffer
}

// openClient opens a client; change, unless nil, may change its limits first.
func openClient(t *testing.T, ingressIndex int, change func(*limits.Limits), replicas ...string) *clientFixture {
	l, err := loop.New()
	require.NoError(t, err)
	lim, err := limits.For(limits.Site{Sockets: 256})
	require.NoError(t, err)
	if change != nil {
		change(&lim)
	}
	s := &clientFixture{loop: l, limits: lim, member: &member{}}
	s.member.due = noDeadline
	s.client = Open(l, lim, slog.New(slog.NewTextHandler(&s.log, nil)), Config{Replicas: replicas, IngressIndex: ingressIndex, Seed: 1,
		Member: s.member, OnChange: func(time.Duration) {
			if s.changeCount++; s.onChange != nil {
				s.onChange()
			}
		}})
	t.Cleanup(s.client.Close)
	return s
}

func (s *clientFixture) waitUntil(t *testing.T, cond func() bool) {
	t.Helper()
	nettest.Until(t, s.loop, cond)
}

// The member's first messages are sent once the connection is up; received messages reach the member, and its answers the
// replica.
func TestMessagesInBothDirections(t *testing.T) {
	r := newReplica(t, sendMessages(grant(1), controlgroup.InForce{Document: "settings"}))
	s := openClient(t, 0, nil, r.addr)
	s.member.answer = func(m controlgroup.Message) ([]controlgroup.Message, error) {
		if _, ok := m.(controlgroup.InForce); ok {
			return []controlgroup.Message{renew(50)}, nil
		}
		return nil, nil
	}
	s.waitUntil(t, func() bool { return len(r.messages()) == 2 })
	require.Equal(t, []controlgroup.Message{renew(1), renew(50)}, r.messages())
	require.Equal(t, []controlgroup.Message{grant(1), controlgroup.InForce{Document: "settings"}}, s.member.received)
	require.Equal(t, r.addr, s.client.Replica())
	require.Positive(t, s.changeCount)
	counts := s.client.Counts()
	require.Equal(t, uint64(1), counts.Connections)
	require.Equal(t, uint64(len(controlgroup.Append(controlgroup.Append(nil, renew(1)), renew(50)))), counts.SentBytes)
	require.Positive(t, counts.ReceivedBytes)
	require.Contains(t, s.log.String(), "control replica connected")
}

// A change takes effect before the answers report it, since the group then retires the older version that some process may
// alone still act on.
func TestOnChangeRunsBeforeAnswersAreSent(t *testing.T) {
	r := newReplica(t, sendMessages(controlgroup.InForce{Document: "settings"}))
	s := openClient(t, 0, nil, r.addr)
	s.member.answer = func(controlgroup.Message) ([]controlgroup.Message, error) {
		return []controlgroup.Message{renew(50)}, nil
	}
	var sent uint64
	s.onChange = func() {
		if sent == 0 && len(s.member.received) > 0 {
			sent = s.client.Counts().SentBytes
		}
	}
	s.waitUntil(t, func() bool { return len(r.messages()) == 2 })
	require.Equal(t, uint64(len(controlgroup.Append(nil, renew(1)))), sent, "the report is not sent yet")
}

// Messages are decoded whatever the boundaries of the reads.
func TestMessagesInPieces(t *testing.T) {
	text := bytes.Repeat([]byte("x"), controlgroup.TextMost)
	whole := controlgroup.Append(controlgroup.Append(nil, grant(1)), controlgroup.Content{Document: "settings",
		Version: version(2), Text: text})
	whole = controlgroup.Append(whole, grant(2))
	r := newReplica(t, func(c net.Conn, _ int) {
		for _, b := range whole[:100] {
			_, _ = c.Write([]byte{b})
			time.Sleep(100 * time.Microsecond)
		}
		_, _ = c.Write(whole[100:])
	})
	s := openClient(t, 0, nil, r.addr)
	s.waitUntil(t, func() bool { return len(s.member.received) == 3 })
	require.Equal(t, grant(1), s.member.received[0])
	require.Equal(t, text, s.member.received[1].(controlgroup.Content).Text)
	require.Equal(t, grant(2), s.member.received[2])
	require.Equal(t, uint64(len(whole)), s.client.Counts().ReceivedBytes)
}

// Bytes that can't be decoded, and messages that the member rejects, end the connection by a reset; the client connects to the
// next replica.
func TestInvalidMessageResetsTheConnection(t *testing.T) {
	for name, bad := range map[string]func(net.Conn, int){
		"undecodable": func(c net.Conn, _ int) { _, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n") },
		"rejected":    sendMessages(grant(13)),
	} {
		t.Run(name, func(t *testing.T) {
			invalid, good := newReplica(t, bad), newReplica(t, sendMessages(grant(1)))
			s := openClient(t, 0, nil, invalid.addr, good.addr)
			s.member.answer = func(m controlgroup.Message) ([]controlgroup.Message, error) {
				if g, ok := m.(controlgroup.Grant); ok && g.Sequence == 13 {
					return nil, errors.New("no such renewal")
				}
				return nil, nil
			}
			s.waitUntil(t, func() bool { return s.client.Replica() == good.addr && s.member.connected == 2 })
			s.waitUntil(t, func() bool { return len(invalid.closedWith()) == 1 })
			require.ErrorIs(t, invalid.closedWith()[0], syscall.ECONNRESET)
			require.Equal(t, 1, s.member.disconnected)
			require.Contains(t, s.log.String(), "control replica lost")
		})
	}
}

// A connection on which the replica sends no first message in time is reset, and the client connects to the next replica.
func TestSilentReplicaIsReplaced(t *testing.T) {
	silent, good := newReplica(t, func(net.Conn, int) {}), newReplica(t, sendMessages(grant(1)))
	s := openClient(t, 0, func(l *limits.Limits) { l.ControlFirstMessageTimeout = 60 * time.Millisecond }, silent.addr, good.addr)
	before := s.loop.Now()
	s.waitUntil(t, func() bool { return s.client.Replica() == good.addr })
	require.GreaterOrEqual(t, s.loop.Now()-before, 60*time.Millisecond)
	s.waitUntil(t, func() bool { return len(silent.closedWith()) == 1 })
	require.ErrorIs(t, silent.closedWith()[0], syscall.ECONNRESET, "the replica must not take this for the end of the process")
	require.Contains(t, s.log.String(), "cause=silent")
}

// A replica that stops sending is replaced in the same way.
func TestReplicaThatBecomesSilentIsReplaced(t *testing.T) {
	silent, good := newReplica(t, sendMessages(grant(1))), newReplica(t, sendMessages(grant(1)))
	s := openClient(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = 60 * time.Millisecond }, silent.addr, good.addr)
	s.waitUntil(t, func() bool { return s.client.Replica() == silent.addr })
	s.waitUntil(t, func() bool { return s.client.Replica() == good.addr })
	s.waitUntil(t, func() bool { return len(silent.closedWith()) == 1 })
	require.ErrorIs(t, silent.closedWith()[0], syscall.ECONNRESET)
}

// A process that was paused for longer than a replica may be silent has sent the replica nothing to answer meanwhile. It sends
// again and keeps the connection.
func TestPausedProcessKeepsTheConnection(t *testing.T) {
	r := newAnsweringReplica(t)
	s := openClient(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = 60 * time.Millisecond }, r.addr)
	s.member.answer = func(controlgroup.Message) ([]controlgroup.Message, error) {
		if len(s.member.received) == 1 {
			s.member.due = s.loop.Now() + 20*time.Millisecond
			time.Sleep(120 * time.Millisecond) // the pause
		}
		return nil, nil
	}
	s.waitUntil(t, func() bool { return len(s.member.received) >= 3 })
	require.Equal(t, uint64(1), s.client.Counts().Connections)
	require.Zero(t, s.member.disconnected)
	require.Empty(t, r.closedWith())
}

// A replica that sends at intervals is kept beyond ControlSilenceTimeout.
func TestReplicaThatSendsIsKept(t *testing.T) {
	r := newReplica(t, func(c net.Conn, _ int) {
		for i := range uint64(20) {
			sendMessages(grant(i))(c, 0)
			time.Sleep(20 * time.Millisecond)
		}
	})
	s := openClient(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = 200 * time.Millisecond }, r.addr)
	s.waitUntil(t, func() bool { return len(s.member.received) == 20 })
	require.Equal(t, 1, s.member.connected)
}

// Each ingress starts with the replica of its index and tries the others in order when replicas end their connections.
func TestReplicasAreTriedInOrder(t *testing.T) {
	var replicas []*replica
	var addrs []string
	for range 3 {
		r := newReplica(t, func(c net.Conn, _ int) { // ends each connection, as a replica that stops does
			sendMessages(grant(1))(c, 0)
			_ = c.(*net.TCPConn).CloseWrite()
		})
		replicas, addrs = append(replicas, r), append(addrs, r.addr)
	}
	for number, order := range map[int][]int{0: {0, 1, 2}, 1: {1, 2, 0}, 2: {2, 0, 1}, 3: {0, 2, 1}, 7: {1, 2, 0}} {
		var got []string
		s := openClient(t, number, nil, addrs...)
		s.member.answer = func(controlgroup.Message) ([]controlgroup.Message, error) {
			got = append(got, s.client.Replica())
			return nil, nil
		}
		s.waitUntil(t, func() bool { return len(got) == 3 })
		require.Equal(t, []string{addrs[order[0]], addrs[order[1]], addrs[order[2]]}, got, "ingress %d", number)
		s.client.Close()
	}
	for _, r := range replicas {
		require.Eventually(t, func() bool { return len(r.closedWith()) == r.connections() }, 10*time.Second, time.Millisecond)
		for _, end := range r.closedWith() {
			require.NotErrorIs(t, end, io.EOF, "the replica ended the connection first and must not take the answer for the end of the process")
		}
	}
}

// refusingAddress returns an address that refuses connections until the end of the test. A socket that is bound to it and
// does not listen keeps others from getting its port, for a listener or as the source of a connection.
func refusingAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	address, err := loop.LocalAddress(fd)
	require.NoError(t, err)
	return address
}

// Unreachable replicas are dialled at growing intervals, and at the first interval again once one has sent a message.
func TestBackoff(t *testing.T) {
	s := openClient(t, 0, func(l *limits.Limits) {
		l.InitialBackoff, l.MaxBackoff = 10*time.Millisecond, 80*time.Millisecond
	}, refusingAddress(t))
	end := s.loop.Now() + 600*time.Millisecond
	dials, last := 0, (*loop.Timer)(nil)
	s.waitUntil(t, func() bool {
		if s.client.redialTimer != last {
			dials, last = dials+1, s.client.redialTimer
		}
		return s.loop.Now() > end
	})
	require.Equal(t, 80*time.Millisecond, s.client.backoff)
	require.Greater(t, dials, 7)
	require.Less(t, dials, 45)
	require.Zero(t, s.member.connected)
	require.Zero(t, s.member.disconnected)
	r := newReplica(t, sendMessages(grant(1)))
	s.client.cfg.Replicas[0] = r.addr
	s.waitUntil(t, func() bool { return s.client.Replica() != "" && s.client.backoff == 0 })
}

// The member is ticked at the time that Due returns, and the messages that Tick returns are sent.
func TestMemberIsTickedWhenDue(t *testing.T) {
	r := newReplica(t, sendMessages(grant(1)))
	s := openClient(t, 0, nil, r.addr)
	s.waitUntil(t, func() bool { return s.client.Replica() != "" })
	s.member.due = s.loop.Now() + 5*time.Millisecond
	s.client.Send(nil)
	s.waitUntil(t, func() bool { return len(r.messages()) >= 4 })
	require.Equal(t, []controlgroup.Message{renew(1), renew(1001), renew(1002), renew(1003)}, r.messages()[:4])
}

// GiveUp ends the connection in the orderly way and sends no further message; Close resets it.
func TestGiveUpSendsFINAndCloseResets(t *testing.T) {
	r := newReplica(t, sendMessages(grant(1)))
	s := openClient(t, 0, nil, r.addr)
	s.waitUntil(t, func() bool { return len(s.member.received) == 1 })
	done := false
	s.client.GiveUp(func() { done = true })
	s.waitUntil(t, func() bool { return done })
	require.True(t, s.member.hasGivenUp)
	require.Equal(t, []error{io.EOF}, r.closedWith())
	require.Equal(t, []controlgroup.Message{renew(1)}, r.messages())
	s.client.Close()
	require.Equal(t, 1, r.connections())

	s = openClient(t, 0, nil, r.addr)
	s.waitUntil(t, func() bool { return len(s.member.received) == 1 })
	s.client.Close()
	require.Eventually(t, func() bool { return len(r.closedWith()) == 2 }, 10*time.Second, time.Millisecond)
	require.ErrorIs(t, r.closedWith()[1], syscall.ECONNRESET)
}

// GiveUp calls done after ControlReleaseTimeout if the replica does not close its side, and at once if none is connected.
func TestGiveUpIsBoundedInTime(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	unresponsive := nettest.Serve(t, func(c net.Conn) {
		sendMessages(grant(1))(c, 0)
		<-stop
		_ = c.Close()
	})
	s := openClient(t, 0, nil, unresponsive)
	s.waitUntil(t, func() bool { return len(s.member.received) == 1 })
	done, before := false, s.loop.Now()
	s.client.GiveUp(func() { done = true })
	require.False(t, done)
	s.waitUntil(t, func() bool { return done })
	require.GreaterOrEqual(t, s.loop.Now()-before, s.limits.ControlReleaseTimeout)

	s = openClient(t, 0, nil, "127.0.0.1:1")
	done = false
	s.client.GiveUp(func() { done = true })
	require.True(t, done)
	var none *Client
	none.Close()
	none.GiveUp(nil)
}

// A replica that stops reading is replaced before the unsent messages fill the memory.
func TestReplicaThatDoesNotReadIsReplaced(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	notReading := nettest.Serve(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		sendMessages(grant(1))(c, 0)
		<-stop
		_ = c.Close()
	})
	good := newReplica(t, sendMessages(grant(1)))
	s := openClient(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = time.Minute }, notReading, good.addr)
	s.waitUntil(t, func() bool { return len(s.member.received) == 1 })
	proposal := controlgroup.Propose{Request: 1, Document: "settings", Version: version(2), Text: make([]byte, controlgroup.TextMost)}
	for range 1000 {
		if s.client.Replica() != notReading {
			break
		}
		s.client.Send([]controlgroup.Message{proposal})
	}
	s.waitUntil(t, func() bool { return s.client.Replica() == good.addr })
	require.Contains(t, s.log.String(), "does not read")
}
