package admission

// Attempts of a request: where to, how long, whether again.

import (
	"math"
	"slices"
	"time"
)

const (
	budgetGain  = 0.1                   // retry budget earned by each request, in attempts
	budgetSum   = 20.0                  // at a start, over all gateways,
	budgetMost  = 10.0                  // and its most
	waitX       = 4.0                   // times its expected time an attempt has before a further one
	waitAim     = 0.6                   // of the aim left, too
	waitSure    = 1.3                   // times the wait expected has to fit the time left: waits vary
	spareAim    = 0.3                   // of the aims of more worth: the longest wait for less worth,
	shortAt     = 0.03                  // where this part of the requests of most worth find no room,
	shortGain   = 0.02                  // EWMA weight of one of them in that,
	shortMemory = 10.0                  // seconds for which it is remembered: the rare tell seldom
	holdRecheck = 10 * time.Millisecond // how often the hold queue is looked at
	holdAim     = 0.15                  // of an aim's worth of answers may wait in the hold queue
	holdLeast   = 4.0                   // requests it may hold at any time
)

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
	if why := g.hopeless(r); why != "" {
		g.giveUp(r, why)
		return
	}
	left := (r.due - g.now).Seconds()
	s, wait := g.pick(r)
	if g.shed[r.ci] == 1 && len(r.tries) == 0 { // the class of most worth
		g.short.LearnBool(g.now, shortMemory, shortGain, s == nil || waitSure*wait > left)
	}
	switch {
	case s == nil && g.mayHold(r):
		g.held = append(g.held, r)
		if g.now >= g.holdAt {
			g.holdAt = g.now + holdRecheck
			g.timer(timerHold, 0, g.holdAt)
		}
	case s == nil, waitSure*wait > g.spare(r, s, left) &&
		(len(r.tries) > 0 || r.class.LateWorth == 0 || r.due == r.deadline):
		if s != nil && len(s.out) == 0 { // even a free server seems too slow: nothing would tell otherwise
			g.stats[r.ci].Doubt(g.now, statMemory, waitSure*wait, r.class.most())
		}
		if s == nil {
			g.giveUp(r, ReasonNoServer)
		} else {
			g.giveUp(r, ReasonTooSlow)
		}
	default:
		g.send(r, s, wait)
	}
}

// hopeless tells why a request can't be sent on, whatever the servers are like; "": it can.
func (g *Gateway) hopeless(r *request) Reason {
	switch {
	case r.deadline <= g.now+g.s.Tick:
		return ReasonDeadline
	case g.spent(r):
		return ReasonAttemptsSpent
	case !g.mayRepeat(r):
		return ReasonNotRepeatable
	}
	return ""
}

// spare is how long a request may wait for its answer among others of ours, of what is left of its aim: while
// those of more worth find no room, less. By their own aims the patient would fill all servers first, and the
// hasty never fit behind them. A server with nothing out takes any, else nothing would tell that waits are
// short again; what may have run is let finish. It harms where little worth comes in bursts that fit between.
func (g *Gateway) spare(r *request, s *server, left float64) float64 {
	least, ease := left, math.Max(0, 1-g.short.Now(g.now, shortMemory)/shortAt)
	for _, c := range g.s.Classes {
		if c.stake() > r.class.stake() && !c.IsRemoved && len(s.out) > 0 && g.mayRefuse(r) {
			least = min(least, spareAim*c.LatencyTarget.Seconds()+ease*left)
		}
	}
	return least
}

// mayHold: a bounded queue, and nobody stays in it who can't make the aim; else all would be late.
func (g *Gateway) mayHold(r *request) bool {
	left := (r.due - g.now).Seconds()
	room := math.Max(holdLeast, g.served.rate(g.now, thruMemory)*holdAim*r.class.LatencyTarget.Seconds())
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
		if c.plan.CeilingRate > 0 && !r.shown {
			if !c.underCeiling(g.now, r.units) {
				g.giveUp(r, ReasonOverCeiling)
				return
			}
			c.hard -= r.units
		}
		c.out++
	}
	r.lot = g.rng.Float64()
	g.begin(r, s)
	g.do(Send{ID: r.id, Server: s.Name, Wait: g.attemptWait(r, wait)})
}

// attemptWait: how long an attempt may take before a further one, at the last until an answer is worth
// nothing: then its slot under a cap and its server are free at once. 0: until the client leaves.
func (g *Gateway) attemptWait(r *request, wait float64) time.Duration {
	if r.class.Effect == Unsafe || r.class.IsStream { // its client may want to know, however late
		return 0
	}
	last := time.Duration(0)
	if r.class.LateWorth == 0 {
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
	t := g.over(r, ev)
	if t == nil {
		return
	}
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
	case !g.mayRepeat(r):
		g.giveUp(r, ReasonNotRepeatable)
	default:
		g.giveUp(r, ReasonRetryBudget)
	}
	g.recheck()
}

// observe learns of a server from the end of an attempt.
func (g *Gateway) observe(t *attempt, r *request, ev AttemptEnded) {
	s, e, took := t.s, g.expected(r), ev.Took.Seconds()
	s.resp = s.slowness(g.now)
	if i := slices.Index(s.out, t.at); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	switch ev.Outcome {
	case OK:
		g.unheard -= lostGain * g.unheard
		g.throttle(took > lateAt*(r.due-r.at).Seconds() && !g.outlier(s))
		s.heard = g.now
		s.turned.Learn(g.now, turnMemory, turnGain, 0)
		s.errors, s.broken = 0, 0
		s.thru.add(g.now, thruMemory)
		g.served.add(g.now, thruMemory)
		s.resp += respGain * (math.Min(respMost, took/e) - s.resp)
		if s.bad > 0 {
			s.bad, s.ejected = 0, 0
			g.log(logMost, "server %s back", s.Name)
		}
		g.stats[r.ci].Learn(took, r.units, statGain)
		g.usual += statGain * (took - g.usual)
	case Errored: // one that fails at once looks like the fastest of all
		s.heard = g.now
		if s.errors++; s.errors >= errorsMost {
			s.turned.Learn(g.now, turnMemory, turnGain, 1)
			g.eject(s)
		}
	case Full:
		s.heard = g.now
		s.turned.Learn(g.now, turnMemory, turnGain, 1)
		s.turnTook += respGain * (took - s.turnTook)
	case TimedOut:
		g.unheard += lostGain * (1 - g.unheard)
		// Else the answer was lost, or one server is slow.
		if !g.outlier(s) && (g.unheard > mostLost || g.usual > slowAt*(r.due-r.at).Seconds()) {
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
		s.broken += awayAt
		g.eject(s)
	}
}

// throttle admits less while answers come late: at many gateways no limit at a server shows a queue. A prompt
// one stands for those not let in, too, else few would tell that it is over. Harms where requests are long.
func (g *Gateway) throttle(late bool) {
	if !g.crowd() {
		return
	}
	if g.admit = math.Min(1, g.admit+lateGain/g.admit); late {
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
	s.ejected = g.now + s.ejection()
}
