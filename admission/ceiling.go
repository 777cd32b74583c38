package admission

// The hard ceiling: own parts of the store, and what the counter shows to fit, whatever else is going on.

import (
	"math"
	"time"
)

const (
	slackUsed = 0.95 // of a ceiling's slack: the rest is for clocks and roundings
	partLeast = 4.0  // of the largest requests: a smaller part is of little use where traffic is uneven
	shownPart = 0.3  // of the store is left to what totals show, where parts would be smaller
	needyAsks = 0.25 // power of the asking of who has no part of its own to go by
)

// deal splits a ceiling's store over a customer's doors: the parts add up to the whole and none lends, so no
// trouble of counter or peers breaks the rule. At many doors a part would be less than a few requests, or
// than one, which is none. Then as many doors hold a part as there are requests in what is left beside the
// totals'. Any span of time meets the windows that it holds and two edges: half of theirs a window is never
// more than all of it and its refill, whatever is sent by doors that know no earlier window. Harms uneven
// traffic.
func (g *Gateway) deal(c *customer, first int) {
	p, unit, doors := c.plan, math.Max(1, float64(g.s.MaxUnits)), g.s.Gateways
	whole, sure := p.CeilingBurst+slackUsed*p.CeilingSlack, g.fleet.sure()
	c.dealt, c.part, c.fill = true, sure*whole/c.doors, sure*p.CeilingRate/c.doors
	if c.part >= partLeast*unit || p.Rate <= 0 || !g.s.HasCounter {
		return
	}
	c.shows = shownPart * whole / 2
	own, place := sure*(whole-2*c.shows), g.fleet.place(g.s.Index, first, doors)
	holders := math.Floor(math.Min(c.doors, own/unit))
	c.part, c.fill = own/holders, (p.CeilingRate-c.shows*p.Rate/p.Burst)/holders
	if float64((place+int(spread(c.id)*c.doors))%int(c.doors)) >= holders {
		c.part, c.fill = 0, 0
	}
}

// underCeiling: this gateway's part holds the units. It starts empty, as an earlier life may have spent it.
func (c *customer) underCeiling(now time.Duration, units float64) bool {
	c.hard = math.Min(c.part, c.hard+c.fill*(now-c.hardAt).Seconds())
	c.hardAt = now
	return c.hard >= units
}
