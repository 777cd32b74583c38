package discovery

import "time"

// clockStepped is by how much the wall clock must be off the loop's before it counts as having been set.
const clockStepped = 200 * time.Millisecond

// boot tells when a host last started, in the loop's time. Discovery says it in wall-clock time, which the loop's clock
// was set by at the start and has not followed since: where the wall clock was stepped meanwhile, the host may have been
// told either time. Of those that are possible the latest counts. A host that is taken for warm too soon may be sent more
// than it bears; one that is taken for cold too long only gets less.
func (w *Watcher) boot(e Entry) time.Duration {
	if e.Started == 0 {
		return e.Boot
	}
	if known, ok := w.known[e.Name]; ok && known.Started == e.Started {
		return known.Boot
	}
	now := w.loop.Now()
	boot := e.Started
	if step := w.loop.ClockOffset(); step.Abs() >= clockStepped {
		if after := e.Started + step; after > boot && after <= now || boot > now {
			boot = after
		}
	}
	return min(boot, now)
}
