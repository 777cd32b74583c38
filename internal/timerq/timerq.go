// Package timerq provides a priority queue of values ordered by due time. A queue is not safe for concurrent use. It has
// no clock and starts no timers.
package timerq

import "time"

type item[T any] struct {
	due      time.Duration
	sequence uint64 // order of entry, for equal due times
	value    T
}

// Queue is a binary heap of values by due time. Values with equal due times leave it in the order in which they were
// pushed. A value can't be removed from the middle of the queue: the caller ignores a value that is no longer needed when
// Pop returns it, or discards it by DiscardInactive when it is at the front. The zero Queue is empty and ready to use.
type Queue[T any] struct {
	heap         []item[T]
	lastSequence uint64
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.due < b.due || a.due == b.due && a.sequence < b.sequence
}

// Push adds a value with its due time.
func (q *Queue[T]) Push(due time.Duration, value T) {
	q.lastSequence++
	q.heap = append(q.heap, item[T]{due, q.lastSequence, value})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// Next returns the due time of the first value, and false if the queue is empty.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].due, true
}

// DiscardInactive removes values from the front of the queue, due or not, until isActive accepts one.
func (q *Queue[T]) DiscardInactive(isActive func(T) bool) {
	for len(q.heap) > 0 && !isActive(q.heap[0].value) {
		q.Pop(q.heap[0].due)
	}
}

// Pop removes and returns the first value if it is due at now, and returns false otherwise.
func (q *Queue[T]) Pop(now time.Duration) (value T, ok bool) {
	if len(q.heap) == 0 || q.heap[0].due > now {
		return value, false
	}
	value = q.heap[0].value
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = item[T]{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return value, true
		}
		q.heap[i], q.heap[smallest] = q.heap[smallest], q.heap[i]
		i = smallest
	}
}
