package controlserver

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/net/nettest"
	"ferryfront.example/ferryfront/internal/versions"
)

func TestProposedAtAFollowerAndInForceAtAll(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	follower := g.address(g.follower())
	g.propose(drainedVersion(1), follower)
	g.propose(settingsVersion(t, 7), follower)
	g.propose(settingsVersion(t, 7), follower) // again: it is in force
	g.untilNewest(DocumentDrained, 1)
	g.untilNewest(DocumentSettings, 7)

	spoilt := proposalOf(drainedVersion(9))
	spoilt.Text = []byte(`["other"]`)
	unknown := proposalOf(drainedVersion(9))
	unknown.Document = "other"
	for says, p := range map[string]controlgroup.Propose{
		"older than the newest version in force":    proposalOf(settingsVersion(t, 6)),
		"in force with another content":             proposalOf(settingsVersion(t, 7, "2000", "1999")),
		"settings.classes[0].deadline is no time":   proposalOf(settingsVersion(t, 8, "2000", "0")),
		"settings.limits.maxAttempts is 0":          proposalOf(settingsVersion(t, 8, `"maxAttempts":2,`, "")),
		"settings.discovery is neither push nor":    proposalOf(settingsVersion(t, 8, "push", "pull")),
		"the text is not that of version":           spoilt,
		`document "other" is not known`:             unknown,
		"drained.hosts: json: cannot unmarshal":     proposalOf(document{DocumentDrained, []versions.Doc{versions.NewDoc(9, []byte(`[1]`))}}),
		"settings.me is no shared field":            proposalOf(document{DocumentSettings, []versions.Doc{versions.NewDoc(9, []byte(settingsText))}}),
		"settings: not JSON":                        proposalOf(document{DocumentSettings, []versions.Doc{versions.NewDoc(9, []byte(`{`))}}),
		"settings.balancers is missing":             proposalOf(settingsVersion(t, 8, `"balancers":3,`, "")),
		"settings.classes[0].effect is not known":   proposalOf(settingsVersion(t, 8, "retryable", "other")),
		"settings.limits.maxAttempts is no number":  proposalOf(settingsVersion(t, 8, `"maxAttempts":2`, `"maxAttempts":"2"`)),
		"settings.classes[0].name is empty":         proposalOf(settingsVersion(t, 8, "stock", "")),
		"settings.rules is no object":               proposalOf(settingsVersion(t, 8, `"rules":{}`, `"rules":[]`)),
		"settings.balancers is 0, need at least 1":  proposalOf(settingsVersion(t, 8, `"balancers":3`, `"balancers":0`)),
		"settings.period is not a time in milli":    proposalOf(settingsVersion(t, 8, `"period":4`, `"period":1e300`)),
		"settings.extra.hasCounter is neither true": proposalOf(settingsVersion(t, 8, `"extra":{}`, `"extra":{"hasCounter":1}`)),
	} {
		p.Request = 3
		result, err := ProposeTo(context.Background(), follower, p)
		require.NoError(t, err)
		require.Equal(t, uint64(3), result.Request)
		require.Contains(t, result.Error, says)
		require.False(t, Retryable(result))
	}
	for says, p := range map[string]controlgroup.Propose{ // which no frame carries
		"need a whole number from 1 to":       proposalOf(drainedVersion(0)),
		"drained: 65537 bytes, at most 65536": proposalOf(document{DocumentDrained, []versions.Doc{versions.NewDoc(9, make([]byte, controlgroup.TextMost+1))}}),
	} {
		require.ErrorContains(t, Propose(context.Background(), []string{follower}, p), says)
	}
	for _, id := range g.ids {
		require.Equal(t, map[string]uint64{DocumentDrained: 1, DocumentSettings: 7}, g.newest(id), "a bad one changes nothing")
	}
}

func TestANewLeaderHasAllThatWasCommitted(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	g.propose(drainedVersion(1))
	leader := g.leader()
	g.stop(leader)
	began := time.Now()
	g.propose(drainedVersion(2))
	t.Logf("a proposal after the leader's end was committed after %v", time.Since(began))
	require.NotEqual(t, leader, g.leader())
	g.start(leader)
	g.untilNewest(DocumentDrained, 2)
}

func TestAllReplicasStartAgainFromDisk(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	g.propose(drainedVersion(3))
	g.stop(g.ids...)
	began := time.Now()
	g.start(g.ids...)
	g.leader()
	t.Logf("a leader stood %v after the start of all", time.Since(began))
	g.untilNewest(DocumentDrained, 3)
	g.propose(drainedVersion(4))
	g.untilNewest(DocumentDrained, 4)
}

// A replica that starts from a snapshot has the state before any leader has told what is committed.
func TestReplicasStartFromSnapshots(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	g.propose(drainedVersion(1))
	g.propose(settingsVersion(t, 7))
	g.untilNewest(DocumentSettings, 7)
	for _, id := range g.ids {
		require.NoError(t, g.servers[id].node.raft.Snapshot().Error())
	}
	g.propose(drainedVersion(2))
	g.stop(g.ids...)
	g.start("a")
	g.until("the state of the snapshot", func() bool { return g.newest("a")[DocumentSettings] == 7 })
	require.NoError(t, os.Remove(filepath.Join(g.configs["b"].Data, storeFile)))
	require.ErrorIs(t, g.open("b"), ErrDamagedStore, "a snapshot without the log and the votes that belong to it")
	require.NoError(t, os.RemoveAll(g.configs["b"].Data))
	g.start("b", "c")
	g.untilNewest(DocumentDrained, 2)
}

// Two of three start again while the third is dead: they have to rely on their disks after a time.
func TestTwoReplicasStartAgain(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	g.propose(drainedVersion(3))
	g.stop(g.ids...)
	g.start("a", "b")
	g.untilNewest(DocumentDrained, 3)
	g.propose(drainedVersion(4))
	g.untilNewest(DocumentDrained, 4)
}

// An entry is committed by a and b alone. Then a stops, b gets an old copy of its disk, or a new one, and c returns: the
// two lack the entry, and must not choose a leader between them before a is back.
func TestAReplicaOnAnOldOrNewDiskLosesNothing(t *testing.T) {
	t.Parallel()
	for name, disk := range map[string]func(t *testing.T, old, current string){
		"old": func(t *testing.T, old, current string) { require.NoError(t, os.Rename(old, current)) },
		"new": func(*testing.T, string, string) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGroup(t)
			for _, id := range g.ids {
				cfg := g.configs[id]
				cfg.RejoinWait = patience
				g.configs[id] = cfg
			}
			g.start(g.ids...)
			g.propose(drainedVersion(1))
			g.untilNewest(DocumentDrained, 1)
			g.stop("b")
			old := filepath.Join(g.dir, "old")
			require.NoError(t, os.CopyFS(old, os.DirFS(g.configs["b"].Data)))
			g.start("b")
			g.untilNewest(DocumentDrained, 1)
			g.stop("c")
			g.propose(drainedVersion(2))
			g.stop("a", "b")
			require.NoError(t, os.RemoveAll(g.configs["b"].Data))
			disk(t, old, g.configs["b"].Data)
			g.start("c", "b")
			time.Sleep(time.Second) // several elections
			g.start("a")
			g.untilNewest(DocumentDrained, 2)
			g.propose(drainedVersion(3))
			g.untilNewest(DocumentDrained, 3)
		})
	}
}

func TestAGroupIsNotBootstrappedByTwo(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start("a", "b")
	time.Sleep(500 * time.Millisecond)
	for _, id := range []string{"a", "b"} {
		require.Equal(t, "rejoining", g.servers[id].Status().State)
	}
	g.start("c")
	g.propose(drainedVersion(1))
}

func TestReplaceAReplica(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	g.propose(drainedVersion(1))
	leader := g.leader() // the worst to lose
	added := Replica{"d", nettest.FreeAddress(t), nettest.FreeAddress(t)}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.ErrorContains(t, ReplaceReplica(ctx, []string{g.address(leader)}, leader, Replica{ID: "d"}), "two addresses")
	kept := []Replica{added}
	for _, r := range g.configs["a"].Replicas {
		if r.ID != leader {
			kept = append(kept, r)
		}
	}
	g.configs["d"] = Config{ID: "d", Data: filepath.Join(g.dir, "d"), Replicas: kept, Timing: shortTiming,
		RejoinWait: time.Second, Log: testLog(t)}
	g.ids = append(g.ids, "d")
	g.start("d")
	require.NoError(t, ReplaceReplica(ctx, g.addresses(), leader, added))
	g.untilNewest(DocumentDrained, 1)
	g.stop(leader)
	g.propose(drainedVersion(2))
	g.untilNewest(DocumentDrained, 2)
	status := g.servers["d"].Status()
	require.Len(t, status.Replicas, 3)
	for _, r := range status.Replicas {
		require.True(t, r.Voter)
		require.NotEqual(t, leader, r.ID)
		require.NotEmpty(t, r.Listen)
	}
	// The new one holds up a quorum as the old one did, also from its disk.
	g.stop("d")
	g.start("d")
	for _, id := range g.ids {
		if id != "d" && id != leader {
			g.stop(id)
			break
		}
	}
	g.propose(drainedVersion(3))
}

func TestStatusAndBackup(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	g.propose(drainedVersion(1))
	follower := g.follower()
	g.untilNewest(DocumentDrained, 1)
	member := g.connect(follower, 5, 1)
	member.granted("a lease", hasSettingsLease)
	response, err := Ask(context.Background(), g.address(g.leader()), Request{Op: OpStatus})
	require.NoError(t, err)
	require.Equal(t, "leader", response.Status.State)
	require.Equal(t, 1, response.Status.Leases.Settings)
	require.Len(t, response.Status.Replicas, 3)
	response, err = Ask(context.Background(), g.address(follower), Request{Op: OpStatus})
	require.NoError(t, err)
	require.Equal(t, "follower", response.Status.State)
	require.Equal(t, 1, response.Status.Members)
	require.Equal(t, g.leader(), response.Status.Leader)
	require.Nil(t, response.Status.Leases)
	require.Equal(t, uint64(1), response.Status.Documents[0].InForce[0].Number)
	response, err = Ask(context.Background(), g.address(follower), Request{Op: OpBackup})
	require.NoError(t, err)
	require.Equal(t, []BackupDocument{{DocumentDrained, []BackupVersion{{1, `["host-1"]`}}}}, response.Backup)
	_, err = Ask(context.Background(), g.address(follower), Request{Op: "other"})
	require.ErrorContains(t, err, `operation "other" is not known`)
}
