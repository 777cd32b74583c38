package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// maxPartialDuration bounds the life of a stream whose request never arrives fully. The reader of the request gives
// up long before.
const maxPartialDuration = time.Hour

// stream is a client's request that is owed one answer. It is tracked until it is closed and none of its attempts is
// pending.
type stream struct {
	id                        uint64
	requestID, idempotencyKey string
	payload                   Payload
	owner                     Owner // nil once the stream is closed or the client has left
	startedAt, deadline       time.Duration
	class, plan               int
	customer                  uint64
	isRetry                   bool
	repeatWindow              time.Duration // how long a repeat of its key is recognised, by the settings at its start
	trace                     Trace
	timeout                   time.Duration // of a partial request, from the time when it is complete
	isPartial                 bool          // a part of the request is still to arrive
	isClosed                  bool
	isDisconnectUnreported    bool // the client has left and the module has not been told
	isReleased                bool // the request id and the idempotency key are free again
	hasTimedOut               bool // the last upstream request to end timed out
	attempts                  []attempt
	pendingAttempts           int
}

// StartStream opens a stream and returns its id. It returns 0 and opens none if a stream with the same request id or
// idempotency key is open or has pending upstream requests: upstream hosts would take one request for a copy of the
// other.
func (c *Core) StartStream(now time.Duration, r Request) uint64 {
	c.AdvanceClock(now)
	window := c.idempotencyKeys.repeatWindow(r.Class)
	if window == 0 {
		r.IdempotencyKey = ""
	}
	c.idempotencyKeys.removeExpired(c.now)
	c.cancelDisconnectedStream(r.IdempotencyKey)
	if r.IdempotencyKey != "" && c.idempotencyKeys.hasOpenStream(r.IdempotencyKey) {
		c.logRequestRejected(r, "a request with this idempotency key is open")
		c.countEnd(r.Class, Failed) // the front answers with an error
		return 0
	}
	if r.RequestID != "" {
		if _, isOpen := c.requestIDs[r.RequestID]; isOpen {
			c.logRequestRejected(r, "a request with this Request-Id is open")
			c.countEnd(r.Class, Failed)
			return 0
		}
		c.requestIDs[r.RequestID] = struct{}{}
	}
	c.lastID++
	ev := r.RequestArrived
	ev.ID = c.lastID
	ev.ExpiresIn = max(0, ev.ExpiresIn-c.deadlineMargin)
	if r.IdempotencyKey != "" {
		ev.PriorAttempt = c.idempotencyKeys.earlierAttempt(r.IdempotencyKey, c.now)
		c.idempotencyKeys.openStream(r.IdempotencyKey, ev.ID)
	}
	s := &stream{id: ev.ID, requestID: r.RequestID, idempotencyKey: r.IdempotencyKey, payload: r.Payload,
		owner: r.Owner, startedAt: c.now, deadline: c.now + ev.ExpiresIn, class: ev.Class, plan: ev.Plan,
		customer: ev.Customer, isRetry: ev.IsRetry, repeatWindow: window, trace: r.Trace}
	c.streams[s.id] = s
	c.openStreams++
	if r.IsPartial {
		s.isPartial, s.timeout, s.deadline = true, ev.ExpiresIn, c.now+maxPartialDuration
		c.partialStreams++
	} else {
		c.setDeadlineTimers(s)
	}
	c.logRequestStarted(s, ev.ExpiresIn)
	c.events = append(c.events, ev)
	return s.id
}

// cancelDisconnectedStream runs a turn at once if the stream with the given idempotency key is closed and the module has
// not seen all events, such as that its client has left. Otherwise that stream's attempts would be cancelled only at the
// end of the turn, and the new request with the key would be rejected because of them.
func (c *Core) cancelDisconnectedStream(idempotencyKey string) {
	if entry := c.idempotencyKeys.entries[idempotencyKey]; entry != nil && c.HasPendingEvents() && !c.isExecuting {
		if s := c.streams[entry.streamID]; s != nil && s.isClosed {
			c.Turn(c.now)
		}
	}
}

// setDeadlineTimers sets the timers for a stream's deadline.
func (c *Core) setDeadlineTimers(s *stream) {
	c.timers.Push(s.deadline, timer{kind: deadlineTimer, ref: Ref{Stream: s.id}})
	c.timers.Push(s.deadline+c.deadlineMargin/2, timer{kind: overdueTimer, ref: Ref{Stream: s.id}})
}

// RequestCompleted reports that the rest of a partial request has arrived. Its time, and that of its attempts, runs
// from now.
func (c *Core) RequestCompleted(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	s := c.streams[id]
	if s == nil || !s.isPartial || s.isClosed {
		return
	}
	s.isPartial, s.deadline = false, c.now+s.timeout
	c.partialStreams--
	c.setDeadlineTimers(s)
	for i := range s.attempts {
		a := &s.attempts[i]
		if !a.isPending {
			continue
		}
		if s.idempotencyKey != "" {
			c.idempotencyKeys.updateStart(s.idempotencyKey, a.Host, a.Began, c.now, s.repeatWindow)
		}
		a.Began = c.now
		if a.timeout > 0 && a.timeout < s.timeout {
			c.timers.Push(c.now+a.timeout, timer{kind: attemptTimer, ref: Ref{s.id, i}})
		}
	}
	c.events = append(c.events, admission.RequestComplete{ID: id})
}

// ClientDisconnected reports that a stream's client has left.
func (c *Core) ClientDisconnected(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	if s := c.streams[id]; s != nil && !s.isClosed {
		s.owner = nil
		c.abandonStream(s, ClientLeft)
	}
}

// ExpireStreams ends every open stream with Expired, when there is no time left to wait for answers.
func (c *Core) ExpireStreams(now time.Duration) {
	c.AdvanceClock(now)
	for _, s := range c.streams {
		if !s.isClosed {
			c.abandonStream(s, Expired)
		}
	}
}

// abandonStream ends a stream whose answer nobody waits for any more. Upstream requests that still wait for their
// connection are withdrawn, whatever the module does with those that are written.
func (c *Core) abandonStream(s *stream, kind EndKind) {
	s.isDisconnectUnreported = true
	c.unreportedDisconnects = append(c.unreportedDisconnects, s)
	c.closeStream(s, End{Kind: kind})
	c.events = append(c.events, admission.ClientLeft{ID: s.id})
	for i := range s.attempts {
		c.withdraw(Ref{s.id, i})
	}
}

// closeStream passes a stream's end to its owner and to the observer. It is called once for each stream.
func (c *Core) closeStream(s *stream, e End) {
	s.isClosed = true
	c.logRequestEnded(s, e.Kind)
	c.endReason = ""
	c.openStreams--
	if s.isPartial {
		c.partialStreams--
	}
	e.HasAttempts = len(s.attempts) > 0
	if class := s.class; e.Answer.Rest != nil {
		e.OnRelayed = func(isComplete bool) { c.countRelayed(class, isComplete) }
	} else {
		c.countEnd(class, e.Kind)
	}
	owner := s.owner
	s.owner = nil
	if owner != nil {
		owner.End(e)
	}
	if c.observer != nil {
		record := StreamRecord{Class: s.class, Plan: s.plan, Customer: s.customer, IsRetry: s.isRetry,
			Trace: s.trace, Kind: e.Kind, Began: s.startedAt, Took: c.now - s.startedAt}
		for _, a := range s.attempts {
			record.Attempts = append(record.Attempts, a.AttemptRecord)
		}
		c.observer.StreamEnded(record)
	}
	c.removeIfFinished(s)
}

// removeIfFinished stops tracking a stream that is closed and has no pending attempts. One whose disconnect is
// unreported stays until removeReportedDisconnects.
func (c *Core) removeIfFinished(s *stream) {
	if !s.isClosed || s.pendingAttempts > 0 {
		return
	}
	c.releaseKeys(s)
	if !s.isDisconnectUnreported {
		delete(c.streams, s.id)
	}
}

// removeReportedDisconnects removes finished streams after a turn that told the module that their clients have left. Earlier
// in that turn the module may still send such a request because of a previous event, and each send must be answered.
func (c *Core) removeReportedDisconnects(streams []*stream) {
	for _, s := range streams {
		s.isDisconnectUnreported = false
		c.removeIfFinished(s)
	}
}

// releaseKeys frees the request id and idempotency key of a stream, which no two streams may have at a time.
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

// countRelayed counts the end of a request whose answer was relayed while it arrived.
func (c *Core) countRelayed(class int, isComplete bool) {
	if isComplete {
		c.countEnd(class, Served)
	} else {
		c.countEnd(class, Failed)
	}
}

// countEnd counts the end of a request, unless its client abandoned it.
func (c *Core) countEnd(class int, kind EndKind) {
	counts := c.metrics.Class(class)
	switch {
	case counts == nil || kind == ClientLeft:
	case kind == Served:
		counts.Success++
	case kind == Refused:
		counts.Busy++
	default:
		counts.Failure++
	}
}
