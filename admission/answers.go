package admission

// Final answers: a request's end.

import "time"

const (
	maxLogLines        = 300                    // lines for the operator in one life: a flapping part must not flood
	overloadRetryAfter = 100 * time.Millisecond // retry-after of what is shed: pressure, not quota
)

// cancelAttempts cancels what is still out for a request nobody waits for any more, so that its slots under a cap
// and at the servers are free again. It may have run, and an attempt called off is no sign of its server.
func (g *Gateway) cancelAttempts(r *request) {
	for i, t := range r.attempts {
		if t.isLive && g.settings.CanCancel && !r.class.IsStream && r.class.Effect != Unsafe {
			g.emit(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// giveUp gives the final answer of a request that will not be served.
func (g *Gateway) giveUp(r *request, why Reason) {
	if g.canRefuse(r) {
		after := overloadRetryAfter
		if g.now >= r.due { // whatever comes of this request now is too late
			after = max(after, g.settings.MaxRetryAfter)
		}
		g.refuse(r, after, why)
		return
	}
	g.emit(Fail{ID: r.id, Reason: why})
	g.finish(r)
}

func (g *Gateway) refuse(r *request, after time.Duration, why Reason) {
	if !g.settings.CanSendRetryAfter {
		after = 0
	}
	g.emit(Refuse{ID: r.id, RetryAfter: after, Reason: why})
	g.finish(r)
}

// finish ends a request; it is forgotten once nothing of it is out.
func (g *Gateway) finish(r *request) {
	r.isDone = true
	r.detachCalls()
	if r.liveAttempts > 0 || g.requests[r.id] != r {
		return
	}
	delete(g.requests, r.id)
	if r.wasSent {
		g.meanTimeInFlight += timeInFlightWeight * ((g.now - r.attempts[0].sentAt).Seconds() - g.meanTimeInFlight)
		if r.customer != nil {
			r.customer.inFlight--
		}
	}
	g.returnUnits(r)
}
