package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The arrival time of a request is that of its last byte, also if several requests arrive in one read, or one in
// several.
func TestArrivalTimes(t *testing.T) {
	const second = time.Second
	var a arrivals
	require.Equal(t, 7*second, a.lastParsed(0, 7*second), "no record yet")
	a.add(10, 1*second) // the first request and a part of the second
	a.add(4, 2*second)  // the rest of the second request
	a.add(20, 5*second) // two more requests
	require.Equal(t, 1*second, a.lastParsed(28, 6*second), "after 6 parsed bytes")
	require.Equal(t, 2*second, a.lastParsed(20, 6*second), "after 14 parsed bytes")
	require.Equal(t, 5*second, a.lastParsed(10, 6*second))
	require.Equal(t, 5*second, a.lastParsed(0, 6*second))
	a.add(3, 8*second)
	require.Equal(t, 8*second, a.lastParsed(0, 9*second))
}

func TestArrivalRecordsAreBounded(t *testing.T) {
	var a arrivals
	for i := range 10 * maxArrivals {
		a.add(1, time.Duration(i)*time.Second)
	}
	require.Len(t, a.records, maxArrivals)
	last := time.Duration(10*maxArrivals-1) * time.Second
	require.Equal(t, last, a.lastParsed(0, last+time.Second))
}

// Arrival times are handed over with the buffered bytes. Those of another process are not trusted to be in order.
func TestArrivalTimesAreHandedOver(t *testing.T) {
	const second = time.Second
	var a arrivals
	a.add(10, 1*second)
	a.add(4, 2*second)
	a.add(6, 3*second)
	require.Equal(t, 1*second, a.lastParsed(15, 4*second))
	records := a.ofBuffered(15)
	require.Equal(t, []Arrival{{5, 1 * second}, {9, 2 * second}, {15, 3 * second}}, records)
	b := restoreArrivals(records, 15)
	b.add(5, 9*second)
	require.Equal(t, 1*second, b.lastParsed(16, 10*second))
	require.Equal(t, 3*second, b.lastParsed(5, 10*second))
	require.Equal(t, 9*second, b.lastParsed(0, 10*second))
	b = restoreArrivals([]Arrival{{5, second}, {3, second}, {-1, second}, {99, second}}, 15)
	require.Equal(t, []Arrival{{5, second}}, b.records)
}
