package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// maxPartialDuration bounds the life of a stream whose request never arrives fully. The client connection aborts such a
// request long before.
const maxPartialDuration = time.Hour

// stream is a client's request that is owed one answer. It is open until it is answered or abandoned, and then closed. It
// has finished, and is no longer tracked, when it is closed and none of its attempts is pending.
type stream struct {
	id                        uint64
	requestID, idempotencyKey string
	payload                   Payload
	owner                     Owner // nil once the stream is closed or the client has left
	startedAt, deadline       time.Duration
	class, plan               int
	customer                  uint64
	isRetry                   bool
	isWrite                   bool // it must not run twice under one request id
	mayHaveRun                bool // an attempt that has ended may have run
	hasClientLeft             bool
	deadlineFiredAt           time.Duration // when deadlineTimer fired
	repeatWindow              time.Duration // of its idempotency key, by the settings at its start; see keyTable
	trace                     Trace
	timeout                   time.Duration // of a partial request: its deadline is this long after its completion
	isPartial                 bool          // a part of the request is still to arrive
	lastIncomplete            func() time.Duration
	isClosed                  bool
	isClientLeftPending       bool // abandoned, and the module has not been told by a ClientLeft event
	isReleased                bool // the request id and the idempotency key are free again
	hasTimedOut               bool // the last upstream request to end timed out
	attempts                  []attempt
	pendingAttempts           int
}

// StartStream opens a stream and returns its id. It returns 0 and opens none if a stream with the same request id or
// idempotency key is open or has pending upstream requests: upstream hosts would take one request for a copy of the
// other. The same holds if a write with the same request id may have run and its client left before it was answered.
func (c *Core) StartStream(now time.Duration, r Request) uint64 {
	c.AdvanceClock(now)
	window := c.idempotencyKeys.repeatWindow(r.Class)
	if window == 0 {
		r.IdempotencyKey = ""
	}
	c.idempotencyKeys.removeExpired(c.now)
	c.cancelLeftoverAttempts(r.IdempotencyKey)
	if r.IdempotencyKey != "" && c.idempotencyKeys.isInUse(r.IdempotencyKey) {
		c.logRequestRejected(r, "a request with this idempotency key is open")
		c.countEnd(r.Class, Failed) // the front answers with an error
		return 0
	}
	if c.ranRequests.mayHaveRun(r.RequestID, c.now) {
		c.logRequestRejected(r, "a request with this Request-Id may have run for a client that left")
		c.countEnd(r.Class, Failed)
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
	hasKeyRoom := c.idempotencyKeys.hasRoom(r.IdempotencyKey)
	if !hasKeyRoom {
		r.IdempotencyKey = ""
	}
	if r.IdempotencyKey != "" {
		ev.PriorAttempt = c.idempotencyKeys.priorAttempt(r.IdempotencyKey, c.now)
		c.idempotencyKeys.acquire(r.IdempotencyKey, ev.ID)
	}
	s := &stream{id: ev.ID, requestID: r.RequestID, idempotencyKey: r.IdempotencyKey, payload: r.Payload,
		owner: r.Owner, startedAt: c.now, deadline: c.now + ev.ExpiresIn, class: ev.Class, plan: ev.Plan,
		customer: ev.Customer, isRetry: ev.IsRetry, isWrite: ev.IsWrite, repeatWindow: window, trace: r.Trace}
	c.streams[s.id] = s
	c.openStreams++
	if r.IsPartial {
		s.isPartial, s.timeout, s.deadline = true, ev.ExpiresIn, c.now+maxPartialDuration
		s.lastIncomplete = r.LastIncomplete
		c.partialStreams++
		c.timers.Push(c.now+s.timeout, timer{kind: partialTimer, ref: Ref{Stream: s.id}})
	} else {
		c.setDeadlineTimers(s)
	}
	c.logRequestStarted(s, ev.ExpiresIn)
	if c.isClosed || !hasKeyRoom {
		c.lateStreams = append(c.lateStreams, s)
		return s.id
	}
	c.events = append(c.events, ev)
	return s.id
}

// cancelLeftoverAttempts runs a turn at once if the stream with the given idempotency key is closed and the module has
// pending events, such as that the stream's client has left. It gives the module the chance to cancel the stream's
// attempts. Otherwise they would be cancelled only at the end of this turn, and the new request with the key would be
// rejected because of them. While actions are being executed no turn may run; see Execute.
func (c *Core) cancelLeftoverAttempts(idempotencyKey string) {
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

// completedAt returns a time from which on a partial request may have been complete.
func (c *Core) completedAt(s *stream) time.Duration {
	if s.lastIncomplete == nil {
		return c.now
	}
	return max(s.startedAt, min(c.now, s.lastIncomplete()))
}

// RequestCompleted reports that the rest of a partial request has been read. The stream's deadline is counted from when it
// may have been written, the timeouts of its pending attempts from now.
func (c *Core) RequestCompleted(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	s := c.streams[id]
	if s == nil || !s.isPartial || s.isClosed || c.isClosed {
		return
	}
	completedAt := c.completedAt(s)
	s.isPartial, s.deadline = false, completedAt+s.timeout
	c.partialStreams--
	c.setDeadlineTimers(s)
	for i := range s.attempts {
		a := &s.attempts[i]
		if !a.isPending {
			continue
		}
		if s.idempotencyKey != "" {
			c.idempotencyKeys.restartWindow(s.idempotencyKey, a.Host, a.StartedAt, c.now, s.repeatWindow)
		}
		a.StartedAt = c.now
		if a.timeout > 0 && a.timeout < s.timeout {
			c.timers.Push(c.now+a.timeout, timer{kind: attemptTimer, ref: Ref{s.id, i}}) // the host has it only now
		}
	}
	c.events = append(c.events, admission.RequestComplete{ID: id, Waited: c.now - completedAt})
}

// checkPartial ends a partial request whose time is over if its last byte was written when it was last known to be
// incomplete. Its client may be waiting for an answer then, while a host that reads slowly keeps the rest from being read.
func (c *Core) checkPartial(s *stream) {
	if due := c.completedAt(s) + s.timeout; due > c.now {
		c.timers.Push(due, timer{kind: partialTimer, ref: Ref{Stream: s.id}})
		return
	}
	for i := range s.attempts {
		c.cancelAttempt(Ref{s.id, i}, admission.TimedOut)
	}
	if !s.isClosed {
		c.abandonStream(s, Expired)
	}
}

// ClientDisconnected reports that a stream's client has left. The stream is then owed no answer.
func (c *Core) ClientDisconnected(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	switch s := c.streams[id]; {
	case s == nil || s.isClosed:
	case c.isClosed: // the module does not know a stream that has started after Close
		s.owner, s.hasClientLeft = nil, true
		c.closeStream(s, End{Kind: ClientLeft})
	default:
		s.owner = nil
		c.abandonStream(s, ClientLeft)
	}
}

// Close ends every open stream with Expired, when there is no time left to wait for answers. A stream that starts later
// ends in the next turn, and no upstream request is made for it.
func (c *Core) Close(now time.Duration) {
	c.AdvanceClock(now)
	c.isClosed = true
	for _, s := range c.streams {
		if !s.isClosed {
			c.abandonStream(s, Expired)
		}
	}
}

// keyRetryAfter is the advice to the client of a request for whose key there was no room.
const keyRetryAfter = time.Second

// endLateStreams ends the streams that have started after Close, or for whose key there was no room, each with a refusal
// unless an earlier request with its idempotency key may have run.
func (c *Core) endLateStreams() {
	for len(c.lateStreams) > 0 {
		late := c.lateStreams[0]
		c.lateStreams = c.lateStreams[1:]
		if late.isClosed {
			continue
		}
		kind := Refused
		if c.idempotencyKeys.priorAttempt(late.idempotencyKey, c.now) != nil {
			kind = Expired
		}
		end := End{Kind: kind}
		if !c.isClosed {
			end.RetryAfter = keyRetryAfter
		}
		c.closeStream(late, end)
	}
}

// abandonStream ends a stream without the module: its client has left or its time is up. In both cases the module gets
// ClientLeft. Upstream requests that still wait for their connection are withdrawn, whatever the module does with those
// that are written.
func (c *Core) abandonStream(s *stream, kind EndKind) {
	s.isClientLeftPending = true
	s.hasClientLeft = s.hasClientLeft || kind == ClientLeft
	c.abandonedStreams = append(c.abandonedStreams, s)
	c.closeStream(s, End{Kind: kind})
	c.events = append(c.events, admission.ClientLeft{ID: s.id})
	for i := range s.attempts {
		c.withdrawAttempt(Ref{s.id, i})
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
			Trace: s.trace, Kind: e.Kind, StartedAt: s.startedAt, Took: c.now - s.startedAt}
		for _, a := range s.attempts {
			record.Attempts = append(record.Attempts, a.AttemptRecord)
		}
		c.observer.StreamEnded(record)
	}
	c.removeIfFinished(s)
}

// removeIfFinished stops tracking a stream that is closed and has no pending attempts. An abandoned stream of which the
// module has not been told stays until removeAbandoned.
func (c *Core) removeIfFinished(s *stream) {
	if !s.isClosed || s.pendingAttempts > 0 {
		return
	}
	c.releaseKeys(s)
	if !s.isClientLeftPending {
		delete(c.streams, s.id)
	}
}

// removeAbandoned removes those of the given streams that have finished, after a turn in which the module got their
// ClientLeft. Before that event the module may order a Send for such a stream because of another event. Each Send must be
// answered with AttemptEnded, for which the stream must still be known.
func (c *Core) removeAbandoned(streams []*stream) {
	for _, s := range streams {
		s.isClientLeftPending = false
		c.removeIfFinished(s)
	}
}

// releaseKeys frees the request id and idempotency key of a stream, which no two streams may have at a time.
func (c *Core) releaseKeys(s *stream) {
	if s.isReleased {
		return
	}
	releasePayload(s.payload)
	s.isReleased, s.payload = true, nil
	delete(c.requestIDs, s.requestID)
	if s.isWrite && s.mayHaveRun && (s.hasClientLeft || s.idempotencyKey == "") {
		c.ranRequests.remember(s.requestID, c.now)
	}
	if s.idempotencyKey != "" {
		c.idempotencyKeys.release(s.idempotencyKey, s.id)
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
