package admission

// The decision module of ferryfront. Its interface (settings, events, actions and the
// host's contract) is in api.go; everything that is decided, and every tuned value, is
// here. Order: constants, events, quota, counter trouble, ceiling, servers, attempts, final answers.

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// Quota and counter.
	surelyOver  = 0.7                    // of a request's units: with less than this in store, don't ask
	askFloor    = 0.75                   // calls per request kept up whatever is known (design: a call each)
	patience    = 25 * time.Millisecond  // for a call: small beside any aim, many times a call's usual time
	breakAfter  = 4                      // calls lost in a row open the breaker
	crowdedCut  = 0.8                    // a call turned away or late: this much of the asking goes on...
	crowdedGain = 0.01                   // ...and each answer in time brings this much back,
	crowdedEase = 0.05                   // and each second between answers, for who asks little
	askAtFirst  = 30.0                   // over the number of gateways: the part that asks at a start
	askLeast    = 0.1                    // of requests ask, however crowded the counter is
	thinBelow   = 0.5                    // of what is asked fits: of more demand than that, a part asks
	gaugeAbove  = 0.5                    // of the asking left: below it a cap is held by demand alone
	capLoad     = 0.25                   // of a cap: what demand is cut to; a lot is blind, sends beyond cost
	gaugeSpan   = 4 * time.Second        // window of counts for a cap on attempts out: leaks end with it
	pressMemory = 10.0                   // seconds for which what all doors asked of a customer is remembered
	priorUnits  = 4.0                    // for which its plan's mean counts beside it
	pressFirst  = 1.5                    // taken for granted of a plan before any total is read
	capFirst    = 2.5                    // the same of a cap, where what is out is not known either
	slackUsed   = 0.95                   // of a ceiling's slack: the rest is for clocks and roundings
	fitGain     = 0.2                    // EWMA weight of a total read, in what fits
	takeMemory  = 2.0                    // seconds over which what other doors take is averaged,
	foretellAt  = 0.5                    // and where less than this of the requests could ask for long,
	urgentLeast = 0.5                    // weight in asking of who has spent nothing since the last total,
	urgentX     = 8.0                    // and what the part spent of the mirror adds
	askedGain   = 0.001                  // EWMA weight of a request in that, it is foretold
	phaseMix    = 0x9e3779b97f4a7c15     // spreads customer ids evenly (Fibonacci hashing)
	crowdedAt   = 0.25                   // of a call's time limit: an answer later than this shows crowding,
	crowdedX    = 1.5                    // and so many times what one takes at a counter at ease,
	easeGain    = 0.005                  // EWMA weight of one that took more than that, in what it takes
	probeEvery  = 250 * time.Millisecond // calls made while the breaker is open, to see whether it is back,
	probeSum    = 10 * time.Millisecond  // and by all gateways together at most one in this time
	keepWindows = 2.5                    // windows for which a name is kept: the next one still reads it
	forgetAfter = 90 * time.Second       // a customer unseen this long is forgotten: its store is full again
	sweepEvery  = 5 * time.Second        // how often the forgetting is done
	outGain     = 0.05                   // EWMA weight of a request in how long one is out
	callGain    = 0.02                   // EWMA weight of a request in the calls per request

	// Servers.
	firstGuess  = 0.1                    // seconds: a latency before any was seen
	unitsTell   = 0.6                    // part of a request's work that goes with its units
	respGain    = 0.15                   // EWMA weight of an answer's latency at a server
	respMost    = 10.0                   // times the usual: more than this tells no more
	errorsMost  = 3                      // errors in a row eject, and count as turned away;
	turnGain    = 0.15                   // EWMA weight of an answer in the part that a server turns away;
	turnMemory  = 5.0                    // seconds for which that is remembered of one that gets nothing,
	turnMost    = 0.9                    // and no more than this is believed
	statGain    = 0.02                   // EWMA weight of an answer in its class's usual latency
	ejectFirst  = 500 * time.Millisecond // first ejection after a failure; doubles with each further
	ejectMost   = 8 * time.Second        // longest ejection, so that recovery is seen within it
	silentX     = 4.0                    // times its expected time: an attempt out this long is silence
	silentMin   = 250 * time.Millisecond // and at least this long
	zonePenalty = 4.0                    // times the price of crossing zones, as extra expected wait
	jitter      = 0.05                   // of a cost, so that gateways do not move as one
	thruMemory  = 1.0                    // seconds over which answers are counted
	lateAt      = 0.5                    // of the time it is of use for: an answer that took more is late,
	lateCut     = 0.9                    // and this much of the admitting goes on;
	lateGain    = 0.01                   // each prompt answer brings this much back
	slowAt      = 0.2                    // of that time usual for answers: attempts out of time count as late
	lostGain    = 0.1                    // EWMA weight of an attempt in the part not answered in time;
	mostLost    = 0.5                    // more than this is no loss of answers: it counts as late, too
	admitLeast  = 0.01                   // of requests are admitted, however late the answers: to see it end
	leastOut    = 6.0                    // attempts that all gateways together may always have at a server
	fillAim     = 0.15                   // of the aim left: what a server holds must be answered within it

	// Attempts.
	budgetGain  = 0.1                    // retry budget earned by each request, in attempts
	budgetSum   = 20.0                   // at a start, over all gateways,
	budgetMost  = 10.0                   // and its most
	waitX       = 4.0                    // times its expected time an attempt has before a further one
	waitAim     = 0.6                    // of the aim left, too
	holdRecheck = 10 * time.Millisecond  // how often the hold queue is looked at
	holdAim     = 0.15                   // of an aim's worth of answers may wait in the hold queue
	holdLeast   = 4.0                    // requests it may hold at any time
	logMost     = 300                    // lines for the operator in one life: a flapping part must not flood
	shedAdvice  = 100 * time.Millisecond // retry-after of what is shed: pressure, not quota
)

// Gateway decides for one gatekeeper. It is not safe for concurrent use.
type Gateway struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	started bool
	began   time.Duration // time of the first event
	out     []Action
	logs    int // lines for the operator so far

	requests  map[uint64]*request
	customers map[uint64]*customer
	calls     map[string][]*call // out on the counter, by name, in order

	failures           int  // counter calls lost in a row
	open               bool // the circuit breaker
	nextProbe          time.Duration
	answeredAt         time.Duration // last answer of the counter
	ease               time.Duration // what an answer takes of a counter at ease: a far one is not crowded
	callRate, askShare float64       // calls per request, EWMA; part of the requests that ask
	asked              float64       // the same over long, EWMA

	servers map[string]*server
	ring    []*server // in order of name
	held    []*request
	holdAt  time.Duration // the next recheck is set for this time
	budget  float64       // for retries
	live    float64       // attempts out
	served  decaying      // answers
	stats   []classStat
	unheard float64    // part of the attempts that got no answer in time, EWMA
	usual   float64    // latency of a request, EWMA, seconds
	outFor  float64    // how long a request is out, answered or not, EWMA, seconds
	admit   float64    // part of the requests admitted, by how prompt the servers answer
	thin    []float64  // of each plan: the power of askShare that asks
	press   []evidence // of each plan's customers: what all doors ask, over what fits
}

type classStat struct{ took, units float64 } // seconds and units, EWMA

// New returns a gateway for these settings, or an error that names what it can't work with.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &Gateway{s: s, rng: rand.New(rand.NewPCG(seed, 0)), requests: map[uint64]*request{},
		customers: map[uint64]*customer{}, calls: map[string][]*call{}, servers: map[string]*server{},
		stats: make([]classStat, len(s.Classes)), press: make([]evidence, len(s.Plans)),
		thin:  thinning(s.Plans),
		usual: firstGuess, outFor: firstGuess, callRate: 1, admit: 1,
		budget: math.Min(budgetMost, budgetSum/float64(s.Gateways)),
		asked:  foretellAt, askShare: min(1, max(askLeast, askAtFirst/float64(s.Gateways)))}, nil
}

// Handle takes one event at the time now and returns what is to be done; the next call reuses the slice.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.out = g.out[:0]
	g.now = max(now, g.now)
	if !g.started {
		g.started, g.began, g.answeredAt = true, now, now // no answer was due before the start
		g.timer(timerSweep, 0, g.now+sweepEvery)
		if g.s.MustAsk {
			g.do(Subscribe{On: true})
		}
	}
	switch ev := ev.(type) {
	case RequestArrived:
		g.arrive(ev)
	case AttemptEnded:
		g.ended(ev)
	case ClientLeft:
		if r := g.requests[ev.ID]; r != nil {
			g.callOff(r)
			g.finish(r)
		}
	case ServerList:
		g.list(ev)
	case CounterAnswered:
		g.answered(ev)
	case TimerFired:
		g.fired(ev.Token)
	}
	return g.out
}

func (g *Gateway) fired(token uint64) {
	r := g.requests[token/timerKinds]
	switch token % timerKinds {
	case timerPatience:
		if r != nil && len(r.calls) > 0 {
			g.decideAlone(r)
		}
	case timerHold:
		g.recheck()
	case timerSweep:
		g.timer(timerSweep, 0, g.now+sweepEvery)
		for id, c := range g.customers {
			if g.now-c.used > forgetAfter && c.out == 0 {
				delete(g.customers, id)
			}
		}
	}
}

// ---- Quota: SQR-073's fixed windows on the shared counter ----

func (g *Gateway) customer(id uint64, index, doors int) *customer {
	c, plan := g.customers[id], &g.s.Plans[index]
	if c == nil || c.plan != plan {
		c = &customer{plan: plan, index: index, fit: 1, level: plan.Burst,
			levelAt: g.now, hardAt: g.began}
		key, phase := strconv.FormatUint(id, 36), float64(id*phaseMix>>32)/(1<<32)
		if plan.Rate > 0 {
			c.rate = newLedger("q"+key+".", seconds(plan.Burst/plan.Rate), phase)
		}
		c.gauge = newLedger("o"+key+".", gaugeSpan, phase)
		c.demand = newLedger("d"+key+".", gaugeSpan, phase)
		c.doors = math.Max(1, math.Min(float64(doors), float64(g.s.Gateways)))
		c.hard = -slackUsed * plan.CeilingSlack / c.doors // at our start: an earlier life may have sent it
		g.customers[id] = c
	}
	c.used = g.now
	return c
}

// foretells tells whether a customer's mirror takes off what other doors take, by what they took of late.
func (g *Gateway) foretells(c *customer) bool {
	return g.s.HasCounter && g.asked < foretellAt && (!g.open || c.take > 0)
}

// refill brings the mirror of the store up to now. What the other doors take meanwhile is taken off as their
// totals last showed, and put right by the next total. Without it a door that seldom asks sees none of that
// until then, and of a window's last part nothing ever. A door is left its even part of the rate at least,
// else one that is refused all would never ask again. It harms when the others have just stopped.
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
	g.do(CounterAdd{Name: name, By: k.by, Keep: min(keep, time.Minute)})
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

// enter notes that a ledger holds so much more for the request.
func (r *request) enter(l *ledger, units float64) {
	if l == &r.cust.rate {
		r.inRate, r.rateWindow = r.inRate+units, l.window
	} else if l == &r.cust.gauge {
		r.inGauge += units
		r.cust.reg += units
	}
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
	r := &request{id: ev.ID, class: &g.s.Classes[ev.Class], ci: ev.Class,
		units: math.Max(1, float64(ev.Units)), at: g.now, deadline: g.now + ev.ExpiresIn,
		lot: g.rng.Float64()}
	r.due = min(r.at+r.class.Aim, r.deadline)
	g.requests[ev.ID] = r
	g.budget = math.Min(budgetMost, g.budget+budgetGain)
	if ev.Plan < 0 || ev.Plan >= len(g.s.Plans) {
		g.route(r)
		return
	}
	c := g.customer(ev.Customer, ev.Plan, ev.Doors)
	r.cust = c
	if g.rng.Float64() >= g.admit {
		g.giveUp(r)
		return
	}
	p := c.plan
	if p.CeilingRate > 0 && !c.underCeiling(g.now, r.units) {
		g.decide(r, true, 1)
		return
	}
	if p.Rate <= 0 && p.AtOnce <= 0 || !g.s.HasCounter {
		g.decideAlone(r)
		return
	}
	g.refill(c)
	g.callRate *= 1 - callGain
	if !g.open {
		g.asked += askedGain * (g.askShare - g.asked)
	}
	known := p.Rate > 0 && c.level < surelyOver*r.units || p.AtOnce > 0 && c.out >= p.AtOnce ||
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
	if g.open && !probing || !probing && g.rng.Float64() >= share {
		g.decideAlone(r)
		return
	}
	if p.Rate > 0 && c.rides(r.units) {
		g.ask(r, &c.rate, r.units)
	} else if p.Rate > 0 {
		g.ask(r, &c.rate, r.units/share)
	}
	if p.AtOnce > 0 {
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

// urgency weighs a customer's asking where few can ask: by how much of what the mirror holds was spent here,
// or foretold, since it was last put right. One far from its quota can wait; what it spends is added later.
func (c *customer) urgency() float64 {
	return urgentLeast + urgentX*math.Min(0.5, (c.rate.fold+c.taken)/math.Max(1, c.level))
}

// thinning returns for each plan the power that the part that asks is taken to. A crowded counter is asked
// first where a wrong answer costs most.
func thinning(plans []Plan) []float64 {
	stakes, powers := make([]float64, len(plans)), make([]float64, len(plans))
	for i, p := range plans {
		stakes[i] = p.Price * (1 + p.OverCost - p.OverWorth)
	}
	for i, stake := range stakes {
		if powers[i] = 1; stake > 0 {
			powers[i] = slices.Max(stakes) / stake
		}
	}
	return powers
}

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
			c.level += c.taken - others - k.own
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
		r.over = r.over || c.level+k.own < r.units // own stands for others at a sparse door
	} else if l == &c.gauge {
		over := total-k.own+1 > float64(c.plan.AtOnce)
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
		g.refuse(r, g.untilWindow(c))
		return
	}
	if c.plan.Rate > 0 && c.rides(r.units) {
		g.turn(c, &c.rate)
		c.level -= r.units*heft - r.drawn
		c.rate.fold += r.units - r.inRate
		r.drawn, r.inRate, r.rateWindow = r.units*heft, r.units, c.rate.window
	}
	g.route(r)
}

// detach lets go of the calls not answered yet: their answers decide nothing any more.
func (r *request) detach() {
	for _, k := range r.calls {
		k.r, k.own = nil, 0
	}
	r.calls = nil
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

// ---- Counter trouble: a local share, a circuit breaker ----

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
	if took > seconds(max(crowdedAt*g.s.CounterLimit.Seconds(), crowdedX*g.ease.Seconds())) {
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

// decideAlone decides without waiting for the counter: by the mirror, and while the breaker is open each
// unit sent from here stands for one at every door. At a sparse door that would be to refuse nearly all,
// so lots are drawn. It guards against a counter slow, silent, cut off, crowded or refusing; it harms when
// demand changes meanwhile.
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
	} else if p.Rate > 0 || p.AtOnce > 0 {
		over = over || !g.lot(c)
	}
	g.decide(r, over, heft)
}

// fits is the part of what all doors ask of a customer that fits its quota, as far as known.
func (g *Gateway) fits(c *customer) float64 {
	if c.plan.AtOnce > 0 && g.capLedger(c) == &c.gauge {
		return c.fit
	}
	return 1 / g.pressOf(c)
}

// lot lets in unchecked the part of the demand that fits. On a gauge that is the chance to find room, and
// a send that finds none costs.
func (g *Gateway) lot(c *customer) bool {
	worth := c.plan.OverCost / (1 + c.plan.OverCost)
	switch {
	case c.plan.AtOnce > 0 && c.out >= c.plan.AtOnce:
		return false
	case c.plan.AtOnce > 0 && g.capLedger(c) == &c.gauge:
		return g.rng.Float64() < (g.fits(c)-worth)/(1-worth)
	}
	return g.rng.Float64() < g.fits(c)
}

// capLedger is what a cap on attempts out is held by: a gauge, or by many doors at a crowded counter demand.
func (g *Gateway) capLedger(c *customer) *ledger {
	if g.asking(c.index) < gaugeAbove && c.doors > 2*float64(c.plan.AtOnce) {
		return &c.demand
	}
	return &c.gauge
}

// load is what fits of a ledger's demand, in units a second: the rate, or of a cap a part.
func (g *Gateway) load(c *customer, l *ledger) float64 {
	if l == &c.demand {
		return capLoad * float64(c.plan.AtOnce) / g.outFor
	}
	return c.plan.Rate
}

// weigh learns from one total what all doors have asked since the last look, or the window's start; a
// start is no arrival of ours, so there the call's own units tell nothing.
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

// pressOf estimates what all doors ask of a customer over what fits. Its plan's mean counts as if seen
// for some requests, so that one total is not trusted, and a customer not asked about is taken to be like
// the others: at a large fleet's doors most are asked about once in many seconds.
func (g *Gateway) pressOf(c *customer) float64 {
	l, first := &c.rate, pressFirst
	if c.plan.AtOnce > 0 {
		l, first = &c.demand, capFirst
	}
	plan := g.press[c.index].mean(first, l.span.Seconds())
	if c.plan.OverCost == 0 { // nothing is lost by letting in who is not known to ask too much
		plan = math.Min(1, plan)
	}
	if !g.open { // what was known last is kept through an outage
		c.press.fade(g.now, pressMemory)
	}
	return c.press.mean(plan, priorUnits/g.load(c, l))
}

// ---- The hard ceiling: an own part of the store, whatever the counter says ----

// underCeiling tells whether this gateway's part of the ceiling's store holds the units. The parts of all
// doors add up to the whole and none lends to another, so no trouble of counter or peers breaks the rule.
// After a start the part is empty, as an earlier life may have spent it. Harms where traffic is uneven.
func (c *customer) underCeiling(now time.Duration, units float64) bool {
	p := c.plan
	c.hard = math.Min(p.CeilingBurst/c.doors, c.hard+p.CeilingRate/c.doors*(now-c.hardAt).Seconds())
	c.hardAt = now
	return c.hard-units >= -slackUsed*p.CeilingSlack/c.doors
}

// ---- Servers: the list, the choice ----

func (g *Gateway) list(ev ServerList) {
	if ev.Kind == ListFailed {
		if g.s.MustAsk {
			g.do(Subscribe{On: true})
		}
		return
	}
	if ev.Kind != ListChanges {
		for _, s := range g.ring {
			s.State = Gone
		}
	}
	for _, e := range ev.Servers {
		s := g.servers[e.Name]
		if s == nil {
			s = &server{resp: 1, coldAt: e.Boot}
			g.servers[e.Name] = s
			at, _ := slices.BinarySearchFunc(g.ring, e.Name,
				func(s *server, name string) int { return strings.Compare(s.Name, name) })
			g.ring = slices.Insert(g.ring, at, s)
		} else if e.Boot > s.Boot { // restarted within its id
			s.coldAt, s.resp, s.bad, s.ejected = e.Boot, 1, 0, 0
		}
		s.ServerEntry = e
	}
	g.ring = slices.DeleteFunc(g.ring, func(s *server) bool {
		if s.State != Gone || len(s.out) > 0 {
			return false
		}
		delete(g.servers, s.Name)
		return true
	})
	g.recheck()
}

// warmth is the part of its capacity that a server surely has.
func (g *Gateway) warmth(s *server) float64 {
	if s.coldAt == 0 || g.s.ColdFor <= 0 || g.now-s.coldAt >= g.s.ColdFor {
		return 1
	}
	return g.s.ColdFrom + (1-g.s.ColdFrom)*math.Max(0, (g.now-s.coldAt).Seconds())/g.s.ColdFor.Seconds()
}

// lotAllows: slow start by lots. Each attempt draws one server of the ring; a cold one may take only
// what its lot brings, and of that its warmth's part. So it gets that part of a fair share of what all
// gateways send, however many there are and whenever they started, with no store and no floor that
// would add up over them. A held request keeps its lot. It harms when all are cold at once: then only
// that part of the requests is sent.
func (g *Gateway) lotAllows(r *request, i int) bool {
	w, lot := g.warmth(g.ring[i]), r.lot*float64(len(g.ring))
	return w >= 1 || int(lot) == i && lot-float64(i) < w
}

// limit is how many attempts of this gateway a server may hold: what it answers within the time given
// (Little's law). Guards against overdriving what is slow, crowded or hung. Harms just after a lull.
func (g *Gateway) limit(s *server, within float64) float64 {
	return math.Max(math.Ceil(leastOut/float64(g.s.Gateways)), s.thru.rate(g.now, thruMemory)*within)
}

// crowd tells whether one attempt at each gateway is more than a server should hold.
func (g *Gateway) crowd() bool { return float64(g.s.Gateways) > leastOut }

// bulkhead is how many attempts this gateway may have out in all: its part of leastOut at each server, or
// half of what it gets answered within the time given. One attempt a server at each of hundreds of doors is
// more than servers can hold: overdriven, they slow down and stay so. It harms while answers are lost.
func (g *Gateway) bulkhead(within float64) float64 {
	part := leastOut * float64(len(g.ring)) / float64(g.s.Gateways)
	return math.Max(math.Max(1, part), g.served.rate(g.now, thruMemory)*within/2)
}

// shunned: ejected after failures, or silent: what is out has been out far longer than expected and
// nothing was heard since. Guards against hangs and cuts before a time-out tells; harms on a long pause.
func (g *Gateway) shunned(s *server) bool {
	return g.now < s.ejected || len(s.out) > 0 && s.heard < s.out[0] &&
		g.now-s.out[0] > max(silentMin, seconds(silentX*s.resp*g.usual))
}

// turnedBy is the part of what a server gets that it turns away. Guards against one that limits itself: it
// answers the rest as ever, so by latency alone it looks as good as any. It harms when the limit has ended
// and nothing was sent there since, hence the memory.
func (s *server) turnedBy(now time.Duration) float64 {
	return math.Min(turnMost, s.turned*math.Exp(-(now-s.turnedAt).Seconds()/turnMemory))
}

func (s *server) turn(now time.Duration, away float64) {
	part := s.turnedBy(now)
	s.turned, s.turnedAt = part+turnGain*(away-part), now
}

func (g *Gateway) expected(r *request) float64 {
	st := g.stats[r.ci]
	if st.took == 0 {
		return firstGuess
	}
	return st.took * (1 - unitsTell + unitsTell*r.units/st.units) // units tell of the work, in part
}

// pick returns the server with the least expected wait for a request, and that wait in seconds. Where
// all are shunned that is not trusted.
func (g *Gateway) pick(r *request) (*server, float64) {
	trust := slices.ContainsFunc(g.ring, func(s *server) bool { return s.State == Up && !g.shunned(s) })
	within := fillAim * math.Max(0, (r.due-g.now).Seconds())
	if g.crowd() && g.live >= g.bulkhead(within) {
		return nil, 0
	}
	var best *server
	least := math.Inf(1)
	for i, s := range g.ring {
		n := float64(len(s.out))
		if s.State != Up || !r.allows(s) || n >= g.limit(s, within) || !g.lotAllows(r, i) {
			continue
		}
		// Re-entry by trickle: one at a time, and none that could not be repeated.
		if trust && (g.shunned(s) || s.bad > 0 && (n > 0 || r.class.Effect == Unsafe)) {
			continue
		}
		if g.warmth(s) < 1 { // its lot, and all that it gets
			return s, g.expected(r)
		}
		turned := s.turnedBy(g.now)
		cost := (s.resp*(n+1) + turned*s.turnTook/g.usual) / (1 - turned)
		if s.Zone != g.s.Zone {
			cost *= 1 + zonePenalty*g.s.CrossZone
		}
		if cost *= 1 + jitter*g.rng.Float64(); cost < least {
			best, least = s, cost
		}
	}
	return best, least * g.expected(r)
}

// ---- Attempts and final answers ----

// allows tells whether a further send to a server keeps the effect to one.
func (r *request) allows(s *server) bool {
	if r.maybe == nil || r.class.Effect == Safe {
		return true
	}
	zone := r.class.Scope != ScopeZone || s.Zone == r.maybe.Zone
	cell := r.class.Scope != ScopeCell || s.Cell == r.maybe.Cell
	return r.class.Effect == Keyed && zone && cell
}

func (g *Gateway) mayRepeat(r *request) bool {
	return r.maybe == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && g.now+2*g.s.Tick < r.maybeAt+r.class.RepeatWindow
}

func (g *Gateway) mayRefuse(r *request) bool {
	return r.maybe == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll
}

// route sends an admitted request on, holds it, or gives its final answer.
func (g *Gateway) route(r *request) {
	if r.done {
		return
	}
	if r.deadline <= g.now+g.s.Tick || g.spent(r) || !g.mayRepeat(r) {
		g.giveUp(r)
		return
	}
	left := (r.due - g.now).Seconds()
	s, wait := g.pick(r)
	switch {
	case s == nil && g.mayHold(r):
		g.held = append(g.held, r)
		if g.now >= g.holdAt {
			g.holdAt = g.now + holdRecheck
			g.timer(timerHold, 0, g.holdAt)
		}
	case s == nil, wait > left && (len(r.tries) > 0 || r.class.LateShare == 0 || r.due == r.deadline):
		g.giveUp(r)
	default:
		g.send(r, s, wait)
	}
}

// mayHold: a bounded queue, and nobody stays in it who can't make the aim; else all would be late.
func (g *Gateway) mayHold(r *request) bool {
	left := (r.due - g.now).Seconds()
	room := math.Max(holdLeast, g.served.rate(g.now, thruMemory)*holdAim*r.class.Aim.Seconds())
	return left > g.expected(r) && r.deadline-g.now > holdRecheck+2*g.s.Tick && float64(len(g.held)) < room
}

// recheck tries again for the requests that are held, in order.
func (g *Gateway) recheck() {
	held := g.held
	g.held = nil
	for _, r := range held {
		g.route(r)
	}
}

func (g *Gateway) send(r *request, s *server, wait float64) {
	if c := r.cust; !r.sent && c != nil {
		if c.plan.CeilingRate > 0 {
			if !c.underCeiling(g.now, r.units) {
				g.giveUp(r)
				return
			}
			c.hard -= r.units
		}
		c.out++
	}
	r.sent = true
	r.lot = g.rng.Float64()
	r.tries = append(r.tries, attempt{s: s, at: g.now, live: true})
	r.live++
	g.live++
	s.out = append(s.out, g.now)
	g.do(Send{ID: r.id, Server: s.Name, Wait: g.attemptWait(r, wait)})
}

// attemptWait: how long an attempt may take before a further one, at the last until an answer is worth
// nothing: then its slot under a cap and its server are free at once. 0: until the client leaves.
func (g *Gateway) attemptWait(r *request, wait float64) time.Duration {
	if r.class.Effect == Unsafe || r.class.Stream { // its client may want to know, however late
		return 0
	}
	last := time.Duration(0)
	if r.class.LateShare == 0 {
		last = max(0, r.due-g.now)
	}
	if g.spent(r) || g.budget < 1 {
		return last
	}
	e := g.expected(r)
	w := max(seconds(waitX*math.Max(e, wait)), seconds(waitAim*(r.due-g.now).Seconds()))
	if g.now+w+seconds(1.5*e) > r.due || g.now+w+2*g.s.Tick >= r.deadline ||
		r.class.Effect == Keyed && w+4*g.s.Tick > r.class.RepeatWindow {
		return last
	}
	return w
}

func (g *Gateway) ended(ev AttemptEnded) {
	r := g.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
		return
	}
	t := &r.tries[ev.Attempt]
	t.live = false
	r.live--
	g.live--
	g.observe(t, r, ev)
	unran := ev.Outcome == Full || ev.Outcome == Unreachable || ev.Outcome == NotSent
	if !unran && ev.Outcome != OK && r.maybe == nil {
		r.maybe, r.maybeAt = t.s, t.at
	}
	if c := r.cust; ev.Billed > 0 && ev.Outcome == OK && !r.done && c != nil && c.plan.Rate > 0 {
		diff := float64(ev.Billed) - r.units // settlement rides on the next call
		c.level -= diff
		g.turn(c, &c.rate)
		c.rate.fold += diff
	}
	switch {
	case ev.Done || r.done:
		g.finish(r)
	case r.live > 0:
	case unran:
		g.route(r)
	case g.budget >= 1 && g.mayRepeat(r) && g.now < r.due:
		g.budget--
		g.route(r)
	default:
		g.giveUp(r)
	}
	g.recheck()
}

// observe learns of a server from the end of an attempt.
func (g *Gateway) observe(t *attempt, r *request, ev AttemptEnded) {
	s, e, took := t.s, g.expected(r), ev.Took.Seconds()
	if i := slices.Index(s.out, t.at); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	switch ev.Outcome {
	case OK:
		g.unheard -= lostGain * g.unheard
		g.throttle(took > lateAt*(r.due-r.at).Seconds())
		s.heard = g.now
		s.turn(g.now, 0)
		s.errors, s.broken = 0, 0
		s.thru.add(g.now, thruMemory)
		g.served.add(g.now, thruMemory)
		s.resp += respGain * (math.Min(respMost, took/e) - s.resp)
		if s.bad > 0 {
			s.bad, s.ejected = 0, 0
			g.log(logMost, "server %s back", s.Name)
		}
		st := &g.stats[r.ci]
		if st.took == 0 {
			st.took, st.units = took, r.units
		}
		st.took += statGain * (took - st.took)
		st.units += statGain * (r.units - st.units)
		g.usual += statGain * (took - g.usual)
	case Errored: // one that fails at once looks like the fastest of all
		s.heard = g.now
		if s.errors++; s.errors >= errorsMost {
			s.turn(g.now, 1)
			g.eject(s)
		}
	case Full:
		s.heard = g.now
		s.turn(g.now, 1)
		s.turnTook += respGain * (took - s.turnTook)
	case TimedOut:
		g.unheard += lostGain * (1 - g.unheard)
		// Else the answer was lost, or one server is slow.
		if g.unheard > mostLost || g.usual > slowAt*(r.due-r.at).Seconds() {
			g.throttle(true)
		}
		if s.heard < t.at {
			g.eject(s)
		}
		s.resp = math.Max(s.resp, s.resp+respGain*(math.Min(respMost, took/e)-s.resp))
	case Broken: // one answer that can't be read tells little, two in a row that the server is gone
		if s.broken++; s.broken > 1 {
			g.eject(s)
		}
	case Unreachable:
		g.eject(s)
	}
}

// throttle admits less while answers come late, whatever makes the servers slow: at many gateways each has
// so little at a server that no limit of its own shows a queue. Few gateways have their in-flight limits for
// it. It harms where requests are merely long.
func (g *Gateway) throttle(late bool) {
	if !g.crowd() {
		return
	}
	if g.admit = math.Min(1, g.admit+lateGain); late {
		g.admit = math.Max(admitLeast, g.admit*lateCut)
	}
}

// eject keeps requests off a server for a while, longer with each failure in a row.
func (g *Gateway) eject(s *server) {
	if g.now < s.ejected {
		return
	}
	if s.bad++; s.bad == 1 {
		g.log(logMost, "server %s ejected", s.Name)
	}
	s.ejected = g.now + min(ejectMost, ejectFirst<<min(s.bad-1, 8))
}

// callOff cancels what is still out for a request nobody waits for any more, so that its slots under a cap
// and at the servers are free again. It may have run, and an attempt called off is no sign of its server.
func (g *Gateway) callOff(r *request) {
	for i, t := range r.tries {
		if t.live && g.s.CanCancel && !r.class.Stream && r.class.Effect != Unsafe {
			g.do(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// giveUp gives the final answer of a request that will not be served.
func (g *Gateway) giveUp(r *request) {
	if g.mayRefuse(r) {
		after := shedAdvice
		if g.now >= r.due { // whatever comes of this request now is too late
			after = max(after, g.s.MaxRetryAfter)
		}
		g.refuse(r, after)
		return
	}
	g.do(Fail{ID: r.id})
	g.finish(r)
}

func (g *Gateway) refuse(r *request, after time.Duration) {
	if !g.s.RetryAfter {
		after = 0
	}
	g.do(Refuse{ID: r.id, RetryAfter: after})
	g.finish(r)
}

// finish ends a request; it is forgotten once nothing of it is out.
func (g *Gateway) finish(r *request) {
	r.done = true
	r.detach()
	if r.live > 0 || g.requests[r.id] != r {
		return
	}
	delete(g.requests, r.id)
	if r.sent {
		g.outFor += outGain * ((g.now - r.tries[0].at).Seconds() - g.outFor)
		if r.cust != nil {
			r.cust.out--
		}
	}
	g.leave(r)
}
