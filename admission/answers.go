package admission

// Final answers: a request's end.

import "time"

const (
	logMost    = 300                    // lines for the operator in one life: a flapping part must not flood
	shedAdvice = 100 * time.Millisecond // retry-after of what is shed: pressure, not quota
)

// callOff cancels what is still out for a request nobody waits for any more, so that its slots under a cap
// and at the servers are free again. It may have run, and an attempt called off is no sign of its server.
func (g *Gateway) callOff(r *request) {
	for i, t := range r.tries {
		if t.live && g.s.CanCancel && !r.class.IsStream && r.class.Effect != Unsafe {
			g.do(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// giveUp gives the final answer of a request that will not be served.
func (g *Gateway) giveUp(r *request, why Reason) {
	if g.mayRefuse(r) {
		after := shedAdvice
		if g.now >= r.due { // whatever comes of this request now is too late
			after = max(after, g.s.MaxRetryAfter)
		}
		g.refuse(r, after, why)
		return
	}
	g.do(Fail{ID: r.id, Reason: why})
	g.finish(r)
}

func (g *Gateway) refuse(r *request, after time.Duration, why Reason) {
	if !g.s.CanSendRetryAfter {
		after = 0
	}
	g.do(Refuse{ID: r.id, RetryAfter: after, Reason: why})
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
