package admission

// Final answers: how a request ends.

import "time"

const (
	// Most log lines that a gateway writes in its life: a server or counter that fails and recovers over and
	// over must not flood the log.
	maxLogLines = 300
	// Retry-after of requests that are refused for overload, not for their quota.
	overloadRetryAfter = 100 * time.Millisecond
)

// cancelAttempts cancels the open attempts of a request whose client has left, so that their slots under a
// cap and at the servers are free again. They may have run, and a cancelled attempt says nothing about its
// server. Streams and requests that must not run twice are not cancelled.
func (g *Gateway) cancelAttempts(r *request) {
	for i, a := range r.attempts {
		if a.isLive && g.settings.CanCancel && !r.class.IsStream && r.class.Effect != Unsafe {
			g.emit(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// giveUp ends a request that will not be served: it refuses it, or fails it if a retry of the client could do
// harm, as a refusal promises that it does none.
func (g *Gateway) giveUp(r *request, reason Reason) {
	if g.canRefuse(r) {
		after := overloadRetryAfter
		if g.now >= r.due { // any answer to this request would be too late now
			after = max(after, g.settings.LateRetryAfter)
		}
		g.refuse(r, after, reason)
		return
	}
	g.emit(Fail{ID: r.id, Reason: reason})
	g.finish(r)
}

// refuse ends a request with a refusal, and the advice when to try again if the settings allow it.
func (g *Gateway) refuse(r *request, after time.Duration, reason Reason) {
	if !g.settings.CanSendRetryAfter {
		after = 0
	}
	g.emit(Refuse{ID: r.id, RetryAfter: after, Reason: reason})
	g.finish(r)
}

// finish marks a request as answered. It is forgotten, and its units are returned, once none of its attempts
// is open.
func (g *Gateway) finish(r *request) {
	r.isDone = true
	r.detachCalls()
	if r.liveAttempts > 0 || g.requests[r.id] != r {
		return
	}
	delete(g.requests, r.id)
	if r.wasSent {
		g.meanTimeInFlight += timeInFlightWeight *
			((g.now - r.attempts[0].sentAt).Seconds() - g.meanTimeInFlight)
		if r.customer != nil {
			r.customer.inFlight--
		}
	}
	g.returnUnits(r)
}
