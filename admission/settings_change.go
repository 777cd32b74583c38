package admission

import "ferryfront.example/ferryfront/admission/estimate"

// What a gateway keeps when it is given other settings. Nothing here decides: classes and plans keep their places
// (see SettingsChanged), a request keeps the class that it came with, and what is known of customers, servers and
// the counter goes on under the new figures.

// SettingsChanged: the gateway goes on under these settings. Classes and plans stand at the places that they had
// before; those that are not there any more are Gone, new ones follow. Settings that a gateway can't work with
// change nothing.
type SettingsChanged struct{ Settings Settings }

func (SettingsChanged) isEvent() {}

// onUpdate books an event that asks for no decision.
func (g *Gateway) onUpdate(ev Event) {
	switch ev := ev.(type) {
	case SettingsChanged:
		g.onSettingsChanged(ev.Settings)
	case FleetChanged:
		g.onFleetChanged(ev)
	case RequestComplete:
		g.onRequestComplete(ev.ID)
	}
}

// onRequestComplete starts a request's time anew, now that all of it has come, and its attempts': until then no server had
// anything to run.
func (g *Gateway) onRequestComplete(id uint64) {
	r := g.requests[id]
	if r == nil || !r.isPartial {
		return
	}
	r.isPartial = false
	late := g.now - r.arrivedAt
	r.arrivedAt, r.due, r.deadline = g.now, r.due+late, r.deadline+late
	for i := range r.attempts {
		if t := &r.attempts[i]; t.isLive {
			t.sentAt = g.now
			t.server.outstanding = append(t.server.outstanding, g.now)
		}
	}
}

func (g *Gateway) onSettingsChanged(s Settings) {
	if s.validate() != nil || len(s.Classes) < len(g.settings.Classes) || len(s.Plans) < len(g.settings.Plans) {
		return
	}
	was := g.settings
	g.applySettings(s)
	g.suspendTotals(was.Plans)
	fleet := was.Gateways != s.Gateways || was.Index != s.Index
	for _, c := range g.customers {
		old := *c.plan
		if c.plan = &g.settings.Plans[c.planIndex]; old == *c.plan && !fleet {
			continue
		}
		c.gateways = min(c.gateways, float64(s.Gateways))
		c.isCeilingSplit = false // its parts are dealt anew with its next request
		c.quotaTokens = min(c.quotaTokens, c.plan.Burst)
		if was := c.quotaCounter; c.plan.Rate > 0 { // windows of another length begin anew
			c.quotaCounter = newWindowCounter("q"+c.counterKey()+".", c.plan.windowLength(), hashFraction(c.id))
			c.quotaCounter.restore(was.state())
		}
	}
	if fleet {
		g.rankServers()
	}
}

// suspendTotals notes for which plans the counter's windows have another length now. Those that were begun under the former
// length go on beside the new ones, so for as long as either lasts no total shows that a request is under its ceiling:
// settings that follow each other quickly would else let in what a window may show once for each.
func (g *Gateway) suspendTotals(was []Plan) {
	for i, before := range was {
		now := &g.settings.Plans[i]
		if now.Rate <= 0 || before.Rate == now.Rate && before.Burst == now.Burst {
			continue
		}
		longest := now.windowLength()
		if before.Rate > 0 {
			longest = max(longest, before.windowLength())
		}
		g.totalsValidFrom[i] = max(g.totalsValidFrom[i], g.now+longest)
	}
}

// applySettings has the gateway work with settings, and makes room for what is known of each class and plan.
func (g *Gateway) applySettings(s Settings) {
	g.settings = s
	for len(g.classLatency) < len(s.Classes) {
		g.classLatency, g.classMix = append(g.classLatency, estimate.LatencyModel{}), append(g.classMix, 1)
	}
	for len(g.planDemand) < len(s.Plans) {
		g.planDemand, g.totalsValidFrom = append(g.planDemand, demandEstimate{}), append(g.totalsValidFrom, 0)
	}
	g.queryExponents, g.admitExponents = estimate.Exponents(s.Plans, Plan.wrongDecisionCost), estimate.Exponents(s.Classes, func(c Class) float64 {
		if c.IsRemoved {
			return 0
		}
		return c.refusalCost()
	})
}
