package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRunFitsAndComparesWithTheBudget(t *testing.T) {
	measurer := Measurer{Role: RoleCounter, Quantity: "calls", Unit: "calls a second", Parameter: "ingresses",
		Sizes: []int{40, 160, 325}, Target: 650, Budget: Budget(1200), Mechanism: "none",
		Measure: func(_ context.Context, size int) (float64, error) { return float64(2 * size), nil }}
	var lines []Measurement
	require.NoError(t, Run(t.Context(), []Measurer{measurer}, func(m Measurement) error {
		lines = append(lines, m)
		return nil
	}))
	require.Len(t, lines, 1)
	assert.Equal(t, Linear, lines[0].Model)
	assert.InDelta(t, 1300, lines[0].AtTarget, 1)
	assert.False(t, *lines[0].Within)

	raw, err := json.Marshal(lines[0])
	require.NoError(t, err)
	assert.Contains(t, string(raw), `"points":[[40,80],[160,320],[325,650]]`)
	var again Measurement
	require.NoError(t, json.Unmarshal(raw, &again))
	assert.Equal(t, lines[0], again)
}

func TestTheMeasuredValueGoesBeforeTheModels(t *testing.T) {
	m := Measurement{Points: []Point{{650, 7}}, Model: Constant, Intercept: 5}
	assert.Equal(t, 7.0, m.valueAt(650))
	assert.Equal(t, 5.0, m.valueAt(325))
}

func TestRunNamesWhatFailed(t *testing.T) {
	failing := Measurer{Role: RoleCounter, Quantity: "calls", Parameter: "ingresses", Sizes: []int{40},
		Measure: func(context.Context, int) (float64, error) { return 0, errors.New("refused") }}
	err := Run(t.Context(), []Measurer{failing}, func(Measurement) error { return nil })
	assert.EqualError(t, err, "counter, calls: at 40 ingresses: refused")
}
