package discovery

import "time"

// minClockStep is the least difference between the wall clock and the loop's clock at which the wall clock counts as having
// been set.
const minClockStep = 200 * time.Millisecond

// bootTime returns the time of a host's last start by the loop's clock. Discovery reports it by the wall clock, from which
// the loop's clock was set when the process started and which it has not followed since. If the wall clock was set
// meanwhile, the reported time may be by the clock before or after that. Of the possible times the latest one is taken: a
// host that is taken for warm too early may get more load than it can handle, one that is taken for cold too long only
// gets less. The time of a start that is already known stays, and so does that of an entry without Started, as a
// predecessor hands it over.
func (w *Watcher) bootTime(e Entry) time.Duration {
	if e.Started == 0 {
		return e.Boot
	}
	if known, ok := w.known[e.Name]; ok && known.Started == e.Started {
		return known.Boot
	}
	now := w.loop.Now()
	bootTime := e.Started
	if step := w.loop.ClockOffset(); step.Abs() >= minClockStep {
		if stepped := e.Started + step; stepped > bootTime && stepped <= now || bootTime > now {
			bootTime = stepped
		}
	}
	return min(bootTime, now)
}
