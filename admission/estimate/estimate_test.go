package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestWhatIsNotSeenGoesBackToWhatIsTakenForGranted(t *testing.T) {
	var f Fading
	for i := range 20 {
		f.Learn(time.Duration(i)*time.Second, 5, 0.3, 1)
	}
	soon, late := f.Now(20*time.Second, 5), f.Now(2*time.Minute, 5)
	require.Greater(t, soon, 0.4)
	require.Less(t, late, 0.001)
}

func TestWarmthComesUpEvenlyAndNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, full := rapid.Float64Range(0, 1).Draw(t, "from"), time.Duration(rapid.IntRange(1, 30).Draw(t, "full"))*time.Second
		last := 0.0
		for age := time.Duration(0); age <= full; age += full / 16 {
			w := Warmth(time.Hour+age, time.Hour, full, from)
			require.GreaterOrEqual(t, w, max(last, from))
			require.LessOrEqual(t, w, 1.0)
			last = w
		}
		require.Equal(t, 1.0, Warmth(time.Hour+full, time.Hour, full, from))
		require.Equal(t, 1.0, Warmth(time.Hour, 0, full, from), "started long ago")
	})
}

func TestMostAtStakeKeepsItsPart(t *testing.T) {
	p := Powers([]float64{4, 1, 0}, func(f float64) float64 { return f })
	require.Equal(t, []float64{1, 4, mostPower}, p)
	require.Equal(t, []float64{1, 1}, Powers([]float64{0, 0}, func(f float64) float64 { return f }))
}
