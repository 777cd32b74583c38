package core

import (
	"cmp"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// reservedPredecessorIDs is the number of ids reserved for the predecessor, which may still assign some to its streams
// and probes.
const reservedPredecessorIDs = 1 << 20

// HandoverObserver is informed of a core's streams while a successor process shares its upstream hosts and quotas.
type HandoverObserver interface {
	AttemptStarted(stream uint64, host string, at time.Duration)
	AttemptEnded(ev admission.AttemptEnded, at time.Duration)
	StreamDone(stream uint64, at time.Duration)
}

// KeyObserver is informed of where a core's requests with an idempotency key may have run, so that its predecessor knows if
// it has to serve again.
type KeyObserver interface {
	// KeySent is called before an attempt is sent that is the first to use the key within its window.
	KeySent(k KeyState)
	// KeyNotRun is called when that attempt has certainly not run.
	KeyNotRun(k KeyState)
}

// ObserveKeys informs an observer of idempotency keys from now on; nil ends that.
func (c *Core) ObserveKeys(observer KeyObserver) { c.idempotencyKeys.observer = observer }

// SuccessorKeySent records that the successor is sending a request with a key to a host, in case it dies and this process
// serves again.
func (c *Core) SuccessorKeySent(k KeyState) {
	if id, ok := ranRequestID(k); ok {
		c.ranRequests.rememberUntil(id, k.ExpiresAt)
		return
	}
	c.idempotencyKeys.removeExpired(k.StartedAt) // no request arrives here meanwhile, which would remove them
	c.idempotencyKeys.recordForeignAttempt(k)
}

// SuccessorKeyNotRun records that the attempt which the successor had recorded has not run.
func (c *Core) SuccessorKeyNotRun(k KeyState) {
	if id, ok := ranRequestID(k); ok {
		c.ranRequests.forget(id)
		return
	}
	c.idempotencyKeys.clearAttempt(k.Key, k.Host, k.StartedAt)
	c.idempotencyKeys.release(k.Key, 0)
}

// Snapshot holds a core's streams and idempotency keys for its successor.
type Snapshot struct {
	LastID  uint64 // last id given to a stream or probe
	Streams []StreamState
	Keys    []KeyState
}

// StreamState is a stream that is owed an answer or has pending upstream requests.
type StreamState struct {
	ID                        uint64
	RequestID, IdempotencyKey string
}

// KeyState is the state of an idempotency key.
type KeyState struct {
	Key, Host, Zone      string // the host that may have run a request with the key; empty if ExpiresAt is 0
	Cell                 int
	StartedAt, ExpiresAt time.Duration // the repeat window; 0 if no request with the key may have run
	StreamID             uint64        // the stream with the key that has not finished, 0 if there is none
}

// StartHandover returns a snapshot and reports the further progress of the streams to the observer. Counter calls that
// the module orders from now on are deferred until CommitHandover drops them or CancelHandover makes them.
func (c *Core) StartHandover(observer HandoverObserver) Snapshot {
	c.handoverObserver, c.defersCounterCalls = observer, true
	snapshot := Snapshot{LastID: c.lastID}
	for _, s := range c.streams {
		snapshot.Streams = append(snapshot.Streams, StreamState{ID: s.id, RequestID: s.requestID, IdempotencyKey: s.idempotencyKey})
	}
	slices.SortFunc(snapshot.Streams, func(a, b StreamState) int { return cmp.Compare(a.ID, b.ID) })
	for key, entry := range c.idempotencyKeys.entries {
		if entry.mayHaveRun || entry.streamID != 0 {
			snapshot.Keys = append(snapshot.Keys, entry.state(key))
		}
	}
	snapshot.Keys = append(snapshot.Keys, c.ranRequests.states()...)
	slices.SortFunc(snapshot.Keys, func(a, b KeyState) int { return cmp.Compare(a.Key, b.Key) })
	return snapshot
}

// CommitHandover drops the deferred counter calls and all further ones that the module orders. The successor makes them,
// since it has the state of the module that ordered them.
func (c *Core) CommitHandover() { c.deferredCounterCalls, c.dropsCounterCalls = nil, true }

// CancelHandover ends a handover whose successor has failed, before or after CommitHandover. It makes the deferred
// counter calls, of which there are none after CommitHandover.
func (c *Core) CancelHandover() {
	c.handoverObserver, c.defersCounterCalls, c.dropsCounterCalls = nil, false, false
	deferred := c.deferredCounterCalls
	c.deferredCounterCalls = nil
	for _, call := range deferred {
		c.counter.Add(call.Name, call.Delta, call.TTL)
	}
}

// HoldEvents stops turns until Restore, so that the module gets no events before it has its predecessor's state. Restore
// drops the events that are added until then.
func (c *Core) HoldEvents() { c.isHeld = true }

// Restore starts from a predecessor's snapshot and carries out the given actions of the module. New ids follow all those
// that the predecessor may still assign. Held events are dropped: the module's restored state is newer.
func (c *Core) Restore(now time.Duration, snapshot Snapshot, actions []admission.Action) {
	c.AdvanceClock(now)
	c.events, c.isHeld = c.events[:0], false
	c.lastID = snapshot.LastID + reservedPredecessorIDs
	for _, s := range snapshot.Streams {
		c.predecessorStreams[s.ID] = s
		if s.RequestID != "" {
			c.requestIDs[s.RequestID] = struct{}{}
		}
	}
	for _, k := range snapshot.Keys {
		if id, ok := ranRequestID(k); ok {
			c.ranRequests.rememberUntil(id, k.ExpiresAt)
			continue
		}
		c.idempotencyKeys.entries[k.Key] = &keyEntry{streamID: k.StreamID, mayHaveRun: k.ExpiresAt > 0,
			host: k.Host, location: location{k.Zone, k.Cell}, startedAt: k.StartedAt, expiresAt: k.ExpiresAt}
		if k.StreamID == 0 {
			c.idempotencyKeys.expirations = append(c.idempotencyKeys.expirations, keyExpiry{k.Key, k.ExpiresAt})
		}
	}
	c.Execute(actions)
}

// PredecessorStreams returns the number of the predecessor's streams that have not finished.
func (c *Core) PredecessorStreams() int { return len(c.predecessorStreams) }

// PredecessorAttemptStarted reports that the predecessor has started an attempt of one of its streams.
func (c *Core) PredecessorAttemptStarted(id uint64, host string, at time.Duration) {
	if s, ok := c.predecessorStreams[id]; ok && s.IdempotencyKey != "" {
		c.idempotencyKeys.recordAttempt(s.IdempotencyKey, host, at, c.idempotencyKeys.longestRepeatWindow())
	}
}

// PredecessorAttemptEnded reports that an attempt which the predecessor started at startedAt has ended.
func (c *Core) PredecessorAttemptEnded(id uint64, host string, startedAt time.Duration, outcome admission.Outcome) {
	s, ok := c.predecessorStreams[id]
	switch {
	case !ok:
	case !neverRan(outcome):
		c.predecessorRan[id] = struct{}{}
	case s.IdempotencyKey != "":
		c.idempotencyKeys.clearAttempt(s.IdempotencyKey, host, startedAt)
	}
}

// PredecessorStreamDone reports that a stream of the predecessor has finished. Its request id and idempotency key are
// free again, the id not before it is forgotten if the request may have run: its client may have left.
func (c *Core) PredecessorStreamDone(id uint64) {
	s, ok := c.predecessorStreams[id]
	if !ok {
		return
	}
	delete(c.predecessorStreams, id)
	delete(c.requestIDs, s.RequestID)
	if _, mayHaveRun := c.predecessorRan[id]; mayHaveRun {
		delete(c.predecessorRan, id)
		c.ranRequests.remember(s.RequestID, c.now)
	}
	c.idempotencyKeys.release(s.IdempotencyKey, id)
}

// PredecessorExited reports that the predecessor's process has exited, and with it all its streams, whose requests may have
// run.
func (c *Core) PredecessorExited() {
	for id := range c.predecessorStreams {
		c.predecessorRan[id] = struct{}{}
		c.PredecessorStreamDone(id)
	}
}
