package core

import (
	"fmt"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// The turn: what has happened goes to the decision module, and its actions are carried out.

type timerKind int

const (
	moduleTimer   timerKind = iota
	attemptTimer            // of an upstream request
	deadlineTimer           // of a stream: upstream requests end here
	overdueTimer            // of a stream that nobody answered
	probeTimer
	repeatWindowTimer // of a repeat: it is not begun any more
)

// Turn fires what is due, gives the turn's events to the module in one go and carries out the
// actions. It returns when it needs the next turn, 0 for never.
func (c *Core) Turn(now time.Duration) time.Duration {
	c.AdvanceClock(now)
	if c.isHeld {
		return 0
	}
	for {
		d, ok := c.timers.Pop(c.now)
		if !ok {
			break
		}
		c.fireTimer(d)
	}
	events := c.events
	c.events, c.spareEvents = c.spareEvents[:0], events
	leaving := c.unreportedLeaves
	c.unreportedLeaves = nil
	c.actions = c.actions[:0]
	for _, ev := range events {
		c.handleEvent(ev)
	}
	clear(events)
	c.Execute(c.actions)
	c.removeReportedLeaves(leaving)
	if len(c.events) > 0 { // carrying out has brought news
		return c.now
	}
	c.timers.DiscardInactive(c.isTimerActive)
	next, _ := c.timers.Next()
	return next
}

// isTimerActive tells whether a timer can still do something. Most streams end long before their deadlines,
// and a turn for nothing costs as much as one for a request.
func (c *Core) isTimerActive(d timer) bool {
	switch d.kind {
	case attemptTimer, repeatWindowTimer:
		s := c.streams[d.ref.Stream]
		return s != nil && s.attempts[d.ref.Attempt].isPending
	case deadlineTimer, overdueTimer:
		return c.streams[d.ref.Stream] != nil
	case probeTimer:
		_, ok := c.probes[d.ref.Stream]
		return ok
	}
	return true
}

// handleEvent runs the module on one event. A fault in it must not take the other streams along; the one
// that met it is still answered, at its deadline.
func (c *Core) handleEvent(ev admission.Event) {
	defer func() {
		if r := recover(); r != nil {
			c.log.Error("decision module failed", "event", fmt.Sprintf("%T", ev), "fault", fmt.Sprint(r))
		}
	}()
	c.actions = append(c.actions, c.decider.Handle(c.now, ev)...)
}

func (c *Core) fireTimer(d timer) {
	switch d.kind {
	case moduleTimer:
		c.events = append(c.events, admission.TimerFired{Token: d.token})
	case probeTimer:
		if _, ok := c.probes[d.ref.Stream]; ok {
			c.upstreams.Cancel(d.ref)
			c.ProbeEnded(c.now, d.ref, admission.TimedOut)
		}
	case attemptTimer:
		c.cancelAttempt(d.ref, admission.TimedOut)
	case repeatWindowTimer:
		c.withdraw(d.ref)
	case deadlineTimer:
		if s := c.streams[d.ref.Stream]; s != nil {
			for i := range s.attempts {
				c.cancelAttempt(Ref{s.id, i}, admission.TimedOut)
			}
		}
	case overdueTimer:
		// The module answers every stream by its deadline. Should it not, the client still gets its one
		// answer, and that is no refusal: the module has ordered none.
		if s := c.streams[d.ref.Stream]; s != nil && !s.isClosed {
			c.log.Error("stream unanswered at its deadline", "stream", s.id)
			c.abandonStream(s, Expired)
		}
	}
}

// cancelAttempt gives up an upstream request that is out. Its connection is closed before the module hears
// of it, so that a further one is never a second copy. One that was not wholly written can't have run.
func (c *Core) cancelAttempt(ref Ref, o admission.Outcome) {
	s := c.streams[ref.Stream]
	if s == nil || ref.Attempt < 0 || ref.Attempt >= len(s.attempts) || !s.attempts[ref.Attempt].isPending {
		return
	}
	if ran := c.upstreams.Cancel(ref); !ran && o == admission.TimedOut {
		o = admission.Unreachable
	} else if !ran {
		o = admission.NotSent
	}
	c.UpstreamEnded(c.now, ref, o, Answer{})
}

func (c *Core) executeAction(a admission.Action) {
	switch a := a.(type) {
	case admission.Send:
		c.startAttempt(a)
	case admission.Cancel:
		c.cancelAttempt(Ref{a.ID, a.Attempt}, admission.Cancelled)
	case admission.Refuse:
		if s := c.streams[a.ID]; s != nil && !s.isClosed {
			c.endReason = a.Reason
			c.closeStream(s, End{Kind: Refused, RetryAfter: a.RetryAfter})
		}
	case admission.Fail:
		if s := c.streams[a.ID]; s != nil && !s.isClosed {
			kind := Failed
			if s.hasTimedOut {
				kind = Expired
			}
			c.endReason = a.Reason
			c.closeStream(s, End{Kind: kind})
		}
	case admission.SetTimer:
		c.timers.Push(a.At, timer{kind: moduleTimer, token: a.Token})
	case admission.CounterAdd:
		switch {
		case c.dropsCounterCalls:
		case c.parksCounterCalls:
			c.parkedCounterCalls = append(c.parkedCounterCalls, a)
		default:
			c.counter.Add(a.Name, a.By, a.Keep)
		}
	case admission.Probe:
		c.lastID++
		ref := Ref{Stream: c.lastID}
		c.probes[ref.Stream] = probe{a.Server, c.now}
		c.timers.Push(c.now+probeTimeout, timer{kind: probeTimer, ref: ref})
		c.upstreams.Probe(ref, a.Server, probeTimeout)
	case admission.CloseIdle:
		c.upstreams.CloseIdle(a.Server)
	case admission.FetchList:
		c.cluster.Refetch()
	case admission.Subscribe: // the watch is always on
	case admission.Log:
		c.log.Info("decision", "text", a.Text)
	default:
		c.log.Error("action not carried out", "action", fmt.Sprintf("%T", a))
	}
}

// probeTimeout is for a probe, which no request waits for.
const probeTimeout = time.Second

func (c *Core) startAttempt(a admission.Send) {
	s := c.streams[a.ID]
	if s == nil {
		c.log.Error("send for an unknown stream", "stream", a.ID)
		return
	}
	ref := Ref{s.id, len(s.attempts)}
	s.attempts = append(s.attempts, attempt{AttemptRecord: AttemptRecord{Host: a.Server, Began: c.now}, isPending: true})
	s.pendingAttempts++
	if c.handoverObserver != nil {
		c.handoverObserver.AttemptStarted(s.id, a.Server, c.now)
	}
	if s.isClosed || c.now >= s.deadline || a.Wait < 0 || isPayloadGone(s.payload) {
		c.UpstreamEnded(c.now, ref, admission.NotSent, Answer{})
		return
	}
	if s.idempotencyKey != "" {
		if until := c.idempotencyKeys.recordAttempt(s.idempotencyKey, a.Server, c.now, s.repeatWindow); until > 0 {
			c.timers.Push(until-c.deadlineMargin, timer{kind: repeatWindowTimer, ref: ref})
		}
	}
	wait := s.deadline - c.now
	c.logAttemptStarted(s, ref, a.Server, wait)
	if s.isIncomplete {
		s.attempts[ref.Attempt].timeout, wait = a.Wait, s.timeout
	} else if a.Wait > 0 && a.Wait < wait {
		wait = a.Wait
		c.timers.Push(c.now+wait, timer{kind: attemptTimer, ref: ref})
	}
	c.upstreams.Start(ref, a.Server, s.payload, wait)
}

// removeReportedLeaves forgets streams of whose clients' leaving the module was removeReportedLeaves among the turn's events. Before that it may send one on
// by an event that came earlier, and each send is answered.
func (c *Core) removeReportedLeaves(leaving []*stream) {
	for _, s := range leaving {
		s.isLeaveUnreported = false
		c.removeIfFinished(s)
	}
}
