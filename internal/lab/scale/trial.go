package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// trial is one run under way, and what is known of it so far.
type trial struct {
	fleet *fleet
	notes []string

	given     time.Time // the change that in_force is measured of, zero: none was
	version   uint64
	giver     int // the member that was given it
	restarted map[int]time.Time
}

// Bounds on waits.
const (
	inForceMost = 15 * time.Second // a member that does not act on a change alone by then is counted
	settledMost = 50 * time.Second // for restarted members to settle: a share lease that is not given up lasts a minute
	startMost   = 90 * time.Second // for all to settle after the start
	agreedMost  = 15 * time.Second // for all to act alike after a cut is healed
	pollEvery   = 20 * time.Millisecond
)

func (t *trial) note(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// give gives a further version to a member, and begins to measure how long it takes to be in force.
func (t *trial) give(member int) error {
	t.given, t.giver = time.Now(), member
	var err error
	t.version, err = t.fleet.give(member)
	return err
}

// change gives a further version to a member and waits until it is in force.
func (t *trial) change(member int) error {
	if err := t.give(member); err != nil {
		return err
	}
	return t.awaitInForce()
}

// giveEvery is how often a change is given again that was turned down, since the control group had no leader.
const giveEvery = 500 * time.Millisecond

// awaitInForce waits until all live members act on the change alone, or the time for that is up.
func (t *trial) awaitInForce() error {
	var faults error
	again := time.Now()
	await(t.given.Add(inForceMost), func() bool {
		if t.turnedDown(again) {
			again = time.Now()
			faults = errors.Join(faults, t.fleet.giveAgain(t.giver))
		}
		_, missing := t.inForce()
		return missing == 0
	})
	return faults
}

// turnedDown tells whether the member that was given the change has logged since a time that it was not taken, a while
// ago. Who gives it can only give it again, and in_force counts from the first time.
func (t *trial) turnedDown(since time.Time) bool {
	if t.fleet.run.Agreement != Control || time.Since(since) < giveEvery || !t.fleet.timeline.runs(t.giver) {
		return false
	}
	_, down := t.fleet.timeline.first(t.giver, since, func(e Event) bool {
		return e.Kind == Warning && strings.HasPrefix(e.Text, messageNotReloaded)
	})
	return down
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
