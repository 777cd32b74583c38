// Package sketch finds who loses most among any number of dealers, in memory that does not grow with them: the
// space-saving algorithm of Metwally, Agrawal and El Abbadi ("Efficient Computation of Frequent and Top-k Elements
// in Data Streams", 2005), with weights. It does no input or output.
package sketch

import (
	"cmp"
	"container/heap"
	"slices"
)

// Sketch holds a count for each of at most K dealers. For a dealer whose true sum is x, its Sum s and Error e:
// s-e <= x <= s, and e is at most the sum of everything over K. Whoever is not held has lost no more than that.
// So each dealer that has lost more than the K-th part of all is held.
type Sketch struct {
	k       int
	total   float64
	entries entries
	by      map[uint64]*entry
}

// Entry is one dealer's count.
type Entry struct {
	Dealer     uint64
	Sum, Error float64
}

type entry struct {
	Entry
	at int // its place in the heap
}

// New holds k dealers, one at least.
func New(k int) *Sketch {
	k = max(1, k)
	return &Sketch{k: k, by: make(map[uint64]*entry, k)}
}

// Add counts a loss of a dealer's. What is not above zero counts nothing.
func (s *Sketch) Add(dealer uint64, loss float64) {
	if !(loss > 0) {
		return
	}
	s.total += loss
	if e := s.by[dealer]; e != nil {
		e.Sum += loss
		heap.Fix(&s.entries, e.at)
		return
	}
	if len(s.entries) < s.k {
		e := &entry{Entry: Entry{Dealer: dealer, Sum: loss}}
		s.by[dealer] = e
		heap.Push(&s.entries, e)
		return
	}
	// The one with the least gives its place up, and its sum is what the new one may have lost before.
	e := s.entries[0]
	delete(s.by, e.Dealer)
	s.by[dealer] = e
	e.Entry = Entry{Dealer: dealer, Sum: e.Sum + loss, Error: e.Sum}
	heap.Fix(&s.entries, 0)
}

// Total is the sum of all losses, of those not held, too.
func (s *Sketch) Total() float64 { return s.total }

// Bound is what an Error can be at most, and what a dealer that is not held can have lost.
func (s *Sketch) Bound() float64 { return s.total / float64(s.k) }

// Top returns up to n dealers by what they have surely lost, the most first, and the rest of the total as one.
// No more than that is told of anybody: a sum with its error in it would blame a newcomer for another's loss.
func (s *Sketch) Top(n int) (top []Entry, rest float64) {
	for _, e := range s.entries {
		top = append(top, e.Entry)
	}
	slices.SortFunc(top, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Sum-b.Error, a.Sum-a.Error), cmp.Compare(a.Dealer, b.Dealer))
	})
	top = top[:min(n, len(top))]
	rest = s.total
	for _, e := range top {
		rest -= e.Sum - e.Error
	}
	return top, max(0, rest)
}

// entries is a heap with the least sum on top.
type entries []*entry

func (h entries) Len() int           { return len(h) }
func (h entries) Less(i, j int) bool { return h[i].Sum < h[j].Sum }
func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push and Pop are the heap's own.
func (h *entries) Push(x any) {
	e := x.(*entry)
	e.at = len(*h)
	*h = append(*h, e)
}

// Pop takes the last.
func (h *entries) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
