package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

func TestHostMeasurersAtASmallSize(t *testing.T) {
	const ingresses, servers, percent = 20, 60, 14
	values := measureSmall(t, hostMeasurers(), func(m Measurer) int {
		switch m.Parameter {
		case "ingresses":
			return ingresses
		case serversParameter:
			return servers
		}
		return percent
	})
	mean := values["ingresses that use a server, mean"]
	assert.InDelta(t, 8*TargetIngresses/float64(servers), mean, 0.1, "a subset is 8 servers where these are few")
	assert.LessOrEqual(t, values["ingresses that use a server, most"], 1.1*mean+1, "the load is bounded")
	assert.InEpsilon(t, values["ingresses that use a server, most"]/mean, values["ingresses that use the busiest server, over the mean"], 0.01)
	assert.InDelta(t, 8, values["connections of an ingress"], 3, "one to a server of its subset")
	assert.InDelta(t, 9, values["connections held by a server, mean"], 4, "a server is used by 8 ingresses")
	assert.Greater(t, values["handshakes of the fleet in the first second after a start"],
		values["handshakes of the fleet"], "connections are kept")
	cold := values["work sent to one cold server, over what makes it fall over"]
	assert.Greater(t, cold, 0.05, "it is sent something")
	assert.Less(t, cold, 1.0)
	for _, quantity := range []string{"further attempts where servers answer with errors",
		"further attempts where servers are gone", "further attempts while a zone is gone"} {
		assert.Greater(t, values[quantity], 0.5, quantity)
		assert.Less(t, values[quantity], 30.0, quantity)
	}
}

func TestConnectionPoolsKeepWhatIsInUse(t *testing.T) {
	f, err := newSimulatedFleet(nil, nil)
	require.NoError(t, err)
	pools := &connectionPools{fleet: f, idle: map[poolKey][]time.Duration{}}
	pools.use(0, "a", time.Second)
	pools.use(0, "a", time.Second)
	assert.Equal(t, 2, pools.open())
	f.run(2 * time.Second)
	pools.use(0, "a", time.Second)
	assert.Equal(t, 2, pools.handshakes, "one that is idle serves again")
	pools.use(1, "a", time.Second)
	assert.Equal(t, 3, pools.handshakes, "of each ingress its own")
	f.run(2*time.Second + poolIdle)
	assert.Zero(t, pools.open(), "idle ones are closed")
}

func TestSubsetsCountTheirUsers(t *testing.T) {
	ranked := subsets{servers: make([]admission.ServerEntry, 3), of: [][]int{{0, 1}, {1}}}
	server, users := ranked.busiest()
	assert.Equal(t, 1, server)
	assert.Equal(t, []int{0, 1}, users)
	assert.Equal(t, 1.0, ranked.mean())
}

func TestTheWorstSpanIsJudgedByWhatAColdServerCanDo(t *testing.T) {
	const capacity = 20.0
	var steady []time.Duration
	for at := time.Duration(0); at < coldMeasure; at += time.Second / capacity {
		steady = append(steady, at)
	}
	atFirst := coldFrom + (1-coldFrom)*(tipTime/2).Seconds()/coldFor.Seconds()
	assert.InEpsilon(t, 1/(tipMultiple*atFirst), worstSpan(steady, capacity), 0.05, "its whole capacity from the start")
	assert.Zero(t, worstSpan(nil, capacity))
}
