package timerq

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValuesLeaveInOrderAndNotBeforeTheyAreDue(t *testing.T) {
	var q Queue[int]
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		q.Push(time.Duration(rng.IntN(50)), i)
	}
	_, ok := q.Pop(-1)
	require.False(t, ok)
	lastValue, lastDue := -1, time.Duration(-1)
	for range 500 {
		due, ok := q.Next()
		require.True(t, ok)
		value, ok := q.Pop(due)
		require.True(t, ok)
		require.True(t, due > lastDue || due == lastDue && value > lastValue, "equal due times keep the order of entry")
		lastValue, lastDue = value, due
	}
	_, ok = q.Next()
	require.False(t, ok)
}
