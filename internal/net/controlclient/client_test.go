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

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

type setting struct {
	loop    *loop.Loop
	lim     limits.Limits
	member  *member
	client  *Client
	changes int
	changed func() // called at each change; nil: nobody asks
	log     bytes.Buffer
}

// open opens a client; change may change its bounds first.
func open(t *testing.T, number int, change func(*limits.Limits), replicas ...string) *setting {
	l, err := loop.New()
	require.NoError(t, err)
	lim, err := limits.For(limits.Site{Sockets: 256})
	require.NoError(t, err)
	if change != nil {
		change(&lim)
	}
	s := &setting{loop: l, lim: lim, member: &member{}}
	s.member.due = noDeadline
	s.client = Open(l, lim, slog.New(slog.NewTextHandler(&s.log, nil)), Config{Replicas: replicas, IngressIndex: number, Seed: 1,
		Member: s.member, OnChange: func(time.Duration) {
			if s.changes++; s.changed != nil {
				s.changed()
			}
		}})
	t.Cleanup(s.client.Close)
	return s
}

func (s *setting) until(t *testing.T, cond func() bool) {
	t.Helper()
	nettest.Until(t, s.loop, cond)
}

// A member's first message goes out when the connection is up; what comes reaches the member, and its answer the
// replica.
func TestMessagesGoBothWays(t *testing.T) {
	r := newReplica(t, says(grant(1), controlgroup.InForce{Document: "settings"}))
	s := open(t, 0, nil, r.addr)
	s.member.answer = func(m controlgroup.Message) ([]controlgroup.Message, error) {
		if _, ok := m.(controlgroup.InForce); ok {
			return []controlgroup.Message{renew(50)}, nil
		}
		return nil, nil
	}
	s.until(t, func() bool { return len(r.messages()) == 2 })
	require.Equal(t, []controlgroup.Message{renew(1), renew(50)}, r.messages())
	require.Equal(t, []controlgroup.Message{grant(1), controlgroup.InForce{Document: "settings"}}, s.member.received)
	require.Equal(t, r.addr, s.client.Replica())
	require.Positive(t, s.changes)
	counts := s.client.Counts()
	require.Equal(t, uint64(1), counts.Connections)
	require.Equal(t, uint64(len(controlgroup.Append(controlgroup.Append(nil, renew(1)), renew(50)))), counts.SentBytes)
	require.Positive(t, counts.ReceivedBytes)
	require.Contains(t, s.log.String(), "control replica connected")
}

// A change takes effect before the group is told of it: on that word it may retire what others still act on alone.
func TestAChangeTakesEffectBeforeItIsReported(t *testing.T) {
	r := newReplica(t, says(controlgroup.InForce{Document: "settings"}))
	s := open(t, 0, nil, r.addr)
	s.member.answer = func(controlgroup.Message) ([]controlgroup.Message, error) {
		return []controlgroup.Message{renew(50)}, nil
	}
	var sent uint64
	s.changed = func() {
		if sent == 0 && len(s.member.received) > 0 {
			sent = s.client.Counts().SentBytes
		}
	}
	s.until(t, func() bool { return len(r.messages()) == 2 })
	require.Equal(t, uint64(len(controlgroup.Append(nil, renew(1)))), sent, "the report is not sent yet")
}

// The bytes of messages may come in any pieces.
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
	s := open(t, 0, nil, r.addr)
	s.until(t, func() bool { return len(s.member.received) == 3 })
	require.Equal(t, grant(1), s.member.received[0])
	require.Equal(t, text, s.member.received[1].(controlgroup.Content).Text)
	require.Equal(t, grant(2), s.member.received[2])
	require.Equal(t, uint64(len(whole)), s.client.Counts().ReceivedBytes)
}

// What can't be read, or that the member takes for wrong, ends the connection by a reset; the next replica is tried.
func TestGarbageEndsTheConnection(t *testing.T) {
	for name, bad := range map[string]func(net.Conn, int){
		"noise":   func(c net.Conn, _ int) { _, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n") },
		"a fault": says(grant(13)),
	} {
		t.Run(name, func(t *testing.T) {
			spoilt, good := newReplica(t, bad), newReplica(t, says(grant(1)))
			s := open(t, 0, nil, spoilt.addr, good.addr)
			s.member.answer = func(m controlgroup.Message) ([]controlgroup.Message, error) {
				if g, ok := m.(controlgroup.Grant); ok && g.Sequence == 13 {
					return nil, errors.New("no such renewal")
				}
				return nil, nil
			}
			s.until(t, func() bool { return s.client.Replica() == good.addr && s.member.connected == 2 })
			s.until(t, func() bool { return len(spoilt.ended()) == 1 })
			require.ErrorIs(t, spoilt.ended()[0], syscall.ECONNRESET)
			require.Equal(t, 1, s.member.disconnected)
			require.Contains(t, s.log.String(), "control replica lost")
		})
	}
}

// A replica that says nothing is left for the next one, by a reset, whether it takes connections or none come up.
func TestASilentReplicaIsLeft(t *testing.T) {
	silent, good := newReplica(t, func(net.Conn, int) {}), newReplica(t, says(grant(1)))
	s := open(t, 0, func(l *limits.Limits) { l.ControlFirstMessageTimeout = 60 * time.Millisecond }, silent.addr, good.addr)
	before := s.loop.Now()
	s.until(t, func() bool { return s.client.Replica() == good.addr })
	require.GreaterOrEqual(t, s.loop.Now()-before, 60*time.Millisecond)
	s.until(t, func() bool { return len(silent.ended()) == 1 })
	require.ErrorIs(t, silent.ended()[0], syscall.ECONNRESET, "it must not take this for the end of the process")
	require.Contains(t, s.log.String(), "cause=silent")
}

// One that falls silent is left in the same way.
func TestAReplicaThatFallsSilentIsLeft(t *testing.T) {
	silent, good := newReplica(t, says(grant(1))), newReplica(t, says(grant(1)))
	s := open(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = 60 * time.Millisecond }, silent.addr, good.addr)
	s.until(t, func() bool { return s.client.Replica() == silent.addr })
	s.until(t, func() bool { return s.client.Replica() == good.addr })
	s.until(t, func() bool { return len(silent.ended()) == 1 })
	require.ErrorIs(t, silent.ended()[0], syscall.ECONNRESET)
}

// A process that stands still for longer than a replica may be silent has not asked it anything meanwhile: it asks, and
// keeps the connection.
func TestAReplicaIsNotSilentWhileThisProcessStandsStill(t *testing.T) {
	r := newAnsweringReplica(t)
	s := open(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = 60 * time.Millisecond }, r.addr)
	s.member.answer = func(controlgroup.Message) ([]controlgroup.Message, error) {
		if len(s.member.received) == 1 {
			s.member.due = s.loop.Now() + 20*time.Millisecond
			time.Sleep(120 * time.Millisecond) // stands still
		}
		return nil, nil
	}
	s.until(t, func() bool { return len(s.member.received) >= 3 })
	require.Equal(t, uint64(1), s.client.Counts().Connections)
	require.Zero(t, s.member.disconnected)
	require.Empty(t, r.ended())
}

// A replica that speaks at times is kept beyond the limit on its silence.
func TestAReplicaThatSpeaksIsKept(t *testing.T) {
	r := newReplica(t, func(c net.Conn, _ int) {
		for i := range uint64(20) {
			says(grant(i))(c, 0)
			time.Sleep(20 * time.Millisecond)
		}
	})
	s := open(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = 200 * time.Millisecond }, r.addr)
	s.until(t, func() bool { return len(s.member.received) == 20 })
	require.Equal(t, 1, s.member.connected)
}

// Each ingress begins with a replica by its number, and all replicas are tried in turn when they are gone.
func TestReplicasAreTriedInTurn(t *testing.T) {
	var replicas []*replica
	var addrs []string
	for range 3 {
		r := newReplica(t, func(c net.Conn, _ int) { // it ends each connection, as one that stops does
			says(grant(1))(c, 0)
			_ = c.(*net.TCPConn).CloseWrite()
		})
		replicas, addrs = append(replicas, r), append(addrs, r.addr)
	}
	for number, order := range map[int][]int{0: {0, 1, 2}, 1: {1, 2, 0}, 2: {2, 0, 1}, 3: {0, 2, 1}, 7: {1, 2, 0}} {
		var got []string
		s := open(t, number, nil, addrs...)
		s.member.answer = func(controlgroup.Message) ([]controlgroup.Message, error) {
			got = append(got, s.client.Replica())
			return nil, nil
		}
		s.until(t, func() bool { return len(got) == 3 })
		require.Equal(t, []string{addrs[order[0]], addrs[order[1]], addrs[order[2]]}, got, "ingress %d", number)
		s.client.Close()
	}
	for _, r := range replicas {
		require.Eventually(t, func() bool { return len(r.ended()) == r.connections() }, 10*time.Second, time.Millisecond)
		for _, end := range r.ended() {
			require.NotErrorIs(t, end, io.EOF, "the replica has ended first; what it gets for it is no proof of an end")
		}
	}
}

// Replicas that are gone are dialled ever less often, and as promptly as at first once one has served.
func TestBackoff(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := gone.Addr().String()
	require.NoError(t, gone.Close())
	s := open(t, 0, func(l *limits.Limits) {
		l.InitialBackoff, l.MaxBackoff = 10*time.Millisecond, 80*time.Millisecond
	}, addr)
	end := s.loop.Now() + 600*time.Millisecond
	dials, last := 0, (*loop.Timer)(nil)
	s.until(t, func() bool {
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
	r := newReplica(t, says(grant(1)))
	s.client.cfg.Replicas[0] = r.addr
	s.until(t, func() bool { return s.client.Replica() != "" && s.client.backoff == 0 })
}

// The member is ticked when it is due, and what it wants sent then goes out.
func TestTheMemberIsTicked(t *testing.T) {
	r := newReplica(t, says(grant(1)))
	s := open(t, 0, nil, r.addr)
	s.until(t, func() bool { return s.client.Replica() != "" })
	s.member.due = s.loop.Now() + 5*time.Millisecond
	s.client.Send(nil)
	s.until(t, func() bool { return len(r.messages()) >= 4 })
	require.Equal(t, []controlgroup.Message{renew(1), renew(1001), renew(1002), renew(1003)}, r.messages()[:4])
}

// A process that gives up its leases ends its connection in the orderly way, and says no more than that; one that
// closes it for another reason does not.
func TestTheOrderlyEndAndTheReset(t *testing.T) {
	r := newReplica(t, says(grant(1)))
	s := open(t, 0, nil, r.addr)
	s.until(t, func() bool { return len(s.member.received) == 1 })
	done := false
	s.client.GiveUp(func() { done = true })
	s.until(t, func() bool { return done })
	require.True(t, s.member.gaveUp)
	require.Equal(t, []error{io.EOF}, r.ended())
	require.Equal(t, []controlgroup.Message{renew(1)}, r.messages())
	s.client.Close()
	require.Equal(t, 1, r.connections())

	s = open(t, 0, nil, r.addr)
	s.until(t, func() bool { return len(s.member.received) == 1 })
	s.client.Close()
	require.Eventually(t, func() bool { return len(r.ended()) == 2 }, 10*time.Second, time.Millisecond)
	require.ErrorIs(t, r.ended()[1], syscall.ECONNRESET)
}

// A replica that does not answer the end holds nobody up; neither does one that is not connected.
func TestGivingUpHoldsNobodyUp(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	deaf := nettest.Serve(t, func(c net.Conn) {
		says(grant(1))(c, 0)
		<-over
		_ = c.Close()
	})
	s := open(t, 0, nil, deaf)
	s.until(t, func() bool { return len(s.member.received) == 1 })
	done, before := false, s.loop.Now()
	s.client.GiveUp(func() { done = true })
	require.False(t, done)
	s.until(t, func() bool { return done })
	require.GreaterOrEqual(t, s.loop.Now()-before, s.lim.ControlReleaseTimeout)

	s = open(t, 0, nil, "127.0.0.1:1")
	done = false
	s.client.GiveUp(func() { done = true })
	require.True(t, done)
	var none *Client
	none.Close()
	none.GiveUp(nil)
}

// A replica that reads nothing more is left before what waits for it fills memory.
func TestAReplicaThatReadsNothingIsLeft(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	stuck := nettest.Serve(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		says(grant(1))(c, 0)
		<-over
		_ = c.Close()
	})
	good := newReplica(t, says(grant(1)))
	s := open(t, 0, func(l *limits.Limits) { l.ControlSilenceTimeout = time.Minute }, stuck, good.addr)
	s.until(t, func() bool { return len(s.member.received) == 1 })
	proposal := controlgroup.Propose{Request: 1, Document: "settings", Version: version(2), Text: make([]byte, controlgroup.TextMost)}
	for range 1000 {
		if s.client.Replica() != stuck {
			break
		}
		s.client.Send([]controlgroup.Message{proposal})
	}
	s.until(t, func() bool { return s.client.Replica() == good.addr })
	require.Contains(t, s.log.String(), "does not read")
}
