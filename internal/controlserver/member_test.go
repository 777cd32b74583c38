package controlserver

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/versions"
)

// A member is sent what is in force with its text, a grant, and later only what has changed and it doesn't have.
func TestAMemberIsSentChangesOnly(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	first, second := drainedVersion(1), drainedVersion(2)
	g.propose(first)
	for _, at := range []string{g.leader(), g.follower()} {
		g.untilNewest(DocumentDrained, 1)
		m := g.connect(at, 1, 1)
		m.renew()
		var content, inForce int
		for content == 0 || inForce == 0 {
			switch message := m.next(patience).(type) {
			case controlgroup.Content:
				require.Zero(t, inForce, "the text comes first")
				require.Equal(t, controlgroup.Content{Document: DocumentDrained, Version: first.versions[0].Version,
					Text: first.versions[0].Text}, message)
				content++
			case controlgroup.InForce:
				require.Equal(t, controlgroup.InForce{Document: DocumentDrained,
					Versions: []versions.Version{first.versions[0].Version}}, message)
				inForce++
			case controlgroup.Grant:
				require.Zero(t, message.Settings, "it has not reported the version in force")
			}
		}
		m.acting = []controlgroup.Report{{Document: DocumentDrained, Acting: []versions.Version{first.versions[0].Version}}}
		reporting := m.sequence + 1
		grant, _ := m.granted("a settings lease", hasSettingsLease)
		require.Equal(t, shortTiming.Renewal, grant.Renewal)
		require.GreaterOrEqual(t, grant.Sequence, reporting, "it answers a renewal that reported the version")
		require.LessOrEqual(t, grant.Sequence, m.sequence)
		for message := m.next(50 * time.Millisecond); message != nil; message = m.next(50 * time.Millisecond) {
			require.IsType(t, controlgroup.Grant{}, message, "of a renewal under way; no document has changed")
		}
		require.NoError(t, m.conn.SetLinger(0))
		require.NoError(t, m.conn.Close())
	}
	// One that begins with the version in force has no text sent; of a further one it has.
	m := g.connect(g.follower(), 2, 1)
	m.acting = []controlgroup.Report{{Document: DocumentDrained, Acting: []versions.Version{first.versions[0].Version}}}
	m.renew()
	require.IsType(t, controlgroup.InForce{}, m.nextButGrants())
	g.propose(second)
	require.Equal(t, controlgroup.Content{Document: DocumentDrained, Version: second.versions[0].Version,
		Text: second.versions[0].Text}, m.nextButGrants())
	require.Equal(t, controlgroup.InForce{Document: DocumentDrained, Versions: []versions.Version{
		first.versions[0].Version, second.versions[0].Version}}, m.nextButGrants())
}

func (m *testMember) nextButGrants() controlgroup.Message {
	for {
		message := m.next(patience)
		if _, ok := message.(controlgroup.Grant); !ok {
			return message
		}
	}
}

// The orderly end of a process's connection frees its share for the next one at once; a reset, which also a living
// process may cause, and an end by the replica don't: the share lease has to run out.
func TestOnlyAnOrderlyEndFreesTheShare(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	g.leader()
	var id controlgroup.MemberID
	for name, c := range map[string]struct {
		end  func(m *testMember)
		free bool
	}{
		"orderly": {func(m *testMember) { require.NoError(m.t, m.conn.Close()) }, true},
		"half closed, as by a process that has ended": {func(m *testMember) { require.NoError(m.t, m.conn.CloseWrite()) }, true},
		"reset": {func(m *testMember) {
			require.NoError(m.t, m.conn.SetLinger(0))
			require.NoError(m.t, m.conn.Close())
		}, false},
		"ended by the replica: a renewal of another process": {func(m *testMember) {
			m.process = 1<<40 - 1
			m.renew()
			m.untilEnded()
		}, false},
		"ended by the replica: a malformed frame": {func(m *testMember) {
			_, err := m.conn.Write([]byte{0, 0, 0, 1, 255})
			require.NoError(m.t, err)
			m.untilEnded()
		}, false},
		"in a frame": {func(m *testMember) {
			_, err := m.conn.Write([]byte{0, 0, 0, 9, 1})
			require.NoError(m.t, err)
			require.NoError(m.t, m.conn.Close())
		}, false},
	} {
		id++
		id := id
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, at := range []string{g.leader(), g.follower()} {
				after := g.shareAfter(t, at, id, c.end)
				// A slow disk may delay what is free by longer than a lease, but what isn't free never comes early.
				for attempt := 1; c.free && after >= shortTiming.Share/2 && attempt < 4; attempt++ {
					after = g.shareAfter(t, at, id, c.end)
				}
				require.Equal(t, c.free, after < shortTiming.Share/2, "after %v", after)
			}
		})
	}
}

// untilEnded reads until the replica has ended the connection.
func (m *testMember) untilEnded() {
	require.NoError(m.t, m.conn.SetReadDeadline(time.Now().Add(patience)))
	_, err := io.Copy(io.Discard, m.conn)
	require.True(m.t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
	require.NoError(m.t, m.conn.Close())
}

// shareAfter ends the connection of a process with a share, and tells how long the next process waits for the share.
func (g *testGroup) shareAfter(t *testing.T, at string, id controlgroup.MemberID, end func(m *testMember)) time.Duration {
	incarnation := controlgroup.Incarnation(time.Now().UnixMilli())
	m := g.connect(at, id, incarnation)
	m.t = t
	m.granted("a share", hasShare)
	end(m)
	next := g.connect(at, id, incarnation+1)
	next.t = t
	_, after := next.granted("the share of the process before", hasShare)
	require.NoError(t, next.conn.Close())
	return after
}

// bareServer is a replica of which only the part that serves members runs.
func bareServer(t *testing.T) *Server {
	s := &Server{log: testLog(t), context: t.Context(), members: newMemberTable(), proposals: newProposalTable(),
		node: &node{gate: newVotingGate()}}
	s.machine = newMachine(s.members.wakeAll)
	s.node.gate.caughtUp()
	return s
}

func (s *Server) setInForce(documents ...document) {
	s.machine.published.Store(&documents)
	s.members.wakeAll()
}

// serveOne serves a member over a pipe, which holds nothing between its ends.
func (s *Server) serveOne() (member net.Conn, served chan struct{}) {
	theirs, ours := net.Pipe()
	served = make(chan struct{})
	go func() {
		defer close(served)
		frames := &frameReader{from: ours}
		if first, err := frames.next(); err == nil {
			s.serveMember(ours, frames, first)
		}
	}()
	return theirs, served
}

func TestASlowMemberIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := bareServer(t)
		member, served := s.serveOne()
		_, err := member.Write(controlgroup.Append(nil, controlgroup.Renew{Member: 1, Incarnation: 1, Sequence: 1}))
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, 1, s.members.count())
		began := time.Now()
		s.setInForce(drainedVersion(1)) // which the member doesn't read
		<-served
		require.Equal(t, writeLimit, time.Since(began))
		require.Zero(t, s.members.count())
		require.Empty(t, s.ended.all, "that is no sign of its end")
	})
}

func TestASilentMemberIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := bareServer(t)
		member, served := s.serveOne()
		_, err := member.Write(controlgroup.Append(nil, controlgroup.Renew{Member: 1, Incarnation: 1, Sequence: 1}))
		require.NoError(t, err)
		began := time.Now()
		<-served
		require.Equal(t, silenceLimit, time.Since(began))
		require.Empty(t, s.ended.all, "that is no sign of its end")
	})
}

// Whatever is put in force, a member gets at most 21 KB a second as an average over any 10 s, and its grants at once.
func TestDocumentsArePacedAndGrantsAreNot(t *testing.T) {
	const budget = 21_000 * 10
	synctest.Test(t, func(t *testing.T) {
		s := bareServer(t)
		member, served := s.serveOne()
		_, err := member.Write(controlgroup.Append(nil, controlgroup.Renew{Member: 1, Incarnation: 1, Sequence: 1}))
		require.NoError(t, err)
		synctest.Wait()
		type arrival struct {
			at    time.Time
			bytes int
		}
		var arrivals []arrival
		var slowest time.Duration
		granted := make(chan time.Time, 1) // when the grant that comes next was made
		read := make(chan struct{})
		go func() {
			defer close(read)
			frames := &frameReader{from: member}
			for {
				m, err := frames.next()
				if err != nil {
					return
				}
				if _, ok := m.(controlgroup.Grant); ok {
					slowest = max(slowest, time.Since(<-granted))
				}
				arrivals = append(arrivals, arrival{time.Now(), len(controlgroup.Append(nil, m))})
			}
		}()
		for i := range uint64(120) { // four changes of the longest length a second, for 30 s
			text := make([]byte, controlgroup.TextMost)
			s.setInForce(document{DocumentDrained, []versions.Doc{versions.NewDoc(i+1, text)}})
			granted <- time.Now()
			s.members.grant(controlgroup.Grant{Member: 1, Incarnation: 1, Sequence: i})
			time.Sleep(250 * time.Millisecond)
			_, err := member.Write(controlgroup.Append(nil, controlgroup.Renew{Member: 1, Incarnation: 1, Sequence: i}))
			require.NoError(t, err)
		}
		require.NoError(t, member.Close())
		<-served
		<-read
		require.Zero(t, slowest, "grants don't wait")
		require.Greater(t, len(arrivals), 120)
		for i, from := range arrivals {
			sum := 0
			for _, a := range arrivals[i:] {
				if a.at.Sub(from.at) >= 10*time.Second {
					break
				}
				sum += a.bytes
			}
			require.LessOrEqual(t, sum, budget)
		}
	})
}
