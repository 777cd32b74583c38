package timerq

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValuesComeInOrderAndNotEarly(t *testing.T) {
	var q Queue[int]
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		q.Push(time.Duration(rng.IntN(50)), i)
	}
	_, ok := q.Pop(-1)
	require.False(t, ok)
	last, at := -1, time.Duration(-1)
	for range 500 {
		next, ok := q.Next()
		require.True(t, ok)
		v, ok := q.Pop(next)
		require.True(t, ok)
		require.True(t, next > at || next == at && v > last, "equal times keep their order")
		last, at = v, next
	}
	_, ok = q.Next()
	require.False(t, ok)
}
