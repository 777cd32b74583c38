package core

import (
	"cmp"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// Witness is told what becomes of a core's streams while a successor shares its upstream hosts and quotas.
type Witness interface {
	Sent(stream uint64, host string, at time.Duration)
	AttemptEnded(ev admission.AttemptEnded, at time.Duration)
	Done(stream uint64, at time.Duration)
}

// OpenStream is a stream that owes an answer, or of which something is still out.
type OpenStream struct {
	ID         uint64
	Key, Order string
}

// KeyState is what is remembered of an idempotency key.
type KeyState struct {
	Key, Host, Zone string
	Cell            int
	At, Until       time.Duration
	Stream          uint64
}

// Open streams and keys of a core, for its successor.
type Open struct {
	LastID  uint64
	Streams []OpenStream
	Keys    []KeyState
}

// Share returns what is open and tells a witness from now on what becomes of it. Counter calls that the module
// orders from now on wait: they are the successor's to make, see [Core.Unshare].
func (c *Core) Share(w Witness) Open {
	c.witness, c.parking = w, true
	open := Open{LastID: c.lastID}
	for _, s := range c.streams {
		open.Streams = append(open.Streams, OpenStream{s.id, s.key, s.order})
	}
	slices.SortFunc(open.Streams, func(a, b OpenStream) int { return cmp.Compare(a.ID, b.ID) })
	for key, k := range c.orders.byKey {
		if k.ran || k.stream != 0 {
			state := KeyState{Key: key, Stream: k.stream}
			if k.ran {
				state.Host, state.Zone, state.Cell, state.At, state.Until = k.host, k.place.zone, k.place.cell, k.at, k.until
			}
			open.Keys = append(open.Keys, state)
		}
	}
	slices.SortFunc(open.Keys, func(a, b KeyState) int { return cmp.Compare(a.Key, b.Key) })
	return open
}

// Settle drops the counter calls that waited: a successor has the state that ordered them, and makes them.
// Those that the module still orders are dropped, too.
func (c *Core) Settle() { c.parked, c.dropping = nil, true }

// Unshare goes on alone. The counter calls that waited are made.
func (c *Core) Unshare() {
	c.witness, c.parking, c.dropping = nil, false, false
	parked := c.parked
	c.parked = nil
	for _, a := range parked {
		c.counter.Add(a.Name, a.Delta, a.TTL)
	}
}

// Hold keeps the module from being given events, until it has its predecessor's state.
func (c *Core) Hold() { c.held = true }

// Adopt begins with a predecessor's open streams. Ids of ours come after all that it may still give out. What
// was held back for the module is dropped; its own state is newer.
func (c *Core) Adopt(now time.Duration, open Open, actions []admission.Action) {
	c.Tick(now)
	c.events, c.held = c.events[:0], false
	c.lastID = open.LastID + theirIDs
	for _, s := range open.Streams {
		c.theirs[s.ID] = s
		if s.Key != "" {
			c.keys[s.Key] = struct{}{}
		}
	}
	for _, k := range open.Keys {
		c.orders.byKey[k.Key] = &order{stream: k.Stream, ran: k.Until > 0, host: k.Host, place: place{k.Zone, k.Cell}, at: k.At,
			until: k.Until}
		if k.Stream == 0 {
			c.orders.ending = append(c.orders.ending, ending{k.Key, k.Until})
		}
	}
	c.Do(actions)
}

// theirIDs are left to the predecessor, whose probes take ids, too.
const theirIDs = 1 << 20

// Do carries out actions that the module gave. The module reuses the slice with its next event, so it is given none
// before all are carried out, whatever that brings about: what is answered may bring the next request of its connection.
func (c *Core) Do(actions []admission.Action) {
	c.turning = true
	for _, a := range actions {
		c.do(a)
	}
	c.turning = false
}

// Theirs tells how many of the predecessor's streams are not over.
func (c *Core) Theirs() int { return len(c.theirs) }

// TheirsSent notes that the predecessor has sent one of its streams on.
func (c *Core) TheirsSent(id uint64, host string, at time.Duration) {
	if s, ok := c.theirs[id]; ok && s.Order != "" {
		c.orders.sent(s.Order, host, at, c.orders.longest())
	}
}

// TheirsEnded notes that an attempt which it made at a time has ended.
func (c *Core) TheirsEnded(id uint64, host string, at time.Duration, o admission.Outcome) {
	if s, ok := c.theirs[id]; ok && s.Order != "" && unran(o) {
		c.orders.unran(s.Order, host, at)
	}
}

// TheirsDone notes that one of its streams is over, and frees its ids.
func (c *Core) TheirsDone(id uint64) {
	s, ok := c.theirs[id]
	if !ok {
		return
	}
	delete(c.theirs, id)
	delete(c.keys, s.Key)
	c.orders.end(s.Order, id)
}

// TheirsGone notes that all of them are over, with their process.
func (c *Core) TheirsGone() {
	for id := range c.theirs {
		c.TheirsDone(id)
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
