package capacity

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// small bounds the measurers of one file at one small size, also under the race detector on a busy machine. They take a
// second or so.
const small = time.Minute

// measureSmall runs each measurer at one small size and returns the values by quantity.
func measureSmall(t *testing.T, measurers []Measurer, size func(Measurer) int) map[string]float64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), small)
	defer cancel()
	values := map[string]float64{}
	for _, m := range measurers {
		value, err := m.Measure(ctx, size(m))
		require.NoError(t, err, m.Quantity)
		values[m.Quantity] = value
	}
	return values
}

func TestDiscoveryMeasurersAtASmallSize(t *testing.T) {
	const watches, servers = 12, 30
	values := measureSmall(t, discoveryMeasurers(), func(m Measurer) int {
		if m.Parameter == "watches" {
			return watches
		}
		return servers
	})
	const entry = 120.0 // bytes of a listed server, about
	change := values["one change, bytes sent by the service"]
	assert.InDelta(t, watches*(entry+50), change, watches*30, "the same message goes to each watch")
	assert.InDelta(t, watches*entry*TargetServers/1e6, values["mass restart, bytes sent by the service"], 1)
	assert.InDelta(t, entry*servers+watchOverhead, values["whole list, bytes to a watch"], 200)
	together, single := values["zone returns in one message, bytes to a watch"], values["zone returns one message each, bytes to a watch"]
	assert.InDelta(t, (entry+12)*servers, together, 300)
	assert.Greater(t, single, together+30*servers, "each message has its own head")
	for _, quantity := range []string{"one change, processor time of the service", "mass restart, processor time of the service",
		"one change, until the last watch has it", "mass restart, until all have the whole list"} {
		assert.Positive(t, values[quantity], quantity)
		assert.Less(t, values[quantity], 5000.0, quantity)
	}
}

// watchOverhead is the head of an answer, and the frame of its first message.
const watchOverhead = 130
