package admission

// Attempts of a request: where to, how long, whether again.

import (
	"math"
	"slices"
	"time"
)

const (
	retryBudgetGain      = 0.1                   // retry budget earned by each request, in attempts
	initialFleetRetries  = 20.0                  // at a start, over all gateways,
	maxRetryBudget       = 10.0                  // and its most
	attemptTimeoutFactor = 4.0                   // times its expected time an attempt has before a further one
	attemptTimeoutShare  = 0.6                   // of the aim left, too
	waitMargin           = 1.3                   // times the wait expected has to fit the time left: waits vary
	lowWorthTargetShare  = 0.3                   // of the aims of more worth: the longest wait for less worth,
	shortageThreshold    = 0.03                  // where this part of the requests of most worth find no room,
	shortageWeight       = 0.02                  // EWMA weight of one of them in that,
	shortageMemory       = 10.0                  // seconds for which it is remembered: the rare tell seldom
	recheckInterval      = 10 * time.Millisecond // how often the hold queue is looked at
	heldTargetShare      = 0.15                  // of an aim's worth of answers may wait in the hold queue
	minHeld              = 4.0                   // requests it may hold at any time
)

// permitsServer tells whether a further send to a server keeps the effect to one.
func (r *request) permitsServer(s *server) bool {
	if r.priorServer == nil || r.class.Effect == Safe {
		return true
	}
	zone := r.class.Scope != ScopeZone || s.Zone == r.priorServer.Zone
	cell := r.class.Scope != ScopeCell || s.Cell == r.priorServer.Cell
	return r.class.Effect == Keyed && zone && cell
}

func (g *Gateway) canRepeat(r *request) bool {
	return r.priorServer == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && g.now+2*g.settings.Tick < r.priorSentAt+r.class.RepeatWindow
}

func (g *Gateway) canRefuse(r *request) bool {
	return r.priorServer == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll
}

// route sends an admitted request on, holds it, or gives its final answer.
func (g *Gateway) route(r *request) {
	if r.isDone {
		return
	}
	if why := g.unroutableReason(r); why != "" {
		g.giveUp(r, why)
		return
	}
	left := (r.due - g.now).Seconds()
	s, wait := g.pickServer(r)
	if g.admitExponents[r.classIndex] == 1 && len(r.attempts) == 0 { // the class of most worth
		g.topClassShortage.LearnBool(g.now, shortageMemory, shortageWeight, s == nil || waitMargin*wait > left)
	}
	switch {
	case s == nil && g.canHold(r):
		g.held = append(g.held, r)
		if g.now >= g.recheckAt {
			g.recheckAt = g.now + recheckInterval
			g.setTimer(timerRecheck, 0, g.recheckAt)
		}
	case s == nil, waitMargin*wait > g.maxWait(r, s, left) &&
		(len(r.attempts) > 0 || r.class.LateWorth == 0 || r.due == r.deadline):
		if s != nil && len(s.outstanding) == 0 { // even a free server seems too slow: nothing would tell otherwise
			g.classLatency[r.classIndex].Doubt(g.now, classDoubtMemory, waitMargin*wait, r.class.usefulSeconds())
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

// unroutableReason tells why a request can't be sent on, whatever the servers are like; "": it can.
func (g *Gateway) unroutableReason(r *request) Reason {
	switch {
	case r.deadline <= g.now+g.settings.Tick:
		return ReasonDeadline
	case g.hasSpentAttempts(r):
		return ReasonAttemptsSpent
	case !g.canRepeat(r):
		return ReasonNotRepeatable
	}
	return ""
}

// maxWait is how long a request may wait for its answer among others of ours, of what is left of its aim: while
// those of more worth find no room, less. By their own aims the patient would fill all servers first, and the
// hasty never fit behind them. A server with nothing out takes any, else nothing would tell that waits are
// short again; what may have run is let finish. It harms where little worth comes in bursts that fit between.
func (g *Gateway) maxWait(r *request, s *server, left float64) float64 {
	least, ease := left, math.Max(0, 1-g.topClassShortage.Now(g.now, shortageMemory)/shortageThreshold)
	for _, c := range g.settings.Classes {
		if c.refusalCost() > r.class.refusalCost() && !c.IsRemoved && len(s.outstanding) > 0 && g.canRefuse(r) {
			least = min(least, lowWorthTargetShare*c.LatencyTarget.Seconds()+ease*left)
		}
	}
	return least
}

// canHold: a bounded queue, and nobody stays in it who can't make the aim; else all would be late.
func (g *Gateway) canHold(r *request) bool {
	left := (r.due - g.now).Seconds()
	room := math.Max(minHeld, g.answers.rate(g.now, throughputMemory)*heldTargetShare*r.class.LatencyTarget.Seconds())
	return left > g.expectedLatency(r) && r.deadline-g.now > recheckInterval+2*g.settings.Tick && float64(len(g.held)) < room
}

// recheckHeld tries again for the requests that are held, in order.
func (g *Gateway) recheckHeld() {
	held := g.held
	g.held = nil
	for _, r := range held {
		g.route(r)
	}
}

func (g *Gateway) send(r *request, s *server, wait float64) {
	if c := r.customer; !r.wasSent && c != nil {
		if c.plan.CeilingRate > 0 && !r.isShownUnderCeiling {
			if !c.hasCeilingTokens(g.now, r.units) {
				g.giveUp(r, ReasonOverCeiling)
				return
			}
			c.ceilingTokens -= r.units
		}
		c.inFlight++
	}
	r.slowStartSample = g.rng.Float64()
	g.startAttempt(r, s)
	g.emit(Send{ID: r.id, Server: s.Name, Wait: g.attemptTimeout(r, wait)})
}

// attemptTimeout: how long an attempt may take before a further one, at the last until an answer is worth
// nothing: then its slot under a cap and its server are free at once. 0: until the client leaves.
func (g *Gateway) attemptTimeout(r *request, wait float64) time.Duration {
	if r.class.Effect == Unsafe || r.class.IsStream { // its client may want to know, however late
		return 0
	}
	last := time.Duration(0)
	if r.class.LateWorth == 0 {
		last = max(0, r.due-g.now)
	}
	if g.hasSpentAttempts(r) || g.retryBudget < 1 {
		return last
	}
	e := g.expectedLatency(r)
	w := max(seconds(attemptTimeoutFactor*math.Max(e, wait)), seconds(attemptTimeoutShare*(r.due-g.now).Seconds()))
	if g.now+w+seconds(1.5*e) > r.due || g.now+w+2*g.settings.Tick >= r.deadline ||
		r.class.Effect == Keyed && w+4*g.settings.Tick > r.class.RepeatWindow {
		return last
	}
	return w
}

func (g *Gateway) onAttemptEnded(ev AttemptEnded) {
	r := g.requests[ev.ID]
	t := g.endAttempt(r, ev)
	if t == nil {
		return
	}
	unran := ev.Outcome == Full || ev.Outcome == Unreachable || ev.Outcome == NotSent
	if !unran && ev.Outcome != OK && r.priorServer == nil {
		r.priorServer, r.priorSentAt = t.server, t.sentAt
	}
	if c := r.customer; ev.Billed > 0 && ev.Outcome == OK && !r.isDone && c != nil && c.plan.Rate > 0 {
		diff := float64(ev.Billed) - r.units // settlement rides on the next call
		c.quotaTokens -= diff
		g.rollWindow(c, &c.quotaCounter)
		c.quotaCounter.pending += diff
	}
	switch {
	case ev.Done || r.isDone:
		g.finish(r)
	case r.liveAttempts > 0:
	case unran:
		g.route(r)
	case g.retryBudget >= 1 && g.canRepeat(r) && g.now < r.due:
		g.retryBudget--
		g.route(r)
	case !g.canRepeat(r):
		g.giveUp(r, ReasonNotRepeatable)
	default:
		g.giveUp(r, ReasonRetryBudget)
	}
	g.recheckHeld()
}

// learnFromAttempt learns of a server from the end of an attempt.
func (g *Gateway) learnFromAttempt(t *attempt, r *request, ev AttemptEnded) {
	s, e, took := t.server, g.expectedLatency(r), ev.Took.Seconds()
	s.relativeLatency = s.relativeLatencyAt(g.now)
	if i := slices.Index(s.outstanding, t.sentAt); i >= 0 {
		s.outstanding = slices.Delete(s.outstanding, i, i+1)
	}
	switch ev.Outcome {
	case OK:
		g.timeoutShare -= timeoutShareWeight * g.timeoutShare
		g.adjustAdmitShare(took > lateThreshold*(r.due-r.arrivedAt).Seconds() && !g.isOutlier(s))
		s.lastResponseAt = g.now
		s.rejectShare.Learn(g.now, rejectMemory, rejectWeight, 0)
		s.errors, s.connectionFailures = 0, 0
		s.throughput.add(g.now, throughputMemory)
		g.answers.add(g.now, throughputMemory)
		s.relativeLatency += latencyWeight * (math.Min(maxRelativeLatency, took/e) - s.relativeLatency)
		if s.failures > 0 {
			s.failures, s.ejectedUntil = 0, 0
			g.log(maxLogLines, "server %s back", s.Name)
		}
		g.classLatency[r.classIndex].Learn(took, r.units, classLatencyWeight)
		g.meanLatency += classLatencyWeight * (took - g.meanLatency)
	case Errored: // one that fails at once looks like the fastest of all
		s.lastResponseAt = g.now
		if s.errors++; s.errors >= maxConsecutiveErrors {
			s.rejectShare.Learn(g.now, rejectMemory, rejectWeight, 1)
			g.eject(s)
		}
	case Full:
		s.lastResponseAt = g.now
		s.rejectShare.Learn(g.now, rejectMemory, rejectWeight, 1)
		s.rejectLatency += latencyWeight * (took - s.rejectLatency)
	case TimedOut:
		g.timeoutShare += timeoutShareWeight * (1 - g.timeoutShare)
		// Else the answer was lost, or one server is slow.
		if !g.isOutlier(s) && (g.timeoutShare > maxLossShare || g.meanLatency > slowThreshold*(r.due-r.arrivedAt).Seconds()) {
			g.adjustAdmitShare(true)
		}
		if s.lastResponseAt < t.sentAt {
			g.eject(s)
		}
		s.relativeLatency = math.Max(s.relativeLatency, s.relativeLatency+latencyWeight*(math.Min(maxRelativeLatency, took/e)-s.relativeLatency))
	case Broken: // one answer that can't be read tells little, two in a row that the server is gone
		if s.connectionFailures++; s.connectionFailures > 1 {
			g.eject(s)
		}
	case Unreachable:
		s.connectionFailures += downThreshold
		g.eject(s)
	}
}

// adjustAdmitShare admits less while answers come late: at many gateways no limit at a server shows a queue. A prompt
// one stands for those not let in, too, else few would tell that it is over. Harms where requests are long.
func (g *Gateway) adjustAdmitShare(late bool) {
	if !g.isLargeFleet() {
		return
	}
	if g.admitShare = math.Min(1, g.admitShare+admitShareGain/g.admitShare); late {
		g.admitShare = math.Max(minAdmitShare, g.admitShare*admitShareCut)
	}
}

// eject keeps requests off a server for a while, longer with each failure in a row.
func (g *Gateway) eject(s *server) {
	if g.now < s.ejectedUntil {
		return
	}
	if s.failures++; s.failures == 1 {
		g.log(maxLogLines, "server %s ejected", s.Name)
	}
	s.ejectedUntil = g.now + s.ejectionTime()
}
