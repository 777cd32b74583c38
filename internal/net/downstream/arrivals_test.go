package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each request's time is that of its last byte, also where several came in one piece or one in several.
func TestArrivals(t *testing.T) {
	const second = time.Second
	var a arrivals
	require.Equal(t, 7*second, a.lastParsed(0, 7*second), "nothing is known")
	a.add(10, 1*second) // all of the first and a part of the second
	a.add(4, 2*second)  // the rest of the second
	a.add(20, 5*second) // two more
	require.Equal(t, 1*second, a.lastParsed(28, 6*second), "6 bytes parsed")
	require.Equal(t, 2*second, a.lastParsed(20, 6*second), "14 parsed")
	require.Equal(t, 5*second, a.lastParsed(10, 6*second))
	require.Equal(t, 5*second, a.lastParsed(0, 6*second))
	a.add(3, 8*second)
	require.Equal(t, 8*second, a.lastParsed(0, 9*second))
}

func TestArrivalsOfManyPiecesAreBounded(t *testing.T) {
	var a arrivals
	for i := range 10 * maxArrivals {
		a.add(1, time.Duration(i)*time.Second)
	}
	require.Len(t, a.marks, maxArrivals)
	last := time.Duration(10*maxArrivals-1) * time.Second
	require.Equal(t, last, a.lastParsed(0, last+time.Second))
}
