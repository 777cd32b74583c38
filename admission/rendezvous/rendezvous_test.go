package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// hostKeys returns the keys of n hosts.
func hostKeys(n int) []uint64 {
	keys := make([]uint64, n)
	for i := range keys {
		keys[i] = Key(fmt.Sprintf("s-%08x", i*2654435761))
	}
	return keys
}

// Weights alone would give one host twice as many gateways as another. The bound on the subsets of a host holds for
// every number of hosts and gateways.
func TestNoHostIsInMoreSubsetsThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, gateways := rapid.IntRange(1, 80).Draw(t, "hosts"), rapid.IntRange(1, 90).Draw(t, "gateways")
		subsetSize := rapid.IntRange(1, hosts).Draw(t, "subset size")
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
		// The last gateways to choose may find too few hosts that are not full. The others follow by weight, so the
		// bound may be exceeded by one.
		require.LessOrEqual(t, slices.Max(subsets), MaxSubsets(hosts, gateways, subsetSize)+1)
	})
}

// A gateway keeps most of its hosts, and so its connections, when one host is replaced.
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
