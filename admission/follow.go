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

// note books an event that asks for no decision.
func (g *Gateway) note(ev Event) {
	switch ev := ev.(type) {
	case SettingsChanged:
		g.follow(ev.Settings)
	case FleetChanged:
		g.fleetChanged(ev)
	case RequestComplete:
		g.whole(ev.ID)
	}
}

// whole starts a request's time anew, now that all of it has come, and its attempts': until then no server had
// anything to run.
func (g *Gateway) whole(id uint64) {
	r := g.requests[id]
	if r == nil || !r.open {
		return
	}
	r.open = false
	late := g.now - r.at
	r.at, r.due, r.deadline = g.now, r.due+late, r.deadline+late
	for i := range r.tries {
		if t := &r.tries[i]; t.live {
			t.at = g.now
			t.s.out = append(t.s.out, g.now)
		}
	}
}

func (g *Gateway) follow(s Settings) {
	if s.validate() != nil || len(s.Classes) < len(g.s.Classes) || len(s.Plans) < len(g.s.Plans) {
		return
	}
	was := g.s
	g.use(s)
	g.unsettle(was.Plans)
	fleet := was.Gateways != s.Gateways || was.Index != s.Index
	for _, c := range g.customers {
		old := *c.plan
		if c.plan = &g.s.Plans[c.index]; old == *c.plan && !fleet {
			continue
		}
		c.doors = min(c.doors, float64(s.Gateways))
		c.dealt = false // its parts are dealt anew with its next request
		c.level = min(c.level, c.plan.Burst)
		if was := c.rate; c.plan.Rate > 0 { // windows of another length begin anew
			c.rate = newLedger("q"+c.key()+".", c.plan.window(), spread(c.id))
			c.rate.put(was.state())
		}
	}
	if fleet {
		g.rank()
	}
}

// unsettle notes for which plans the counter's windows have another length now. Those that were begun under the former
// length go on beside the new ones, so for as long as either lasts no total shows that a request is under its ceiling:
// settings that follow each other quickly would else let in what a window may show once for each.
func (g *Gateway) unsettle(was []Plan) {
	for i, before := range was {
		now := &g.s.Plans[i]
		if now.Rate <= 0 || before.Rate == now.Rate && before.Burst == now.Burst {
			continue
		}
		longest := now.window()
		if before.Rate > 0 {
			longest = max(longest, before.window())
		}
		g.settled[i] = max(g.settled[i], g.now+longest)
	}
}

// use has the gateway work with settings, and makes room for what is known of each class and plan.
func (g *Gateway) use(s Settings) {
	g.s = s
	for len(g.stats) < len(s.Classes) {
		g.stats, g.mix = append(g.stats, estimate.LatencyModel{}), append(g.mix, 1)
	}
	for len(g.press) < len(s.Plans) {
		g.press, g.settled = append(g.press, evidence{}), append(g.settled, 0)
	}
	g.thin, g.shed = estimate.Exponents(s.Plans, Plan.stake), estimate.Exponents(s.Classes, func(c Class) float64 {
		if c.IsRemoved {
			return 0
		}
		return c.stake()
	})
}
