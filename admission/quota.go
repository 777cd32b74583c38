package admission

// Quota: SQR-073's fixed windows on the shared counter.

import (
	"math"
	"slices"
	"time"
)

const (
	minTokensFactor          = 0.7                   // of a request's units: with less than this in store, don't ask
	minCallsPerRequest       = 0.75                  // calls per request kept up whatever is known (design: a call each)
	counterWait              = 25 * time.Millisecond // for a call: small beside any aim, many times a call's usual time
	initialFleetQueryShare   = 30.0                  // over the number of gateways: the part that asks at a start
	minQueryShare            = 0.1                   // of requests ask, however crowded the counter is
	sampledFitThreshold      = 0.5                   // of what is asked fits: of more demand than that, a part asks
	inFlightCounterThreshold = 0.5                   // of the asking left: below it a cap is held by demand alone
	capDemandShare           = 0.25                  // of a cap: what demand is cut to; a lot is blind, sends beyond cost
	inFlightWindow           = 4 * time.Second       // window of counts for a cap on attempts out: leaks end with it
	demandMemory             = 10.0                  // seconds for which what all doors asked of a customer is remembered
	demandPriorUnits         = 4.0                   // for which its plan's mean counts beside it
	initialQuotaDemand       = 1.5                   // taken for granted of a plan before any total is read
	initialCapDemand         = 2.5                   // the same of a cap, where what is out is not known either
	othersRateMemory         = 2.0                   // seconds over which what other doors take is averaged,
	predictionThreshold      = 0.5                   // and where less than this of the requests could ask for long,
	minUrgency               = 0.5                   // weight in asking of who has spent nothing since the last total,
	urgencyFactor            = 8.0                   // and what the part spent of the mirror adds
	queryShareWeight         = 0.001                 // EWMA weight of a request in that, it is foretold
	counterTTLWindows        = 2.5                   // windows for which a name is kept: the next one still reads it
	customerTTL              = 90 * time.Second      // a customer unseen this long is forgotten: its store is full again
	expiryInterval           = 5 * time.Second       // how often the forgetting is done
	timeInFlightWeight       = 0.05                  // EWMA weight of a request in how long one is out
	callsPerRequestWeight    = 0.02                  // EWMA weight of a request in the calls per request
)

func (g *Gateway) ensureCustomer(id uint64, index, doors, first int) *customer {
	c, plan := g.customers[id], &g.settings.Plans[index]
	if c == nil || c.plan != plan {
		c = &customer{id: id, plan: plan, planIndex: index, underCapShare: 1, quotaTokens: plan.Burst,
			quotaTokensAt: g.now, ceilingTokensAt: g.ceilingStart}
		key, phase := c.counterKey(), hashFraction(id)
		if plan.Rate > 0 {
			c.quotaCounter = newWindowCounter("q"+key+".", plan.windowLength(), phase)
		}
		c.inFlightCounter = newWindowCounter("o"+key+".", inFlightWindow, phase)
		c.demandCounter = newWindowCounter("d"+key+".", inFlightWindow, phase)
		g.customers[id] = c
	}
	if !c.isCeilingSplit {
		c.gateways = g.membership.countFrom(doors, first, g.settings.Gateways)
		g.splitCeiling(c, first)
	}
	c.lastSeen = g.now
	return c
}

// predictsOthers tells whether a customer's mirror takes off what other doors take, by what they took of late.
func (g *Gateway) predictsOthers(c *customer) bool {
	return g.settings.HasCounter && g.queryShareAverage < predictionThreshold && (!g.isBreakerOpen || c.othersRate > 0)
}

// refillQuota brings the mirror of the store up to now. What the other doors take is taken off as totals last
// showed: a door that seldom asks would see none of it. It keeps its even part of the rate, else it might
// never ask again. Harms when others stop.
func (g *Gateway) refillQuota(c *customer) {
	span := (g.now - c.quotaTokensAt).Seconds()
	taken := 0.0
	// While all ask, totals are fresh; without a counter what is sent from here stands for all doors.
	if g.predictsOthers(c) {
		taken = span * math.Min(c.othersRate, c.plan.Rate*(1-1/c.gateways))
	}
	c.quotaTokens = math.Min(c.plan.Burst, c.quotaTokens+c.plan.Rate*span-taken)
	c.predictedUsage += taken
	c.quotaTokensAt = g.now
}

// isSparse tells whether a door's own share of the quota is less than a request of so many units. Such a
// door's mirror is stale, and what it owes the counter finds no call to ride on in time.
func (c *customer) isSparse(units float64) bool { return c.plan.Burst < c.gateways*units }

// canDefer tells whether what is not on the counter yet canDefer on the next call. At a sparse door an asked
// request counts for those that did not ask, too.
func (c *customer) canDefer(units float64) bool { return c.plan.CeilingRate > 0 || !c.isSparse(units) }

// rollWindow moves a ledger to the window of now. A gauge takes along what is out of ours; leaks stay behind.
func (g *Gateway) rollWindow(c *customer, l *windowCounter) {
	if w := l.windowAt(g.now); w != l.window {
		if l == &c.quotaCounter { // what was foretold for the last window can't be put right any more
			c.predictedUsage = math.Min(c.predictedUsage, c.othersRate*l.elapsed(g.now).Seconds())
		}
		l.window, l.lastTotal, l.pending, l.lastTotalAt = w, 0, 0, g.now-l.elapsed(g.now)
		if l == &c.inFlightCounter {
			l.pending = c.inFlightCounted
		}
	}
}

func (g *Gateway) callCounter(k *counterCall, name string) {
	g.counterCalls[name] = append(g.counterCalls[name], k)
	g.callsPerRequest += callsPerRequestWeight
	keep := time.Duration(counterTTLWindows * float64(k.counter.length))
	g.emit(CounterAdd{Name: name, Delta: k.delta, TTL: min(keep, time.Minute)})
}

// queryCounter makes the ordinary path's call for a request on one ledger.
func (g *Gateway) queryCounter(r *request, l *windowCounter, units float64) {
	g.rollWindow(r.customer, l)
	k := &counterCall{request: r, customer: r.customer, counter: l, window: l.window, delta: units + l.pending, requestDelta: units}
	l.pending = 0
	r.pendingCalls = append(r.pendingCalls, k)
	r.addCounted(l, units)
	g.callCounter(k, l.name(l.window))
}

// returnUnits takes off the counter what a request that was not sent had added to its window, with the next
// call, and what it had on the gauge, at once: others decide by it.
func (g *Gateway) returnUnits(r *request) {
	c := r.customer
	if c == nil {
		return
	}
	if !r.wasSent && c.plan.Rate > 0 {
		c.quotaTokens += r.tokensTaken
		if g.rollWindow(c, &c.quotaCounter); c.quotaCounter.window == r.quotaWindow {
			c.quotaCounter.pending -= r.quotaCounted
		}
	}
	if r.inFlightCounted > 0 {
		g.rollWindow(c, &c.inFlightCounter)
		c.inFlightCounter.pending -= r.inFlightCounted
		c.inFlightCounted -= r.inFlightCounted
		r.inFlightCounted = 0
		g.flushInFlight(c)
	}
}

func (g *Gateway) onArrival(ev RequestArrived) {
	if ev.Class < 0 || ev.Class >= len(g.settings.Classes) || g.requests[ev.ID] != nil {
		return
	}
	r := g.addRequest(ev)
	g.retryBudget = math.Min(maxRetryBudget, g.retryBudget+retryBudgetGain)
	if ev.Plan < 0 || ev.Plan >= len(g.settings.Plans) {
		g.route(r)
		return
	}
	c := g.ensureCustomer(ev.Customer, ev.Plan, ev.Gateways, ev.FirstGateway)
	r.customer = c
	if g.rng.Float64() >= math.Pow(g.classMix.Level(g.admitExponents, g.admitShare), g.admitExponents[r.classIndex]) {
		g.giveUp(r, ReasonLoadShed)
		return
	}
	p := c.plan
	needy := p.CeilingRate > 0 && !c.hasCeilingTokens(g.now, r.units)
	if needy && c.ceilingTotalLimit == 0 {
		g.decide(r, true, 1)
		return
	}
	if p.Rate <= 0 && p.MaxInFlight <= 0 || !g.settings.HasCounter {
		g.decideLocally(r)
		return
	}
	g.refillQuota(c)
	g.callsPerRequest *= 1 - callsPerRequestWeight
	if !g.isBreakerOpen {
		g.queryShareAverage += queryShareWeight * (g.queryShare - g.queryShareAverage)
	}
	known := p.Rate > 0 && c.quotaTokens < minTokensFactor*r.units || p.MaxInFlight > 0 && c.inFlight >= p.MaxInFlight ||
		c.isSparse(r.units) && g.rng.Float64() >= g.fitShare(c)/sampledFitThreshold
	if known && g.callsPerRequest > minCallsPerRequest*g.queryShare && !g.isBreakerOpen {
		g.decide(r, true, 1)
		return
	}
	probing := g.isBreakerOpen && g.now >= g.nextCounterProbe
	share := g.planQueryShare(c.planIndex)
	if g.queryShareAverage < predictionThreshold && c.canDefer(r.units) {
		share = math.Pow(share, 1/c.urgency())
	}
	if needy { // it is turned away unless a total shows that it fits
		share = math.Pow(share, totalsQueryExponent)
	}
	if g.isBreakerOpen && !probing || !probing && g.rng.Float64() >= share {
		g.decideLocally(r)
		return
	}
	if p.Rate > 0 && c.canDefer(r.units) {
		g.queryCounter(r, &c.quotaCounter, r.units)
	} else if p.Rate > 0 {
		g.queryCounter(r, &c.quotaCounter, r.units/share)
	}
	if p.MaxInFlight > 0 {
		g.queryCounter(r, g.capCounter(c), 1/share)
	}
	if probing {
		g.nextCounterProbe = g.nextProbeTime()
		g.decideLocally(r)
		return
	}
	g.setTimer(timerCounterWait, r.id, min(g.now+max(counterWait, 4*g.settings.Tick), max(g.now, r.deadline-2*g.settings.Tick)))
}

// planQueryShare is the part of a plan's requests that ask.
func (g *Gateway) planQueryShare(plan int) float64 {
	return math.Max(minQueryShare/2, math.Pow(g.queryShare, g.queryExponents[plan]))
}

// urgency weighs a customer's asking where few can ask, by how much of its mirror was spent here, or
// foretold, since that was last put right. One far from its quota can wait; what it spends is added later.
func (c *customer) urgency() float64 {
	return minUrgency + urgencyFactor*math.Min(0.5, (c.quotaCounter.pending+c.predictedUsage)/math.Max(1, c.quotaTokens))
}

// windowLength is how long one of the counter's windows lasts: in it the rate fills the store once.
func (p Plan) windowLength() time.Duration { return seconds(p.Burst / p.Rate) }

// wrongDecisionCost is what a wrong answer costs on a plan, over the worth of a request.
func (p Plan) wrongDecisionCost() float64 {
	return p.WorthFactor * (1 + p.OverQuotaCost - p.OverQuotaWorth)
}

// onCounterAnswer takes the answer of a counter call; for one name they come in the order of calls.
func (g *Gateway) onCounterAnswer(ev CounterAnswered) {
	q := g.counterCalls[ev.Name]
	if len(q) == 0 {
		return
	}
	k := q[0]
	if g.counterCalls[ev.Name] = q[1:]; len(q) == 1 {
		delete(g.counterCalls, ev.Name)
	}
	if ev.Outcome == OK {
		g.counterSucceeded(ev.Took)
		g.applyTotal(k, ev.Total)
		return
	}
	g.counterFailed(ev.Outcome)
	if k.window == k.counter.window && ev.Outcome != TimedOut { // a call out of time may have been added
		k.counter.pending += k.delta // else it is still due, but for the part of a request that still asks
		if k.request != nil {
			k.counter.pending -= k.requestDelta
			k.request.addCounted(k.counter, -k.requestDelta)
		}
	}
	if k.request != nil {
		g.decideLocally(k.request)
	}
}

// applyTotal applies a applyTotal read to the mirror and lets the ordinary path decide.
func (g *Gateway) applyTotal(k *counterCall, total float64) {
	c, l := k.customer, k.counter
	if k.window == l.window {
		span := (g.now - l.lastTotalAt).Seconds()
		if l != &c.inFlightCounter {
			g.learnDemand(c, l, k, total)
		}
		others := total - l.lastTotal - k.delta
		if l.lastTotal >= 1 && total-k.delta < 1 { // the counter has lost its memory: our mirror stands
			others = 0
		}
		l.lastTotal = total
		if l == &c.quotaCounter {
			g.refillQuota(c)
			c.quotaTokens = math.Max(c.quotaTokens+c.predictedUsage-others-k.requestDelta, -c.plan.Burst)
			c.predictedUsage = 0
			if span > 0 {
				c.othersRate += (1 - math.Exp(-span/othersRateMemory)) * (math.Max(0, others/span) - c.othersRate)
			}
		}
	}
	r := k.request
	if r == nil {
		return
	}
	r.pendingCalls = slices.DeleteFunc(r.pendingCalls, func(o *counterCall) bool { return o == k })
	if l == &c.quotaCounter && k.window == l.window {
		r.tokensTaken = k.requestDelta
		// Own stands for others at a sparse door. At a joint ceiling totals hold what was refused, too.
		r.isOverQuota = r.isOverQuota || c.quotaTokens+k.requestDelta < r.units && (c.ceilingTotalLimit == 0 || total > c.plan.Burst)
		r.isShownUnderCeiling = total <= c.ceilingTotalLimit && total >= k.requestDelta && // less, and the counter has lost its memory
			g.now >= g.totalsValidFrom[c.planIndex]
	} else if l == &c.inFlightCounter {
		over := total-k.requestDelta+1 > float64(c.plan.MaxInFlight)
		r.isOverQuota = r.isOverQuota || over
		if c.underCapShare -= underCapWeight * c.underCapShare; !over {
			c.underCapShare += underCapWeight
		}
	} else if l == &c.demandCounter {
		r.isOverQuota = r.isOverQuota || !g.sampleAdmits(c)
	}
	if k.request, k.requestDelta = nil, 0; len(r.pendingCalls) == 0 {
		g.decide(r, r.isOverQuota, 1)
	}
}

// decide lets a request in or refuses it, with the design's advice: until the window's end.
func (g *Gateway) decide(r *request, over bool, heft float64) {
	c := r.customer
	if r.detachCalls(); over {
		g.refuse(r, g.quotaRetryAfter(c), ReasonOverQuota)
		return
	}
	g.chargeQuota(r, heft)
	g.route(r)
}

// chargeQuota takes a request that is let in off the mirror; what is not on the counter rides on the next call.
func (g *Gateway) chargeQuota(r *request, heft float64) {
	if c := r.customer; c.plan.Rate > 0 && c.canDefer(r.units) {
		g.rollWindow(c, &c.quotaCounter)
		c.quotaTokens -= r.units*heft - r.tokensTaken
		c.quotaCounter.pending += r.units - r.quotaCounted
		r.tokensTaken, r.quotaCounted, r.quotaWindow = r.units*heft, r.units, c.quotaCounter.window
	}
}

// flushInFlight sends a gauge's pending changes at once.
func (g *Gateway) flushInFlight(c *customer) {
	if l := &c.inFlightCounter; l.pending != 0 && g.settings.HasCounter && !g.isBreakerOpen {
		k := &counterCall{customer: c, counter: l, window: l.window, delta: l.pending}
		l.pending = 0
		g.callCounter(k, l.name(l.window))
	}
}

func (g *Gateway) quotaRetryAfter(c *customer) time.Duration {
	if c.quotaCounter.length == 0 { // a cap on attempts out has no window: room comes with the next answer
		return seconds(g.meanTimeInFlight)
	}
	return c.quotaCounter.length - c.quotaCounter.elapsed(g.now)
}
