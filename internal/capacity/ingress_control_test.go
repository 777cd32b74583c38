package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTheListIsParsedAndHeldWhole(t *testing.T) {
	spent, err := measureParse(t.Context(), 300)
	require.NoError(t, err)
	assert.Positive(t, spent)
	megabytes, err := measureListHeap(t.Context(), 300)
	require.NoError(t, err)
	assert.Positive(t, megabytes)
}

func TestEveryServerIsInASubsetWhereSubsetsAreBalanced(t *testing.T) {
	spread, err := measureSubsets(t.Context(), 200)
	require.NoError(t, err)
	assert.Zero(t, spread.none)
	assert.Greater(t, spread.least, 0.0)
	assert.Less(t, spread.most, 2*spread.least)
}

func TestAVersionOfTheSettingsIsTakenAsTheDaemonDoes(t *testing.T) {
	cost, err := measureSettings(t.Context(), 4, 10)
	require.NoError(t, err)
	assert.Positive(t, cost.bytes)
	assert.Positive(t, cost.milliseconds)
}

func TestARestartedMemberWaitsLongerWhileOneIsDead(t *testing.T) {
	cost, err := measureMembership(t.Context(), 10)
	require.NoError(t, err)
	assert.Positive(t, cost.restartSeconds)
	assert.Greater(t, cost.restartDead, cost.restartSeconds+1)
	assert.Positive(t, cost.bytesPerSecond)
	assert.InDelta(t, 6.6, cost.messagesPerSecond, 2)
}

func TestAVersionIsInForceOnlyWithoutDeadMembers(t *testing.T) {
	alive, err := measureRolloutBeside(t.Context(), 20, 0)
	require.NoError(t, err)
	assert.Less(t, alive.inForce, 3*time.Second)
	dead, err := measureRolloutBeside(t.Context(), 20, 1)
	require.NoError(t, err)
	assert.Equal(t, gossipMost, dead.inForce)
	assert.Zero(t, dead.without)
}

func TestTheNetworkDropsWhatAMemberDoesNotTake(t *testing.T) {
	network := newDatagramNetwork(2, 3)
	received := 0
	network.receive, network.tick = func(int, []byte) { received++ }, func(int) {}
	for range 5 {
		network.send(1, []byte("x"))
	}
	require.NoError(t, network.run(t.Context(), networkStep))
	assert.Equal(t, 3, received)
	assert.Equal(t, 2, network.dropped)
	require.NoError(t, network.run(t.Context(), time.Second))
	network.send(1, []byte("x"))
	require.NoError(t, network.run(t.Context(), networkStep))
	assert.Equal(t, 4, received)
}
