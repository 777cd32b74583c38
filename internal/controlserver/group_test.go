package controlserver

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/net/nettest"
	"ferryfront.example/ferryfront/internal/settings"
	"ferryfront.example/ferryfront/internal/versions"
)

// shortTiming has leases run out within a test.
var shortTiming = controlgroup.Timing{Settings: 300 * time.Millisecond, Share: 1500 * time.Millisecond,
	Renewal: 50 * time.Millisecond, Drift: 0.01}

const patience = 20 * time.Second // for what takes milliseconds where the disk is quick

// testGroup is three replicas in this process.
type testGroup struct {
	t       *testing.T
	dir     string
	configs map[string]Config
	servers map[string]*Server
	ids     []string
}

func newTestGroup(t *testing.T) *testGroup {
	g := &testGroup{t: t, dir: t.TempDir(), configs: map[string]Config{}, servers: map[string]*Server{},
		ids: []string{"a", "b", "c"}}
	var replicas []Replica
	for _, id := range g.ids {
		replicas = append(replicas, Replica{id, nettest.FreeAddress(t), nettest.FreeAddress(t)})
	}
	for _, id := range g.ids {
		g.configs[id] = Config{ID: id, Data: filepath.Join(g.dir, id), Replicas: replicas, Timing: shortTiming,
			RejoinWait: time.Second, Log: testLog(t)}
	}
	t.Cleanup(func() { g.stop(g.ids...) })
	return g
}

func testLog(t *testing.T) *slog.Logger {
	to := io.Discard
	if testing.Verbose() {
		to = t.Output()
	}
	return slog.New(slog.NewTextHandler(to, &slog.HandlerOptions{Level: slog.LevelInfo}))
}

func (g *testGroup) open(id string) error {
	ports, err := Listen(g.configs[id])
	if err != nil {
		return err
	}
	server, err := Open(g.configs[id], ports)
	if err == nil {
		g.servers[id] = server
	}
	return err
}

func (g *testGroup) start(ids ...string) {
	g.t.Helper()
	for _, id := range ids {
		require.NoError(g.t, g.open(id))
	}
}

func (g *testGroup) stop(ids ...string) {
	for _, id := range ids {
		if server := g.servers[id]; server != nil {
			delete(g.servers, id)
			require.NoError(g.t, server.Close())
		}
	}
}

func (g *testGroup) address(id string) string {
	self, err := g.configs[id].self()
	require.NoError(g.t, err)
	return self.Listen
}

// addresses are those of all running replicas.
func (g *testGroup) addresses() (all []string) {
	for _, id := range g.ids {
		if g.servers[id] != nil {
			all = append(all, g.address(id))
		}
	}
	return all
}

// leader waits for a leader that grants leases.
func (g *testGroup) leader() (id string) {
	g.t.Helper()
	g.until("a leader", func() bool {
		for name, server := range g.servers {
			if server.leaseStatus() != nil {
				id = name
				return true
			}
		}
		return false
	})
	return id
}

func (g *testGroup) follower() string {
	leader := g.leader()
	for _, id := range g.ids {
		if id != leader && g.servers[id] != nil {
			return id
		}
	}
	g.t.Fatal("no follower")
	return ""
}

func (g *testGroup) until(what string, holds func() bool) {
	g.t.Helper()
	until(g.t, what, holds)
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// propose proposes a version at the given replicas and fails the test if it is not committed.
func (g *testGroup) propose(d document, at ...string) {
	g.t.Helper()
	if len(at) == 0 {
		at = g.addresses()
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(g.t, Propose(ctx, at, proposalOf(d)))
}

func proposalOf(d document) controlgroup.Propose {
	return controlgroup.Propose{Request: 1, Document: d.name, Version: d.versions[0].Version, Text: d.versions[0].Text}
}

// newest returns the numbers of the newest versions in force at a replica, by document.
func (g *testGroup) newest(id string) map[string]uint64 {
	numbers := map[string]uint64{}
	for _, d := range g.servers[id].machine.documents() {
		numbers[d.name] = d.versions[len(d.versions)-1].Number
	}
	return numbers
}

// untilNewest waits until all running replicas have a version in force as the newest.
func (g *testGroup) untilNewest(name string, number uint64) {
	g.t.Helper()
	for id := range g.servers {
		g.until(fmt.Sprintf("%s version %d at %s", name, number, id), func() bool { return g.newest(id)[name] == number })
	}
}

// drainedVersion is a drained list as a document of one version.
func drainedVersion(number uint64) document {
	return document{DocumentDrained, []versions.Doc{versions.NewDoc(number, fmt.Appendf(nil, `["host-%d"]`, number))}}
}

const settingsText = `{"balancers":3,"me":1,"period":4,"discovery":"push","classes":[{"name":"stock","onTime":1200,
"deadline":2000,"value":1,"effect":"retryable"}],"extra":{},"limits":{"maxAttempts":2,"idleClose":15000},"rules":{}}`

// settingsVersion is settings as a document of one version, with a change to their text.
func settingsVersion(t *testing.T, number uint64, change ...string) document {
	shared, err := settings.Shared([]byte(strings.NewReplacer(change...).Replace(settingsText)))
	require.NoError(t, err)
	return document{DocumentSettings, []versions.Doc{versions.NewDoc(number, shared)}}
}

// testMember is a member's connection, with all that came over it.
type testMember struct {
	t        *testing.T
	conn     *net.TCPConn
	frames   *frameReader
	id       controlgroup.MemberID
	process  controlgroup.Incarnation
	sequence uint64
	acting   []controlgroup.Report
}

func (g *testGroup) connect(replica string, id controlgroup.MemberID, incarnation controlgroup.Incarnation) *testMember {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.address(replica))
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = conn.Close() })
	return &testMember{t: g.t, conn: conn.(*net.TCPConn), frames: &frameReader{from: conn}, id: id, process: incarnation}
}

// renew asks for leases and reports what the member acts on.
func (m *testMember) renew() {
	m.t.Helper()
	m.sequence++
	_, err := m.conn.Write(controlgroup.Append(nil, controlgroup.Renew{Member: m.id, Incarnation: m.process,
		Sequence: m.sequence, Reports: m.acting}))
	require.NoError(m.t, err)
}

// next returns the next message, nil when none comes in a time.
func (m *testMember) next(within time.Duration) controlgroup.Message {
	m.t.Helper()
	require.NoError(m.t, m.conn.SetReadDeadline(time.Now().Add(within)))
	message, err := m.frames.next()
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return nil
	}
	require.NoError(m.t, err)
	return message
}

// granted renews until a grant is as wanted, and returns it with the time that took. What it is told is in force it
// reports from then on.
func (m *testMember) granted(what string, wanted func(controlgroup.Grant) bool) (grant controlgroup.Grant, after time.Duration) {
	m.t.Helper()
	began := time.Now()
	until(m.t, what, func() bool {
		m.renew()
		for message := m.next(shortTiming.Renewal); message != nil; message = m.next(shortTiming.Renewal) {
			switch message := message.(type) {
			case controlgroup.InForce:
				m.acting = []controlgroup.Report{{Document: message.Document, Acting: message.Versions}}
			case controlgroup.Grant:
				grant = message
				if wanted(grant) {
					return true
				}
			}
		}
		return false
	})
	return grant, time.Since(began)
}

func hasSettingsLease(g controlgroup.Grant) bool { return g.Settings > 0 }
func hasShare(g controlgroup.Grant) bool         { return g.Share > 0 }
