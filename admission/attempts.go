package admission

// Attempts: whether a request may be sent on or again, how long it may wait, and what is learned from the
// end of an attempt.

import (
	"math"
	"slices"
	"time"
)

const (
	// Retries that each arriving request adds to the retry budget.
	retryBudgetGain = 0.1
	// Retry budgets of all gateways together at their start.
	initialFleetRetries = 20.0
	// Largest retry budget of a gateway.
	maxRetryBudget = 10.0
	// An attempt has at least this multiple of its expected latency before a retry.
	attemptTimeoutFactor = 4.0
	// An attempt has at least this share of the time left to the target before a retry.
	attemptTimeoutShare = 0.6
	// Multiple of the expected wait that must fit into the time left, as waits vary.
	waitMargin = 1.3
	// Longest wait of a request while classes of more worth find no server in time, as a share of the latency
	// targets of those classes.
	lowWorthTargetShare = 0.3
	// Share of the requests of the class of most worth (the top class) that find no server in time, from
	// which the limit on the waits of other classes applies in full.
	shortageThreshold = 0.03
	// EWMA weight of a request in the share of the top class that finds no server in time.
	shortageWeight = 0.02
	// Time constant in seconds with which the share of the top class that finds no server in time decays. A
	// rare class seldom updates it, so it would stay too long otherwise.
	shortageMemory = 10.0
	// Interval at which held requests are tried again.
	recheckInterval = 10 * time.Millisecond
	// Longest queue of held requests: as many as are answered in this share of a latency target.
	heldTargetShare = 0.15
	// Requests that may always be held.
	minHeld = 4.0
)

// permitsServer reports whether one more attempt may go to a server: the request must not take effect twice.
func (r *request) permitsServer(s *server) bool {
	if r.priorServer == nil || r.class.Effect == Safe {
		return true
	}
	isInZone := r.class.Scope != ScopeZone || s.Zone == r.priorServer.Zone
	isInCell := r.class.Scope != ScopeCell || s.Cell == r.priorServer.Cell
	return r.class.Effect == Keyed && isInZone && isInCell
}

// canRepeat reports whether the request may be sent again now: it can't have run, or a repeat does no harm.
func (g *Gateway) canRepeat(r *request) bool {
	return r.priorServer == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && g.now+2*g.settings.Tick < r.priorSentAt+r.class.RepeatWindow
}

// canRefuse reports whether the request may still be refused: if its client tries again, at any server, the
// request must not take effect twice.
func (g *Gateway) canRefuse(r *request) bool {
	return r.priorServer == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll
}

// route sends an admitted request on, holds it until a server is free, or gives its final answer.
func (g *Gateway) route(r *request) {
	if r.isDone {
		return
	}
	if reason := g.unroutableReason(r); reason != "" {
		g.giveUp(r, reason)
		return
	}
	left := (r.due - g.now).Seconds()
	s, wait := g.pickServer(r)
	if g.admitExponents[r.classIndex] == 1 && len(r.attempts) == 0 { // the top class
		g.topClassShortage.LearnBool(g.now, shortageMemory, shortageWeight,
			s == nil || waitMargin*wait > left)
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
		// When even an idle server seems too slow, no request of the class is sent that could show otherwise.
		if s != nil && len(s.outstanding) == 0 {
			g.classLatency[r.classIndex].Doubt(g.now, classDoubtMemory, waitMargin*wait,
				r.class.usefulSeconds())
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

// unroutableReason returns why a request can't be sent on, whatever the state of the servers, or "" if it
// can.
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

// maxWait returns how many of the seconds left to its target a request may wait for its answer behind other
// attempts. It is less while the top class finds no server in time: if each class waited by its own target,
// requests with long targets would fill all servers first, and those with short ones would never fit behind
// them. A server that holds nothing takes any request, or nothing would show that waits are short again. A
// request that may have run and can't be refused is allowed to finish. The limit harms where requests of
// little worth come in bursts that would have fit in between.
func (g *Gateway) maxWait(r *request, s *server, left float64) float64 {
	wait, relaxation := left, math.Max(0, 1-g.topClassShortage.Now(g.now, shortageMemory)/shortageThreshold)
	for _, c := range g.settings.Classes {
		if c.refusalCost() > r.class.refusalCost() && !c.IsRemoved && len(s.outstanding) > 0 &&
			g.canRefuse(r) {
			wait = min(wait, lowWorthTargetShare*c.LatencyTarget.Seconds()+relaxation*left)
		}
	}
	return wait
}

// canHold reports whether a request may wait in the queue of held requests. The queue is bounded and keeps no
// request that can't meet its target: otherwise all would be late.
func (g *Gateway) canHold(r *request) bool {
	left := (r.due - g.now).Seconds()
	maxHeld := math.Max(minHeld,
		g.answers.rate(g.now, throughputMemory)*heldTargetShare*r.class.LatencyTarget.Seconds())
	return left > g.expectedLatency(r) && r.deadline-g.now > recheckInterval+2*g.settings.Tick &&
		float64(len(g.held)) < maxHeld
}

// recheckHeld tries to route the held requests again, in order.
func (g *Gateway) recheckHeld() {
	held := g.held
	g.held = nil
	for _, r := range held {
		g.route(r)
	}
}

// send starts an attempt at a server. The first attempt of a request uses up ceiling tokens, unless a total
// has shown the request to be under its ceiling; without tokens the request is given up.
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

// attemptTimeout returns how long an attempt may take before a retry. Where no retry is possible, it is the
// time until an answer is worth nothing, so that its slot under a cap and at its server is free at once then.
// 0 means until the client leaves.
func (g *Gateway) attemptTimeout(r *request, wait float64) time.Duration {
	if r.class.Effect == Unsafe || r.class.IsStream { // its client may want the outcome, however late
		return 0
	}
	last := time.Duration(0)
	if r.class.LateWorth == 0 {
		last = max(0, r.due-g.now)
	}
	if g.hasSpentAttempts(r) || g.retryBudget < 1 {
		return last
	}
	expected := g.expectedLatency(r)
	timeout := max(seconds(attemptTimeoutFactor*math.Max(expected, wait)),
		seconds(attemptTimeoutShare*(r.due-g.now).Seconds()))
	if g.now+timeout+seconds(1.5*expected) > r.due || g.now+timeout+2*g.settings.Tick >= r.deadline ||
		r.class.Effect == Keyed && timeout+4*g.settings.Tick > r.class.RepeatWindow {
		return last
	}
	return timeout
}

// onAttemptEnded handles the end of an attempt: the request is finished, retried or given up. An attempt that
// surely did not run costs no retry budget.
func (g *Gateway) onAttemptEnded(ev AttemptEnded) {
	r := g.requests[ev.ID]
	ended := g.endAttempt(r, ev)
	if ended == nil {
		return
	}
	didNotRun := ev.Outcome == Full || ev.Outcome == Unreachable || ev.Outcome == NotSent
	if !didNotRun && ev.Outcome != OK && r.priorServer == nil {
		r.priorServer, r.priorSentAt = ended.server, ended.sentAt
	}
	if c := r.customer; ev.Billed > 0 && ev.Outcome == OK && !r.isDone && c != nil && c.plan.Rate > 0 {
		correction := float64(ev.Billed) - r.units // added with the next counter call
		c.quotaTokens -= correction
		g.rollWindow(c, &c.quotaCounter)
		c.quotaCounter.pending += correction
	}
	switch {
	case ev.Done || r.isDone:
		g.finish(r)
	case r.liveAttempts > 0:
	case didNotRun:
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

// learnFromAttempt updates what is known of the server, of the request's class and of all answers when an
// attempt has ended.
func (g *Gateway) learnFromAttempt(a *attempt, r *request, ev AttemptEnded) {
	s, expected, took := a.server, g.expectedLatency(r), ev.Took.Seconds()
	s.relativeLatency = s.relativeLatencyAt(g.now)
	if i := slices.Index(s.outstanding, a.sentAt); i >= 0 {
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
		s.relativeLatency += latencyWeight * (math.Min(maxRelativeLatency, took/expected) - s.relativeLatency)
		if s.failures > 0 {
			s.failures, s.ejectedUntil = 0, 0
			g.log(maxLogLines, "server %s back", s.Name)
		}
		g.classLatency[r.classIndex].Learn(took, r.units, classLatencyWeight)
		g.meanLatency += classLatencyWeight * (took - g.meanLatency)
	case Errored: // by latency alone, a server that fails at once would look like the fastest of all
		s.lastResponseAt = g.now
		if s.errors++; s.errors >= errorThreshold {
			s.rejectShare.Learn(g.now, rejectMemory, rejectWeight, 1)
			g.eject(s)
		}
	case Full:
		s.lastResponseAt = g.now
		s.rejectShare.Learn(g.now, rejectMemory, rejectWeight, 1)
		s.rejectLatency += latencyWeight * (took - s.rejectLatency)
	case TimedOut:
		g.timeoutShare += timeoutShareWeight * (1 - g.timeoutShare)
		// In the other cases only the answer was lost, or only this server is slow.
		if !g.isOutlier(s) && (g.timeoutShare > maxLossShare ||
			g.meanLatency > slowThreshold*(r.due-r.arrivedAt).Seconds()) {
			g.adjustAdmitShare(true)
		}
		if s.lastResponseAt < a.sentAt {
			g.eject(s)
		}
		s.relativeLatency = math.Max(s.relativeLatency,
			s.relativeLatency+latencyWeight*(math.Min(maxRelativeLatency, took/expected)-s.relativeLatency))
	case Broken: // one unreadable answer proves little; two in a row mean that the server is gone
		if s.connectionFailures++; s.connectionFailures > 1 {
			g.eject(s)
		}
	case Unreachable:
		s.connectionFailures += downThreshold
		g.eject(s)
	}
}

// adjustAdmitShare lowers the share of requests that are admitted while answers come late. Only a large fleet
// does so: with many gateways, no limit of one gateway at one server shows the queue there. A prompt answer
// also counts for the requests that were not admitted, or too few answers would show that the overload is
// over. It harms where requests are long by nature.
func (g *Gateway) adjustAdmitShare(isLate bool) {
	if !g.isLargeFleet() {
		return
	}
	if g.admitShare = math.Min(1, g.admitShare+admitShareGain/g.admitShare); isLate {
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
