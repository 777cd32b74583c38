package controlgroup

import "time"

// LeaseLengths are for how long the group reckons with a lease of each kind from when it granted it, the drift of clocks
// included.
type LeaseLengths struct {
	Settings time.Duration
	Share    time.Duration
}

// LeaseLengthMost bounds both, since a command with a longer one could not be read.
const LeaseLengthMost = lengthMost

// GroupLengths are the lengths of leases that are granted under a timing.
func (t Timing) GroupLengths() LeaseLengths {
	return LeaseLengths{t.groupLength(t.Settings), t.groupLength(t.Share)}
}

// longest has the longer one of each kind.
func (l LeaseLengths) longest(other LeaseLengths) LeaseLengths {
	return LeaseLengths{max(l.Settings, other.Settings), max(l.Share, other.Share)}
}

// covers tells whether no lease of other lengths is longer.
func (l LeaseLengths) covers(other LeaseLengths) bool { return l.longest(other) == l }

// longer is the length of the kind that lasts longer: after it no lease is left.
func (l LeaseLengths) longer() time.Duration { return max(l.Settings, l.Share) }

// boundLeases has the lengths replicated that a later leader must reckon with: before this one grants its first lease
// those that it may grant, or earlier ones if they are longer; its own alone once no earlier lease can be held any more.
func (l *Leader) boundLeases(now time.Duration) []Command {
	wanted := l.unknown
	if now >= l.start+l.unknown.longer() {
		wanted = l.timing.GroupLengths()
	}
	if l.state.LeaseBound() == wanted {
		return nil
	}
	return []Command{BoundLeases{wanted}}
}

// mayGrant tells whether later leaders will reckon with leases of this one's lengths.
func (l *Leader) mayGrant() bool { return l.state.LeaseBound().covers(l.timing.GroupLengths()) }
