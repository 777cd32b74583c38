package capacity

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMemoizeMeasuresEachSizeOnce(t *testing.T) {
	calls := 0
	measure := memoize(func(_ context.Context, size int) (int, error) {
		calls++
		return 2 * size, nil
	})
	for _, size := range []int{3, 4, 3} {
		value, err := measure(t.Context(), size)
		assert.NoError(t, err)
		assert.Equal(t, 2*size, value)
	}
	assert.Equal(t, 2, calls)
}

func TestMeasurersAreWellFormed(t *testing.T) {
	known := map[Role]bool{}
	for _, role := range Roles() {
		known[role] = true
	}
	names := map[string]bool{}
	for _, m := range Measurers(Environment{}) {
		name := string(m.Role) + ", " + m.Quantity
		assert.False(t, names[name], "%s is there twice", name)
		names[name] = true
		assert.True(t, known[m.Role], name)
		assert.GreaterOrEqual(t, len(m.Sizes), 4, name)
		assert.IsIncreasing(t, m.Sizes, name)
		for _, text := range []string{m.Quantity, m.Unit, m.Parameter, m.Mechanism} {
			assert.NotEmpty(t, text, name)
		}
		assert.Positive(t, m.Target, name)
		assert.NotNil(t, m.Measure, name)
	}
}
