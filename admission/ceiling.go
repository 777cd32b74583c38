package admission

// The hard ceiling: own parts of the store, and what the counter shows to fit, whatever else is going on.

import (
	"math"
	"time"
)

const (
	usedSlackShare      = 0.95 // of a ceiling's slack: the rest is for clocks and roundings
	minCeilingBurst     = 4.0  // of the largest requests: a smaller part is of little use where traffic is uneven
	totalsCeilingShare  = 0.3  // of the store is left to what totals show, where parts would be smaller
	totalsQueryExponent = 0.25 // power of the asking of who has no part of its own to go by
)

// splitCeiling splits a ceiling's store over a customer's doors: the parts add up to the whole and none lends, so no
// trouble of counter or peers breaks the rule. At many doors a part would be less than a few requests, or
// than one, which is none. Then as many doors hold a part as there are requests in what is left beside the
// totals'. Any span of time meets the windows that it holds and two edges: half of theirs a window is never
// more than all of it and its refill, whatever is sent by doors that know no earlier window. Harms uneven
// traffic.
func (g *Gateway) splitCeiling(c *customer, first int) {
	p, unit, doors := c.plan, math.Max(1, float64(g.settings.MaxUnits)), g.settings.Gateways
	whole, sure := p.CeilingBurst+usedSlackShare*p.CeilingSlack, g.membership.ceilingFactor()
	c.isCeilingSplit, c.ceilingBurst, c.ceilingRate = true, sure*whole/c.gateways, sure*p.CeilingRate/c.gateways
	if c.ceilingBurst >= minCeilingBurst*unit || p.Rate <= 0 || !g.settings.HasCounter {
		return
	}
	c.ceilingTotalLimit = totalsCeilingShare * whole / 2
	own, place := sure*(whole-2*c.ceilingTotalLimit), g.membership.position(g.settings.Index, first, doors)
	holders := math.Floor(math.Min(c.gateways, own/unit))
	c.ceilingBurst, c.ceilingRate = own/holders, (p.CeilingRate-c.ceilingTotalLimit*p.Rate/p.Burst)/holders
	if float64((place+int(hashFraction(c.id)*c.gateways))%int(c.gateways)) >= holders {
		c.ceilingBurst, c.ceilingRate = 0, 0
	}
}

// hasCeilingTokens: this gateway's part holds the units. It starts empty, as an earlier life may have spent it.
func (c *customer) hasCeilingTokens(now time.Duration, units float64) bool {
	c.ceilingTokens = math.Min(c.ceilingBurst, c.ceilingTokens+c.ceilingRate*(now-c.ceilingTokensAt).Seconds())
	c.ceilingTokensAt = now
	return c.ceilingTokens >= units
}
