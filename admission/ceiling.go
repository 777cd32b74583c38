package admission

// Hard ceilings. Each gateway has its own part of a customer's ceiling; where these parts would be too small,
// totals of the counter admit a share of the ceiling. No failure of counter or peers lets more through.

import (
	"math"
	"time"
)

const (
	// Share of a ceiling's slack that is used; the rest covers clock differences and rounding.
	usedSlackShare = 0.95
	// Smallest useful part of a ceiling, in requests of the largest size: with less a gateway can't serve
	// uneven traffic.
	minCeilingBurst = 4.0
	// Share of the ceiling that is admitted by totals where the parts would be smaller than minCeilingBurst.
	totalsCeilingShare = 0.3
	// Exponent on the query share for a request for which its gateway has too few ceiling tokens: it queries
	// more often.
	totalsQueryExponent = 0.25
)

// splitCeiling computes this gateway's part of a customer's ceiling. The parts add up to the whole and are
// never lent, so no failure of the counter or of peers breaks the ceiling.
//
// With many gateways a part would be smaller than a few requests, or than one and of no use at all. Then
// totals of the counter admit a share of the ceiling, and the rest is split over only as many gateways as it
// holds requests. Any span of time overlaps the counter windows inside it and one at each edge. One window
// admits at most half of the totals' share: the two at the edges admit the share, those inside its refill,
// even through gateways that know no earlier window.
//
// The split harms customers whose traffic is uneven over their gateways.
func (g *Gateway) splitCeiling(c *customer, firstGateway int) {
	p, maxUnits, gateways := c.plan, math.Max(1, float64(g.settings.MaxUnits)), g.settings.Gateways
	whole, factor := p.CeilingBurst+usedSlackShare*p.CeilingSlack, g.membership.ceilingFactor()
	c.isCeilingSplit, c.ceilingBurst, c.ceilingRate =
		true, factor*whole/c.gateways, factor*p.CeilingRate/c.gateways
	if c.ceilingBurst >= minCeilingBurst*maxUnits || p.Rate <= 0 || !g.settings.HasCounter {
		return
	}
	c.ceilingTotalLimit = totalsCeilingShare * whole / 2
	parts, position := factor*(whole-2*c.ceilingTotalLimit),
		g.membership.position(g.settings.Index, firstGateway, gateways)
	holders := math.Floor(math.Min(c.gateways, parts/maxUnits))
	c.ceilingBurst, c.ceilingRate = parts/holders, (p.CeilingRate-c.ceilingTotalLimit*p.Rate/p.Burst)/holders
	if float64((position+int(hashFraction(c.id)*c.gateways))%int(c.gateways)) >= holders {
		c.ceilingBurst, c.ceilingRate = 0, 0
	}
}

// hasCeilingTokens reports whether this gateway's part of the ceiling holds these units now. The part starts
// empty, as a previous process may have used it up.
func (c *customer) hasCeilingTokens(now time.Duration, units float64) bool {
	c.ceilingTokens = math.Min(c.ceilingBurst,
		c.ceilingTokens+c.ceilingRate*(now-c.ceilingTokensAt).Seconds())
	c.ceilingTokensAt = now
	return c.ceilingTokens >= units
}
