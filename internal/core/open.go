package core

import (
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// Streams whose requests are still coming, and what else of a stream changes while it is open.

// maxIncompleteDuration bounds the time of a stream whose request never becomes whole; who reads it gives up long before.
const maxIncompleteDuration = time.Hour

// setDeadlineTimers sets the timers of a stream's deadline.
func (c *Core) setDeadlineTimers(s *stream) {
	c.timers.Push(s.deadline, timer{kind: deadlineTimer, ref: Ref{Stream: s.id}})
	c.timers.Push(s.deadline+c.deadlineMargin/2, timer{kind: overdueTimer, ref: Ref{Stream: s.id}})
}

// cancelDisconnectedStream has the module hear at once of a client that left within this turn, where its key comes again: what is out of
// it is called off before the turn's end otherwise, and the next would be turned away for it.
func (c *Core) cancelDisconnectedStream(order string) {
	if k := c.idempotencyKeys.entries[order]; k != nil && c.HasPendingEvents() && !c.isExecuting {
		if s := c.streams[k.streamID]; s != nil && s.isClosed {
			c.Turn(c.now)
		}
	}
}

// Whole tells that a request which was open has wholly come: its time runs from now.
func (c *Core) RequestCompleted(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	s := c.streams[id]
	if s == nil || !s.isIncomplete || s.isClosed {
		return
	}
	s.isIncomplete, s.deadline = false, c.now+s.timeout
	c.incompleteStreams--
	c.setDeadlineTimers(s)
	for i := range s.attempts {
		t := &s.attempts[i]
		if !t.isPending {
			continue
		}
		if s.idempotencyKey != "" {
			c.idempotencyKeys.updateStart(s.idempotencyKey, t.Host, t.Began, c.now, s.repeatWindow)
		}
		t.Began = c.now
		if t.timeout > 0 && t.timeout < s.timeout {
			c.timers.Push(c.now+t.timeout, timer{kind: attemptTimer, ref: Ref{s.id, i}})
		}
	}
	c.events = append(c.events, admission.RequestWhole{ID: id})
}

// CompleteRequests tells how many of the open streams' requests have wholly come.
func (c *Core) CompleteRequests() int { return c.openStreams - c.incompleteStreams }

// SetCounter has calls carried out by a counter from now on.
func (c *Core) SetCounter(counter Counter) { c.counter = counter }

// UpdateSettings goes on under other settings, from the next event on. Streams that are open keep what they came with.
func (c *Core) UpdateSettings(now time.Duration, s admission.Settings) {
	c.AdvanceClock(now)
	c.idempotencyKeys.repeatWindows = RepeatWindows(s.Classes)
	c.events = append(c.events, admission.SettingsChanged{Settings: s})
}

// Enqueue hands the module an event that is of no stream, in order with the others.
func (c *Core) Enqueue(ev admission.Event) { c.events = append(c.events, ev) }

// EnqueueFirst hands the module an event before all that wait, those left over from the last turn among them: what it
// takes away must not be used by any of them.
func (c *Core) EnqueueFirst(ev admission.Event) { c.events = slices.Insert(c.events, 0, ev) }

// RepeatWindows are the times, by class, for which a repeat of a key is recognised; 0 where a class has no keys.
func RepeatWindows(classes []admission.Class) (windows []time.Duration) {
	for _, class := range classes {
		window := time.Duration(0)
		if class.Effect == admission.Keyed {
			window = class.RepeatWindow
		}
		windows = append(windows, window)
	}
	return windows
}

// withdraw takes back an upstream request that is not wholly written, and so can't have run.
func (c *Core) withdraw(ref Ref) {
	if s := c.streams[ref.Stream]; s != nil && s.attempts[ref.Attempt].isPending && c.upstreams.Withdraw(ref) {
		c.UpstreamEnded(c.now, ref, admission.NotSent, Answer{})
	}
}

// discardAnswer tells who sends the rest of an answer that nobody takes it.
func discardAnswer(a Answer) {
	if r, ok := a.Rest.(interface{ CloseRead() }); ok {
		r.CloseRead()
	}
}

// countRelayed counts the end of a request whose answer was passed on while it came.
func (c *Core) countRelayed(class int, whole bool) {
	if whole {
		c.countEnd(class, Served)
	} else {
		c.countEnd(class, Failed)
	}
}

// countEnd counts the end of a request. One that its client abandoned has none.
func (c *Core) countEnd(class int, kind EndKind) {
	f := c.metrics.Class(class)
	switch {
	case f == nil || kind == ClientLeft:
	case kind == Served:
		f.Success++
	case kind == Refused:
		f.Busy++
	default:
		f.Failure++
	}
}
