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
	g.out = g.out[:0]
	g.now = max(now, g.now)
	clear(g.calls)
	g.held, g.holdAt = nil, 0
	for _, r := range g.requests {
		r.calls = nil
		r.theirs = true
		if c := r.cust; c != nil && !r.sent && !r.done && c.plan.CeilingRate > 0 {
			c.hard -= r.units
			r.aside = true
		}
	}
	g.budget = max(0, g.budget-float64(len(g.requests)))
	g.started = true
	g.timer(timerSweep, 0, g.now+sweepEvery)
	if g.s.MustSubscribe {
		g.do(Subscribe{On: true})
	}
	return g.out
}

// Retire leaves a gateway whose successor has adopted its state with a retry for each request it still has.
func (g *Gateway) Retire() { g.budget = min(g.budget, float64(len(g.requests))) }

// Reclaim puts a retired gateway back in place of a successor that has died. What that one sent since is not
// known here: as after a start, the parts of the ceilings begin empty. Quotas are put right by the next total.
func (g *Gateway) Reclaim(now time.Duration) {
	g.now = max(now, g.now)
	g.began = g.now
	clear(g.calls) // what was ordered since was not made, so answers could be taken for others'
	for _, c := range g.customers {
		if c.plan.CeilingRate > 0 {
			c.hard, c.hardAt = min(c.hard, 0), g.now
		}
	}
}

// PredecessorSent: the predecessor has sent a request of its own on.
func (g *Gateway) PredecessorSent(now time.Duration, id uint64, name string) {
	g.now = max(now, g.now)
	r := g.requests[id]
	if r == nil || !r.theirs {
		return
	}
	if c := r.cust; !r.sent && c != nil {
		if c.plan.Rate > 0 && c.rides(r.units) {
			g.refill(c)
		}
		g.charge(r, 1)
		c.out++
	}
	r.aside = false
	g.begin(r, g.server(name))
}

// PredecessorAttemptEnded: an attempt of the predecessor's has ended. It tells of its server as one of ours does.
func (g *Gateway) PredecessorAttemptEnded(now time.Duration, ev AttemptEnded) {
	g.now = max(now, g.now)
	if r := g.requests[ev.ID]; r != nil && r.theirs {
		g.over(r, ev)
	}
}

// PredecessorDone: a request of the predecessor's is over. What it had set aside or drawn and did not use is
// given back. The actions put the shared counter right.
func (g *Gateway) PredecessorDone(now time.Duration, id uint64) []Action {
	g.out = g.out[:0]
	g.now = max(now, g.now)
	if r := g.requests[id]; r != nil && r.theirs {
		g.close(r)
	}
	return g.out
}

// PredecessorGone: no more will be told. What it had sent may have run, so nothing of that is given back.
func (g *Gateway) PredecessorGone(now time.Duration) []Action {
	g.out = g.out[:0]
	g.now = max(now, g.now)
	ids := make([]uint64, 0, len(g.requests))
	for id, r := range g.requests {
		if r.theirs {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g.close(g.requests[id])
	}
	return g.out
}

// PredecessorRequests tells how many requests of the predecessor's are not over.
func (g *Gateway) PredecessorRequests() (n int) {
	for _, r := range g.requests {
		if r.theirs {
			n++
		}
	}
	return n
}

func (g *Gateway) close(r *request) {
	for i := range r.tries {
		g.over(r, AttemptEnded{Attempt: i, Outcome: Cancelled})
	}
	if r.aside && r.cust != nil {
		r.cust.hard += r.units
		r.aside = false
	}
	g.finish(r)
}
