package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/standin"
)

// three is a fleet of three processes that agree, and whose settings have no version.
func three(t *testing.T) *fleet { return threeOf(t, 0) }

// threeOf is one that begins with a version of the settings.
func threeOf(t *testing.T, version int) *fleet {
	t.Parallel()
	f, err := newFleet(setup(t), 3, version)
	require.NoError(t, err)
	t.Cleanup(f.close)
	require.NoError(t, f.agree())
	return f
}

// holds waits until a member holds another in a state.
func (f *fleet) holds(t *testing.T, observer int, member, state string) {
	t.Helper()
	require.NoError(t, until(member+" is "+state, func() bool {
		m, err := f.members(observer)
		require.NoError(t, err)
		for _, o := range m.Members {
			if o.Name == member {
				return o.State == state
			}
		}
		return false
	}))
}

// leave asks a member to leave for good, or tells it that another one has.
func (f *fleet) leave(t *testing.T, member int, gone string) (p daemon.Progress) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, daemon.SendCommand(ctx, f.world.Ingresses[member].Control, daemon.Command{Name: "leave", Member: gone},
		func(line []byte) error { return json.Unmarshal(line, &p) }))
	return p
}

// served tells that tenants with a ceiling are served through a member, each asking once.
func (f *fleet) served(t *testing.T, member int) {
	t.Helper()
	tenant := 1000 * (member + 1)
	require.NoError(t, until("a tenant with a ceiling is served", func() bool {
		tenant++
		return f.clients[member].Do(standin.Ask{ID: fmt.Sprint("c", tenant), Customer: standin.CustomerName(tenant),
			Class: "stock", Plan: "distributeur", Spread: f.n}).Status == 200
	}))
}

// times tells how often members came to a state in others' views.
func (f *fleet) times(t *testing.T, state string) int {
	t.Helper()
	list, err := f.declared(state)
	require.NoError(t, err)
	return len(list)
}

// A killed process is dead for the others, and its part of joint budgets is nobody'f. Started anew it takes its place.
func TestAKilledMember(t *testing.T) {
	f := three(t)
	f.world.Ingresses[2].Kill()
	<-f.world.Ingresses[2].Ended()
	for o := range 2 {
		f.holds(t, o, "2", "dead")
		m, err := f.members(o)
		require.NoError(t, err)
		require.Empty(t, m.AbsentMembers, "it may be cut off and go on sending")
	}
	require.NoError(t, f.world.Again(2))
	require.NoError(t, f.agree())
}

// A process that was stopped is dead in the meantime; going on it learns of that and refutes.
func TestAPausedMember(t *testing.T) {
	f := three(t)
	f.signal(1, syscall.SIGSTOP)
	f.holds(t, 0, "1", "dead")
	f.holds(t, 2, "1", "dead")
	f.signal(1, syscall.SIGCONT)
	require.NoError(t, f.agree())
}

// Both sides of a split find the other dead, serve on, and find each other again when it is over.
func TestASplitFleet(t *testing.T) {
	f := three(t)
	f.links.Set(func(from, to int) bool { return (from == 0) != (to == 0) }, 0, 0)
	f.holds(t, 0, "1", "dead")
	f.holds(t, 0, "2", "dead")
	f.holds(t, 1, "0", "dead")
	f.holds(t, 2, "0", "dead")
	for i := range f.n {
		f.served(t, i)
	}
	f.heal()
	require.NoError(t, f.agree())
}

// One that is not heard by one other only is vouched for by the third: it is not even suspected, but for a stall of
// the machine.
func TestOneWayLossIsVouchedFor(t *testing.T) {
	f := three(t)
	f.links.Set(func(from, to int) bool { return from == 0 && to == 1 }, 0, 0)
	before, suspected := f.links.Carried(), f.times(t, "suspect")
	require.NoError(t, until("rounds of probes have passed", func() bool { return f.links.Carried() > before+150 }))
	require.Zero(t, f.times(t, "dead"))
	require.LessOrEqual(t, f.times(t, "suspect"), suspected+3, "a suspicion a round without the third's help")
	f.heal()
	require.NoError(t, f.agree())
}

// A member that leaves for good is counted out by the others, and in again once it is back.
func TestAMemberLeavesAndComesBack(t *testing.T) {
	f := three(t)
	in := f.world.Ingresses[1]
	left := f.leave(t, 1, "")
	require.True(t, left.Succeeded, left.Text)
	<-in.Ended()
	absent := func(o int) []int {
		m, err := f.members(o)
		require.NoError(t, err)
		return m.AbsentMembers
	}
	for _, o := range []int{0, 2} {
		f.holds(t, o, "1", "left")
		require.NoError(t, until("it is counted out", func() bool { return len(absent(o)) == 1 && absent(o)[0] == 1 }))
	}
	require.NoError(t, f.world.Again(1))
	require.NoError(t, f.agree())
	for _, o := range []int{0, 2} {
		require.NoError(t, until("it is counted in", func() bool { return len(absent(o)) == 0 }))
	}
	f.served(t, 1)
}

// A restart in the platform's way, SIGTERM and a new process, keeps the place: nobody counts it out meanwhile.
func TestAPlannedRestartKeepsThePlace(t *testing.T) {
	f := three(t)
	in := f.world.Ingresses[0]
	require.NoError(t, in.Cmd.Process.Signal(syscall.SIGTERM))
	<-in.Ended()
	for _, o := range []int{1, 2} {
		m, err := f.members(o)
		require.NoError(t, err)
		require.Empty(t, m.AbsentMembers)
	}
	require.NoError(t, f.world.Again(0))
	require.NoError(t, f.agree())
}

// An upgrade keeps the place: the new process is a member at once, with its share, and nobody holds it dead.
func TestAnUpgradeKeepsThePlace(t *testing.T) {
	f := three(t)
	in := f.world.Ingresses[1]
	ctx, cancel := context.WithTimeout(context.Background(), upgradeTimeout)
	defer cancel()
	unsure := func() int {
		raw, err := os.ReadFile(in.Log)
		require.NoError(t, err)
		return strings.Count(string(raw), "settled=false")
	}
	before := unsure()
	require.Equal(t, 1, before, "at its start it can't know")
	_, err := daemon.Upgrade(ctx, in.Control, func(daemon.Progress) {})
	require.NoError(t, err)
	require.NoError(t, f.agree())
	require.Equal(t, before, unsure())
	require.Zero(t, f.times(t, "dead"))
	f.served(t, 1)
}

// A whole experiment keeps the rules under load.
func TestChaosKeepsTheRules(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"kill", "partition"} {
		r, err := Chaos{Setup: setup(t), Members: 3, Fault: fault, Length: 4 * time.Second, Rate: 60}.Run()
		require.NoError(t, err)
		require.Empty(t, r.Error)
		require.Zero(t, r.Lost+r.Doubled+r.CeilingBreaks+r.OverrunHosts+r.LateSends, "%+v", r)
		require.NotNil(t, r.DetectMS)
		require.Greater(t, r.ServedShare, 0.9)
	}
}
