package capacity

import (
	"runtime"
	"time"
)

// leastProcessorTime runs f so many times and returns the least processor time that its thread spent on one run. Other
// work on a busy machine does not count, nor does garbage collection on other threads.
func leastProcessorTime(repeats int, f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var least time.Duration
	for i := range repeats {
		before := threadCPU()
		f()
		spent := threadCPU() - before
		if i == 0 || spent < least {
			least = spent
		}
	}
	return least
}

// heapBytes is the size of what is reachable.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers of the first kept
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapOf returns what build makes and the heap that it takes, in bytes.
func heapOf[T any](build func() (T, error)) (made T, bytes float64, err error) {
	before := heapBytes()
	if made, err = build(); err != nil {
		return made, 0, err
	}
	bytes = max(0, heapBytes()-before)
	runtime.KeepAlive(made)
	return made, bytes, nil
}
