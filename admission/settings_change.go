package admission

import (
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// Events that need no decision: new settings, a new fleet, a request that has wholly arrived. Classes and plans
// keep their indices (see SettingsChanged), a request keeps the class that it came with, and what is known of
// customers, servers and the counter is kept under the new settings.

// SettingsChanged replaces the settings of a running gateway. Classes and plans keep their indices: those
// that were dropped are marked IsRemoved, new ones are appended. Settings that New would refuse, or with
// fewer classes or plans, are ignored.
type SettingsChanged struct{ Settings Settings }

func (SettingsChanged) isEvent() {}

// onUpdate handles the events that need no decision; those that are not used are ignored.
func (g *Gateway) onUpdate(ev Event) {
	switch ev := ev.(type) {
	case SettingsChanged:
		g.onSettingsChanged(ev.Settings)
	case FleetChanged:
		g.onFleetChanged(ev)
	case RequestComplete:
		g.onRequestComplete(ev.ID, ev.Waited)
	}
}

// onRequestComplete restarts the times of a partial request and of its attempts, now that its body has
// wholly arrived: until then no server had anything to run. The client's time began that much earlier.
func (g *Gateway) onRequestComplete(id uint64, waited time.Duration) {
	r := g.requests[id]
	if r == nil || !r.isPartial {
		return
	}
	r.isPartial = false
	elapsed := g.now - r.arrivedAt
	r.arrivedAt, r.due, r.deadline = g.now-waited, r.due+elapsed-waited, r.deadline+elapsed-waited
	for i := range r.attempts {
		if a := &r.attempts[i]; a.isLive {
			a.sentAt = g.now
			a.server.outstanding = append(a.server.outstanding, g.now)
		}
	}
}

// onSettingsChanged applies new settings. Customers whose plan has changed, or all if the fleet has, get new
// parts of their ceiling with the next request. Their local tokens are cut to the plan's burst, never filled up.
func (g *Gateway) onSettingsChanged(s Settings) {
	if s.validate() != nil || len(s.Classes) < len(g.settings.Classes) || len(s.Plans) < len(g.settings.Plans) {
		return
	}
	previous := g.settings
	g.applySettings(s)
	g.suspendTotals(previous.Plans)
	isNewFleet := previous.Gateways != s.Gateways || previous.Index != s.Index
	for _, c := range g.customers {
		previousPlan := *c.plan
		if c.plan = &g.settings.Plans[c.planIndex]; previousPlan == *c.plan && !isNewFleet {
			continue
		}
		c.gateways = min(c.gateways, float64(s.Gateways))
		c.isCeilingSplit = false
		c.quotaTokens = min(c.quotaTokens, c.plan.Burst)
		if previousCounter := c.quotaCounter; c.plan.Rate > 0 { // a window of another length starts empty
			c.quotaCounter = newWindowCounter("q"+c.counterKey()+".", c.plan.windowLength(), hashFraction(c.id))
			c.quotaCounter.restore(previousCounter.state())
		}
	}
	if isNewFleet {
		g.rankServers()
	}
}

// suspendTotals keeps totals from admitting requests under a ceiling for a while, for plans whose counter windows
// have another length now: for the longer of the former and the new length. Windows of the former length go on
// beside the new ones, so settings that change often would admit the limit of one window again with each change.
func (g *Gateway) suspendTotals(previous []Plan) {
	for i, before := range previous {
		current := &g.settings.Plans[i]
		if current.Rate <= 0 || before.Rate == current.Rate && before.Burst == current.Burst {
			continue
		}
		longest := current.windowLength()
		if before.Rate > 0 {
			longest = max(longest, before.windowLength())
		}
		g.totalsValidFrom[i] = max(g.totalsValidFrom[i], g.now+longest)
	}
}

// applySettings replaces the settings and makes room for what is learned of each class and plan. Removed
// classes count as worthless, so that one of the others is the class of most worth.
func (g *Gateway) applySettings(s Settings) {
	g.settings = s
	for len(g.classLatency) < len(s.Classes) {
		g.classLatency, g.classMix = append(g.classLatency, estimate.LatencyModel{}), append(g.classMix, 1)
	}
	for len(g.planDemand) < len(s.Plans) {
		g.planDemand, g.totalsValidFrom = append(g.planDemand, demandEstimate{}), append(g.totalsValidFrom, 0)
	}
	g.queryExponents, g.admitExponents = estimate.Exponents(s.Plans, Plan.wrongDecisionCost),
		estimate.Exponents(s.Classes, func(c Class) float64 {
			if c.IsRemoved {
				return 0
			}
			return c.refusalCost()
		})
}
