package admission

// Quotas. Rule SQR-073 counts units in fixed windows on the shared counter. Each gateway keeps a local
// token bucket per customer (the local tokens) and corrects it by the totals that it reads from the counter.
// A request queries the counter when it waits for the total before it is decided.

import (
	"math"
	"slices"
	"time"
)

const (
	// A request is presumed to be over its quota when the local tokens are less than this share of its units.
	minTokensFactor = 0.7
	// The rule is one counter call per request. Requests presumed to be over are refused without a query only
	// while the calls per request stay above this many, times the query share.
	minCallsPerRequest = 0.75
	// Longest wait of a request for the counter, unless four ticks are longer: short against any latency
	// target, and many times what a call usually takes.
	counterWait = 25 * time.Millisecond
	// Sum of the query shares of all gateways at their start; each begins with an equal part.
	initialFleetQueryShare = 30.0
	// Smallest query share (requests that query the counter, over all) of a gateway, however overloaded the
	// counter is. The smallest share of one plan's requests is half of this, see planQueryShare.
	minQueryShare = 0.1
	// Share of the demand that fits the quota, below which a sparse gateway (see isSparse) lets only a sample
	// of the requests query the counter.
	sampledFitThreshold = 0.5
	// Query share below which the in-flight cap may be enforced by the demand counter alone.
	inFlightCounterThreshold = 0.5
	// Share of the in-flight cap that is admitted under the demand counter: random sampling does not see
	// what is in flight, and sends beyond the cap cost.
	capDemandShare = 0.25
	// Window length of the in-flight and demand counters. In-flight counts that are never subtracted expire
	// with their window.
	inFlightWindow = 4 * time.Second
	// Time constant in seconds with which observed demand is forgotten.
	demandMemory = 10.0
	// Weight of the plan's mean demand in a customer's estimate, as units of observed demand.
	demandPriorUnits = 4.0
	// Demand assumed of a plan with a rate before any total is read, as a multiple of what fits the quota.
	initialQuotaDemand = 1.5
	// Demand assumed of a plan with an in-flight cap before any total is read, as a multiple of what fits.
	// It is higher, as the number in flight is unknown as well.
	initialCapDemand = 2.5
	// Time constant in seconds of the average rate that a customer uses through other gateways.
	othersRateMemory = 2.0
	// Average query share below which the use through other gateways is predicted between totals.
	predictionThreshold = 0.5
	// Least urgency of a customer (see customer.urgency): it has used nothing since the last total.
	minUrgency = 0.5
	// Urgency added for use since the last total: this, times the share of the local tokens that was used. A
	// share above 0.5 counts as 0.5.
	urgencyFactor = 8.0
	// EWMA weight of a request in the average query share.
	queryShareWeight = 0.001
	// Windows for which the shared counter keeps the name of a window: the next window still reads it.
	counterTTLWindows = 2.5
	// A customer that sends nothing for this time is dropped. It starts anew with full local tokens, and with
	// ceiling tokens for the time since the gateway's start: this time is taken to be enough to fill both.
	customerTTL = 90 * time.Second
	// Interval between searches for customers to drop.
	expiryInterval = 5 * time.Second
	// EWMA weight of a request in the mean time in flight.
	timeInFlightWeight = 0.05
	// EWMA weight of a request in the counter calls per request.
	callsPerRequestWeight = 0.02
)

// ensureCustomer returns the customer with this id on the plan with this index, and creates it with full
// local tokens if it is unknown or was on another plan. Its requests come through the given number of
// gateways, from the index firstGateway on.
func (g *Gateway) ensureCustomer(id uint64, planIndex, gateways, firstGateway int) *customer {
	c, plan := g.customers[id], &g.settings.Plans[planIndex]
	if c == nil || c.plan != plan {
		c = &customer{id: id, plan: plan, planIndex: planIndex, underCapShare: 1, quotaTokens: plan.Burst,
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
		c.gateways = g.membership.countFrom(gateways, firstGateway, g.settings.Gateways)
		g.splitCeiling(c, firstGateway)
	}
	c.lastSeen = g.now
	return c
}

// predictsOthers reports whether a customer's local tokens are reduced by the use that is predicted for
// other gateways from the recent totals.
func (g *Gateway) predictsOthers(c *customer) bool {
	return g.settings.HasCounter && g.queryShareAverage < predictionThreshold &&
		(!g.isBreakerOpen || c.othersRate > 0)
}

// refillQuota brings the local tokens up to the present and deducts the use predicted for other gateways:
// a gateway that seldom queries the counter would not see it otherwise. The gateway keeps at least its
// equal share of the rate, or it might never query again. Too much is deducted when the others stop.
func (g *Gateway) refillQuota(c *customer) {
	elapsed := (g.now - c.quotaTokensAt).Seconds()
	predicted := 0.0
	// While all requests query, totals are fresh. Without a counter the gateway's own requests are charged
	// for all gateways instead.
	if g.predictsOthers(c) {
		predicted = elapsed * math.Min(c.othersRate, c.plan.Rate*(1-1/c.gateways))
	}
	c.quotaTokens = math.Min(c.plan.Burst, c.quotaTokens+c.plan.Rate*elapsed-predicted)
	c.predictedUsage += predicted
	c.quotaTokensAt = g.now
}

// isSparse reports whether one gateway's equal share of the customer's quota is less than a request of these
// units. The local tokens of such a sparse gateway are stale, and its pending units would not be added in
// time, as it calls the counter too seldom.
func (c *customer) isSparse(units float64) bool { return c.plan.Burst < c.gateways*units }

// canDefer reports whether units that are not counted yet may be added with the next counter call. A sparse
// gateway defers none, unless there is a ceiling: a request that queries there adds an estimate for those
// that do not, too.
func (c *customer) canDefer(units float64) bool { return c.plan.CeilingRate > 0 || !c.isSparse(units) }

// rollWindow moves a counter to the present window. An in-flight counter carries over what this gateway has
// in flight; counts that other gateways never subtracted stay in the old window.
func (g *Gateway) rollWindow(c *customer, counter *windowCounter) {
	if window := counter.windowAt(g.now); window != counter.window {
		if counter == &c.quotaCounter { // predictions for the previous window can't be corrected any more
			c.predictedUsage = math.Min(c.predictedUsage, c.othersRate*counter.elapsed(g.now).Seconds())
		}
		counter.window, counter.lastTotal, counter.pending, counter.lastTotalAt =
			window, 0, 0, g.now-counter.elapsed(g.now)
		if counter == &c.inFlightCounter {
			counter.pending = c.inFlightCounted
		}
	}
}

// callCounter emits a call to the shared counter and records it until its answer arrives.
func (g *Gateway) callCounter(call *counterCall, name string) {
	g.counterCalls[name] = append(g.counterCalls[name], call)
	g.callsPerRequest += callsPerRequestWeight
	ttl := time.Duration(counterTTLWindows * float64(call.counter.length))
	g.emit(CounterAdd{Name: name, Delta: call.delta, TTL: min(ttl, time.Minute)})
}

// queryCounter adds the units of a request, and all that is pending, to one of the customer's counters. The
// request waits for the total.
func (g *Gateway) queryCounter(r *request, counter *windowCounter, units float64) {
	g.rollWindow(r.customer, counter)
	call := &counterCall{request: r, customer: r.customer, counter: counter, window: counter.window,
		delta: units + counter.pending, requestDelta: units}
	counter.pending = 0
	r.pendingCalls = append(r.pendingCalls, call)
	r.addCounted(counter, units)
	g.callCounter(call, counter.name(counter.window))
}

// returnUnits takes back what a finished request had added to the counters. Quota units of a request that was
// not sent are subtracted with the next call, the in-flight count at once, as other gateways decide by it.
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

// onArrival decides on a new request: load shedding first, then the ceiling, then the quota and the
// in-flight cap. It decides locally, or lets the request query the counter and wait for the total. A request
// that is presumed to be over is refused without a query: too few local tokens or too many requests in flight
// show it, or, at a sparse gateway, a random draw selects it by the share of the demand that fits. A request
// without a plan is only routed; one of an unknown class or a known id is ignored.
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
	if !g.hasCustomerRoom(ev.Customer) {
		g.refuse(r, customerRoomInterval, ReasonTooManyCustomers)
		return
	}
	c := g.ensureCustomer(ev.Customer, ev.Plan, ev.Gateways, ev.FirstGateway)
	r.customer = c
	if g.rng.Float64() >=
		math.Pow(g.classMix.Level(g.admitExponents, g.admitShare), g.admitExponents[r.classIndex]) {
		g.giveUp(r, ReasonLoadShed)
		return
	}
	p := c.plan
	needsTotal := p.CeilingRate > 0 && !c.hasCeilingTokens(g.now, r.units)
	if needsTotal && c.ceilingTotalLimit == 0 {
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
	isPresumedOver := p.Rate > 0 && c.quotaTokens < minTokensFactor*r.units ||
		p.MaxInFlight > 0 && c.inFlight >= p.MaxInFlight ||
		c.isSparse(r.units) && g.rng.Float64() >= g.fitShare(c)/sampledFitThreshold
	if isPresumedOver && g.callsPerRequest > minCallsPerRequest*g.queryShare && !g.isBreakerOpen {
		g.decide(r, true, 1)
		return
	}
	isProbe := g.isBreakerOpen && g.now >= g.nextCounterProbe
	share := g.planQueryShare(c.planIndex)
	if g.queryShareAverage < predictionThreshold && c.canDefer(r.units) {
		share = math.Pow(share, 1/c.urgency())
	}
	if needsTotal { // refused unless a total shows that it fits
		share = math.Pow(share, totalsQueryExponent)
	}
	if g.isBreakerOpen && !isProbe || !isProbe && g.rng.Float64() >= share {
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
	if isProbe {
		g.nextCounterProbe = g.nextProbeTime()
		g.decideLocally(r)
		return
	}
	g.setTimer(timerCounterWait, r.id,
		min(g.now+max(counterWait, 4*g.settings.Tick), max(g.now, r.deadline-2*g.settings.Tick)))
}

// planQueryShare returns the share of a plan's requests that query the counter.
func (g *Gateway) planQueryShare(plan int) float64 {
	return math.Max(minQueryShare/2, math.Pow(g.queryShare, g.queryExponents[plan]))
}

// urgency returns the weight of a customer's queries while few requests may query. It grows with the share
// of the local tokens that was spent here, or predicted, since the last total. A customer far from its
// quota can wait: its units are added later.
func (c *customer) urgency() float64 {
	return minUrgency +
		urgencyFactor*math.Min(0.5, (c.quotaCounter.pending+c.predictedUsage)/math.Max(1, c.quotaTokens))
}

// windowLength returns the length of the plan's counter windows: in it the rate fills the token bucket once.
func (p Plan) windowLength() time.Duration { return seconds(p.Burst / p.Rate) }

// wrongDecisionCost returns the cost of a wrong quota decision on this plan, relative to the worth of a
// request.
func (p Plan) wrongDecisionCost() float64 {
	return p.WorthFactor * (1 + p.OverQuotaCost - p.OverQuotaWorth)
}

// onCounterAnswer handles the answer to the oldest open call of its counter name: answers of one name
// arrive in the order of the calls. Answers to unknown names are ignored.
func (g *Gateway) onCounterAnswer(ev CounterAnswered) {
	queue := g.counterCalls[ev.Name]
	if len(queue) == 0 {
		return
	}
	call := queue[0]
	if g.counterCalls[ev.Name] = queue[1:]; len(queue) == 1 {
		delete(g.counterCalls, ev.Name)
	}
	if ev.Outcome == OK {
		g.counterSucceeded(ev.Took)
		g.applyTotal(call, ev.Total)
		return
	}
	g.counterFailed(ev.Outcome)
	// A call that timed out may have been added. Any other failed call is still to be added, except for the
	// part of a request that is decided now.
	if call.window == call.counter.window && ev.Outcome != TimedOut {
		call.counter.pending += call.delta
		if call.request != nil {
			call.counter.pending -= call.requestDelta
			call.request.addCounted(call.counter, -call.requestDelta)
		}
	}
	if call.request != nil {
		g.decideLocally(call.request)
	}
}

// applyTotal corrects the customer's local tokens by a total read from the counter, and decides the request
// that waits for it once all its calls are answered.
func (g *Gateway) applyTotal(call *counterCall, total float64) {
	c, counter := call.customer, call.counter
	if call.window == counter.window {
		elapsed := (g.now - counter.lastTotalAt).Seconds()
		if counter != &c.inFlightCounter {
			g.learnDemand(c, counter, call, total)
		}
		others := total - counter.lastTotal - call.delta
		if counter.lastTotal >= 1 && total-call.delta < 1 { // the counter lost its data: keep the tokens
			others = 0
		}
		counter.lastTotal = total
		if counter == &c.quotaCounter {
			g.refillQuota(c)
			c.quotaTokens = math.Max(c.quotaTokens+c.predictedUsage-others-call.requestDelta, -c.plan.Burst)
			c.predictedUsage = 0
			if elapsed > 0 {
				c.othersRate += (1 - math.Exp(-elapsed/othersRateMemory)) *
					(math.Max(0, others/elapsed) - c.othersRate)
			}
		}
	}
	r := call.request
	if r == nil {
		return
	}
	r.pendingCalls = slices.DeleteFunc(r.pendingCalls, func(o *counterCall) bool { return o == call })
	if counter == &c.quotaCounter && call.window == counter.window {
		r.tokensTaken = call.requestDelta
		// At a sparse gateway the call's own units include an estimate for other requests: only the units of
		// this one must fit. Where totals admit under the ceiling, they include refused requests, too: then
		// only a total above the burst refuses.
		r.isOverQuota = r.isOverQuota ||
			c.quotaTokens+call.requestDelta < r.units && (c.ceilingTotalLimit == 0 || total > c.plan.Burst)
		// A total below the call's own units means that the counter lost its data.
		r.isShownUnderCeiling = total <= c.ceilingTotalLimit && total >= call.requestDelta &&
			g.now >= g.totalsValidFrom[c.planIndex]
	} else if counter == &c.inFlightCounter {
		isOver := total-call.requestDelta+1 > float64(c.plan.MaxInFlight)
		r.isOverQuota = r.isOverQuota || isOver
		if c.underCapShare -= underCapWeight * c.underCapShare; !isOver {
			c.underCapShare += underCapWeight
		}
	} else if counter == &c.demandCounter {
		r.isOverQuota = r.isOverQuota || !g.sampleAdmits(c)
	}
	if call.request, call.requestDelta = nil, 0; len(r.pendingCalls) == 0 {
		g.decide(r, r.isOverQuota, 1)
	}
}

// decide admits a request, charged with its units times the weight, or refuses it. The rule for a refusal is
// to advise a retry when the quota window has ended.
func (g *Gateway) decide(r *request, isOver bool, weight float64) {
	c := r.customer
	if r.detachCalls(); isOver {
		g.refuse(r, g.quotaRetryAfter(c), ReasonOverQuota)
		return
	}
	g.chargeQuota(r, weight)
	g.route(r)
}

// chargeQuota takes the units of an admitted request, times the weight, off the local tokens. Units that are
// not counted yet are added with the next counter call.
func (g *Gateway) chargeQuota(r *request, weight float64) {
	if c := r.customer; c.plan.Rate > 0 && c.canDefer(r.units) {
		g.rollWindow(c, &c.quotaCounter)
		c.quotaTokens -= r.units*weight - r.tokensTaken
		c.quotaCounter.pending += r.units - r.quotaCounted
		r.tokensTaken, r.quotaCounted, r.quotaWindow = r.units*weight, r.units, c.quotaCounter.window
	}
}

// flushInFlight sends the pending change of the in-flight count at once.
func (g *Gateway) flushInFlight(c *customer) {
	if counter := &c.inFlightCounter; counter.pending != 0 && g.settings.HasCounter && !g.isBreakerOpen {
		call := &counterCall{customer: c, counter: counter, window: counter.window, delta: counter.pending}
		counter.pending = 0
		g.callCounter(call, counter.name(counter.window))
	}
}

// quotaRetryAfter returns the time until the customer's quota window ends. Without a quota there is no such
// window: for an in-flight cap it is the mean time in flight, after which a slot is free.
func (g *Gateway) quotaRetryAfter(c *customer) time.Duration {
	if c.quotaCounter.length == 0 {
		return seconds(g.meanTimeInFlight)
	}
	return c.quotaCounter.length - c.quotaCounter.elapsed(g.now)
}
