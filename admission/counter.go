package admission

// Responses to failure and overload of the shared counter: fewer queries, a circuit breaker, local decisions.

import (
	"math"
	"time"
)

const (
	// Calls lost in a row that open the circuit breaker.
	breakerThreshold = 4
	// Factor on the query share (requests that query the counter, over all requests) for each call that is
	// refused, lost or answered late.
	queryShareCut = 0.8
	// Query share regained with each answer in time.
	queryShareGain = 0.01
	// Query share regained, with an answer in time, for each second since the previous answer: gateways that
	// seldom query would recover slowly otherwise.
	queryShareRecovery = 0.05
	// EWMA weight of a total in the share of totals that are under the in-flight cap.
	underCapWeight = 0.2
	// Share of a call's time limit after which an answer is late, the sign of an overloaded counter.
	slowCounterThreshold = 0.25
	// Multiple of the baseline latency before which no answer is late.
	slowCounterFactor = 2.0
	// EWMA weight of an answer slower than the baseline latency, the latency of a counter that is not
	// overloaded. A faster answer replaces the baseline.
	counterBaselineWeight = 0.005
	// Shortest interval between the calls that test, while the breaker is open, whether the counter answers
	// again.
	counterProbeInterval = 250 * time.Millisecond
	// Shortest mean interval between such calls of all gateways together.
	fleetProbeInterval = 10 * time.Millisecond
)

// counterFailed handles a call that was refused or lost. Fewer requests query the counter; the units of the
// others are added with the next call. Calls lost in a row open the breaker.
func (g *Gateway) counterFailed(outcome Outcome) {
	g.queryShare = math.Max(minQueryShare, g.queryShare*queryShareCut)
	if outcome != Full {
		g.counterFailures++
	}
	if g.counterFailures >= breakerThreshold && !g.isBreakerOpen {
		g.isBreakerOpen, g.nextCounterProbe = true, g.nextProbeTime()
		g.log(maxLogLines, "counter lost: deciding by own share")
	}
}

// nextProbeTime returns when the counter may be tried again while the breaker is open.
func (g *Gateway) nextProbeTime() time.Duration {
	return g.now + max(counterProbeInterval, time.Duration(g.settings.Gateways)*fleetProbeInterval)
}

// counterSucceeded handles an answered call. An answer in time raises the query share and closes the breaker;
// a late one lowers the share. A counter that is far away but steady is not taken for overloaded.
func (g *Gateway) counterSucceeded(took time.Duration) {
	g.counterFailures = 0
	if g.counterBaseline == 0 || took < g.counterBaseline {
		g.counterBaseline = took
	}
	g.counterBaseline += time.Duration(counterBaselineWeight * float64(took-g.counterBaseline))
	if took > seconds(max(slowCounterThreshold*g.settings.CounterTimeout.Seconds(),
		slowCounterFactor*g.counterBaseline.Seconds())) {
		g.queryShare = math.Max(minQueryShare, g.queryShare*queryShareCut)
	} else {
		gain := queryShareGain + queryShareRecovery*(g.now-g.counterAnsweredAt).Seconds()
		if g.queryShare = math.Min(1, g.queryShare+gain); g.isBreakerOpen {
			g.isBreakerOpen = false
			g.log(maxLogLines, "counter back")
		}
	}
	g.counterAnsweredAt = g.now
}

// decideLocally decides a request without waiting for the counter, by the local tokens. While the breaker is
// open, or without a counter, each unit sent from here is charged once for every gateway of the customer,
// unless their use is predicted. At a sparse gateway the tokens would refuse nearly all, so if the settings
// have a counter, a random sample is admitted there. This covers a counter that is slow, silent, overloaded
// or refusing; it is wrong when demand changes in the meantime.
func (g *Gateway) decideLocally(r *request) {
	c := r.customer
	p := c.plan
	isOver := r.isOverQuota
	g.refillQuota(c)
	weight := 1.0
	if (g.isBreakerOpen || !g.settings.HasCounter) && !g.predictsOthers(c) {
		weight = c.gateways
	}
	if p.Rate > 0 && !(c.isSparse(r.units) && g.settings.HasCounter) {
		isOver = isOver || c.quotaTokens < r.units
	} else if p.Rate > 0 || p.MaxInFlight > 0 {
		isOver = isOver || !g.sampleAdmits(c)
	}
	isOver = isOver || p.CeilingRate > 0 && !r.isShownUnderCeiling && !c.hasCeilingTokens(g.now, r.units)
	g.decide(r, isOver, weight)
}

// fitShare estimates the share of a customer's demand, over all gateways, that fits its quota.
func (g *Gateway) fitShare(c *customer) float64 {
	if c.plan.MaxInFlight > 0 && g.capCounter(c) == &c.inFlightCounter {
		return c.underCapShare
	}
	return 1 / g.demandRatio(c)
}

// sampleAdmits draws whether a request is admitted unchecked, so that the share of the demand that fits is
// admitted. Under the in-flight counter that share is the chance of finding a free slot, and a send without
// one costs: nothing is admitted below the chance at which a send breaks even.
func (g *Gateway) sampleAdmits(c *customer) bool {
	breakEven := c.plan.OverQuotaCost / (1 + c.plan.OverQuotaCost)
	switch {
	case c.plan.MaxInFlight > 0 && c.inFlight >= c.plan.MaxInFlight:
		return false
	case c.plan.MaxInFlight > 0 && g.capCounter(c) == &c.inFlightCounter:
		return g.rng.Float64() < (g.fitShare(c)-breakEven)/(1-breakEven)
	}
	return g.rng.Float64() < g.fitShare(c)
}

// capCounter returns the counter that enforces an in-flight cap: the in-flight counter or, with many
// gateways at an overloaded counter, the demand counter.
func (g *Gateway) capCounter(c *customer) *windowCounter {
	if g.planQueryShare(c.planIndex) < inFlightCounterThreshold &&
		c.gateways > 2*float64(c.plan.MaxInFlight) {
		return &c.demandCounter
	}
	return &c.inFlightCounter
}

// demandCapacity returns how much demand on a counter fits, in units a second: the quota's rate, or the share
// capDemandShare of the rate at which a full in-flight cap frees its slots.
func (g *Gateway) demandCapacity(c *customer, counter *windowCounter) float64 {
	if counter == &c.demandCounter {
		return capDemandShare * float64(c.plan.MaxInFlight) / g.meanTimeInFlight
	}
	return c.plan.Rate
}

// learnDemand learns from a total how much was asked through all gateways since the previous total, which
// was read when a request arrived here. The first total of a window covers the time since the window began
// instead. No request arrived here at that moment, so the call's own units are left out: with them the demand
// in that time would be overestimated.
func (g *Gateway) learnDemand(c *customer, counter *windowCounter, call *counterCall, total float64) {
	elapsed, demand := (g.now - counter.lastTotalAt).Seconds(), total-counter.lastTotal
	if counter.lastTotal == 0 {
		demand -= call.delta
	}
	counter.lastTotalAt = g.now
	if elapsed <= 0 || demand < 0 {
		return
	}
	demand /= g.demandCapacity(c, counter)
	for _, e := range []*demandEstimate{&c.observedDemand, &g.planDemand[c.planIndex]} {
		e.decay(g.now, demandMemory)
		e.demand, e.observed = e.demand+demand, e.observed+elapsed
	}
}

// demandRatio estimates a customer's demand over all gateways as a multiple of what fits its quota. The mean
// of its plan counts like some units of observed demand: a single total is not trusted. A customer without a
// total, as most are where there are many gateways, is taken to be like the others of its plan.
func (g *Gateway) demandRatio(c *customer) float64 {
	counter, initial := &c.quotaCounter, initialQuotaDemand
	if c.plan.MaxInFlight > 0 {
		counter, initial = &c.demandCounter, initialCapDemand
	}
	planMean := g.planDemand[c.planIndex].mean(initial, counter.length.Seconds())
	if c.plan.OverQuotaCost == 0 { // admitting a customer not known to be over its quota costs nothing
		planMean = math.Min(1, planMean)
	}
	if !g.isBreakerOpen { // during an outage the last observations are kept
		c.observedDemand.decay(g.now, demandMemory)
	}
	return c.observedDemand.mean(planMean, demandPriorUnits/g.demandCapacity(c, counter))
}
