// Package rendezvous gives each door of a fleet its own order of preference over the same hosts, so that every
// host is preferred by about as many doors, without any talk between them. It is free of I/O and decides
// nothing: which of the hosts, and how many, a door uses is the decision module's.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// mix64 spreads 64 bits evenly (the finaliser of SplitMix64).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Key is what a host's name counts as.
func Key(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix64(h.Sum64())
}

// weight is how much a door prefers a host: highest random weight, as in rendezvous hashing.
func weight(key uint64, door int) uint64 { return mix64(key + uint64(door+1)*0x9e3779b97f4a7c15) }

// maxWeights bounds the weights computed for one order. Beyond it the load is not bounded: by then a host has so
// many doors, or a door so many hosts, that chance evens it out.
const maxWeights = 1 << 20

// shareMargin is the room that a host's share has beyond the mean, so that the last doors to choose still find hosts
// they have not chosen yet.
const shareMargin = 1.1

// Share is the most subsets that a host is in, where every door finds k hosts that are not full.
func Share(hosts, doors, k int) int {
	return int(math.Ceil(shareMargin * float64(min(k, hosts)*doors) / float64(max(1, hosts))))
}

// Order returns the indices of hosts, given by their keys, in the order in which door me of doors prefers them.
// The first k of them are its subset: the doors choose in turn, each by weight among the hosts that have not
// been chosen [Share] times so far. So all doors come to the same result from the same hosts, and a host that
// comes or goes moves few others. Behind the subset the rest follow by weight alone.
func Order(keys []uint64, me, doors, k int) []int {
	n := len(keys)
	order := byWeight(keys, me)
	k = min(k, n)
	if k <= 0 || k == n || me < 0 || me >= doors || (me+1)*n > maxWeights {
		return order
	}
	most, taken := Share(n, doors, k), make([]int, n)
	top := make([]weightedHost, 0, k+1)
	for door := 0; door <= me; door++ {
		top = top[:0]
		for i, key := range keys {
			if taken[i] >= most {
				continue
			}
			p := weightedHost{weight(key, door), i}
			if len(top) == k && p.weight <= top[k-1].weight {
				continue
			}
			at, _ := slices.BinarySearchFunc(top, p, byPreference)
			if top = slices.Insert(top, at, p); len(top) > k {
				top = top[:k]
			}
		}
		for _, p := range top {
			taken[p.index]++
		}
	}
	in := make([]bool, n)
	own := make([]int, 0, n)
	for _, p := range top {
		in[p.index] = true
		own = append(own, p.index)
	}
	return append(own, slices.DeleteFunc(order, func(i int) bool { return in[i] })...)
}

// Sort returns hosts in the order in which door me of doors prefers them; see [Order].
func Sort[H any](hosts []H, name func(H) string, me, doors, k int) []H {
	keys := make([]uint64, len(hosts))
	for i, h := range hosts {
		keys[i] = Key(name(h))
	}
	sorted := make([]H, 0, len(hosts))
	for _, i := range Order(keys, me, doors, k) {
		sorted = append(sorted, hosts[i])
	}
	return sorted
}

// weightedHost is a host's weight for a door, and its index.
type weightedHost struct {
	weight uint64
	index  int
}

func byPreference(a, b weightedHost) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
}

// byWeight sorts all hosts by a door's weights, the most preferred first.
func byWeight(keys []uint64, door int) []int {
	pairs := make([]weightedHost, len(keys))
	for i, key := range keys {
		pairs[i] = weightedHost{weight(key, door), i}
	}
	slices.SortFunc(pairs, byPreference)
	order := make([]int, len(keys))
	for i, p := range pairs {
		order[i] = p.index
	}
	return order
}
