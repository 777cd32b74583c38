package core

import (
	"cmp"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// HandoverObserver is told what becomes of a core's streams while a successor shares its upstream hosts and quotas.
type HandoverObserver interface {
	AttemptStarted(stream uint64, host string, at time.Duration)
	AttemptEnded(ev admission.AttemptEnded, at time.Duration)
	StreamDone(stream uint64, at time.Duration)
}

// StreamState is a stream that owes an answer, or of which something is still out.
type StreamState struct {
	ID                        uint64
	RequestID, IdempotencyKey string
}

// KeyState is what is remembered of an idempotency key.
type KeyState struct {
	Key, Host, Zone      string
	Cell                 int
	StartedAt, ExpiresAt time.Duration
	StreamID             uint64
}

// Snapshot streams and keys of a core, for its successor.
type Snapshot struct {
	LastID  uint64
	Streams []StreamState
	Keys    []KeyState
}

// StartHandover returns what is open and tells a witness from now on what becomes of it. Counter calls that the module
// orders from now on wait: they are the successor's to make, see [Core.CancelHandover].
func (c *Core) StartHandover(w HandoverObserver) Snapshot {
	c.witness, c.parking = w, true
	open := Snapshot{LastID: c.lastID}
	for _, s := range c.streams {
		open.Streams = append(open.Streams, StreamState{s.id, s.key, s.order})
	}
	slices.SortFunc(open.Streams, func(a, b StreamState) int { return cmp.Compare(a.ID, b.ID) })
	for key, k := range c.orders.byKey {
		if k.ran || k.stream != 0 {
			state := KeyState{Key: key, StreamID: k.stream}
			if k.ran {
				state.Host, state.Zone, state.Cell, state.StartedAt, state.ExpiresAt = k.host, k.place.zone, k.place.cell, k.at, k.until
			}
			open.Keys = append(open.Keys, state)
		}
	}
	slices.SortFunc(open.Keys, func(a, b KeyState) int { return cmp.Compare(a.Key, b.Key) })
	return open
}

// CommitHandover drops the counter calls that waited: a successor has the state that ordered them, and makes them.
// Those that the module still orders are dropped, too.
func (c *Core) CommitHandover() { c.parked, c.dropping = nil, true }

// CancelHandover goes on alone. The counter calls that waited are made.
func (c *Core) CancelHandover() {
	c.witness, c.parking, c.dropping = nil, false, false
	parked := c.parked
	c.parked = nil
	for _, a := range parked {
		c.counter.Add(a.Name, a.Delta, a.TTL)
	}
}

// HoldEvents keeps the module from being given events, until it has its predecessor's state.
func (c *Core) HoldEvents() { c.held = true }

// Restore begins with a predecessor's open streams. Ids of ours come after all that it may still give out. What
// was held back for the module is dropped; its own state is newer.
func (c *Core) Restore(now time.Duration, open Snapshot, actions []admission.Action) {
	c.AdvanceClock(now)
	c.events, c.held = c.events[:0], false
	c.lastID = open.LastID + theirIDs
	for _, s := range open.Streams {
		c.theirs[s.ID] = s
		if s.RequestID != "" {
			c.keys[s.RequestID] = struct{}{}
		}
	}
	for _, k := range open.Keys {
		c.orders.byKey[k.Key] = &order{stream: k.StreamID, ran: k.ExpiresAt > 0, host: k.Host, place: place{k.Zone, k.Cell}, at: k.StartedAt,
			until: k.ExpiresAt}
		if k.StreamID == 0 {
			c.orders.ending = append(c.orders.ending, ending{k.Key, k.ExpiresAt})
		}
	}
	c.Execute(actions)
}

// theirIDs are left to the predecessor, whose probes take ids, too.
const theirIDs = 1 << 20

// Execute carries out actions that the module gave. The module reuses the slice with its next event, so it is given none
// before all are carried out, whatever that brings about: what is answered may bring the next request of its connection.
func (c *Core) Execute(actions []admission.Action) {
	c.turning = true
	for _, a := range actions {
		c.do(a)
	}
	c.turning = false
}

// PredecessorStreams tells how many of the predecessor's streams are not over.
func (c *Core) PredecessorStreams() int { return len(c.theirs) }

// PredecessorSent notes that the predecessor has sent one of its streams on.
func (c *Core) PredecessorSent(id uint64, host string, at time.Duration) {
	if s, ok := c.theirs[id]; ok && s.IdempotencyKey != "" {
		c.orders.sent(s.IdempotencyKey, host, at, c.orders.longest())
	}
}

// PredecessorAttemptEnded notes that an attempt which it made at a time has ended.
func (c *Core) PredecessorAttemptEnded(id uint64, host string, at time.Duration, o admission.Outcome) {
	if s, ok := c.theirs[id]; ok && s.IdempotencyKey != "" && unran(o) {
		c.orders.unran(s.IdempotencyKey, host, at)
	}
}

// PredecessorStreamDone notes that one of its streams is over, and frees its ids.
func (c *Core) PredecessorStreamDone(id uint64) {
	s, ok := c.theirs[id]
	if !ok {
		return
	}
	delete(c.theirs, id)
	delete(c.keys, s.RequestID)
	c.orders.end(s.IdempotencyKey, id)
}

// PredecessorExited notes that all of them are over, with their process.
func (c *Core) PredecessorExited() {
	for id := range c.theirs {
		c.PredecessorStreamDone(id)
	}
}

// longest is the longest window of any class: a predecessor does not tell which class a stream is of.
func (o *orders) longest() (d time.Duration) {
	for _, w := range o.windows {
		d = max(d, w)
	}
	return d
}

// unran tells whether an outcome shows that nothing has run.
func unran(o admission.Outcome) bool {
	return o == admission.Full || o == admission.Unreachable || o == admission.NotSent
}
