package scale

import (
	"fmt"
	"slices"
	"time"
)

// trial is one run under way, and what is known of it so far.
type trial struct {
	fleet *fleet
	notes []string

	given     time.Time // the change that in_force is measured of, zero: none was
	version   uint64
	waited    time.Duration // for it to be in force
	restarted map[int]time.Time
	settled   time.Duration // longest wait for restarted members
}

// Bounds on waits.
const (
	inForceMost = 15 * time.Second // a member that does not act on a change alone by then is counted
	settledMost = 40 * time.Second // for restarted members to settle
	startMost   = 60 * time.Second // for all to settle after the start
	agreedMost  = 15 * time.Second // for all to act alike after a cut is healed
	pollEvery   = 20 * time.Millisecond
)

func (t *trial) note(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// give gives a further version to a member, and begins to measure how long it takes to be in force.
func (t *trial) give(member int) error {
	t.given = time.Now()
	var err error
	t.version, err = t.fleet.give(member)
	return err
}

// change gives a further version to a member and waits until it is in force.
func (t *trial) change(member int) error {
	if err := t.give(member); err != nil {
		return err
	}
	t.awaitInForce()
	return nil
}

// awaitInForce waits until all live members act on the change alone, or the time for that is up.
func (t *trial) awaitInForce() {
	await(t.given.Add(inForceMost), func() bool {
		_, missing := t.inForce()
		return missing == 0
	})
	t.waited = time.Since(t.given)
}

// awaitAgreed waits until all live members act on one version alone.
func (t *trial) awaitAgreed() {
	await(time.Now().Add(agreedMost), func() bool {
		return !slices.ContainsFunc(t.live(), func(m int) bool {
			e, ok := t.fleet.timeline.last(m, Acting)
			return !ok || !actsAlone(t.version)(e)
		})
	})
}

// live are the members that ran without a break since the change was given.
func (t *trial) live() []int {
	now := time.Now()
	return t.fleet.topology.members(func(m int) bool { return !t.fleet.timeline.wasDown(m, t.given, now) })
}

// inForce returns how long after the change live members acted on it alone, of those that did in time, and how many
// did not.
func (t *trial) inForce() (times spread, missing int) {
	times = newSpread()
	for _, m := range t.live() {
		at, ok := t.fleet.timeline.first(m, t.given, actsAlone(t.version))
		if !ok || at.Sub(t.given) > inForceMost {
			missing++
			continue
		}
		times.add(at.Sub(t.given))
	}
	return times, missing
}

// restart starts members that were stopped, and waits until all have settled or the time for that is up.
func (t *trial) restart(members []int) error {
	t.restarted = map[int]time.Time{}
	began := time.Now()
	for _, m := range members {
		t.restarted[m] = began
	}
	if err := t.fleet.start(members); err != nil {
		return err
	}
	await(began.Add(settledMost), func() bool {
		_, missing := t.settling(time.Now())
		return missing == 0
	})
	t.settled = time.Since(began)
	return nil
}

// settling returns how long restarted members took to settle, and how many have not by a time.
func (t *trial) settling(end time.Time) (times spread, missing int) {
	times = newSpread()
	for m, began := range t.restarted {
		at, ok := t.fleet.timeline.first(m, began, isSettled)
		if !ok || at.After(end) {
			missing++
			at = end
		}
		times.add(at.Sub(began))
	}
	return times, missing
}

// await waits until a condition holds, or a time.
func await(end time.Time, holds func() bool) bool {
	for !holds() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(pollEvery)
	}
	return true
}
