package admission

import "slices"

// Which gateways of the fleet are present, as the host reports it. Nothing here decides. A host that does not
// track membership reports nothing: then all gateways of the settings count as present.

// FleetChanged reports which gateways, by index, are absent: they no longer use their parts of shared quotas
// and ceilings, and every gateway agrees on that. While IsUncertain, the others may count this gateway as
// absent, and it has no part of any ceiling.
type FleetChanged struct {
	Absent      []int
	IsUncertain bool
}

func (FleetChanged) isEvent() {}

// membership is what the last FleetChanged reported.
type membership struct {
	absent      []int
	isUncertain bool
}

// onFleetChanged takes over a new membership. Customers get their new parts with their next request.
func (g *Gateway) onFleetChanged(ev FleetChanged) {
	// Until now the other gateways may have used the parts that this gateway gets back now.
	if g.membership.isUncertain && !ev.IsUncertain {
		g.ceilingStart = max(g.ceilingStart, g.now)
	}
	g.membership = membership{absent: slices.Clone(ev.Absent), isUncertain: ev.IsUncertain}
	for _, c := range g.customers {
		c.isCeilingSplit = false
	}
}

// circularOffset returns the position of a gateway among all of them, counted from first and around the end.
func circularOffset(gateway, first, all int) int { return (gateway - first%all + all) % all }

// countFrom returns how many of the n gateways from index first on, counted around the end of all, are present,
// but at least 1.
func (m membership) countFrom(n, first, all int) float64 {
	n = max(1, min(n, all))
	present := n
	for _, absent := range m.absent {
		if circularOffset(absent, first, all) < n {
			present--
		}
	}
	return float64(max(1, present))
}

// position returns the position of a gateway among the present ones, counted from index first and around the
// end.
func (m membership) position(gateway, first, all int) int {
	offset := circularOffset(gateway, first, all)
	position := offset
	for _, absent := range m.absent {
		if circularOffset(absent, first, all) < offset {
			position--
		}
	}
	return position
}

// ceilingFactor returns the factor on this gateway's parts of ceilings: 0 while others may count it as
// absent, else 1.
func (m membership) ceilingFactor() float64 {
	if m.isUncertain {
		return 0
	}
	return 1
}
