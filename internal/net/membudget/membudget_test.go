package membudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The budget holds the sum of its accounts, whatever they do.
func TestBudgetIsSumOfAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(999)
		accounts := make([]Account, 5)
		for i := range accounts {
			accounts[i] = b.Open()
		}
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			accounts[rapid.IntRange(0, 4).Draw(t, "account")].Set(rapid.IntRange(0, 500).Draw(t, "bytes"))
			sum := 0
			for i := range accounts {
				sum += accounts[i].Held()
			}
			require.Equal(t, sum, b.Held())
			require.Equal(t, sum > 999, b.Level(0) == Exhausted)
			require.Equal(t, sum <= 666, b.Level(0) == Ample)
		}
	})
}

func TestBudgetWithoutLimit(t *testing.T) {
	var b *Budget
	account := b.Open()
	account.Set(1 << 40)
	require.Equal(t, Ample, b.Level(1<<40))
	b = New(10)
	require.Equal(t, Tight, b.Level(8))
	b.SetLimit(4)
	require.Equal(t, Exhausted, b.Level(8))
}
