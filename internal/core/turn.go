package core

import (
	"fmt"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// probeTimeout bounds a health probe. It may be long, as no request waits for a probe.
const probeTimeout = time.Second

type timerKind int

const (
	moduleTimer       timerKind = iota // set by the module
	attemptTimer                       // an upstream request times out
	deadlineTimer                      // all pending upstream requests of a stream time out
	overdueTimer                       // a stream that is still open is answered without the module
	partialTimer                       // a partial request may have been complete for its whole time
	probeTimer                         // a health probe times out
	repeatWindowTimer                  // a repeat of an idempotency key that is not fully written is withdrawn
)

// timer says what a due time in Core.timers is for.
type timer struct {
	kind  timerKind
	ref   Ref    // of all kinds but moduleTimer; Attempt is not used by timers of a stream or probe
	token uint64 // of moduleTimer
}

// Turn fires the timers that are due, passes all pending events to the module and then carries out the actions. It
// returns the time at which the next turn is due, 0 for none. While events are held it does nothing and returns 0.
func (c *Core) Turn(now time.Duration) time.Duration {
	c.AdvanceClock(now)
	if c.isHeld {
		return 0
	}
	c.endLateStreams()
	for {
		due, ok := c.timers.Pop(c.now)
		if !ok {
			break
		}
		c.fireTimer(due)
	}
	events := c.events
	c.events, c.spareEvents = c.spareEvents[:0], events
	abandoned := c.abandonedStreams
	c.abandonedStreams = nil
	c.actions = c.actions[:0]
	for _, ev := range events {
		c.handleEvent(ev)
	}
	clear(events)
	c.Execute(c.actions)
	c.removeAbandoned(abandoned)
	if len(c.events) > 0 { // the actions have caused new events
		return c.now
	}
	c.timers.DiscardInactive(c.isTimerActive)
	next, _ := c.timers.Next()
	return next
}

// isTimerActive reports whether a timer can still have an effect. Most streams end long before their deadline, and a turn
// without effect costs as much as one for a request.
func (c *Core) isTimerActive(t timer) bool {
	switch t.kind {
	case attemptTimer, repeatWindowTimer:
		s := c.streams[t.ref.Stream]
		return s != nil && s.attempts[t.ref.Attempt].isPending
	case deadlineTimer, overdueTimer:
		return c.streams[t.ref.Stream] != nil
	case partialTimer:
		s := c.streams[t.ref.Stream]
		return s != nil && s.isPartial && !s.isClosed
	case probeTimer:
		_, ok := c.probes[t.ref.Stream]
		return ok
	}
	return true
}

// handleEvent passes one event to the module. A panic there is logged and must not affect other streams. The event's
// stream is still answered, by overdueTimer at the latest.
func (c *Core) handleEvent(ev admission.Event) {
	defer func() {
		if r := recover(); r != nil {
			c.log.Error("decision module failed", "event", fmt.Sprintf("%T", ev), "fault", fmt.Sprint(r))
		}
	}()
	c.actions = append(c.actions, c.decider.Handle(c.now, ev)...)
}

func (c *Core) fireTimer(t timer) {
	switch t.kind {
	case moduleTimer:
		c.events = append(c.events, admission.TimerFired{Token: t.token})
	case probeTimer:
		if _, ok := c.probes[t.ref.Stream]; ok {
			c.upstreams.Cancel(t.ref)
			c.ProbeEnded(c.now, t.ref, admission.TimedOut)
		}
	case partialTimer:
		if s := c.streams[t.ref.Stream]; s != nil && s.isPartial && !s.isClosed {
			c.checkPartial(s)
		}
	case attemptTimer:
		c.cancelAttempt(t.ref, admission.TimedOut)
	case repeatWindowTimer:
		c.withdrawAttempt(t.ref)
	case deadlineTimer:
		if s := c.streams[t.ref.Stream]; s != nil {
			s.deadlineFiredAt = c.now
			for i := range s.attempts {
				c.cancelAttempt(Ref{s.id, i}, admission.TimedOut)
			}
		}
	case overdueTimer:
		// The module answers every stream by its deadline. If it does not, the client still gets its one answer, which
		// is not a refusal, since the module has ordered none.
		s := c.streams[t.ref.Stream]
		switch {
		case s == nil || s.isClosed:
		case s.deadlineFiredAt == c.now: // this turn is late, and the module has not been told yet
			c.timers.Push(c.now+time.Microsecond, t)
		default:
			c.log.Error("stream unanswered at its deadline", "stream", s.id)
			c.abandonStream(s, Expired)
		}
	}
}

// Execute carries out actions of the module. The module reuses the slice for its next event, so it gets no event before
// all actions are carried out, whatever they cause: an answer may bring the next request of the same connection.
func (c *Core) Execute(actions []admission.Action) {
	c.isExecuting = true
	for _, action := range actions {
		c.executeAction(action)
	}
	c.isExecuting = false
}

func (c *Core) executeAction(action admission.Action) {
	switch action := action.(type) {
	case admission.Send:
		c.startAttempt(action)
	case admission.Cancel:
		c.cancelAttempt(Ref{action.ID, action.Attempt}, admission.Cancelled)
	case admission.Refuse:
		if s := c.streams[action.ID]; s != nil && !s.isClosed {
			c.endReason = action.Reason
			c.closeStream(s, End{Kind: Refused, RetryAfter: action.RetryAfter})
		}
	case admission.Fail:
		if s := c.streams[action.ID]; s != nil && !s.isClosed {
			kind := Failed
			if s.hasTimedOut {
				kind = Expired
			}
			c.endReason = action.Reason
			c.closeStream(s, End{Kind: kind})
		}
	case admission.SetTimer:
		c.timers.Push(action.At, timer{kind: moduleTimer, token: action.Token})
	case admission.CounterAdd:
		switch {
		case c.dropsCounterCalls:
		case c.defersCounterCalls:
			c.deferredCounterCalls = append(c.deferredCounterCalls, action)
		default:
			c.counter.Add(action.Name, action.Delta, action.TTL)
		}
	case admission.Probe:
		c.lastID++
		ref := Ref{Stream: c.lastID}
		c.probes[ref.Stream] = probe{action.Server, c.now}
		c.timers.Push(c.now+probeTimeout, timer{kind: probeTimer, ref: ref})
		c.upstreams.Probe(ref, action.Server, probeTimeout)
	case admission.CloseIdle:
		c.upstreams.CloseIdle(action.Server)
	case admission.FetchList:
		c.cluster.Refetch()
	case admission.Subscribe: // discovery is always watched
	case admission.Log:
		c.log.Info("decision", "text", action.Text)
	default:
		c.log.Error("action not carried out", "action", fmt.Sprintf("%T", action))
	}
}
