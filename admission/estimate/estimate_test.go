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
		initial, warmUp := rapid.Float64Range(0, 1).Draw(t, "initial share"),
			time.Duration(rapid.IntRange(1, 30).Draw(t, "warm-up in seconds"))*time.Second
		last := 0.0
		for age := time.Duration(0); age <= warmUp; age += warmUp / 16 {
			share := WarmUpShare(time.Hour+age, time.Hour, warmUp, initial)
			require.GreaterOrEqual(t, share, max(last, initial))
			require.LessOrEqual(t, share, 1.0)
			last = share
		}
		require.Equal(t, 1.0, WarmUpShare(time.Hour+warmUp, time.Hour, warmUp, initial))
		require.Equal(t, 1.0, WarmUpShare(time.Hour, 0, warmUp, initial), "a host that started long ago")
	})
}

func TestExponentsLeaveHighestCostUnchanged(t *testing.T) {
	exponents := Exponents([]float64{4, 1, 0}, func(f float64) float64 { return f })
	require.Equal(t, []float64{1, 4, maxExponent}, exponents)
	require.Equal(t, []float64{1, 1}, Exponents([]float64{0, 0}, func(f float64) float64 { return f }))
}

// A latency that keeps a kind of request out decays with time, equally fast whether few or many requests are kept
// out. A latency that keeps nothing out stays.
func TestDoubtDecaysLatencyByTime(t *testing.T) {
	seldomDoubted, oftenDoubted := LatencyModel{Latency: 1, Units: 1}, LatencyModel{Latency: 1, Units: 1}
	for i := range 200 {
		now := time.Hour + time.Duration(i)*100*time.Millisecond
		oftenDoubted.Doubt(now, 10, oftenDoubted.Latency, 0.2)
		if i%10 == 0 {
			seldomDoubted.Doubt(now, 10, seldomDoubted.Latency, 0.2)
		}
	}
	if seldomDoubted.Latency > 0.21 || seldomDoubted.Latency < 0.15 || oftenDoubted.Latency > 0.21 ||
		oftenDoubted.Latency < 0.15 {
		t.Errorf("after 20 s the latencies are %.3f and %.3f, want 0.15 to 0.21", seldomDoubted.Latency, oftenDoubted.Latency)
	}
	before := oftenDoubted.Latency
	if oftenDoubted.Doubt(2*time.Hour, 10, 0.1, 0.2); oftenDoubted.Latency != before {
		t.Error("a latency that keeps nothing out has decayed")
	}
	if oftenDoubted.Doubt(2*time.Hour, 10, 1, 0.2); oftenDoubted.Latency < before*0.9 {
		t.Error("after an hour without a doubt the latency decays by more than one second's decay")
	}
}

func TestLevelAdmitsTheGivenShare(t *testing.T) {
	mix := Mix{1, 1, 1}
	for i := range 2000 {
		mix.Learn(min(2, i%10), 0.02) // shares of 0.1, 0.1 and 0.8
	}
	exponents := []float64{1, 16, 3}
	for _, share := range []float64{0.01, 0.3, 0.9} {
		level := mix.Level(exponents, share)
		admitted := 0.0
		for i, count := range mix {
			admitted += count / (mix[0] + mix[1] + mix[2]) * math.Pow(level, exponents[i])
		}
		if math.Abs(admitted-share) > 1e-4 {
			t.Errorf("a share of %.3f is admitted, want %.3f", admitted, share)
		}
	}
	if mix.Level(exponents, 1) != 1 || mix[2]/(mix[0]+mix[1]+mix[2]) < 0.7 {
		t.Errorf("the level at a share of 1 is not 1, or the third kind is below 0.7 of the mix: %v", mix)
	}
}
