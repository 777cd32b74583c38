// Package timerq keeps values in order of the time at which they are due.
package timerq

import "time"

type item[T any] struct {
	at  time.Duration
	seq uint64
	v   T
}

// Queue is a binary heap of values by due time; equal times keep their order of entry.
// Nothing is taken out early: owners check, when a value falls due, that it still matters.
type Queue[T any] struct {
	heap []item[T]
	seq  uint64
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// Push enters a value due at a time.
func (q *Queue[T]) Push(at time.Duration, v T) {
	q.seq++
	q.heap = append(q.heap, item[T]{at, q.seq, v})
	for i := len(q.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.less(i, up) {
			break
		}
		q.heap[i], q.heap[up] = q.heap[up], q.heap[i]
		i = up
	}
}

// Next tells when the first value is due.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// DiscardInactive takes out the first values as long as they no longer matter, due or not.
func (q *Queue[T]) DiscardInactive(matters func(T) bool) {
	for len(q.heap) > 0 && !matters(q.heap[0].v) {
		q.Pop(q.heap[0].at)
	}
}

// Pop takes out the first value that is due by now.
func (q *Queue[T]) Pop(now time.Duration) (v T, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return v, false
	}
	v = q.heap[0].v
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = item[T]{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if q.less(c, least) {
				least = c
			}
		}
		if least == i {
			return v, true
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
