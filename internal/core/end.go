package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// The end of a stream.

// Leave tells that a stream's client has gone.
func (c *Core) ClientDisconnected(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	if s := c.streams[id]; s != nil && !s.closed {
		s.owner = nil
		c.leave(s, ClientLeft)
	}
}

// leave ends a stream that nobody waits for any more. What waits for its connection is not sent on, whatever the
// module makes of attempts that are out.
func (c *Core) leave(s *stream, kind EndKind) {
	s.leaving = true
	c.leaving = append(c.leaving, s)
	c.end(s, End{Kind: kind})
	c.events = append(c.events, admission.ClientLeft{ID: s.id})
	for i := range s.attempts {
		c.withdraw(Ref{s.id, i})
	}
}

// ExpireStreams ends every stream that is still open, for there is no time left to wait for its answer.
func (c *Core) ExpireStreams(now time.Duration) {
	c.AdvanceClock(now)
	for _, s := range c.streams {
		if !s.closed {
			c.leave(s, Expired)
		}
	}
}

// end closes a stream, once.
func (c *Core) end(s *stream, e End) {
	s.closed = true
	c.traceEnd(s, e.Kind)
	c.reason = ""
	c.open--
	if s.open {
		c.coming--
	}
	e.HasAttempts = len(s.attempts) > 0
	if class := s.class; e.Answer.Rest != nil {
		e.OnRelayed = func(whole bool) { c.relayed(class, whole) }
	} else {
		c.tally(class, e.Kind)
	}
	owner := s.owner
	s.owner = nil
	if owner != nil {
		owner.End(e)
	}
	if c.observer != nil {
		rec := StreamRecord{Class: s.class, Plan: s.plan, Customer: s.customer, IsRetry: s.retry, Trace: s.trace, Kind: e.Kind, Began: s.began, Took: c.now - s.began}
		for _, t := range s.attempts {
			rec.Attempts = append(rec.Attempts, t.AttemptRecord)
		}
		c.observer.StreamEnded(rec)
	}
	c.forget(s)
}

// forget lets go of a stream of which nothing is owed or out any more.
func (c *Core) forget(s *stream) {
	if !s.closed || s.live > 0 {
		return
	}
	c.release(s)
	if !s.leaving {
		delete(c.streams, s.id)
	}
}

// release frees what no two streams may have at a time.
func (c *Core) release(s *stream) {
	if s.released {
		return
	}
	s.released, s.payload = true, nil
	delete(c.keys, s.key)
	if s.order != "" {
		c.orders.end(s.order, s.id)
	}
	if c.witness != nil {
		c.witness.StreamDone(s.id, c.now)
	}
}
