package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// keyTable remembers for each idempotency key where a request with it may have run. The upstream hosts of a cell drop
// a repeat of a key within the repeat window of its class. During that window a request with the key is sent only
// to that cell, and never while another stream with the key has not finished. After the window the key counts as new:
// the client has been told that the earlier request may have taken effect.
type keyTable struct {
	repeatWindows []time.Duration // by class; 0: the class has no keys
	entries       map[string]*keyEntry
	hostLocations map[string]location // by host name
	expirations   []keyExpiry         // keys whose stream has finished, in the order of the finish
	observer      KeyObserver         // nil: none
	maxEntries    int                 // bounds entries for new keys; 0: no bound
}

// hasRoom reports whether a request with a key can be taken: the key is known, or there is room for it.
func (t *keyTable) hasRoom(key string) bool {
	return key == "" || t.maxEntries == 0 || len(t.entries) < t.maxEntries || t.entries[key] != nil
}

// keyEntry is the state of an idempotency key.
type keyEntry struct {
	streamID   uint64 // the stream with the key that has not finished, 0 if there is none
	mayHaveRun bool   // a request with the key may have run; the fields below say where and when
	host       string
	location   location
	startedAt  time.Duration // start of the repeat window
	expiresAt  time.Duration // end of the repeat window
}

// state returns the state of an entry with the given key, for another process.
func (e *keyEntry) state(key string) KeyState {
	state := KeyState{Key: key, StreamID: e.streamID}
	if e.mayHaveRun {
		state.Host, state.Zone, state.Cell = e.host, e.location.zone, e.location.cell
		state.StartedAt, state.ExpiresAt = e.startedAt, e.expiresAt
	}
	return state
}

// keyExpiry is the time at which a key is forgotten. It is checked when a request arrives and not by a timer: a turn of
// the event loop for it would cost as much as one for a request.
type keyExpiry struct {
	key       string
	expiresAt time.Duration
}

// location is the zone and cell of a host.
type location struct {
	zone string
	cell int
}

// RepeatWindows returns for each class how long upstream hosts drop a repeat of an idempotency key, 0 where the class
// has no keys.
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

// repeatWindow returns the window of a class, 0 if the class has no keys or does not exist.
func (t *keyTable) repeatWindow(class int) time.Duration {
	if class < 0 || class >= len(t.repeatWindows) {
		return 0
	}
	return t.repeatWindows[class]
}

// longestRepeatWindow returns the longest window of any class. It is used for streams of the predecessor, which does not
// tell their class.
func (t *keyTable) longestRepeatWindow() (longest time.Duration) {
	for _, window := range t.repeatWindows {
		longest = max(longest, window)
	}
	return longest
}

// updateLocations records the locations of the listed hosts and removes those of hosts that are gone.
func (t *keyTable) updateLocations(list admission.ServerList) {
	for _, server := range list.Servers {
		if server.State == admission.Gone {
			delete(t.hostLocations, server.Name)
		} else {
			t.hostLocations[server.Name] = location{server.Zone, server.Cell}
		}
	}
}

// priorAttempt returns where and when a request with the key may have run, or nil if none may have within the repeat
// window.
func (t *keyTable) priorAttempt(key string, now time.Duration) *admission.PriorAttempt {
	if entry := t.entries[key]; entry != nil && entry.mayHaveRun && now < entry.expiresAt {
		return &admission.PriorAttempt{Server: entry.host, Zone: entry.location.zone, Cell: entry.location.cell,
			SentAt: entry.startedAt}
	}
	return nil
}

// isInUse reports whether a stream with the key is open or has pending upstream requests.
func (t *keyTable) isInUse(key string) bool {
	entry := t.entries[key]
	return entry != nil && entry.streamID != 0
}

// acquire records that a stream with the key has started. The key is in use until release.
func (t *keyTable) acquire(key string, streamID uint64) {
	if t.entries[key] == nil {
		t.entries[key] = &keyEntry{}
	}
	t.entries[key].streamID = streamID
}

// recordAttempt records that a request with the key is sent to a host. Only the first host that may have run it within
// the window is kept, as later ones are of the same cell. For a repeat it returns the end of the window: the request may
// still wait for its connection, and after that time it must not be sent any more. Otherwise it returns 0.
func (t *keyTable) recordAttempt(key, host string, now, window time.Duration) (windowEnd time.Duration) {
	entry := t.entries[key]
	switch {
	case entry == nil:
		return 0
	case entry.mayHaveRun && now < entry.expiresAt:
		return entry.expiresAt
	}
	entry.mayHaveRun, entry.host, entry.location, entry.startedAt, entry.expiresAt =
		true, host, t.hostLocations[host], now, now+window
	return 0
}

// notifySent informs the observer, if there is one, of the attempt that is recorded for a key.
func (t *keyTable) notifySent(key string) {
	if entry := t.entries[key]; t.observer != nil && entry != nil && entry.mayHaveRun {
		t.observer.KeySent(entry.state(key))
	}
}

// recordForeignAttempt records that another process sends a request with the key. No stream of this process has the key.
func (t *keyTable) recordForeignAttempt(k KeyState) {
	entry := t.entries[k.Key]
	if entry == nil {
		entry = &keyEntry{}
		t.entries[k.Key] = entry
	}
	entry.mayHaveRun, entry.host, entry.location = true, k.Host, location{k.Zone, k.Cell}
	entry.startedAt, entry.expiresAt = k.StartedAt, k.ExpiresAt
	if entry.streamID == 0 {
		t.expirations = append(t.expirations, keyExpiry{k.Key, k.ExpiresAt})
	}
}

// restartWindow restarts the window of the attempt that was recorded at the time startedAt. It is used when the rest of a
// partial request has arrived, as the request can't have run before.
func (t *keyTable) restartWindow(key, host string, startedAt, now, window time.Duration) {
	if entry := t.entries[key]; entry != nil && entry.mayHaveRun && entry.host == host && entry.startedAt == startedAt {
		entry.startedAt, entry.expiresAt = now, now+window
		t.notifySent(key)
	}
}

// notifyNotRun informs the observer, if there is one, that the attempt recorded at the time startedAt has not run. It is to be
// called before clearAttempt.
func (t *keyTable) notifyNotRun(key, host string, startedAt time.Duration) {
	if entry := t.entries[key]; t.observer != nil && entry != nil && entry.mayHaveRun && entry.host == host &&
		entry.startedAt == startedAt {
		t.observer.KeyNotRun(entry.state(key))
	}
}

// clearAttempt records that the attempt that was recorded at the time startedAt has not run.
func (t *keyTable) clearAttempt(key, host string, startedAt time.Duration) {
	if entry := t.entries[key]; entry != nil && entry.mayHaveRun && entry.host == host && entry.startedAt == startedAt {
		entry.mayHaveRun = false
	}
}

// release records that the stream with the key has finished. The key is remembered to the end of its window if a request
// with it may have run, and forgotten at once if not.
func (t *keyTable) release(key string, streamID uint64) {
	entry := t.entries[key]
	if entry == nil || entry.streamID != streamID {
		return
	}
	if entry.streamID = 0; !entry.mayHaveRun {
		delete(t.entries, key)
		return
	}
	t.expirations = append(t.expirations, keyExpiry{key, entry.expiresAt})
}

// removeExpired forgets keys whose window has ended. A key with a short window may be kept longer, behind one with a
// longer window.
func (t *keyTable) removeExpired(now time.Duration) {
	for len(t.expirations) > 0 && now >= t.expirations[0].expiresAt {
		if entry := t.entries[t.expirations[0].key]; entry != nil && entry.streamID == 0 && now >= entry.expiresAt {
			delete(t.entries, t.expirations[0].key)
		}
		t.expirations = t.expirations[1:]
	}
}
