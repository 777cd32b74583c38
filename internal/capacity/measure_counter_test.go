package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

func TestCounterMeasurersAtASmallSize(t *testing.T) {
	const ingresses, connections, names = 4, 4, 300
	values := measureSmall(t, counterMeasurers(), func(m Measurer) int {
		switch m.Parameter {
		case "ingresses":
			return ingresses
		case "connections":
			return connections
		}
		return names
	})
	assert.Greater(t, values["calls that a counter of ours takes, by connections"], 1000.0)
	assert.Greater(t, values["calls that a counter of ours takes, by names"], 1000.0)
	const asked = ingresses * requestsPerIngress
	assert.InEpsilon(t, asked, values["calls made, counter at ease"], 0.2, "a call a request")
	assert.InDelta(t, 1, values["calls a request, counter at ease"], 0.05)
	assert.InEpsilon(t, asked, values["calls made, counter of the platform"], 0.3, "a small fleet asks no more than it bears")
	assert.Less(t, values["calls given up, counter of the platform"], 20.0)
	turns := values["names that change within the fullest 200 ms"]
	assert.Greater(t, turns, names*turnSlot.Seconds()/5, "windows turn")
	assert.Less(t, turns, names/3.0, "and not all together")
	perName := values["memory of names"] * 1e6 / names
	assert.Greater(t, perName, 40.0, "bytes a name")
	assert.Less(t, perName, 2000.0)
}

// A part serves its calls in turn, also those that were given up, so a queue lasts until its work is done.
func TestTheSimulatedCounterQueues(t *testing.T) {
	f, err := newSimulatedFleet(nil, nil)
	require.NoError(t, err)
	counter := &simulatedCounter{fleet: f, work: counterWork, totals: map[string]float64{}}
	call := func() (float64, admission.Outcome) {
		total, outcome, _ := counter.count(0, admission.CounterAdd{Name: "a", Delta: 1})
		return total, outcome
	}
	inTime := 0
	for range 100 { // 200 ms of work
		if _, outcome := call(); outcome == admission.OK {
			inTime++
		}
	}
	assert.Equal(t, int((counterLimit-counterWay)/counterWork), inTime)
	f.run(counterLimit)
	_, outcome := call()
	assert.Equal(t, admission.TimedOut, outcome, "the work of the others goes on")
	f.run(200 * time.Millisecond)
	total, outcome := call()
	assert.Equal(t, admission.OK, outcome)
	assert.Equal(t, 102.0, total, "what was given up was added")
}
