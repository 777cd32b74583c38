package controlserver

import (
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// Only heartbeats of the term that began in the epoch count, and those of voters.
func TestAQuorumIsCountedByEpoch(t *testing.T) {
	voters := []raft.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	five := append([]raft.Server{{ID: "d"}, {ID: "e"}}, voters...)
	for name, c := range map[string]struct {
		servers   []raft.Server
		confirmed map[raft.ServerID]confirmation
		quorum    bool
	}{
		"none":            {voters, nil, false},
		"one other":       {voters, map[raft.ServerID]confirmation{"b": {5, 9}}, true},
		"a later epoch":   {voters, map[raft.ServerID]confirmation{"b": {5, 10}}, true},
		"began before":    {voters, map[raft.ServerID]confirmation{"b": {5, 8}, "c": {5, 8}}, false},
		"another term":    {voters, map[raft.ServerID]confirmation{"b": {4, 9}, "c": {6, 9}}, false},
		"no voter":        {voters, map[raft.ServerID]confirmation{"d": {5, 9}}, false},
		"one of five":     {five, map[raft.ServerID]confirmation{"b": {5, 9}}, false},
		"two of five":     {five, map[raft.ServerID]confirmation{"b": {5, 9}, "d": {5, 9}}, true},
		"of one suffices": {voters[:1], nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &guardedTransport{confirmed: c.confirmed}
			require.Equal(t, c.quorum, transport.confirmedSince(5, 9, "a", c.servers))
		})
	}
}

func TestTheGateRefusesLogsThatMayLackEntries(t *testing.T) {
	g := newVotingGate()
	require.True(t, g.refuses(position{9, 9}))
	g.openAt(position{Term: 3, Index: 10})
	require.True(t, g.isOpen())
	require.False(t, g.passed())
	require.True(t, g.refuses(position{3, 9}))
	require.True(t, g.refuses(position{2, 11}))
	require.False(t, g.refuses(position{3, 10}))
	require.False(t, g.refuses(position{4, 1}))
	g.caughtUp()
	require.True(t, g.passed())
	require.False(t, g.refuses(position{}))
}

// Another replica comes up at the address of one that has gone. Its votes and confirmations don't count for that one.
func TestResponseOfAnotherReplicaIsRefused(t *testing.T) {
	require.NoError(t, checkReplica("a", raft.RPCHeader{ID: []byte("a")}))
	require.NoError(t, checkReplica("a", raft.RPCHeader{}), "an earlier version of the protocol")
	require.ErrorIs(t, checkReplica("a", raft.RPCHeader{ID: []byte("b")}), errOtherReplica)
}
