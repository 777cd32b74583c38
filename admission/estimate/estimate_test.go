package estimate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFadingAverageDecaysToZero(t *testing.T) {
	var f FadingAverage
	for i := range 20 {
		f.Learn(time.Duration(i)*time.Second, 5, 0.3, 1)
	}
	soon, late := f.Now(20*time.Second, 5), f.Now(2*time.Minute, 5)
	require.Greater(t, soon, 0.4)
	require.Less(t, late, 0.001)
}

func TestWarmUpShareNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, full := rapid.Float64Range(0, 1).Draw(t, "from"), time.Duration(rapid.IntRange(1, 30).Draw(t, "full"))*time.Second
		last := 0.0
		for age := time.Duration(0); age <= full; age += full / 16 {
			w := WarmUpShare(time.Hour+age, time.Hour, full, from)
			require.GreaterOrEqual(t, w, max(last, from))
			require.LessOrEqual(t, w, 1.0)
			last = w
		}
		require.Equal(t, 1.0, WarmUpShare(time.Hour+full, time.Hour, full, from))
		require.Equal(t, 1.0, WarmUpShare(time.Hour, 0, full, from), "started long ago")
	})
}

func TestExponentsLeaveHighestCostUnchanged(t *testing.T) {
	p := Exponents([]float64{4, 1, 0}, func(f float64) float64 { return f })
	require.Equal(t, []float64{1, 4, maxExponent}, p)
	require.Equal(t, []float64{1, 1}, Exponents([]float64{0, 0}, func(f float64) float64 { return f }))
}

// What keeps a kind of request out is believed less and less, as fast however many are turned away; what does not is
// left alone.
func TestDoubtDecaysLatencyByTime(t *testing.T) {
	few, many := LatencyModel{Latency: 1, Units: 1}, LatencyModel{Latency: 1, Units: 1}
	for i := range 200 {
		now := time.Hour + time.Duration(i)*100*time.Millisecond
		many.Doubt(now, 10, many.Latency, 0.2)
		if i%10 == 0 {
			few.Doubt(now, 10, few.Latency, 0.2)
		}
	}
	if few.Latency > 0.21 || few.Latency < 0.15 || many.Latency > 0.21 || many.Latency < 0.15 {
		t.Errorf("after 20 s %.3f and %.3f are believed", few.Latency, many.Latency)
	}
	was := many.Latency
	if many.Doubt(2*time.Hour, 10, 0.1, 0.2); many.Latency != was {
		t.Error("doubted without need")
	}
	if many.Doubt(2*time.Hour, 10, 1, 0.2); many.Latency < was*0.9 {
		t.Error("an hour counts for more than a second")
	}
}

func TestLevelAdmitsTheGivenShare(t *testing.T) {
	m := Mix{1, 1, 1}
	for i := range 2000 {
		m.Learn(min(2, i%10), 0.02) // a tenth, a tenth, the rest
	}
	powers := []float64{1, 16, 3}
	for _, part := range []float64{0.01, 0.3, 0.9} {
		x := m.Level(powers, part)
		sum := 0.0
		for i, n := range m {
			sum += n / (m[0] + m[1] + m[2]) * math.Pow(x, powers[i])
		}
		if math.Abs(sum-part) > 1e-4 {
			t.Errorf("%.3f let in, wanted %.3f", sum, part)
		}
	}
	if m.Level(powers, 1) != 1 || m[2]/(m[0]+m[1]+m[2]) < 0.7 {
		t.Errorf("mix %v", m)
	}
}
