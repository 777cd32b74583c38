package admission

// Counter trouble: a local share, a circuit breaker.

import (
	"math"
	"time"
)

const (
	breakerThreshold      = 4                      // calls lost in a row open the breaker
	queryShareCut         = 0.8                    // a call turned away or late: this much of the asking goes on...
	queryShareGain        = 0.01                   // ...and each answer in time brings this much back,
	queryShareRecovery    = 0.05                   // and each second between answers, for who asks little
	underCapWeight        = 0.2                    // EWMA weight of a total read, in what fits
	slowCounterThreshold  = 0.25                   // of a call's time limit: an answer later than this shows crowding,
	slowCounterFactor     = 2.0                    // and so many times what one takes at a counter at ease,
	counterBaselineWeight = 0.005                  // EWMA weight of one that took more than that, in what it takes
	counterProbeInterval  = 250 * time.Millisecond // calls made while the breaker is open, to see whether it is back,
	fleetProbeInterval    = 10 * time.Millisecond  // and by all gateways together at most one in this time
)

// counterFailed: crowded or lost. Fewer requests ask, the others are counted with the next call; calls
// lost in a row open the breaker.
func (g *Gateway) counterFailed(o Outcome) {
	g.queryShare = math.Max(minQueryShare, g.queryShare*queryShareCut)
	if o != Full {
		g.counterFailures++
	}
	if g.counterFailures >= breakerThreshold && !g.isBreakerOpen {
		g.isBreakerOpen, g.nextCounterProbe = true, g.nextProbeTime()
		g.log(maxLogLines, "counter lost: deciding by own share")
	}
}

func (g *Gateway) nextProbeTime() time.Duration {
	return g.now + max(counterProbeInterval, time.Duration(g.settings.Gateways)*fleetProbeInterval)
}

func (g *Gateway) counterSucceeded(took time.Duration) {
	g.counterFailures = 0
	if g.counterBaseline == 0 || took < g.counterBaseline {
		g.counterBaseline = took
	}
	g.counterBaseline += time.Duration(counterBaselineWeight * float64(took-g.counterBaseline))
	if took > seconds(max(slowCounterThreshold*g.settings.CounterTimeout.Seconds(), slowCounterFactor*g.counterBaseline.Seconds())) {
		g.queryShare = math.Max(minQueryShare, g.queryShare*queryShareCut)
	} else {
		ease := queryShareGain + queryShareRecovery*(g.now-g.counterAnsweredAt).Seconds()
		if g.queryShare = math.Min(1, g.queryShare+ease); g.isBreakerOpen {
			g.isBreakerOpen = false
			g.log(maxLogLines, "counter back")
		}
	}
	g.counterAnsweredAt = g.now
}

// decideLocally decides without waiting for the counter: by the mirror, and while the breaker is open each unit
// sent from here stands for one at every door. At a sparse door that would refuse nearly all, so lots are
// drawn. Guards against a counter slow, silent, crowded or refusing; harms when demand changes meanwhile.
func (g *Gateway) decideLocally(r *request) {
	c := r.customer
	p := c.plan
	over := r.isOverQuota
	g.refillQuota(c)
	heft := 1.0
	if (g.isBreakerOpen || !g.settings.HasCounter) && !g.predictsOthers(c) {
		heft = c.gateways
	}
	if p.Rate > 0 && !(c.isSparse(r.units) && g.settings.HasCounter) {
		over = over || c.quotaTokens < r.units
	} else if p.Rate > 0 || p.MaxInFlight > 0 {
		over = over || !g.sampleAdmits(c)
	}
	over = over || p.CeilingRate > 0 && !r.isShownUnderCeiling && !c.hasCeilingTokens(g.now, r.units)
	g.decide(r, over, heft)
}

// fitShare is the part of what all doors ask of a customer that fitShare its quota, as far as known.
func (g *Gateway) fitShare(c *customer) float64 {
	if c.plan.MaxInFlight > 0 && g.capCounter(c) == &c.inFlightCounter {
		return c.underCapShare
	}
	return 1 / g.demandRatio(c)
}

// sampleAdmits lets in unchecked the part that fits. On a gauge that is the chance to find room; to find none costs.
func (g *Gateway) sampleAdmits(c *customer) bool {
	worth := c.plan.OverQuotaCost / (1 + c.plan.OverQuotaCost)
	switch {
	case c.plan.MaxInFlight > 0 && c.inFlight >= c.plan.MaxInFlight:
		return false
	case c.plan.MaxInFlight > 0 && g.capCounter(c) == &c.inFlightCounter:
		return g.rng.Float64() < (g.fitShare(c)-worth)/(1-worth)
	}
	return g.rng.Float64() < g.fitShare(c)
}

// capCounter is what a cap on attempts out is held by: a gauge, or by many doors at a crowded counter demand.
func (g *Gateway) capCounter(c *customer) *windowCounter {
	if g.planQueryShare(c.planIndex) < inFlightCounterThreshold && c.gateways > 2*float64(c.plan.MaxInFlight) {
		return &c.demandCounter
	}
	return &c.inFlightCounter
}

// demandCapacity is what fits of a ledger's demand, in units a second: the rate, or of a cap a part.
func (g *Gateway) demandCapacity(c *customer, l *windowCounter) float64 {
	if l == &c.demandCounter {
		return capDemandShare * float64(c.plan.MaxInFlight) / g.meanTimeInFlight
	}
	return c.plan.Rate
}

// learnDemand learns from one total what all doors have asked since the last look, or the window's start: that is
// no arrival of ours, so there the call's own units tell nothing.
func (g *Gateway) learnDemand(c *customer, l *windowCounter, k *counterCall, total float64) {
	since, news := (g.now - l.lastTotalAt).Seconds(), total-l.lastTotal
	if l.lastTotal == 0 {
		news -= k.delta
	}
	l.lastTotalAt = g.now
	if since <= 0 || news < 0 {
		return
	}
	news /= g.demandCapacity(c, l)
	for _, e := range []*demandEstimate{&c.observedDemand, &g.planDemand[c.planIndex]} {
		e.decay(g.now, demandMemory)
		e.demand, e.observed = e.demand+news, e.observed+since
	}
}

// demandRatio estimates what all doors ask of a customer over what fits. Its plan's mean counts as if seen for
// some requests: one total is not trusted, and who is not asked about, as most at many doors, is like the
// others.
func (g *Gateway) demandRatio(c *customer) float64 {
	l, first := &c.quotaCounter, initialQuotaDemand
	if c.plan.MaxInFlight > 0 {
		l, first = &c.demandCounter, initialCapDemand
	}
	plan := g.planDemand[c.planIndex].mean(first, l.length.Seconds())
	if c.plan.OverQuotaCost == 0 { // nothing is lost by letting in who is not known to ask too much
		plan = math.Min(1, plan)
	}
	if !g.isBreakerOpen { // what was known last is kept through an outage
		c.observedDemand.decay(g.now, demandMemory)
	}
	return c.observedDemand.mean(plan, demandPriorUnits/g.demandCapacity(c, l))
}
