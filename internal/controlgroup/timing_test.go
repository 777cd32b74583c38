package controlgroup

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTimingsThatCantBeUsedAreNamed(t *testing.T) {
	require.NoError(t, DefaultTiming.Validate())
	for field, change := range map[string]func(*Timing){
		"drift -0.1":         func(t *Timing) { t.Drift = -0.1 },
		"drift 0.6":          func(t *Timing) { t.Drift = 0.6 },
		"drift NaN":          func(t *Timing) { t.Drift = math.NaN() },
		"renewal 0s":         func(t *Timing) { t.Renewal = 0 },
		"settings lease 1s":  func(t *Timing) { t.Settings, t.Renewal = time.Second, 600*time.Millisecond },
		"settings lease -1s": func(t *Timing) { t.Settings = -time.Second },
		"share lease 1s":     func(t *Timing) { t.Share = time.Second },
		"share lease 24h0m0s: need at most 24h0m0s, the drift included": func(t *Timing) { t.Share = 24 * time.Hour },
		"share lease 2562047h47m16.854775807s":                          func(t *Timing) { t.Share = math.MaxInt64 },
	} {
		timing := DefaultTiming
		change(&timing)
		require.ErrorContains(t, timing.Validate(), field)
	}
}
