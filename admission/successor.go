package admission

import (
	"slices"
	"time"
)

// The handover from one process of an ingress to its successor. The predecessor still owns the requests that
// it has taken; the successor keeps each of them, marked as the predecessor's, until the predecessor reports
// its end. Nothing here decides: it records what the predecessor decided.
//
// Together both processes let through no more than one would have:
//
//   - Quota: what a predecessor's request uses is charged here, too, when the predecessor reports it sent.
//   - Ceiling: units of a predecessor's request that is not sent yet are set aside here at once, and returned
//     when it ends unsent.
//   - Servers: the predecessor's attempts count at their servers until they end; a server's warm-up goes on.
//   - Retries: the predecessor keeps one for each request that it still has; the successor has the rest.

// Adopt turns a gateway with a restored state into the successor of the gateway that the state is from. Open
// counter calls are answered at the predecessor: like calls that timed out, they may have been added, which
// the next total shows. The actions start the timers and the subscription that a new gateway starts.
func (g *Gateway) Adopt(now time.Duration) []Action {
	g.actions = g.actions[:0]
	g.now = max(now, g.now)
	clear(g.counterCalls)
	g.held, g.recheckAt = nil, 0
	for _, r := range g.requests {
		r.pendingCalls = nil
		r.isOwnedByPredecessor = true
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

// Retire limits a gateway whose successor has adopted its state to one retry for each request it still has.
func (g *Gateway) Retire() { g.retryBudget = min(g.retryBudget, float64(len(g.requests))) }

// Reclaim lets a retired gateway decide again after its successor has died. What the successor sent is
// unknown here, so the parts of the ceilings start empty, as at a start. Quotas are corrected by the next
// total.
func (g *Gateway) Reclaim(now time.Duration) {
	g.now = max(now, g.now)
	g.ceilingStart = g.now
	clear(g.counterCalls) // calls emitted since then were not made: later answers would be matched to them
	for _, c := range g.customers {
		if c.plan.CeilingRate > 0 {
			c.ceilingTokens, c.ceilingTokensAt = min(c.ceilingTokens, 0), g.now
		}
	}
}

// PredecessorSent records that the predecessor has sent a request of its own to a server. Other requests are
// ignored.
func (g *Gateway) PredecessorSent(now time.Duration, id uint64, server string) {
	g.now = max(now, g.now)
	r := g.requests[id]
	if r == nil || !r.isOwnedByPredecessor {
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
	g.startAttempt(r, g.serverOrStub(server))
}

// PredecessorAttemptEnded records the end of an attempt of the predecessor and learns from it as from one of
// this gateway.
func (g *Gateway) PredecessorAttemptEnded(now time.Duration, ev AttemptEnded) {
	g.now = max(now, g.now)
	if r := g.requests[ev.ID]; r != nil && r.isOwnedByPredecessor {
		g.endAttempt(r, ev)
	}
}

// PredecessorDone records that a request of the predecessor is over. What was set aside or charged for it and
// not used is returned. The actions correct the shared counter.
func (g *Gateway) PredecessorDone(now time.Duration, id uint64) []Action {
	g.actions = g.actions[:0]
	g.now = max(now, g.now)
	if r := g.requests[id]; r != nil && r.isOwnedByPredecessor {
		g.closeRequest(r)
	}
	return g.actions
}

// PredecessorGone ends all requests of the predecessor: it will report no more. What it had sent may have run,
// so nothing of that is returned. The actions correct the shared counter.
func (g *Gateway) PredecessorGone(now time.Duration) []Action {
	g.actions = g.actions[:0]
	g.now = max(now, g.now)
	ids := make([]uint64, 0, len(g.requests))
	for id, r := range g.requests {
		if r.isOwnedByPredecessor {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g.closeRequest(g.requests[id])
	}
	return g.actions
}

// PredecessorRequests returns how many requests of the predecessor are not over.
func (g *Gateway) PredecessorRequests() (n int) {
	for _, r := range g.requests {
		if r.isOwnedByPredecessor {
			n++
		}
	}
	return n
}

// closeRequest ends a request of the predecessor and its open attempts, and returns what was set aside for it.
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
