package scale

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at is a time of a test, in milliseconds after an origin.
func at(ms int) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func acts(member, ms int, versions ...uint64) Event {
	return Event{Member: member, At: at(ms), Kind: Acting, Versions: versions}
}

func ready(member, ms int) Event { return Event{Member: member, At: at(ms), Kind: Ready} }

func timelineOf(members int, events ...Event) *timeline {
	t := newTimeline(members)
	for _, e := range events {
		t.add(e)
	}
	return t
}

// Two members that have the oldest or the newest version in common do not contradict each other; two that act on nothing
// in common do, until one of them acts on more or does not serve any more.
func TestContradictionLastsWhileTwoServingMembersHaveNoVersionInCommon(t *testing.T) {
	agreed := timelineOf(2, acts(0, 0, 1), ready(0, 1), acts(1, 0, 1), ready(1, 1), acts(0, 10, 1, 2), acts(1, 20, 1, 2),
		acts(0, 30, 2), acts(1, 50, 2))
	require.Zero(t, agreed.contradiction(at(100)))
	apart := timelineOf(3, acts(0, 0, 1), ready(0, 0), acts(1, 0, 1), ready(1, 0), acts(2, 0, 1), ready(2, 0), acts(0, 10, 2),
		acts(1, 40, 1, 2), acts(2, 70, 2))
	require.Equal(t, 60*time.Millisecond, apart.contradiction(at(100)), "0 and 2, from 10 to 70")
	lasting := timelineOf(2, acts(0, 0, 1), ready(0, 0), acts(1, 0, 2), ready(1, 5))
	require.Equal(t, 95*time.Millisecond, lasting.contradiction(at(100)), "until the end, from when both serve")
}

// Who was stopped acts on nothing, nor does a new process before it has heard which versions are in force.
func TestContradictionIsOfMembersThatServe(t *testing.T) {
	stopped := timelineOf(2, acts(0, 0, 1), ready(0, 0), acts(1, 0, 1), ready(1, 0), acts(0, 10, 2))
	stopped.outages[1] = []outage{{from: at(30), to: at(40)}}
	for _, e := range []Event{acts(1, 41, 1), {Member: 1, At: at(42), Kind: Serving}, acts(1, 80, 2), ready(1, 90)} {
		stopped.add(e)
	}
	require.Equal(t, 20*time.Millisecond, stopped.contradiction(at(200)))
}

// What members report is read from their log, whether that is a real ingress's or handed over by a hollow one's.
func TestEventsOfALog(t *testing.T) {
	line := func(message, rest string) string {
		return `{"time":"2026-12-02T05:09:53.933416465Z","level":"INFO","msg":"` + message + `","name":"n0"` + rest + "}"
	}
	at := time.Date(2026, 12, 2, 5, 9, 53, 933416465, time.UTC)
	for text, want := range map[string]Event{
		line("serving", ""): {Kind: Serving},
		line("settings version", `,"acting":"1,2","newest":"2 (05be8f7c1ae141f0)"`): {Kind: Acting, Versions: []uint64{1, 2}},
		line("settings version heard", `,"alone":false`):                            {Kind: Ready},
		line("share of joint budgets", `,"settled":true`):                           {Kind: Share, Settled: true},
		line("control lease", `,"state":"held"`):                                    {Kind: Lease, Text: "held"},
	} {
		want.Member, want.At = 3, at
		e, ok := parseLine(3, []byte(text))
		require.True(t, ok, text)
		require.Equal(t, want, e)
	}
	for _, text := range []string{line("member", ""), line("settings version", `,"acting":"x"`), "no JSON", "{}"} {
		_, ok := parseLine(3, []byte(text))
		require.False(t, ok, text)
	}
	var got []Event
	log := slog.New(eventHandler{3, func(e Event) { got = append(got, e) }}).With("name", "n0")
	log.Info("member", "state", "dead")
	log.Info("settings version", "acting", "1,2", "newest", "2")
	log.Warn("discovery watch lost", "cause", "silent")
	require.Len(t, got, 2)
	require.Equal(t, []uint64{1, 2}, got[0].Versions)
	require.Equal(t, Warning, got[1].Kind)
	require.Contains(t, got[1].Text, "silent")
}

// A figure of use is the largest average over 10 s: a peak that is over in a second counts for a tenth.
func TestUseIsAveragedOverTheWindow(t *testing.T) {
	var bytes series
	total := 0.0
	for second := range 30 {
		if second == 15 {
			total += 1000
		}
		bytes.add(at(1000*second), total)
	}
	require.True(t, bytes.whole)
	require.InDelta(t, 100, bytes.largest, 1e-9)
	var short series
	short.add(at(0), 5)
	short.add(at(9000), 50)
	require.False(t, short.whole, "no whole window")
	count := restarting{}
	require.EqualValues(t, 7, count.total(7))
	require.EqualValues(t, 9, count.total(2), "a new process counts from 0")
}

// The target fleet has the zones and regions that the events take away.
func TestTheTargetFleet(t *testing.T) {
	top := &topology{Instances: targetInstances, Real: realDefault, Hosts: targetHosts, Services: targetServices, Block: 20}
	lost := top.members(func(m int) bool { return memberZone(m) == lostZone })
	require.Len(t, lost, 93)
	hosts, cells := 0, map[int]string{}
	for i := range top.Hosts {
		h := top.host(i)
		if hostZone(i) == lostZone {
			hosts++
		}
		zone, seen := cells[h.Cell]
		require.True(t, !seen || zone == h.Zone, "a cell is of one zone")
		cells[h.Cell] = h.Zone
	}
	require.Equal(t, 1029, hosts)
	require.Equal(t, 29, top.inProportion(targetDead))
	for _, m := range append(lost, top.otherHollow(targetDead)...) {
		require.GreaterOrEqual(t, m, top.Real)
		require.NotEqual(t, top.giver(), m)
	}
	require.NotEqual(t, cutRegion, memberRegion(top.giver()))
	addresses := map[string]bool{}
	for i := range top.Hosts {
		addresses[top.hostAddress(i)] = true
	}
	for m := range top.Instances {
		addresses[top.memberAddress(m, hostPort)] = true
	}
	require.Len(t, addresses, top.Hosts+top.Instances)
}
