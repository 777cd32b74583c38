package core

import (
	"strings"
	"time"
)

const (
	// ranRequestMemory is how long the id of a request that may have run is remembered.
	ranRequestMemory = 30 * time.Second
	// maxRanRequests bounds the remembered ids. Beyond it the oldest is forgotten.
	maxRanRequests = 8192
)

// ranTable remembers the ids of requests that may have run and whose client may not know it: a client that comes again
// with the same id must not have its request run twice.
type ranTable struct {
	expiresAt   map[string]time.Duration
	expirations []keyExpiry // in the order in which they were added
}

// remember records that the request with this id may have run.
func (t *ranTable) remember(id string, now time.Duration) { t.rememberUntil(id, now+ranRequestMemory) }

// rememberUntil records that the request with this id may have run, until the given time.
func (t *ranTable) rememberUntil(id string, expiresAt time.Duration) {
	if id == "" {
		return
	}
	id = strings.Clone(id) // it may be a part of a long text
	if t.expiresAt == nil {
		t.expiresAt = map[string]time.Duration{}
	}
	if len(t.expirations) >= maxRanRequests {
		t.removeFirst()
	}
	t.expiresAt[id] = expiresAt
	t.expirations = append(t.expirations, keyExpiry{id, expiresAt})
}

// removeFirst forgets the id that was added first, unless it was added again since.
func (t *ranTable) removeFirst() {
	first := t.expirations[0]
	t.expirations = t.expirations[1:]
	if t.expiresAt[first.key] == first.expiresAt {
		delete(t.expiresAt, first.key)
	}
}

// forget records that the request with this id has not run after all.
func (t *ranTable) forget(id string) { delete(t.expiresAt, id) }

// mayHaveRun reports whether the request with this id may have run.
func (t *ranTable) mayHaveRun(id string, now time.Duration) bool {
	for len(t.expirations) > 0 && now >= t.expirations[0].expiresAt {
		t.removeFirst()
	}
	expiresAt, ok := t.expiresAt[id]
	return ok && now < expiresAt
}

// ranKeyPrefix marks an entry of a request id among the states of idempotency keys that processes exchange. No client can
// send such a key, and a process that does not know the prefix keeps the entry to the end of its window and never uses it.
const ranKeyPrefix = "\x00request-id\x00"

// states returns the remembered ids for another process.
func (t *ranTable) states() (states []KeyState) {
	for id, expiresAt := range t.expiresAt {
		states = append(states, ranState(id, expiresAt))
	}
	return states
}

// ranState returns the state of an id for another process.
func ranState(id string, expiresAt time.Duration) KeyState {
	return KeyState{Key: ranKeyPrefix + id, StartedAt: expiresAt - ranRequestMemory, ExpiresAt: expiresAt}
}

// ranRequestID returns the id that a state is of, if it is one of ranState.
func ranRequestID(k KeyState) (id string, ok bool) { return strings.CutPrefix(k.Key, ranKeyPrefix) }
