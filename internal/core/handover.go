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
	c.handoverObserver, c.parksCounterCalls = w, true
	open := Snapshot{LastID: c.lastID}
	for _, s := range c.streams {
		open.Streams = append(open.Streams, StreamState{s.id, s.requestID, s.idempotencyKey})
	}
	slices.SortFunc(open.Streams, func(a, b StreamState) int { return cmp.Compare(a.ID, b.ID) })
	for key, k := range c.idempotencyKeys.entries {
		if k.mayHaveRun || k.streamID != 0 {
			state := KeyState{Key: key, StreamID: k.streamID}
			if k.mayHaveRun {
				state.Host, state.Zone, state.Cell, state.StartedAt, state.ExpiresAt = k.host, k.location.zone, k.location.cell, k.startedAt, k.expiresAt
			}
			open.Keys = append(open.Keys, state)
		}
	}
	slices.SortFunc(open.Keys, func(a, b KeyState) int { return cmp.Compare(a.Key, b.Key) })
	return open
}

// CommitHandover drops the counter calls that waited: a successor has the state that ordered them, and makes them.
// Those that the module still orders are dropped, too.
func (c *Core) CommitHandover() { c.parkedCounterCalls, c.dropsCounterCalls = nil, true }

// CancelHandover goes on alone. The counter calls that waited are made.
func (c *Core) CancelHandover() {
	c.handoverObserver, c.parksCounterCalls, c.dropsCounterCalls = nil, false, false
	parked := c.parkedCounterCalls
	c.parkedCounterCalls = nil
	for _, a := range parked {
		c.counter.Add(a.Name, a.By, a.Keep)
	}
}

// HoldEvents keeps the module from being given events, until it has its predecessor's state.
func (c *Core) HoldEvents() { c.isHeld = true }

// Restore begins with a predecessor's open streams. Ids of ours come after all that it may still give out. What
// was held back for the module is dropped; its own state is newer.
func (c *Core) Restore(now time.Duration, open Snapshot, actions []admission.Action) {
	c.AdvanceClock(now)
	c.events, c.isHeld = c.events[:0], false
	c.lastID = open.LastID + reservedPredecessorIDs
	for _, s := range open.Streams {
		c.predecessorStreams[s.ID] = s
		if s.RequestID != "" {
			c.requestIDs[s.RequestID] = struct{}{}
		}
	}
	for _, k := range open.Keys {
		c.idempotencyKeys.entries[k.Key] = &keyEntry{streamID: k.StreamID, mayHaveRun: k.ExpiresAt > 0, host: k.Host, location: location{k.Zone, k.Cell}, startedAt: k.StartedAt,
			expiresAt: k.ExpiresAt}
		if k.StreamID == 0 {
			c.idempotencyKeys.expirations = append(c.idempotencyKeys.expirations, keyExpiry{k.Key, k.ExpiresAt})
		}
	}
	c.Execute(actions)
}

// reservedPredecessorIDs are left to the predecessor, whose probes take ids, too.
const reservedPredecessorIDs = 1 << 20

// Execute carries out actions that the module gave. The module reuses the slice with its next event, so it is given none
// before all are carried out, whatever that brings about: what is answered may bring the next request of its connection.
func (c *Core) Execute(actions []admission.Action) {
	c.isExecuting = true
	for _, a := range actions {
		c.executeAction(a)
	}
	c.isExecuting = false
}

// PredecessorStreams tells how many of the predecessor's streams are not over.
func (c *Core) PredecessorStreams() int { return len(c.predecessorStreams) }

// PredecessorSent notes that the predecessor has sent one of its streams on.
func (c *Core) PredecessorSent(id uint64, host string, at time.Duration) {
	if s, ok := c.predecessorStreams[id]; ok && s.IdempotencyKey != "" {
		c.idempotencyKeys.recordAttempt(s.IdempotencyKey, host, at, c.idempotencyKeys.longestRepeatWindow())
	}
}

// PredecessorAttemptEnded notes that an attempt which it made at a time has ended.
func (c *Core) PredecessorAttemptEnded(id uint64, host string, at time.Duration, o admission.Outcome) {
	if s, ok := c.predecessorStreams[id]; ok && s.IdempotencyKey != "" && neverRan(o) {
		c.idempotencyKeys.clearAttempt(s.IdempotencyKey, host, at)
	}
}

// PredecessorStreamDone notes that one of its streams is over, and frees its ids.
func (c *Core) PredecessorStreamDone(id uint64) {
	s, ok := c.predecessorStreams[id]
	if !ok {
		return
	}
	delete(c.predecessorStreams, id)
	delete(c.requestIDs, s.RequestID)
	c.idempotencyKeys.closeStream(s.IdempotencyKey, id)
}

// PredecessorExited notes that all of them are over, with their process.
func (c *Core) PredecessorExited() {
	for id := range c.predecessorStreams {
		c.PredecessorStreamDone(id)
	}
}

// longestRepeatWindow is the longestRepeatWindow window of any class: a predecessor does not tell which class a stream is of.
func (o *keyTable) longestRepeatWindow() (d time.Duration) {
	for _, w := range o.repeatWindows {
		d = max(d, w)
	}
	return d
}

// neverRan tells whether an outcome shows that nothing has run.
func neverRan(o admission.Outcome) bool {
	return o == admission.Full || o == admission.Unreachable || o == admission.NotSent
}
