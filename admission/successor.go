package admission

import (
	"slices"
	"time"
)

// What two gateways of one ingress keep to while the one takes over from the other. The old one still owns
// the requests that it has taken; the successor carries each of them as its predecessor's until its end is
// told. Nothing here decides: it books what was decided on the other side.
//
// The sum of both stays within what one would have let in:
//
//   - Quota: what a predecessor's request draws is drawn here too, when it is told to have been sent.
//   - Ceiling: units of a predecessor's request that is not sent yet are set aside here at once, and given
//     back when it ends unsent.
//   - Servers: its attempts count among a server's until they end; a cold one stays as cold as it is.
//   - Retries: the predecessor keeps one for each request that it still has; the rest goes along.

// Adopt makes of a resumed gateway its predecessor's successor. What is out on the counter is answered over
// there: as with a call out of time, it may have been added, and the next total tells. The actions arm what
// a start arms.
func (g *Gateway) Adopt(now time.Duration) []Action {
	g.actions = g.actions[:0]
	g.now = max(now, g.now)
	clear(g.counterCalls)
	g.held, g.recheckAt = nil, 0
	for _, r := range g.requests {
		r.pendingCalls = nil
		r.isPredecessors = true
		if c := r.customer; c != nil && !r.wasSent && !r.isDone && c.plan.CeilingRate > 0 {
			c.ceilingTokens -= r.units
			r.hasReservedTokens = true
		}
	}
	g.retryBudget = max(0, g.retryBudget-float64(len(g.requests)))
	g.isStarted = true
	g.setTimer(timerExpiry, 0, g.now+expiryInterval)
	if g.settings.MustSubscribe {
		g.emit(Subscribe{On: true})
	}
	return g.actions
}

// Retire leaves a gateway whose successor has adopted its state with a retry for each request it still has.
func (g *Gateway) Retire() { g.retryBudget = min(g.retryBudget, float64(len(g.requests))) }

// Reclaim puts a retired gateway back in place of a successor that has died. What that one sent since is not
// known here: as after a start, the parts of the ceilings begin empty. Quotas are put right by the next total.
func (g *Gateway) Reclaim(now time.Duration) {
	g.now = max(now, g.now)
	g.ceilingStart = g.now
	clear(g.counterCalls) // what was ordered since was not made, so answers could be taken for others'
	for _, c := range g.customers {
		if c.plan.CeilingRate > 0 {
			c.ceilingTokens, c.ceilingTokensAt = min(c.ceilingTokens, 0), g.now
		}
	}
}

// PredecessorSent: the predecessor has sent a request of its own on.
func (g *Gateway) PredecessorSent(now time.Duration, id uint64, name string) {
	g.now = max(now, g.now)
	r := g.requests[id]
	if r == nil || !r.isPredecessors {
		return
	}
	if c := r.customer; !r.wasSent && c != nil {
		if c.plan.Rate > 0 && c.canDefer(r.units) {
			g.refillQuota(c)
		}
		g.chargeQuota(r, 1)
		c.inFlight++
	}
	r.hasReservedTokens = false
	g.startAttempt(r, g.serverOrStub(name))
}

// PredecessorAttemptEnded: an attempt of the predecessor's has ended. It tells of its server as one of ours does.
func (g *Gateway) PredecessorAttemptEnded(now time.Duration, ev AttemptEnded) {
	g.now = max(now, g.now)
	if r := g.requests[ev.ID]; r != nil && r.isPredecessors {
		g.endAttempt(r, ev)
	}
}

// PredecessorDone: a request of the predecessor's is over. What it had set aside or drawn and did not use is
// given back. The actions put the shared counter right.
func (g *Gateway) PredecessorDone(now time.Duration, id uint64) []Action {
	g.actions = g.actions[:0]
	g.now = max(now, g.now)
	if r := g.requests[id]; r != nil && r.isPredecessors {
		g.closeRequest(r)
	}
	return g.actions
}

// PredecessorGone: no more will be told. What it had sent may have run, so nothing of that is given back.
func (g *Gateway) PredecessorGone(now time.Duration) []Action {
	g.actions = g.actions[:0]
	g.now = max(now, g.now)
	ids := make([]uint64, 0, len(g.requests))
	for id, r := range g.requests {
		if r.isPredecessors {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g.closeRequest(g.requests[id])
	}
	return g.actions
}

// PredecessorRequests tells how many requests of the predecessor's are not over.
func (g *Gateway) PredecessorRequests() (n int) {
	for _, r := range g.requests {
		if r.isPredecessors {
			n++
		}
	}
	return n
}

func (g *Gateway) closeRequest(r *request) {
	for i := range r.attempts {
		g.endAttempt(r, AttemptEnded{Attempt: i, Outcome: Cancelled})
	}
	if r.hasReservedTokens && r.customer != nil {
		r.customer.ceilingTokens += r.units
		r.hasReservedTokens = false
	}
	g.finish(r)
}
