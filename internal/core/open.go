package core

import (
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// Streams whose requests are still coming, and what else of a stream changes while it is open.

// openMost bounds the time of a stream whose request never becomes whole; who reads it gives up long before.
const openMost = time.Hour

// runOut sets the timers of a stream's deadline.
func (c *Core) runOut(s *stream) {
	c.timers.Push(s.ends, due{kind: deadline, ref: Ref{Stream: s.id}})
	c.timers.Push(s.ends+c.margin/2, due{kind: overdue, ref: Ref{Stream: s.id}})
}

// callOff has the module hear at once of a client that left within this turn, where its key comes again: what is out of
// it is called off before the turn's end otherwise, and the next would be turned away for it.
func (c *Core) callOff(order string) {
	if k := c.orders.byKey[order]; k != nil && c.HasPendingEvents() && !c.turning {
		if s := c.streams[k.stream]; s != nil && s.closed {
			c.Turn(c.now)
		}
	}
}

// Whole tells that a request which was open has wholly come: its time runs from now.
func (c *Core) RequestCompleted(now time.Duration, id uint64) {
	c.AdvanceClock(now)
	s := c.streams[id]
	if s == nil || !s.open || s.closed {
		return
	}
	s.open, s.ends = false, c.now+s.expires
	c.coming--
	c.runOut(s)
	for i := range s.attempts {
		t := &s.attempts[i]
		if !t.live {
			continue
		}
		if s.order != "" {
			c.orders.moved(s.order, t.Host, t.Began, c.now, s.window)
		}
		t.Began = c.now
		if t.wait > 0 && t.wait < s.expires {
			c.timers.Push(c.now+t.wait, due{kind: waitOver, ref: Ref{s.id, i}})
		}
	}
	c.events = append(c.events, admission.RequestComplete{ID: id})
}

// CompleteRequests tells how many of the open streams' requests have wholly come.
func (c *Core) CompleteRequests() int { return c.open - c.coming }

// SetCounter has calls carried out by a counter from now on.
func (c *Core) SetCounter(counter Counter) { c.counter = counter }

// UpdateSettings goes on under other settings, from the next event on. Streams that are open keep what they came with.
func (c *Core) UpdateSettings(now time.Duration, s admission.Settings) {
	c.AdvanceClock(now)
	c.orders.windows = RepeatWindows(s.Classes)
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
	if s := c.streams[ref.Stream]; s != nil && s.attempts[ref.Attempt].live && c.upstreams.Withdraw(ref) {
		c.UpstreamEnded(c.now, ref, admission.NotSent, Answer{})
	}
}

// drop tells who sends the rest of an answer that nobody takes it.
func drop(a Answer) {
	if r, ok := a.Rest.(interface{ CloseRead() }); ok {
		r.CloseRead()
	}
}

// relayed counts the end of a request whose answer was passed on while it came.
func (c *Core) relayed(class int, whole bool) {
	if whole {
		c.tally(class, Served)
	} else {
		c.tally(class, Failed)
	}
}

// tally counts the end of a request. One that its client abandoned has none.
func (c *Core) tally(class int, kind EndKind) {
	f := c.figures.Class(class)
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
