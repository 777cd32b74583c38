package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/net/membudget"
)

// memoryShare is how the configured memory is divided while one or two processes of this ingress run.
type memoryShare struct {
	runtimePercent int // of MemoryMB for the Go runtime's soft limit
	budgetDivisor  int // of MemoryBudgetBytes for what the connections hold
}

// The shares of a process that is alone, of one that is being replaced, and of the one that takes its place. What a
// predecessor holds was granted while it was alone, and only becomes less. The runtime does not count the program's text,
// which is in the memory of each of the two.
var (
	aloneShare       = memoryShare{runtimePercent: 55, budgetDivisor: 1}
	predecessorShare = memoryShare{runtimePercent: 27, budgetDivisor: 2}
	successorShare   = memoryShare{runtimePercent: 18, budgetDivisor: 2}
)

// limitMemory keeps the Go runtime within the configured cores and memory, so that the garbage collector works harder
// before the platform would kill the process, and creates the budget of the connections. The live heap is small, so
// collecting at twice its size costs little time, and the heap reaches its final size within seconds, so that growth which
// does not stop shows a leak. A daemon that shares its process with others leaves the runtime alone.
func (d *Daemon) limitMemory(cfg config.Config) {
	d.memory = membudget.New(cfg.Limits.MemoryBudgetBytes)
	if d.options.Embedded == nil {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
		debug.SetGCPercent(100)
	}
	d.setMemoryShare(aloneShare)
}

// setMemoryShare divides the memory anew. Without MemoryMB no limit is set.
func (d *Daemon) setMemoryShare(share memoryShare) {
	bounds := d.loadedConfig.Limits
	d.memory.SetLimit(bounds.MemoryBudgetBytes / share.budgetDivisor)
	if d.options.Embedded != nil || bounds.MemoryMB <= 0 {
		return
	}
	limit := int64(bounds.MemoryMB) << 20 * int64(share.runtimePercent) / 100
	if previous := debug.SetMemoryLimit(limit); previous > limit && previous != math.MaxInt64 {
		go debug.FreeOSMemory() // the other process needs it now
	}
}
