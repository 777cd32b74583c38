package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func hostKeys(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = Key(fmt.Sprintf("s-%08x", i*2654435761))
	}
	return out
}

// Chance alone would give one host twice as many doors as another: the bound holds for every size.
func TestNoHostIsInMoreSubsetsThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, doors := rapid.IntRange(1, 80).Draw(t, "hosts"), rapid.IntRange(1, 90).Draw(t, "doors")
		k := rapid.IntRange(1, n).Draw(t, "k")
		ks, in := hostKeys(n), make([]int, n)
		for me := range doors {
			order := Order(ks, me, doors, k)
			sorted := slices.Clone(order)
			slices.Sort(sorted)
			for i, at := range sorted {
				require.Equal(t, i, at, "every host is in the order once")
			}
			for _, at := range order[:k] {
				in[at]++
			}
		}
		// The last doors to choose may find the room left only at hosts they have already: then a host more is taken.
		require.LessOrEqual(t, slices.Max(in), MaxSubsets(n, doors, k)+1)
	})
}

// A door keeps most of its hosts, and so its connections, when one is replaced.
func TestReplacedHostMovesFewOthers(t *testing.T) {
	before, after := hostKeys(60), hostKeys(61)[1:]
	slices.Sort(before)
	slices.Sort(after)
	kept, all := 0, 0
	for me := range 80 {
		a, b := map[uint64]bool{}, 0
		for _, i := range Order(before, me, 80, 8)[:8] {
			a[before[i]] = true
		}
		for _, i := range Order(after, me, 80, 8)[:8] {
			if a[after[i]] {
				b++
			}
		}
		kept, all = kept+b, all+8
	}
	require.Greater(t, float64(kept)/float64(all), 0.9)
}

func BenchmarkOrder(b *testing.B) {
	ks := hostKeys(60)
	for b.Loop() {
		Order(ks, 79, 80, 8)
	}
}
