package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

func TestControlMachineMeasurersAtASmallSize(t *testing.T) {
	const members, bytes, proposers = 8, 1000, 4
	values := measureSmall(t, controlMachineMeasurers(), func(m Measurer) int {
		switch m.Parameter {
		case "bytes of a change":
			return bytes
		case "ingresses":
			return members
		}
		return proposers
	})
	messages := values["settings by gossip, messages of the fleet for a change"]
	assert.Greater(t, messages, float64(members*members), "each tells each other")
	assert.Less(t, messages, 20.0*members*members)
	assert.Greater(t, values["settings by gossip, bytes of the fleet for a change"]*1e6, float64(members*documentBytes)*0.8)
	inForce := values["settings by gossip, until a change is in force alone"]
	assert.Greater(t, inForce, 4*networkStep.Seconds())
	assert.Less(t, inForce, 1.0)
	assert.Zero(t, values["settings by gossip, members that a change of 2,000 bytes has not reached after 10 s"],
		"names are of one length")

	median, high := values["replicated log, commit latency, median"], values["replicated log, commit latency, 99th percentile"]
	assert.Positive(t, median)
	assert.GreaterOrEqual(t, high, median)
	assert.Less(t, high, 3000.0)
	assert.Less(t, values["replicated log, growth of one replica's file for a change"], 100.0)
	assert.Greater(t, values["replicated log, changes of 2,000 bytes committed a second"], 5.0)

	renewals := members / controlgroup.DefaultTiming.Renewal.Seconds()
	assert.InEpsilon(t, renewals, values["leases, renewals a second at the leader"], 0.05)
	assert.Less(t, values["leases, processor time of the leader for a renewal"], 1000.0)
	assert.InDelta(t, 270, values["leases, bytes of a member"], 100, "a renewal with two reports, and a grant")
}

// A change reaches every member, also those whose names are longer than its sender's, by which pieces are cut.
func TestAChangeReachesMembersWithNamesOfAnyLength(t *testing.T) {
	const members = 12
	change, err := measureRollout(t.Context(), members)
	require.NoError(t, err)
	assert.Zero(t, change.without)
	assert.Less(t, change.inForce, gossipMost)
}
