package admission

// Counter trouble: a local share, a circuit breaker.

import (
	"math"
	"time"
)

const (
	breakAfter  = 4                      // calls lost in a row open the breaker
	crowdedCut  = 0.8                    // a call turned away or late: this much of the asking goes on...
	crowdedGain = 0.01                   // ...and each answer in time brings this much back,
	crowdedEase = 0.05                   // and each second between answers, for who asks little
	fitGain     = 0.2                    // EWMA weight of a total read, in what fits
	crowdedAt   = 0.25                   // of a call's time limit: an answer later than this shows crowding,
	crowdedX    = 2.0                    // and so many times what one takes at a counter at ease,
	easeGain    = 0.005                  // EWMA weight of one that took more than that, in what it takes
	probeEvery  = 250 * time.Millisecond // calls made while the breaker is open, to see whether it is back,
	probeSum    = 10 * time.Millisecond  // and by all gateways together at most one in this time
)

// counterFailed: crowded or lost. Fewer requests ask, the others are counted with the next call; calls
// lost in a row open the breaker.
func (g *Gateway) counterFailed(o Outcome) {
	g.askShare = math.Max(askLeast, g.askShare*crowdedCut)
	if o != Full {
		g.failures++
	}
	if g.failures >= breakAfter && !g.open {
		g.open, g.nextProbe = true, g.probeNext()
		g.log(logMost, "counter lost: deciding by own share")
	}
}

func (g *Gateway) probeNext() time.Duration {
	return g.now + max(probeEvery, time.Duration(g.s.Gateways)*probeSum)
}

func (g *Gateway) counterWorks(took time.Duration) {
	g.failures = 0
	if g.ease == 0 || took < g.ease {
		g.ease = took
	}
	g.ease += time.Duration(easeGain * float64(took-g.ease))
	if took > seconds(max(crowdedAt*g.s.CounterTimeout.Seconds(), crowdedX*g.ease.Seconds())) {
		g.askShare = math.Max(askLeast, g.askShare*crowdedCut)
	} else {
		ease := crowdedGain + crowdedEase*(g.now-g.answeredAt).Seconds()
		if g.askShare = math.Min(1, g.askShare+ease); g.open {
			g.open = false
			g.log(logMost, "counter back")
		}
	}
	g.answeredAt = g.now
}

// decideAlone decides without waiting for the counter: by the mirror, and while the breaker is open each unit
// sent from here stands for one at every door. At a sparse door that would refuse nearly all, so lots are
// drawn. Guards against a counter slow, silent, crowded or refusing; harms when demand changes meanwhile.
func (g *Gateway) decideAlone(r *request) {
	c := r.cust
	p := c.plan
	over := r.over
	g.refill(c)
	heft := 1.0
	if (g.open || !g.s.HasCounter) && !g.foretells(c) {
		heft = c.doors
	}
	if p.Rate > 0 && !(c.sparse(r.units) && g.s.HasCounter) {
		over = over || c.level < r.units
	} else if p.Rate > 0 || p.MaxInFlight > 0 {
		over = over || !g.lot(c)
	}
	over = over || p.CeilingRate > 0 && !r.shown && !c.underCeiling(g.now, r.units)
	g.decide(r, over, heft)
}

// fits is the part of what all doors ask of a customer that fits its quota, as far as known.
func (g *Gateway) fits(c *customer) float64 {
	if c.plan.MaxInFlight > 0 && g.capLedger(c) == &c.gauge {
		return c.fit
	}
	return 1 / g.pressOf(c)
}

// lot lets in unchecked the part that fits. On a gauge that is the chance to find room; to find none costs.
func (g *Gateway) lot(c *customer) bool {
	worth := c.plan.OverQuotaCost / (1 + c.plan.OverQuotaCost)
	switch {
	case c.plan.MaxInFlight > 0 && c.out >= c.plan.MaxInFlight:
		return false
	case c.plan.MaxInFlight > 0 && g.capLedger(c) == &c.gauge:
		return g.rng.Float64() < (g.fits(c)-worth)/(1-worth)
	}
	return g.rng.Float64() < g.fits(c)
}

// capLedger is what a cap on attempts out is held by: a gauge, or by many doors at a crowded counter demand.
func (g *Gateway) capLedger(c *customer) *ledger {
	if g.asking(c.index) < gaugeAbove && c.doors > 2*float64(c.plan.MaxInFlight) {
		return &c.demand
	}
	return &c.gauge
}

// load is what fits of a ledger's demand, in units a second: the rate, or of a cap a part.
func (g *Gateway) load(c *customer, l *ledger) float64 {
	if l == &c.demand {
		return capLoad * float64(c.plan.MaxInFlight) / g.outFor
	}
	return c.plan.Rate
}

// weigh learns from one total what all doors have asked since the last look, or the window's start: that is
// no arrival of ours, so there the call's own units tell nothing.
func (g *Gateway) weigh(c *customer, l *ledger, k *call, total float64) {
	since, news := (g.now - l.seenAt).Seconds(), total-l.seen
	if l.seen == 0 {
		news -= k.by
	}
	l.seenAt = g.now
	if since <= 0 || news < 0 {
		return
	}
	news /= g.load(c, l)
	for _, e := range []*evidence{&c.press, &g.press[c.index]} {
		e.fade(g.now, pressMemory)
		e.asked, e.span = e.asked+news, e.span+since
	}
}

// pressOf estimates what all doors ask of a customer over what fits. Its plan's mean counts as if seen for
// some requests: one total is not trusted, and who is not asked about, as most at many doors, is like the
// others.
func (g *Gateway) pressOf(c *customer) float64 {
	l, first := &c.rate, pressFirst
	if c.plan.MaxInFlight > 0 {
		l, first = &c.demand, capFirst
	}
	plan := g.press[c.index].mean(first, l.span.Seconds())
	if c.plan.OverQuotaCost == 0 { // nothing is lost by letting in who is not known to ask too much
		plan = math.Min(1, plan)
	}
	if !g.open { // what was known last is kept through an outage
		c.press.fade(g.now, pressMemory)
	}
	return c.press.mean(plan, priorUnits/g.load(c, l))
}
