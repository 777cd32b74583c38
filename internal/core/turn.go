package core

import (
	"fmt"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// The turn: what has happened goes to the decision module, and its actions are carried out.

type timerKind int

const (
	moduleTimer timerKind = iota
	waitOver              // of an upstream request
	deadline              // of a stream: upstream requests end here
	overdue               // of a stream that nobody answered
	probeOver
	windowOver // of a repeat: it is not begun any more
)

// Turn fires what is due, gives the turn's events to the module in one go and carries out the
// actions. It returns when it needs the next turn, 0 for never.
func (c *Core) Turn(now time.Duration) time.Duration {
	c.AdvanceClock(now)
	if c.held {
		return 0
	}
	for {
		d, ok := c.timers.Pop(c.now)
		if !ok {
			break
		}
		c.fire(d)
	}
	events := c.events
	c.events, c.spare = c.spare[:0], events
	leaving := c.leaving
	c.leaving = nil
	c.actions = c.actions[:0]
	for _, ev := range events {
		c.handle(ev)
	}
	clear(events)
	c.Execute(c.actions)
	c.told(leaving)
	if len(c.events) > 0 { // carrying out has brought news
		return c.now
	}
	c.timers.DiscardInactive(c.matters)
	next, _ := c.timers.Next()
	return next
}

// matters tells whether a timer can still do something. Most streams end long before their deadlines,
// and a turn for nothing costs as much as one for a request.
func (c *Core) matters(d due) bool {
	switch d.kind {
	case waitOver, windowOver:
		s := c.streams[d.ref.Stream]
		return s != nil && s.attempts[d.ref.Attempt].live
	case deadline, overdue:
		return c.streams[d.ref.Stream] != nil
	case probeOver:
		_, ok := c.probes[d.ref.Stream]
		return ok
	}
	return true
}

// handle runs the module on one event. A fault in it must not take the other streams along; the one
// that met it is still answered, at its deadline.
func (c *Core) handle(ev admission.Event) {
	defer func() {
		if r := recover(); r != nil {
			c.log.Error("decision module failed", "event", fmt.Sprintf("%T", ev), "fault", fmt.Sprint(r))
		}
	}()
	c.actions = append(c.actions, c.decider.Handle(c.now, ev)...)
}

func (c *Core) fire(d due) {
	switch d.kind {
	case moduleTimer:
		c.events = append(c.events, admission.TimerFired{Token: d.token})
	case probeOver:
		if _, ok := c.probes[d.ref.Stream]; ok {
			c.upstreams.Cancel(d.ref)
			c.ProbeEnded(c.now, d.ref, admission.TimedOut)
		}
	case waitOver:
		c.stop(d.ref, admission.TimedOut)
	case windowOver:
		c.withdraw(d.ref)
	case deadline:
		if s := c.streams[d.ref.Stream]; s != nil {
			for i := range s.attempts {
				c.stop(Ref{s.id, i}, admission.TimedOut)
			}
		}
	case overdue:
		// The module answers every stream by its deadline. Should it not, the client still gets its one
		// answer, and that is no refusal: the module has ordered none.
		if s := c.streams[d.ref.Stream]; s != nil && !s.closed {
			c.log.Error("stream unanswered at its deadline", "stream", s.id)
			c.leave(s, Expired)
		}
	}
}

// stop gives up an upstream request that is out. Its connection is closed before the module hears
// of it, so that a further one is never a second copy. One that was not wholly written can't have run.
func (c *Core) stop(ref Ref, o admission.Outcome) {
	s := c.streams[ref.Stream]
	if s == nil || ref.Attempt < 0 || ref.Attempt >= len(s.attempts) || !s.attempts[ref.Attempt].live {
		return
	}
	if ran := c.upstreams.Cancel(ref); !ran && o == admission.TimedOut {
		o = admission.Unreachable
	} else if !ran {
		o = admission.NotSent
	}
	c.UpstreamEnded(c.now, ref, o, Answer{})
}

func (c *Core) do(a admission.Action) {
	switch a := a.(type) {
	case admission.Send:
		c.send(a)
	case admission.Cancel:
		c.stop(Ref{a.ID, a.Attempt}, admission.Cancelled)
	case admission.Refuse:
		if s := c.streams[a.ID]; s != nil && !s.closed {
			c.reason = a.Reason
			c.end(s, End{Kind: Refused, RetryAfter: a.RetryAfter})
		}
	case admission.Fail:
		if s := c.streams[a.ID]; s != nil && !s.closed {
			kind := Failed
			if s.timedOut {
				kind = Expired
			}
			c.reason = a.Reason
			c.end(s, End{Kind: kind})
		}
	case admission.SetTimer:
		c.timers.Push(a.At, due{kind: moduleTimer, token: a.Token})
	case admission.CounterAdd:
		switch {
		case c.dropping:
		case c.parking:
			c.parked = append(c.parked, a)
		default:
			c.counter.Add(a.Name, a.Delta, a.TTL)
		}
	case admission.Probe:
		c.lastID++
		ref := Ref{Stream: c.lastID}
		c.probes[ref.Stream] = probe{a.Server, c.now}
		c.timers.Push(c.now+probeLimit, due{kind: probeOver, ref: ref})
		c.upstreams.Probe(ref, a.Server, probeLimit)
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

// probeLimit is for a probe, which no request waits for.
const probeLimit = time.Second

func (c *Core) send(a admission.Send) {
	s := c.streams[a.ID]
	if s == nil {
		c.log.Error("send for an unknown stream", "stream", a.ID)
		return
	}
	ref := Ref{s.id, len(s.attempts)}
	s.attempts = append(s.attempts, attempt{AttemptRecord: AttemptRecord{Host: a.Server, Began: c.now}, live: true})
	s.live++
	if c.witness != nil {
		c.witness.AttemptStarted(s.id, a.Server, c.now)
	}
	if s.closed || c.now >= s.ends || a.Wait < 0 || gone(s.payload) {
		c.UpstreamEnded(c.now, ref, admission.NotSent, Answer{})
		return
	}
	if s.order != "" {
		if until := c.orders.sent(s.order, a.Server, c.now, s.window); until > 0 {
			c.timers.Push(until-c.margin, due{kind: windowOver, ref: ref})
		}
	}
	wait := s.ends - c.now
	c.traceSend(s, ref, a.Server, wait)
	if s.open {
		s.attempts[ref.Attempt].wait, wait = a.Wait, s.expires
	} else if a.Wait > 0 && a.Wait < wait {
		wait = a.Wait
		c.timers.Push(c.now+wait, due{kind: waitOver, ref: ref})
	}
	c.upstreams.Start(ref, a.Server, s.payload, wait)
}

// told forgets streams of whose clients' leaving the module was told among the turn's events. Before that it may send one on
// by an event that came earlier, and each send is answered.
func (c *Core) told(leaving []*stream) {
	for _, s := range leaving {
		s.leaving = false
		c.forget(s)
	}
}
