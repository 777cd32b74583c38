package lab

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/standin"
)

// Fleets under a control group: real ingresses and real replicas, with faults between them.

// settledMost bounds the time in which a restarted ingress has its share, once its place is free.
const settledMost = time.Second

// A version given to one ingress comes in force at all, in two steps; so does a list of drained hosts. Nothing but the
// versions has changed, and a version that is older or has another content is turned down by the process.
func TestAControlledRollout(t *testing.T) {
	s := controlled(t)
	s.rollout(t, 1, 2, 0, 1, 2)
	s.drain(t, 1, 2, but("h7")...)
	for i := range s.n {
		s.drained(t, i, but("h7")...)
	}
	s.drain(t, 1, 3)
	s.drained(t, 0)
	in, from := s.world.Ingresses[0], time.Now() // its file still says 1
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
	s.logs(t, 0, from, "configuration not reloaded", "version 1 is older than 2")
	require.NoError(t, in.Configure(func(c, set map[string]any) {
		c["settings_version"], set["classes"] = 3, []any{}
		c["drained"] = map[string]any{"version": 3, "hosts": []string{}}
	}))
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
	s.logs(t, 0, from, "configuration not reloaded", "settings.classes")
	s.act(t, []uint64{2}, 0, 1, 2)
	status := s.control(t, 1)
	require.Equal(t, "held", status.SettingsLease)
	require.Equal(t, uint64(2), status.SettingsVersion)
	require.Positive(t, status.Term)
	require.Contains(t, s.relays.Addrs(1), status.Replica)
	for i := range s.n {
		require.False(t, s.logged(t, i, "needs a restart"), "nothing but the settings has changed")
	}
	s.kept(t)
}

// An ingress whose file has no versions follows those of the group, of settings and drained list; a file without a version
// is turned down from then on, and one with a newer version is proposed.
func TestAFileWithoutVersionsUnderAControlGroup(t *testing.T) {
	s := controlled(t)
	s.drain(t, 0, 2, but("h7")...)
	s.drained(t, 1, but("h7")...)
	s.kill(2)
	in := s.world.Ingresses[2]
	require.NoError(t, in.Configure(func(c, _ map[string]any) {
		delete(c, "settings_version")
		delete(c, "drained")
	}))
	s.again(t, 2)
	s.act(t, []uint64{1}, 2)
	s.drained(t, 2, but("h7")...)
	s.rollout(t, 0, 2, 0, 1, 2)
	from := time.Now()
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
	s.logs(t, 2, from, "configuration not reloaded", "settings_version is missing, and 2 is in force")
	require.NoError(t, in.Configure(func(c, _ map[string]any) {
		c["settings_version"], c["drained"] = 3, map[string]any{"version": 3, "hosts": []string{}}
	}))
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
	s.act(t, []uint64{3}, 0, 1, 2)
	s.drained(t, 0)
	s.kept(t)
}

// Membership beside a control group only tells who is there: a member that is dead to the others, and then left for good,
// changes nothing of their shares, and no versions go between members.
func TestMembershipBesideAControlGroup(t *testing.T) {
	s := controlled(t, func(s *fleet, shape *standin.Shape) {
		var err error
		s.links, err = standin.NewLinks(s.n)
		require.NoError(t, err)
		shape.Links, shape.Settings = s.links, "membership: enabled: true\n"
	})
	require.NoError(t, s.agree())
	from := time.Now()
	s.kill(2)
	s.holds(t, 0, "2", "dead")
	s.links.Set(func(int, int) bool { return true }, 0, 0)
	s.rollout(t, 0, 2, 0, 1)
	s.links.Set(nil, 0, 0)
	left := s.leave(t, 0, "2")
	require.True(t, left.Succeeded, left.Text)
	s.holds(t, 1, "2", "left")
	for i := range 2 {
		require.Empty(t, s.after(t, i, from, "share of joint budgets"))
		m, err := s.members(i)
		require.NoError(t, err)
		require.Empty(t, m.AbsentMembers)
		require.True(t, m.IsSettled)
	}
	s.again(t, 2)
	s.act(t, []uint64{2}, 2)
	require.NoError(t, s.agree())
	s.kept(t)
}

// The leader is killed while a version is on its way.
func TestTheLeaderIsKilledInARollout(t *testing.T) {
	s := controlled(t)
	leader, err := s.group.Leader(time.Second)
	require.NoError(t, err)
	began := time.Now()
	s.roll(0)
	time.Sleep(underWay)
	s.group.Kill(leader)
	s.inForce(t, began, 2, 0, 1, 2)
	s.allSettled(t)
	require.NoError(t, s.group.Start(leader))
	s.rollout(t, 0, 3, 0, 1, 2)
	s.kept(t)
}

// An ingress is killed while a version is on its way: that waits for it one lease at the most. It comes back with its old
// file, and is ready no sooner than it acts on the new version.
func TestAnIngressIsKilledInARollout(t *testing.T) {
	s := controlled(t)
	began := time.Now()
	s.roll(0)
	time.Sleep(underWay)
	s.kill(2)
	s.inForce(t, began, 2, 0, 1)
	require.Less(t, s.again(t, 2), shareLease+settledMost, "it may have been killed with news unread: a reset proves no end")
	require.Contains(t, s.acting(t, 2), uint64(2))
	s.act(t, []uint64{2}, 0, 1, 2)
	s.kept(t)
}

// A process that was stopped for longer than its leases has no share from its first turn on, and has the newest version
// before it counts as agreed again. Meanwhile the others go on.
func TestAnIngressIsPausedLongerThanItsLeases(t *testing.T) {
	s := controlled(t)
	s.signal(2, syscall.SIGSTOP)
	began := time.Now()
	s.rollout(t, 0, 2, 0, 1)
	time.Sleep(time.Until(began.Add(shareLease + 500*time.Millisecond)))
	from := time.Now()
	s.signal(2, syscall.SIGCONT)
	lost := s.logs(t, 2, from, "share of joint budgets", "settled=false")
	expired := s.logs(t, 2, from, "control lease", "state=expired")
	held := s.logs(t, 2, from, "control lease", "state=held")
	acts := s.logs(t, 2, from, `msg="settings version" `, "acting=2 ")
	got := s.logs(t, 2, from, "share of joint budgets", "settled=true")
	require.False(t, lost.After(held), "before anything else")
	require.False(t, expired.After(held))
	require.False(t, acts.After(held))
	require.Less(t, got.Sub(lost), settledMost)
	s.allSettled(t)
	s.kept(t)
}

// An ingress that is cut off goes on serving on its last good settings without a lease, and in time without a share. A
// change does not wait for it. It has the newest settings before it holds a lease again.
func TestAnIngressIsCutOff(t *testing.T) {
	s := controlled(t)
	from := time.Now()
	s.relays.Set(func(ingress, _ int, _ standin.Direction) bool { return ingress == 2 })
	s.rollout(t, 0, 2, 0, 1)
	expired := s.logs(t, 2, from, "control lease", "state=expired", "version=1")
	s.answers(t, 2, "cut")
	require.Equal(t, []uint64{1}, s.acting(t, 2))
	lost := s.logs(t, 2, from, "share of joint budgets", "settled=false")
	require.Greater(t, lost.Sub(expired), time.Second, "the share lease is longer")
	status := s.control(t, 2)
	require.Equal(t, daemon.ControlGroupStatus{SettingsLease: "expired", Term: status.Term, SettingsVersion: 1}, status)
	s.answers(t, 2, "shareless")
	healed := time.Now()
	s.relays.Set(nil)
	s.act(t, []uint64{2}, 2)
	s.allSettled(t)
	t.Logf("agreed and settled %v after the cut", time.Since(healed))
	s.kept(t)
}

// An ingress is cut off one way. What it asks for arrives and the answers do not: it leaves the replica, and a change
// waits for it no longer than for one that is silent.
func TestAnIngressIsCutOffOneWay(t *testing.T) {
	s := controlled(t)
	s.oneWay(t, 2, standin.ToIngress)
	s.oneWay(t, 3, standin.ToReplica)
	s.kept(t)
}

func (s *fleet) oneWay(t *testing.T, version uint64, cut standin.Direction) {
	t.Helper()
	from := time.Now()
	s.relays.Set(func(ingress, _ int, way standin.Direction) bool { return ingress == 2 && way == cut })
	s.rollout(t, 0, version, 0, 1)
	s.logs(t, 2, from, "control lease", "state=expired")
	s.answers(t, 2, fmt.Sprint("oneway", version))
	s.relays.Set(nil)
	s.act(t, []uint64{version}, 2)
	s.allSettled(t)
}

// A region loses the others: its replica does not answer and its ingress reaches no other one. Changes go on without it.
func TestARegionIsCutOff(t *testing.T) {
	s := controlled(t)
	lead, err := s.group.Leader(time.Second)
	require.NoError(t, err)
	region := lead // the hardest: the group must elect another leader first
	out, in := region, (region+1)%s.n
	began := time.Now()
	s.group.Signal(region, syscall.SIGSTOP)
	s.relays.Set(func(ingress, replica int, _ standin.Direction) bool { return (ingress == out) != (replica == region) })
	s.rollout(t, in, 2, in, (region+2)%s.n)
	s.logs(t, out, began, "control lease", "state=expired")
	s.answers(t, out, "region")
	s.group.Signal(region, syscall.SIGCONT)
	s.relays.Set(nil)
	s.act(t, []uint64{2}, 0, 1, 2)
	s.allSettled(t)
	s.rollout(t, in, 3, 0, 1, 2)
	s.kept(t)
}

// All replicas are lost and come back on their disks: the ingresses serve on, at first with their leases, then without,
// and no version is lost.
func TestAllReplicasAreLostAndBack(t *testing.T) {
	s := controlled(t)
	s.rollout(t, 0, 2, 0, 1, 2)
	from := time.Now()
	for i := range 3 {
		s.group.Kill(i)
	}
	for i := range s.n {
		s.logs(t, i, from, "control lease", "state=expired")
		s.answers(t, i, "lost")
	}
	in := s.world.Ingresses[1]
	require.NoError(t, in.Configure(func(c, _ map[string]any) { c["settings_version"] = 3 }))
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
	s.logs(t, 1, from, "configuration not reloaded", "no replica of the control group")
	for i := range s.n {
		s.logs(t, i, from, "share of joint budgets", "settled=false")
		s.answers(t, i, "shareless")
		require.Equal(t, []uint64{2}, s.acting(t, i))
	}
	back := time.Now()
	for i := range 3 {
		require.NoError(t, s.group.Start(i))
	}
	s.allSettled(t)
	began := time.Now()
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP)) // what it proposed meanwhile may be in force or not
	s.inForce(t, began, 3, 0, 1, 2)
	for i := range s.n {
		s.logs(t, i, back, `msg="settings version" `, "acting=2,3 ") // version 2 was in force when the group came back
	}
	s.rollout(t, 1, 4, 0, 1, 2)
	s.kept(t)
}

// Guards against versions that are lost with a process: the new process of an upgrade acted on the retired version of its
// file while no replica could be reached. It acts on what the old one acted on, settings and drained list, and is ready.
func TestAnUpgradeWhileAllReplicasAreAway(t *testing.T) {
	s := controlled(t)
	s.rollout(t, 1, 2, 0, 1, 2) // the files of the others still say 1
	s.drain(t, 1, 2, but("h7")...)
	s.drained(t, 0, but("h7")...)
	for i := range 3 {
		s.group.Kill(i)
	}
	in, from := s.world.Ingresses[0], time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), upgradeTimeout)
	defer cancel()
	_, err := daemon.Upgrade(ctx, in.Control, func(daemon.Progress) {})
	require.NoError(t, err)
	require.Equal(t, []uint64{2}, s.acting(t, 0))
	require.Empty(t, s.after(t, 0, from, "acting=1 "))
	s.drained(t, 0, but("h7")...)
	s.answers(t, 0, "upgraded")
	for i := range 3 {
		require.NoError(t, s.group.Start(i))
	}
	s.allSettled(t)
	require.Equal(t, []uint64{2}, s.acting(t, 0))
	s.rollout(t, 1, 3, 0, 1, 2)
	s.kept(t)
}

// An ingress that ends, is killed, or is replaced by an upgrade leaves its place to the next process at once.
func TestAPlaceIsTakenAtOnce(t *testing.T) {
	s := controlled(t)
	atOnce := 0
	for range 3 { // one that is killed with a grant unread ends by a reset, and its share is waited for
		s.kill(0)
		if s.again(t, 0) < settledMost {
			atOnce++
		}
	}
	require.GreaterOrEqual(t, atOnce, 2)

	s.down(1)
	require.NoError(t, s.world.Ingresses[1].Cmd.Process.Signal(syscall.SIGTERM))
	<-s.world.Ingresses[1].Ended()
	require.Less(t, s.again(t, 1), settledMost)

	from := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), upgradeTimeout)
	defer cancel()
	_, err := daemon.Upgrade(ctx, s.world.Ingresses[2].Control, func(daemon.Progress) {})
	require.NoError(t, err)
	taken := s.logs(t, 2, from, "taken over")
	got := s.logs(t, 2, from, "share of joint budgets", "settled=true")
	require.Less(t, got.Sub(taken), settledMost)
	s.allSettled(t)
	s.rollout(t, 1, 2, 0, 1, 2)
	s.kept(t)
}
