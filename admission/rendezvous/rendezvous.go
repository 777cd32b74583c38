// Package rendezvous orders the upstream hosts of a cluster for each gateway of a fleet, so that every host is
// preferred by about as many gateways, without communication between them. It holds no state, does no input or
// output and decides nothing: which hosts, and how many, a gateway uses is up to the decision module.
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

// Key returns the hash of a host's name, from which its weights are computed.
func Key(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix64(h.Sum64())
}

// weight returns how much a gateway prefers a host, as in rendezvous hashing (highest random weight).
func weight(key uint64, gateway int) uint64 {
	return mix64(key + uint64(gateway+1)*0x9e3779b97f4a7c15)
}

// maxWeights bounds the number of weights that [Order] computes. Beyond it the number of subsets that a host is
// in is not bounded: by then a host has so many gateways, or a gateway so many hosts, that chance evens it out.
const maxWeights = 1 << 20

// shareMargin is the factor on the mean number of subsets that a host is in. It is above 1 so that the last
// gateways to choose still find hosts that they have not chosen yet.
const shareMargin = 1.1

// MaxSubsets returns the largest number of subsets that a host is in, if every gateway finds subsetSize hosts
// that are in fewer.
func MaxSubsets(hosts, gateways, subsetSize int) int {
	return int(math.Ceil(shareMargin * float64(min(subsetSize, hosts)*gateways) / float64(max(1, hosts))))
}

// Order returns the indices of hosts, given by their keys, in the order in which one of the gateways prefers
// them. The first subsetSize of them are its subset: the gateways choose in turn, each by weight among the
// hosts that have been chosen less than [MaxSubsets] times so far. All gateways compute the same result from
// the same hosts, and a host that comes or goes moves few others. Behind the subset the rest follow by weight
// alone. Without a subset, or beyond maxWeights, all hosts are in order of weight.
func Order(keys []uint64, gateway, gateways, subsetSize int) []int {
	n := len(keys)
	order := byWeight(keys, gateway)
	subsetSize = min(subsetSize, n)
	if subsetSize <= 0 || subsetSize == n || gateway < 0 || gateway >= gateways || (gateway+1)*n > maxWeights {
		return order
	}
	maxSubsets, chosen := MaxSubsets(n, gateways, subsetSize), make([]int, n)
	top := make([]weightedHost, 0, subsetSize+1)
	for chooser := 0; chooser <= gateway; chooser++ {
		top = top[:0]
		for i, key := range keys {
			if chosen[i] >= maxSubsets {
				continue
			}
			host := weightedHost{weight(key, chooser), i}
			if len(top) == subsetSize && host.weight <= top[subsetSize-1].weight {
				continue
			}
			rank, _ := slices.BinarySearchFunc(top, host, byPreference)
			if top = slices.Insert(top, rank, host); len(top) > subsetSize {
				top = top[:subsetSize]
			}
		}
		for _, host := range top {
			chosen[host.index]++
		}
	}
	isInSubset := make([]bool, n)
	subset := make([]int, 0, n)
	for _, host := range top {
		isInSubset[host.index] = true
		subset = append(subset, host.index)
	}
	return append(subset, slices.DeleteFunc(order, func(i int) bool { return isInSubset[i] })...)
}

// Sort returns hosts in the order in which one of the gateways prefers them; see [Order].
func Sort[H any](hosts []H, name func(H) string, gateway, gateways, subsetSize int) []H {
	keys := make([]uint64, len(hosts))
	for i, h := range hosts {
		keys[i] = Key(name(h))
	}
	sorted := make([]H, 0, len(hosts))
	for _, i := range Order(keys, gateway, gateways, subsetSize) {
		sorted = append(sorted, hosts[i])
	}
	return sorted
}

// weightedHost is a host's weight for a gateway, and its index.
type weightedHost struct {
	weight uint64
	index  int
}

// byPreference compares hosts: the higher weight first, then the lower index.
func byPreference(a, b weightedHost) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
}

// byWeight returns the indices of all hosts in order of a gateway's weights, the most preferred first.
func byWeight(keys []uint64, gateway int) []int {
	hosts := make([]weightedHost, len(keys))
	for i, key := range keys {
		hosts[i] = weightedHost{weight(key, gateway), i}
	}
	slices.SortFunc(hosts, byPreference)
	order := make([]int, len(keys))
	for i, host := range hosts {
		order[i] = host.index
	}
	return order
}
