package admission

import "slices"

// Which gateways there are, as the host's membership tells it. Nothing here decides: it counts. A host without a
// membership tells nothing, and all that the settings name are there.

// FleetChanged: these gateways, by number, no longer share what all have together; nobody can think otherwise.
// While Unsure, this one may itself be counted out by others, and has no part of a ceiling.
type FleetChanged struct {
	Absent      []int
	IsUncertain bool
}

func (FleetChanged) isEvent() {}

// membership is what was last told.
type membership struct {
	absent      []int
	isUncertain bool
}

func (g *Gateway) onFleetChanged(ev FleetChanged) {
	if g.membership.isUncertain && !ev.IsUncertain { // until now the others had what is ours from here on
		g.ceilingStart = max(g.ceilingStart, g.now)
	}
	g.membership = membership{absent: slices.Clone(ev.Absent), isUncertain: ev.IsUncertain}
	for _, c := range g.customers {
		c.isCeilingSplit = false // doors and parts are dealt anew with its next request
	}
}

// circularOffset is where a gateway stands in the circularOffset of all that begins with number first and goes round.
func circularOffset(gateway, first, all int) int { return (gateway - first%all + all) % all }

// countFrom is how many of the gateways from number first on, so many of all in a row, are there: 1 at least.
func (p membership) countFrom(n, first, all int) float64 {
	n = max(1, min(n, all))
	here := n
	for _, o := range p.absent {
		if circularOffset(o, first, all) < n {
			here--
		}
	}
	return float64(max(1, here))
}

// position is where gateway me stands in that row, among those that are there.
func (p membership) position(me, first, all int) int {
	at := circularOffset(me, first, all)
	place := at
	for _, o := range p.absent {
		if circularOffset(o, first, all) < at {
			place--
		}
	}
	return place
}

// ceilingFactor is 1, and 0 while others may count this gateway out.
func (p membership) ceilingFactor() float64 {
	if p.isUncertain {
		return 0
	}
	return 1
}
