package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/standin"
)

// versioned is a fleet of three processes that agree, on version 1 of the settings.
func versioned(t *testing.T) *fleet { return threeOf(t, 1) }

func (s *fleet) acting(t *testing.T, member int) []uint64 {
	t.Helper()
	m, err := s.members(member)
	require.NoError(t, err)
	return m.ActiveVersions
}

// act waits until members act on these versions.
func (s *fleet) act(t *testing.T, versions []uint64, members ...int) {
	t.Helper()
	for _, i := range members {
		require.NoError(t, until("the versions are acted on", func() bool {
			got := s.acting(t, i)
			return len(got) == len(versions) && got[0] == versions[0] && got[len(got)-1] == versions[len(versions)-1]
		}), "%d acts on %v", i, s.acting(t, i))
	}
}

// together tells that no two members ever acted on versions of which neither knew the other's.
func (s *fleet) together(t *testing.T) {
	t.Helper()
	var r ChaosReport
	s.contradictions(&r)
	require.Empty(t, r.Error)
	require.LessOrEqual(t, *r.ContradictionMS, contradictionMost(s.n))
}

// logged tells whether a member's log has a line with all of these.
func (s *fleet) logged(t *testing.T, member int, parts ...string) bool {
	t.Helper()
	raw, err := os.ReadFile(s.world.Ingresses[member].Log)
	require.NoError(t, err)
	for _, line := range strings.Split(string(raw), "\n") {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(line, p)
		}
		if all {
			return true
		}
	}
	return false
}

// A version given to one member is pulled by the others, and stands alone once all have it.
func TestARolloutReachesAll(t *testing.T) {
	s := versioned(t)
	s.roll(1)
	s.act(t, []uint64{2}, 0, 1, 2)
	s.together(t)
	for i := range s.n {
		require.False(t, s.logged(t, i, "needs a restart"), "nothing but the settings has changed")
	}
}

// In a split the new version joins the old one on the side that has it, and stands alone only when all have it.
func TestARolloutInASplit(t *testing.T) {
	s := versioned(t)
	s.links.Set(func(from, to int) bool { return (from == 2) != (to == 2) }, 0, 0)
	s.roll(0)
	s.act(t, []uint64{1, 2}, 0, 1)
	s.holds(t, 0, "2", "dead")
	time.Sleep(time.Second) // it must not change for want of an answer
	s.act(t, []uint64{1, 2}, 0, 1)
	s.act(t, []uint64{1}, 2)
	s.heal()
	s.act(t, []uint64{2}, 0, 1, 2)
	s.together(t)
}

// One that does not hear the member with the new version gets it from the third.
func TestARolloutUnderOneWayLoss(t *testing.T) {
	s := versioned(t)
	s.links.Set(func(from, to int) bool { return from == 0 && to == 1 }, 0, 0)
	s.roll(0)
	require.NoError(t, until("it has it from the third", func() bool {
		got := s.acting(t, 1)
		return got[len(got)-1] == 2
	}))
	s.heal()
	s.act(t, []uint64{2}, 0, 1, 2)
	s.together(t)
}

// The member that the version was given to is killed on the way. It comes back with its file; or with an old one, then
// it is not ready before it has what the others act on.
func TestACrashInARolloutAndAReturnWithAnOldFile(t *testing.T) {
	s := versioned(t)
	s.roll(0)
	s.act(t, []uint64{2}, 0, 1, 2)
	s.down(1) // its file still says 1
	s.world.Ingresses[1].Kill()
	s.links.Set(nil, 0, 60*time.Millisecond) // longer than a start takes
	require.NoError(t, s.world.Again(1))
	s.up(1)
	got := s.acting(t, 1)
	require.Contains(t, got, uint64(2), "it is ready, and so knows better than its file")
	s.heal()
	s.act(t, []uint64{2}, 0, 1, 2)
	s.roll(0) // 3
	s.down(0)
	s.world.Ingresses[0].Kill()
	require.NoError(t, s.world.Again(0))
	s.up(0)
	s.act(t, []uint64{3}, 0, 1, 2)
	s.together(t)
}

// Bad versions are turned down whole, and nothing taken changes.
func TestBadVersionsAreTurnedDownByTheProcess(t *testing.T) {
	s := versioned(t)
	s.roll(0)
	s.act(t, []uint64{2}, 0, 1, 2)
	in := s.world.Ingresses[0]
	for _, bad := range []struct {
		change func(config, settings map[string]any)
		says   string
	}{
		{func(c, _ map[string]any) { c["settings_version"] = 1 }, "version 1 is older than 2"},
		{func(c, set map[string]any) { c["settings_version"], set["period"] = 2, 2 }, "another content"},
		{func(c, set map[string]any) { c["settings_version"], set["period"] = 2.5, 1 }, "settings_version is 2.5"},
		{func(c, _ map[string]any) { c["settings_version"] = "3" }, "settings_version is no number"},
		{func(c, _ map[string]any) { c["settings_version"], c["drained"] = 3, []string{} }, "drained.hosts is missing"},
		{func(c, _ map[string]any) {
			delete(c, "settings_version")
			c["drained"] = map[string]any{"version": 1, "hosts": []string{}}
		}, "settings_version is missing"},
		{func(c, set map[string]any) { c["settings_version"], set["classes"] = 3, []any{} }, "settings.classes"},
	} {
		require.NoError(t, in.Configure(bad.change))
		require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
		require.NoError(t, until(bad.says, func() bool { return s.logged(t, 0, "configuration not reloaded", bad.says) }))
		for i := range s.n {
			require.Equal(t, []uint64{2}, s.acting(t, i))
		}
	}
	require.NoError(t, os.Truncate(filepath.Join(s.world.Dir, in.Name, "config.json"), 200))
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, until("cut short", func() bool { return s.logged(t, 0, "configuration not reloaded", "not JSON") }))
	require.Equal(t, []uint64{2}, s.acting(t, 0))
	raw, err := os.ReadFile(in.Log)
	require.NoError(t, err)
	require.Equal(t, 8, strings.Count(string(raw), "configuration not reloaded"))
	s.served(t, 0)
}

// drain gives a member the next version of the list of hosts that the operators drain.
func (s *fleet) drain(t *testing.T, member, version int, hosts ...string) {
	t.Helper()
	in := s.world.Ingresses[member]
	require.NoError(t, in.Configure(func(config, _ map[string]any) {
		config["drained"] = map[string]any{"version": version, "hosts": append([]string{}, hosts...)}
	}))
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGHUP))
}

// drained waits until a member drains these hosts by the operators' list.
func (s *fleet) drained(t *testing.T, member int, hosts ...string) {
	t.Helper()
	require.NoError(t, until("the list is acted on", func() bool {
		m, err := s.members(member)
		require.NoError(t, err)
		slices.Sort(m.DrainedHosts)
		return slices.Equal(slices.Compact(m.DrainedHosts), hosts)
	}))
}

// used tells which hosts get requests that come through a member.
func (s *fleet) used(t *testing.T, member, from, n int) map[string]bool {
	t.Helper()
	before := len(s.world.Record.Runs())
	for i := range n {
		s.clients[member].Do(standin.Ask{ID: fmt.Sprint("u", member, "-", from+i), Customer: standin.CustomerName(from + i),
			Class: "stock", Plan: "boutique", Spread: s.n})
	}
	hosts := map[string]bool{}
	for _, run := range s.world.Record.Runs()[before:] {
		hosts[run.Host] = true
	}
	return hosts
}

// but is the list of all hosts but some.
func but(hosts ...string) (list []string) {
	for i := range 8 {
		if name := fmt.Sprint("h", i); !slices.Contains(hosts, name) {
			list = append(list, name)
		}
	}
	return list
}

// A list of hosts to drain, given to one member, holds at all from the first version that names a host; taken off the
// list, a host is used again only once all members have that.
func TestADrainedListReachesAll(t *testing.T) {
	s := versioned(t)
	s.drain(t, 0, 2, but("h7")...)
	for i := range s.n {
		s.drained(t, i, but("h7")...)
		require.Equal(t, map[string]bool{"h7": true}, s.used(t, i, 200, 20))
	}
	s.links.Set(func(from, to int) bool { return from == 2 || to == 2 }, 0, 0)
	s.drain(t, 0, 3, but("h3", "h7")...)
	require.NoError(t, until("it is known here", func() bool { return s.logged(t, 1, "drained list version", "acting=2,3") }))
	require.Equal(t, map[string]bool{"h7": true}, s.used(t, 0, 300, 20), "the third still drains the other")
	s.heal()
	for i := range s.n {
		s.drained(t, i, but("h3", "h7")...)
	}
	s.drain(t, 1, 4, but("h3")...)
	s.drained(t, 2, but("h3")...)
	require.Equal(t, map[string]bool{"h3": true}, s.used(t, 2, 400, 20))
	s.drain(t, 1, 2, "h7")
	older := "drained.version: version 2 is older than 4"
	require.NoError(t, until("it is turned down", func() bool { return s.logged(t, 1, "not reloaded", older) }))
	s.drained(t, 1, but("h3")...)
}

// A member that is dead for good holds a rollout up until an operator says so at any other.
func TestARolloutPastAMemberThatIsGoneForGood(t *testing.T) {
	s := versioned(t)
	s.world.Ingresses[2].Kill()
	<-s.world.Ingresses[2].Ended()
	s.roll(0)
	s.act(t, []uint64{1, 2}, 0, 1)
	s.holds(t, 1, "2", "dead")
	require.Equal(t, "member 0 is not dead here", s.leave(t, 1, "0").Text)
	require.True(t, s.leave(t, 1, "2").Succeeded)
	s.act(t, []uint64{2}, 0, 1)
}

// A version that one member can't act on is reported at its admin endpoint and in its log, and never stands alone.
func TestAVersionThatOneMemberTurnsDown(t *testing.T) {
	s := versioned(t)
	require.NoError(t, s.world.Ingresses[0].Configure(func(config, settings map[string]any) {
		config["settings_version"], settings["balancers"] = 2, 2 // there is no place for the third
	}))
	require.NoError(t, s.world.Ingresses[0].Cmd.Process.Signal(syscall.SIGHUP))
	s.act(t, []uint64{1, 2}, 0, 1)
	require.NoError(t, until("it is turned down", func() bool { return s.logged(t, 2, "settings version turned down", "settings.me") }))
	s.act(t, []uint64{1}, 2)
	m, err := s.members(2)
	require.NoError(t, err)
	require.Len(t, m.RejectedVersions, 1)
	s.together(t)
}

// A whole experiment keeps the rules, and the new ceiling once it is agreed on.
func TestARolloutUnderLoadKeepsTheRules(t *testing.T) {
	t.Parallel()
	r, err := Chaos{Setup: setup(t), Members: 3, Fault: "rollout+partition", Length: 2 * time.Second, Rate: 60}.Run()
	require.NoError(t, err)
	require.Empty(t, r.Error)
	require.False(t, r.Failed(), "%+v", r)
	require.NotNil(t, r.AgreedMS)
}

// The longest time with nothing in common is found, also one that is not over.
func TestApart(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	a := []acts{{at(0), []string{"1"}}, {at(100), []string{"2"}}, {at(300), []string{"2", "3"}}, {at(500), nil}}
	b := []acts{{at(0), []string{"1"}}, {at(250), []string{"1", "3"}}, {at(400), []string{"1"}}}
	require.Equal(t, 150*time.Millisecond, apart(a, b, at(900)))
	require.Equal(t, 700*time.Millisecond, apart(a[:2], b[:1], at(800)))
	require.Zero(t, apart(a[:1], b[:1], at(900)))
}
