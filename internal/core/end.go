package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// The end of a stream.

// Leave tells that a stream's client has gone.
func (c *Core) ClientDisconnected(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	if s := c.streams[id]; s != nil && !s.isClosed {
		s.owner = nil
		c.abandonStream(s, ClientLeft)
	}
}

// abandonStream ends a stream that nobody waits for any more. What waits for its connection is not sent on, whatever the
// module makes of attempts that are out.
func (c *Core) abandonStream(s *stream, kind EndKind) {
	s.isLeaveUnreported = true
	c.unreportedLeaves = append(c.unreportedLeaves, s)
	c.closeStream(s, End{Kind: kind})
	c.events = append(c.events, admission.ClientLeft{ID: s.id})
	for i := range s.attempts {
		c.withdraw(Ref{s.id, i})
	}
}

// ExpireStreams ends every stream that is still open, for there is no time left to wait for its answer.
func (c *Core) ExpireStreams(now time.Duration) {
	c.AdvanceClock(now)
	for _, s := range c.streams {
		if !s.isClosed {
			c.abandonStream(s, Expired)
		}
	}
}

// closeStream closes a stream, once.
func (c *Core) closeStream(s *stream, e End) {
	s.isClosed = true
	c.logRequestEnded(s, e.Kind)
	c.endReason = ""
	c.openStreams--
	if s.isIncomplete {
		c.incompleteStreams--
	}
	e.HasAttempts = len(s.attempts) > 0
	if class := s.class; e.Answer.Rest != nil {
		e.OnRelayed = func(whole bool) { c.countRelayed(class, whole) }
	} else {
		c.countEnd(class, e.Kind)
	}
	owner := s.owner
	s.owner = nil
	if owner != nil {
		owner.End(e)
	}
	if c.observer != nil {
		rec := StreamRecord{Class: s.class, Plan: s.plan, Customer: s.customer, IsRetry: s.isRetry, Trace: s.trace, Kind: e.Kind, Began: s.startedAt, Took: c.now - s.startedAt}
		for _, t := range s.attempts {
			rec.Attempts = append(rec.Attempts, t.AttemptRecord)
		}
		c.observer.StreamEnded(rec)
	}
	c.removeIfFinished(s)
}

// removeIfFinished lets go of a stream of which nothing is owed or out any more.
func (c *Core) removeIfFinished(s *stream) {
	if !s.isClosed || s.pendingAttempts > 0 {
		return
	}
	c.releaseKeys(s)
	if !s.isLeaveUnreported {
		delete(c.streams, s.id)
	}
}

// releaseKeys frees what no two streams may have at a time.
func (c *Core) releaseKeys(s *stream) {
	if s.isReleased {
		return
	}
	s.isReleased, s.payload = true, nil
	delete(c.requestIDs, s.requestID)
	if s.idempotencyKey != "" {
		c.idempotencyKeys.closeStream(s.idempotencyKey, s.id)
	}
	if c.handoverObserver != nil {
		c.handoverObserver.StreamDone(s.id, c.now)
	}
}
