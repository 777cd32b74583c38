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

// present is what was last told.
type present struct {
	out    []int
	unsure bool
}

func (g *Gateway) fleetChanged(ev FleetChanged) {
	if g.fleet.unsure && !ev.IsUncertain { // until now the others had what is ours from here on
		g.began = max(g.began, g.now)
	}
	g.fleet = present{out: slices.Clone(ev.Absent), unsure: ev.IsUncertain}
	for _, c := range g.customers {
		c.dealt = false // doors and parts are dealt anew with its next request
	}
}

// row is where a gateway stands in the row of all that begins with number first and goes round.
func row(gateway, first, all int) int { return (gateway - first%all + all) % all }

// doors is how many of the gateways from number first on, so many of all in a row, are there: 1 at least.
func (p present) doors(n, first, all int) float64 {
	n = max(1, min(n, all))
	here := n
	for _, o := range p.out {
		if row(o, first, all) < n {
			here--
		}
	}
	return float64(max(1, here))
}

// place is where gateway me stands in that row, among those that are there.
func (p present) place(me, first, all int) int {
	at := row(me, first, all)
	place := at
	for _, o := range p.out {
		if row(o, first, all) < at {
			place--
		}
	}
	return place
}

// sure is 1, and 0 while others may count this gateway out.
func (p present) sure() float64 {
	if p.unsure {
		return 0
	}
	return 1
}
