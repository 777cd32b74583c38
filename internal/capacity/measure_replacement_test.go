package capacity

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReplacementMeasurersAtASmallSize(t *testing.T) {
	const members, started = 14, 6
	measurers := slices.DeleteFunc(replacementMeasurers(), func(m Measurer) bool {
		return m.Unit == "handshakes" && m.Parameter == serversName // of the target fleet: tried by itself below
	})
	values := measureSmall(t, measurers, func(m Measurer) int {
		if m.Parameter == serversName || m.Parameter == ingressesStart {
			return started
		}
		return members
	})
	for _, event := range []string{"a rack", "a zone", "seven in ten"} {
		agreed := values[event+" of the ingresses gone, until all that are left agree"]
		assert.Greater(t, agreed, 1.0, "suspicion lasts a second")
		assert.Less(t, agreed, 20.0)
		bytes := values[event+" of the ingresses gone, bytes of a member meanwhile, both ways"]
		assert.Greater(t, bytes, 200.0)
		assert.Less(t, bytes, BudgetControlBytesPerS)
		assert.Less(t, values[event+" of the ingresses gone, processor time of a member meanwhile"], 1.0)
	}
	waiting := values["ingresses without their share on average, one other dead"]
	restarts := ReplacementsADay * float64(members) / TargetIngresses / secondsADay
	assert.Greater(t, waiting, 2*restarts, "each waits some seconds")
	assert.Less(t, waiting, 20*restarts)
	assert.InDelta(t, started*132, values["servers gone, bytes to a watch in one message"], 200)
	assert.InDelta(t, started*0.88, values["ingresses that start, whole lists"], 0.2)
	first := values["ingresses that start, handshakes in their first second"]
	assert.Greater(t, first, started*10.0)
	assert.Less(t, first, started*requestsPerIngress*1.5)
}

func TestFewConnectionsMoveWhenServersGo(t *testing.T) {
	const ingresses, servers, gone = 20, 100, 10
	before, err := rankSubsets(t.Context(), ingresses, admissionServers(servers))
	require.NoError(t, err)
	moved, err := measureMoves(t.Context(), before, gone)
	require.NoError(t, err)
	used := 0.0
	for _, subset := range before.of {
		used += float64(len(subset))
	}
	assert.Positive(t, moved.whenGone)
	assert.Less(t, float64(moved.whenGone), used/2)
	assert.GreaterOrEqual(t, moved.whenBack, 8*gone*9/10, "each that is back is used by about 8 ingresses")
	assert.Less(t, float64(moved.whenBack), used)
	assert.Len(t, withoutServers(before.servers, gone), servers-gone)
}

func TestALostMemberIsAgreedOn(t *testing.T) {
	fleet, err := newIntroducedFleet(t.Context(), 8)
	require.NoError(t, err)
	assert.True(t, fleet.agreed())
	fleet.down[3] = true
	assert.False(t, fleet.agreed())
	took, err := fleet.runUntil(t.Context(), lossMost, lossCheck, fleet.agreed)
	require.NoError(t, err)
	assert.True(t, fleet.agreed())
	assert.Greater(t, took, fleet.bounds.MemberSuspicionTimeout, "it was suspected first")
}
