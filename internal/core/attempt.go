package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// attempt is an upstream request of a stream.
type attempt struct {
	AttemptRecord
	isPending bool // started and not ended
	// timeout limits an attempt of a request that was partial when the attempt started. It runs from the completion of
	// the request. 0: only the stream's deadline limits the attempt.
	timeout time.Duration
}

// startAttempt carries out a Send of the module. The attempt ends at once with NotSent if its stream is closed or past
// its deadline, or if a part of its payload is consumed.
func (c *Core) startAttempt(action admission.Send) {
	s := c.streams[action.ID]
	if s == nil {
		c.log.Error("send for an unknown stream", "stream", action.ID)
		return
	}
	ref := Ref{s.id, len(s.attempts)}
	s.attempts = append(s.attempts, attempt{AttemptRecord: AttemptRecord{Host: action.Server, StartedAt: c.now}, isPending: true})
	s.pendingAttempts++
	if c.handoverObserver != nil {
		c.handoverObserver.AttemptStarted(s.id, action.Server, c.now)
	}
	if s.isClosed || c.now >= s.deadline || action.Wait < 0 || isPayloadConsumed(s.payload) {
		c.UpstreamEnded(c.now, ref, admission.NotSent, Answer{})
		return
	}
	if s.idempotencyKey != "" {
		if windowEnd := c.idempotencyKeys.recordAttempt(s.idempotencyKey, action.Server, c.now, s.repeatWindow); windowEnd > 0 {
			c.timers.Push(windowEnd-c.deadlineMargin, timer{kind: repeatWindowTimer, ref: ref})
		} else {
			c.idempotencyKeys.notifySent(s.idempotencyKey)
		}
	}
	c.notifyRanRequest(s)
	timeout := s.deadline - c.now
	c.logAttemptStarted(s, ref, action.Server, timeout)
	if s.isPartial {
		s.attempts[ref.Attempt].timeout, timeout = action.Wait, s.timeout
	} else if action.Wait > 0 && action.Wait < timeout {
		timeout = action.Wait
		c.timers.Push(c.now+timeout, timer{kind: attemptTimer, ref: ref})
	}
	c.upstreams.Start(ref, action.Server, s.payload, timeout)
}

// notifyRanRequest informs the observer of keys, if there is one, of a write without a key that is about to be sent.
func (c *Core) notifyRanRequest(s *stream) {
	if observer := c.idempotencyKeys.observer; observer != nil && s.isWrite && s.idempotencyKey == "" && s.requestID != "" {
		observer.KeySent(ranState(s.requestID, c.now+ranRequestMemory))
	}
}

// notifyRanRequestEnded informs the observer of keys, if there is one, of a write without a key that has not run.
func (c *Core) notifyRanRequestEnded(s *stream, outcome admission.Outcome) {
	observer := c.idempotencyKeys.observer
	if observer != nil && s.isWrite && s.idempotencyKey == "" && s.requestID != "" && !s.mayHaveRun && neverRan(outcome) {
		observer.KeyNotRun(ranState(s.requestID, c.now+ranRequestMemory))
	}
}

// UpstreamEnded reports the outcome of an upstream request. The first with the outcome OK answers the stream. The outcome
// of a request that is no longer pending is ignored. Answers that are not used are discarded.
func (c *Core) UpstreamEnded(now time.Duration, ref Ref, outcome admission.Outcome, answer Answer) {
	c.AdvanceClock(now)
	s := c.streams[ref.Stream]
	if s == nil || ref.Attempt >= len(s.attempts) || !s.attempts[ref.Attempt].isPending {
		discardAnswer(answer)
		return
	}
	a := &s.attempts[ref.Attempt]
	a.isPending, a.Outcome, a.Took = false, outcome, c.now-a.StartedAt
	c.logAttemptEnded(s, ref, a.Host, outcome, a.Took)
	s.pendingAttempts--
	s.hasTimedOut = outcome == admission.TimedOut
	s.mayHaveRun = s.mayHaveRun || !neverRan(outcome)
	c.notifyRanRequestEnded(s, outcome)
	if outcome == admission.OK && !s.isClosed {
		c.closeStream(s, End{Kind: Served, Answer: answer})
	} else {
		discardAnswer(answer)
	}
	if s.idempotencyKey != "" && neverRan(outcome) {
		c.idempotencyKeys.notifyNotRun(s.idempotencyKey, a.Host, a.StartedAt)
		c.idempotencyKeys.clearAttempt(s.idempotencyKey, a.Host, a.StartedAt)
	}
	ev := admission.AttemptEnded{ID: s.id, Attempt: ref.Attempt, Server: a.Host, Outcome: outcome, Took: a.Took,
		Done: s.isClosed, Billed: answer.Billed, NotReplayable: isPayloadConsumed(s.payload)}
	c.events = append(c.events, ev)
	if c.handoverObserver != nil {
		c.handoverObserver.AttemptEnded(ev, c.now)
	}
	c.removeIfFinished(s)
}

// cancelAttempt ends a pending upstream request with the given outcome. Its connection is closed before the module
// learns of the end, so that a further attempt never runs beside it as a second copy. A request that was not fully
// written can't have run: it ends with Unreachable instead of TimedOut, and with NotSent instead of any other outcome.
func (c *Core) cancelAttempt(ref Ref, outcome admission.Outcome) {
	s := c.streams[ref.Stream]
	if s == nil || ref.Attempt < 0 || ref.Attempt >= len(s.attempts) || !s.attempts[ref.Attempt].isPending {
		return
	}
	if mayHaveRun := c.upstreams.Cancel(ref); !mayHaveRun && outcome == admission.TimedOut {
		outcome = admission.Unreachable
	} else if !mayHaveRun {
		outcome = admission.NotSent
	}
	c.UpstreamEnded(c.now, ref, outcome, Answer{})
}

// withdrawAttempt ends a pending upstream request if it is not fully written, and so can't have run. One that is fully
// written stays pending.
func (c *Core) withdrawAttempt(ref Ref) {
	if s := c.streams[ref.Stream]; s != nil && s.attempts[ref.Attempt].isPending && c.upstreams.Withdraw(ref) {
		c.UpstreamEnded(c.now, ref, admission.NotSent, Answer{})
	}
}

// discardAnswer tells the sender of an answer's remaining body that nobody reads it.
func discardAnswer(answer Answer) {
	if body, ok := answer.Rest.(interface{ CloseRead() }); ok {
		body.CloseRead()
	}
}

// neverRan reports whether an outcome shows that the upstream host did not run the request.
func neverRan(outcome admission.Outcome) bool {
	return outcome == admission.Full || outcome == admission.Unreachable || outcome == admission.NotSent
}
