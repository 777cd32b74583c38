package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ferryfront.example/ferryfront/admission"
)

// The fields of one ingress, the order of keys and white space must not change the shared part: its hash identifies a
// version.
func TestSharedOmitsLocalFieldsAndFormatting(t *testing.T) {
	a, err := Shared([]byte(`{"me":0,"zone":"a","balancers":3,"rules":{"fall":3000.50,"cold":1}}`))
	require.NoError(t, err)
	b, err := Shared([]byte(`{ "rules" : {"cold":1,"fall":3000.50}, "balancers":3, "zone":"b", "me":2 }`))
	require.NoError(t, err)
	require.Equal(t, string(a), string(b))
	mine, err := Localize(a, []byte(`{"me":2,"zone":"b","balancers":9}`))
	require.NoError(t, err)
	require.JSONEq(t, `{"me":2,"zone":"b","balancers":3,"rules":{"fall":3000.50,"cold":1}}`, string(mine))
	for _, bad := range []string{``, `null`, `[]`, `{"me":`} {
		_, err := Shared([]byte(bad))
		require.Error(t, err, bad)
	}
}

// drawSettings draws settings with few different values, where 0 means no limit, and with some of two classes and plans.
func drawSettings(t *rapid.T, label string) admission.Settings {
	f := func(n string) float64 { return float64(rapid.IntRange(0, 5).Draw(t, label+n)) }
	s := admission.Settings{Gateways: rapid.IntRange(1, 4).Draw(t, label), MaxAttempts: rapid.IntRange(0, 4).Draw(t, label),
		DrainGrace: time.Duration(f("grace")), ColdOverloadFactor: f("tip"), InitialCapacity: f("cold") / 5,
		CanHedge: rapid.Bool().Draw(t, label)}
	for _, name := range []string{"a", "b"} {
		if rapid.Bool().Draw(t, label+name) {
			s.Classes = append(s.Classes, admission.Class{Name: name, Effect: admission.Effect(rapid.IntRange(0, 2).Draw(t, label)),
				Scope: admission.Scope(rapid.IntRange(0, 2).Draw(t, label)), RepeatWindow: time.Duration(f("window")), Deadline: time.Duration(f("deadline"))})
			s.Plans = append(s.Plans, admission.Plan{Name: name, Rate: f("rate"), Burst: f("burst"), MaxInFlight: int(f("open")),
				CeilingRate: f("ceiling"), CeilingBurst: f("depth"), CeilingSlack: f("slack")})
		}
	}
	return s
}

// Combined settings allow nothing that either of the two forbids, whichever of them is newer.
func TestStricterKeepsBothLimits(t *testing.T) {
	within := func(t *rapid.T, got, limit float64, what string) {
		if limit > 0 {
			require.Positive(t, got, what)
			require.LessOrEqual(t, got, limit, what)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawSettings(t, "a"), drawSettings(t, "b")
		combined, swapped := Stricter(a, b), Stricter(b, a)
		require.Equal(t, combined.MaxAttempts, swapped.MaxAttempts)
		for _, o := range []admission.Settings{a, b} {
			require.GreaterOrEqual(t, combined.Gateways, o.Gateways)
			within(t, float64(combined.MaxAttempts), float64(o.MaxAttempts), "attempts")
			within(t, float64(combined.DrainGrace), float64(o.DrainGrace), "grace")
			within(t, combined.ColdOverloadFactor, o.ColdOverloadFactor, "tip")
			require.LessOrEqual(t, combined.InitialCapacity, o.InitialCapacity)
			require.False(t, combined.CanHedge && !o.CanHedge)
			for _, c := range o.Classes {
				for _, got := range combined.Classes {
					if got.Name == c.Name {
						require.GreaterOrEqual(t, got.Effect, c.Effect)
						require.GreaterOrEqual(t, got.Scope, c.Scope)
						within(t, float64(got.Deadline), float64(c.Deadline), "deadline")
						if c.Effect == admission.Keyed && got.Effect == admission.Keyed {
							within(t, float64(got.RepeatWindow), float64(c.RepeatWindow), "window")
						}
					}
				}
			}
			for _, p := range o.Plans {
				for _, got := range combined.Plans {
					if got.Name == p.Name {
						within(t, got.Rate, p.Rate, "rate")
						within(t, got.Burst, p.Burst, "burst")
						within(t, float64(got.MaxInFlight), float64(p.MaxInFlight), "at once")
						within(t, got.CeilingRate, p.CeilingRate, "ceiling")
						within(t, got.CeilingBurst, p.CeilingBurst, "depth")
						if p.CeilingRate > 0 {
							require.LessOrEqual(t, got.CeilingSlack, p.CeilingSlack, "slack")
						}
					}
				}
			}
			require.GreaterOrEqual(t, len(combined.Classes), len(o.Classes))
		}
	})
}
