package admission

// Quota: SQR-073's fixed windows on the shared counter.

import (
	"math"
	"slices"
	"time"
)

const (
	surelyOver  = 0.7                   // of a request's units: with less than this in store, don't ask
	askFloor    = 0.75                  // calls per request kept up whatever is known (design: a call each)
	patience    = 25 * time.Millisecond // for a call: small beside any aim, many times a call's usual time
	askAtFirst  = 30.0                  // over the number of gateways: the part that asks at a start
	askLeast    = 0.1                   // of requests ask, however crowded the counter is
	thinBelow   = 0.5                   // of what is asked fits: of more demand than that, a part asks
	gaugeAbove  = 0.5                   // of the asking left: below it a cap is held by demand alone
	capLoad     = 0.25                  // of a cap: what demand is cut to; a lot is blind, sends beyond cost
	gaugeSpan   = 4 * time.Second       // window of counts for a cap on attempts out: leaks end with it
	pressMemory = 10.0                  // seconds for which what all doors asked of a customer is remembered
	priorUnits  = 4.0                   // for which its plan's mean counts beside it
	pressFirst  = 1.5                   // taken for granted of a plan before any total is read
	capFirst    = 2.5                   // the same of a cap, where what is out is not known either
	takeMemory  = 2.0                   // seconds over which what other doors take is averaged,
	foretellAt  = 0.5                   // and where less than this of the requests could ask for long,
	urgentLeast = 0.5                   // weight in asking of who has spent nothing since the last total,
	urgentX     = 8.0                   // and what the part spent of the mirror adds
	askedGain   = 0.001                 // EWMA weight of a request in that, it is foretold
	keepWindows = 2.5                   // windows for which a name is kept: the next one still reads it
	forgetAfter = 90 * time.Second      // a customer unseen this long is forgotten: its store is full again
	sweepEvery  = 5 * time.Second       // how often the forgetting is done
	outGain     = 0.05                  // EWMA weight of a request in how long one is out
	callGain    = 0.02                  // EWMA weight of a request in the calls per request
)

func (g *Gateway) customer(id uint64, index, doors, first int) *customer {
	c, plan := g.customers[id], &g.s.Plans[index]
	if c == nil || c.plan != plan {
		c = &customer{id: id, plan: plan, index: index, fit: 1, level: plan.Burst,
			levelAt: g.now, hardAt: g.began}
		key, phase := c.key(), spread(id)
		if plan.Rate > 0 {
			c.rate = newLedger("q"+key+".", plan.window(), phase)
		}
		c.gauge = newLedger("o"+key+".", gaugeSpan, phase)
		c.demand = newLedger("d"+key+".", gaugeSpan, phase)
		g.customers[id] = c
	}
	if !c.dealt {
		c.doors = g.fleet.doors(doors, first, g.s.Gateways)
		g.deal(c, first)
	}
	c.used = g.now
	return c
}

// foretells tells whether a customer's mirror takes off what other doors take, by what they took of late.
func (g *Gateway) foretells(c *customer) bool {
	return g.s.HasCounter && g.asked < foretellAt && (!g.open || c.take > 0)
}

// refill brings the mirror of the store up to now. What the other doors take is taken off as totals last
// showed: a door that seldom asks would see none of it. It keeps its even part of the rate, else it might
// never ask again. Harms when others stop.
func (g *Gateway) refill(c *customer) {
	span := (g.now - c.levelAt).Seconds()
	taken := 0.0
	// While all ask, totals are fresh; without a counter what is sent from here stands for all doors.
	if g.foretells(c) {
		taken = span * math.Min(c.take, c.plan.Rate*(1-1/c.doors))
	}
	c.level = math.Min(c.plan.Burst, c.level+c.plan.Rate*span-taken)
	c.taken += taken
	c.levelAt = g.now
}

// sparse tells whether a door's own share of the quota is less than a request of so many units. Such a
// door's mirror is stale, and what it owes the counter finds no call to ride on in time.
func (c *customer) sparse(units float64) bool { return c.plan.Burst < c.doors*units }

// rides tells whether what is not on the counter yet rides on the next call. At a sparse door an asked
// request counts for those that did not ask, too.
func (c *customer) rides(units float64) bool { return c.plan.CeilingRate > 0 || !c.sparse(units) }

// turn moves a ledger to the window of now. A gauge takes along what is out of ours; leaks stay behind.
func (g *Gateway) turn(c *customer, l *ledger) {
	if w := l.index(g.now); w != l.window {
		if l == &c.rate { // what was foretold for the last window can't be put right any more
			c.taken = math.Min(c.taken, c.take*l.into(g.now).Seconds())
		}
		l.window, l.seen, l.fold, l.seenAt = w, 0, 0, g.now-l.into(g.now)
		if l == &c.gauge {
			l.fold = c.reg
		}
	}
}

func (g *Gateway) count(k *call, name string) {
	g.calls[name] = append(g.calls[name], k)
	g.callRate += callGain
	keep := time.Duration(keepWindows * float64(k.l.span))
	g.do(CounterAdd{Name: name, Delta: k.by, TTL: min(keep, time.Minute)})
}

// ask makes the ordinary path's call for a request on one ledger.
func (g *Gateway) ask(r *request, l *ledger, units float64) {
	g.turn(r.cust, l)
	k := &call{r: r, c: r.cust, l: l, window: l.window, by: units + l.fold, own: units}
	l.fold = 0
	r.calls = append(r.calls, k)
	r.enter(l, units)
	g.count(k, l.name(l.window))
}

// leave takes off the counter what a request that was not sent had added to its window, with the next
// call, and what it had on the gauge, at once: others decide by it.
func (g *Gateway) leave(r *request) {
	c := r.cust
	if c == nil {
		return
	}
	if !r.sent && c.plan.Rate > 0 {
		c.level += r.drawn
		if g.turn(c, &c.rate); c.rate.window == r.rateWindow {
			c.rate.fold -= r.inRate
		}
	}
	if r.inGauge > 0 {
		g.turn(c, &c.gauge)
		c.gauge.fold -= r.inGauge
		c.reg -= r.inGauge
		r.inGauge = 0
		g.flush(c)
	}
}

func (g *Gateway) arrive(ev RequestArrived) {
	if ev.Class < 0 || ev.Class >= len(g.s.Classes) || g.requests[ev.ID] != nil {
		return
	}
	r := g.enroll(ev)
	g.budget = math.Min(budgetMost, g.budget+budgetGain)
	if ev.Plan < 0 || ev.Plan >= len(g.s.Plans) {
		g.route(r)
		return
	}
	c := g.customer(ev.Customer, ev.Plan, ev.Gateways, ev.FirstGateway)
	r.cust = c
	if g.rng.Float64() >= math.Pow(g.mix.Level(g.shed, g.admit), g.shed[r.ci]) {
		g.giveUp(r, ReasonLoadShed)
		return
	}
	p := c.plan
	needy := p.CeilingRate > 0 && !c.underCeiling(g.now, r.units)
	if needy && c.shows == 0 {
		g.decide(r, true, 1)
		return
	}
	if p.Rate <= 0 && p.MaxInFlight <= 0 || !g.s.HasCounter {
		g.decideAlone(r)
		return
	}
	g.refill(c)
	g.callRate *= 1 - callGain
	if !g.open {
		g.asked += askedGain * (g.askShare - g.asked)
	}
	known := p.Rate > 0 && c.level < surelyOver*r.units || p.MaxInFlight > 0 && c.out >= p.MaxInFlight ||
		c.sparse(r.units) && g.rng.Float64() >= g.fits(c)/thinBelow
	if known && g.callRate > askFloor*g.askShare && !g.open {
		g.decide(r, true, 1)
		return
	}
	probing := g.open && g.now >= g.nextProbe
	share := g.asking(c.index)
	if g.asked < foretellAt && c.rides(r.units) {
		share = math.Pow(share, 1/c.urgency())
	}
	if needy { // it is turned away unless a total shows that it fits
		share = math.Pow(share, needyAsks)
	}
	if g.open && !probing || !probing && g.rng.Float64() >= share {
		g.decideAlone(r)
		return
	}
	if p.Rate > 0 && c.rides(r.units) {
		g.ask(r, &c.rate, r.units)
	} else if p.Rate > 0 {
		g.ask(r, &c.rate, r.units/share)
	}
	if p.MaxInFlight > 0 {
		g.ask(r, g.capLedger(c), 1/share)
	}
	if probing {
		g.nextProbe = g.probeNext()
		g.decideAlone(r)
		return
	}
	g.timer(timerPatience, r.id, min(g.now+max(patience, 4*g.s.Tick), max(g.now, r.deadline-2*g.s.Tick)))
}

// asking is the part of a plan's requests that ask.
func (g *Gateway) asking(plan int) float64 {
	return math.Max(askLeast/2, math.Pow(g.askShare, g.thin[plan]))
}

// urgency weighs a customer's asking where few can ask, by how much of its mirror was spent here, or
// foretold, since that was last put right. One far from its quota can wait; what it spends is added later.
func (c *customer) urgency() float64 {
	return urgentLeast + urgentX*math.Min(0.5, (c.rate.fold+c.taken)/math.Max(1, c.level))
}

// window is how long one of the counter's windows lasts: in it the rate fills the store once.
func (p Plan) window() time.Duration { return seconds(p.Burst / p.Rate) }

// stake is what a wrong answer costs on a plan, over the worth of a request.
func (p Plan) stake() float64 { return p.WorthFactor * (1 + p.OverQuotaCost - p.OverQuotaWorth) }

// answered takes the answer of a counter call; for one name they come in the order of calls.
func (g *Gateway) answered(ev CounterAnswered) {
	q := g.calls[ev.Name]
	if len(q) == 0 {
		return
	}
	k := q[0]
	if g.calls[ev.Name] = q[1:]; len(q) == 1 {
		delete(g.calls, ev.Name)
	}
	if ev.Outcome == OK {
		g.counterWorks(ev.Took)
		g.total(k, ev.Total)
		return
	}
	g.counterFailed(ev.Outcome)
	if k.window == k.l.window && ev.Outcome != TimedOut { // a call out of time may have been added
		k.l.fold += k.by // else it is still due, but for the part of a request that still asks
		if k.r != nil {
			k.l.fold -= k.own
			k.r.enter(k.l, -k.own)
		}
	}
	if k.r != nil {
		g.decideAlone(k.r)
	}
}

// total applies a total read to the mirror and lets the ordinary path decide.
func (g *Gateway) total(k *call, total float64) {
	c, l := k.c, k.l
	if k.window == l.window {
		span := (g.now - l.seenAt).Seconds()
		if l != &c.gauge {
			g.weigh(c, l, k, total)
		}
		others := total - l.seen - k.by
		if l.seen >= 1 && total-k.by < 1 { // the counter has lost its memory: our mirror stands
			others = 0
		}
		l.seen = total
		if l == &c.rate {
			g.refill(c)
			c.level = math.Max(c.level+c.taken-others-k.own, -c.plan.Burst)
			c.taken = 0
			if span > 0 {
				c.take += (1 - math.Exp(-span/takeMemory)) * (math.Max(0, others/span) - c.take)
			}
		}
	}
	r := k.r
	if r == nil {
		return
	}
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool { return o == k })
	if l == &c.rate && k.window == l.window {
		r.drawn = k.own
		// Own stands for others at a sparse door. At a joint ceiling totals hold what was refused, too.
		r.over = r.over || c.level+k.own < r.units && (c.shows == 0 || total > c.plan.Burst)
		r.shown = total <= c.shows && total >= k.own && // less, and the counter has lost its memory
			g.now >= g.settled[c.index]
	} else if l == &c.gauge {
		over := total-k.own+1 > float64(c.plan.MaxInFlight)
		r.over = r.over || over
		if c.fit -= fitGain * c.fit; !over {
			c.fit += fitGain
		}
	} else if l == &c.demand {
		r.over = r.over || !g.lot(c)
	}
	if k.r, k.own = nil, 0; len(r.calls) == 0 {
		g.decide(r, r.over, 1)
	}
}

// decide lets a request in or refuses it, with the design's advice: until the window's end.
func (g *Gateway) decide(r *request, over bool, heft float64) {
	c := r.cust
	if r.detach(); over {
		g.refuse(r, g.untilWindow(c), ReasonOverQuota)
		return
	}
	g.charge(r, heft)
	g.route(r)
}

// charge takes a request that is let in off the mirror; what is not on the counter rides on the next call.
func (g *Gateway) charge(r *request, heft float64) {
	if c := r.cust; c.plan.Rate > 0 && c.rides(r.units) {
		g.turn(c, &c.rate)
		c.level -= r.units*heft - r.drawn
		c.rate.fold += r.units - r.inRate
		r.drawn, r.inRate, r.rateWindow = r.units*heft, r.units, c.rate.window
	}
}

// flush sends a gauge's pending changes at once.
func (g *Gateway) flush(c *customer) {
	if l := &c.gauge; l.fold != 0 && g.s.HasCounter && !g.open {
		k := &call{c: c, l: l, window: l.window, by: l.fold}
		l.fold = 0
		g.count(k, l.name(l.window))
	}
}

func (g *Gateway) untilWindow(c *customer) time.Duration {
	if c.rate.span == 0 { // a cap on attempts out has no window: room comes with the next answer
		return seconds(g.outFor)
	}
	return c.rate.span - c.rate.into(g.now)
}
