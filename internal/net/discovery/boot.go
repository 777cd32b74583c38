package discovery

import "time"

// minClockStep is the least difference between the wall clock and the loop's clock at which the wall clock counts as having
// been set.
const minClockStep = 200 * time.Millisecond

// bootTime returns the time of a host's last start by the loop's clock. Discovery reports it by the wall clock. The loop's
// clock was set from the wall clock when the process started and has not followed it since. If the wall clock has been set
// after that, the reported time may have been taken before that, and then agrees with the loop's clock, or afterwards, and
// then differs from it by the step. The later of these two times is used unless it lies in the future: a host that is taken
// for warm too early may get more load than it can handle, one that is taken for cold too long only gets less. A start that
// is already known keeps its time, and so does an entry without Started, as a predecessor hands it over.
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
