package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func hostKeys(n int) []uint64 {
	keys := make([]uint64, n)
	for i := range keys {
		keys[i] = Key(fmt.Sprintf("s-%08x", i*2654435761))
	}
	return keys
}

// Chance alone would give one host twice as many doors as another: the bound holds for every size.
func TestNoHostIsInMoreSubsetsThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, gateways := rapid.IntRange(1, 80).Draw(t, "hosts"), rapid.IntRange(1, 90).Draw(t, "doors")
		subsetSize := rapid.IntRange(1, hosts).Draw(t, "k")
		keys, subsets := hostKeys(hosts), make([]int, hosts)
		for gateway := range gateways {
			order := Order(keys, gateway, gateways, subsetSize)
			sorted := slices.Clone(order)
			slices.Sort(sorted)
			for i, host := range sorted {
				require.Equal(t, i, host, "every host is in the order once")
			}
			for _, at := range order[:subsetSize] {
				subsets[at]++
			}
		}
		// The last doors to choose may find the room left only at hosts they have already: then a host more is taken.
		require.LessOrEqual(t, slices.Max(subsets), MaxSubsets(hosts, gateways, subsetSize)+1)
	})
}

// A door keeps most of its hosts, and so its connections, when one is replaced.
func TestReplacedHostMovesFewOthers(t *testing.T) {
	before, after := hostKeys(60), hostKeys(61)[1:]
	slices.Sort(before)
	slices.Sort(after)
	kept, all := 0, 0
	for gateway := range 80 {
		subset, keptHosts := map[uint64]bool{}, 0
		for _, i := range Order(before, gateway, 80, 8)[:8] {
			subset[before[i]] = true
		}
		for _, i := range Order(after, gateway, 80, 8)[:8] {
			if subset[after[i]] {
				keptHosts++
			}
		}
		kept, all = kept+keptHosts, all+8
	}
	require.Greater(t, float64(kept)/float64(all), 0.9)
}

func BenchmarkOrder(b *testing.B) {
	keys := hostKeys(60)
	for b.Loop() {
		Order(keys, 79, 80, 8)
	}
}
